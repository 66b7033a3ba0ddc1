//! Opens the ports of a program.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use rustix::io::Errno;
use slog::Logger;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::Instant;

use crate::error::StartError;

/// The maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// Interval between attempts to open ports that have been refused.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time that the system may need to release the addresses of a process that has stopped.
const RELEASE_MARGIN: Duration = Duration::from_secs(2);

/// A port that a program listens on.
#[derive(Clone, Copy, Debug)]
pub struct Port {
    key: &'static str,
    address: SocketAddr,
    send_buffer: Option<usize>,
}

impl Port {
    /// Returns the port whose address the settings give under `addresses.{key}`.
    pub const fn new(key: &'static str, address: SocketAddr) -> Self {
        Self {
            key,
            address,
            send_buffer: None,
        }
    }

    /// Sets the size of the send buffer of accepted connections, in bytes.
    pub const fn with_send_buffer(mut self, bytes: usize) -> Self {
        self.send_buffer = Some(bytes);
        self
    }

    fn bind(self) -> Result<BoundPort, Refusal> {
        let open = || {
            let socket = match self.address {
                SocketAddr::V4(_) => TcpSocket::new_v4()?,
                SocketAddr::V6(_) => TcpSocket::new_v6()?,
            };
            // Allows a restarted instance to bind its port while old connections are in TIME_WAIT.
            socket.set_reuseaddr(true)?;
            if let Some(bytes) = self.send_buffer {
                // Accepted connections inherit the size of the listening socket's send buffer.
                socket.set_send_buffer_size(u32::try_from(bytes).unwrap_or(u32::MAX))?;
            }
            socket.bind(self.address)?;
            Ok(BoundPort { port: self, socket })
        };
        open().map_err(|source| Refusal { port: self, source })
    }
}

/// A port whose address is bound, and that accepts no connections yet.
#[derive(Debug)]
struct BoundPort {
    port: Port,
    socket: TcpSocket,
}

impl BoundPort {
    fn listen(self) -> Result<TcpListener, Refusal> {
        let Self { port, socket } = self;
        let listener = socket.listen(ACCEPT_BACKLOG);
        listener.map_err(|source| Refusal { port, source })
    }
}

/// Opens all ports of a program, and waits for addresses that are taken or missing for now.
///
/// An earlier process with the same settings holds its addresses until it has stopped, for
/// `longest_stop` at most, and a network interface may get its address after the program has started.
/// No port accepts connections until all addresses are free: until then, callers and readiness probes
/// are refused at once. See `docs/operators/start.md`.
///
/// # Errors
/// Returns an error if an address is refused for a reason that does not pass by itself, or is still
/// refused 2 s after `longest_stop`.
pub async fn open_ports<const N: usize>(
    ports: [Port; N],
    longest_stop: Duration,
    log: &Logger,
) -> Result<[TcpListener; N], StartError> {
    let mut wait = AddressWait::new(Instant::now(), longest_stop + RELEASE_MARGIN);
    loop {
        match try_open(ports) {
            Ok(listeners) => {
                wait.log_end(Instant::now(), log);
                return Ok(listeners);
            }
            Err(refusals) => wait.continue_after(refusals, Instant::now(), log)?,
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Opens all ports or none.
fn try_open<const N: usize>(ports: [Port; N]) -> Result<[TcpListener; N], Vec<Refusal>> {
    let bound = all_or_refusals(ports.map(Port::bind))?;
    all_or_refusals(bound.map(BoundPort::listen))
}

fn all_or_refusals<T, const N: usize>(
    results: [Result<T, Refusal>; N],
) -> Result<[T; N], Vec<Refusal>> {
    let mut refusals = Vec::new();
    let opened: Vec<T> = results
        .into_iter()
        .filter_map(|it| it.map_err(|refusal| refusals.push(refusal)).ok())
        .collect();
    opened.try_into().map_err(|_fewer| refusals)
}

/// The system's refusal to open a port.
#[derive(Debug)]
struct Refusal {
    port: Port,
    source: io::Error,
}

impl Refusal {
    /// Returns whether the reason may pass without a change of the settings or of rights.
    fn may_pass(&self) -> bool {
        let is_shortage = matches!(
            Errno::from_io_error(&self.source),
            Some(Errno::NFILE | Errno::NOBUFS | Errno::NOMEM)
        );
        is_shortage
            || matches!(
                self.source.kind(),
                ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable
            )
    }

    fn into_error(self, waited: Duration) -> StartError {
        StartError::Listen {
            address: self.port.address,
            key: self.port.key,
            waited,
            source: self.source,
        }
    }
}

/// Decides how long a program waits for its addresses, and logs why it does.
#[derive(Debug)]
struct AddressWait {
    began: Instant,
    limit: Duration,
    /// The refusals that have been logged. They repeat at each attempt, and each is logged once.
    logged: Vec<(&'static str, ErrorKind)>,
}

impl AddressWait {
    const fn new(now: Instant, limit: Duration) -> Self {
        Self {
            began: now,
            limit,
            logged: Vec::new(),
        }
    }

    /// Returns an error if there is no reason to try again.
    fn continue_after(
        &mut self,
        refusals: Vec<Refusal>,
        now: Instant,
        log: &Logger,
    ) -> Result<(), StartError> {
        for refusal in refusals {
            if !refusal.may_pass() || self.waited(now) >= self.limit {
                return Err(refusal.into_error(self.waited(now)));
            }
            let seen = (refusal.port.key, refusal.source.kind());
            if self.logged.contains(&seen) {
                continue;
            }
            self.logged.push(seen);
            slog::warn!(log, "waiting for address";
                "key" => format!("addresses.{}", refusal.port.key),
                "address" => refusal.port.address.to_string(),
                "reason" => refusal.source.to_string(),
                "limit_s" => self.limit.as_secs_f64());
        }
        Ok(())
    }

    fn log_end(&self, now: Instant, log: &Logger) {
        let waited = self.waited(now);
        if !waited.is_zero() {
            slog::info!(log, "addresses available"; "waited_s" => waited.as_secs_f64());
        }
    }

    /// Returns how long the program has waited; 0 at its first attempt.
    fn waited(&self, now: Instant) -> Duration {
        if self.logged.is_empty() {
            return Duration::ZERO;
        }
        now.duration_since(self.began)
    }
}

#[cfg(test)]
mod tests;
