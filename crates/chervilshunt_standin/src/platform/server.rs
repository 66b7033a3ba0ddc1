//! The stand-in's listeners and connections, and the handle with which tests run it in their own
//! process.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::faults::{FaultPatch, Faults};
use super::handler::Api;
use super::stats::{Counters, Stats};
use crate::serve::{bind_at_start, bind_until_free};

/// Configuration of the platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address of the object API; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Address that serves `/standin/…` even while the object API refuses connections.
    pub control: SocketAddr,
    /// Interval between the bookmarks of a watch. The Kubernetes API server sends one about every
    /// minute.
    pub bookmark_interval: Duration,
    /// Number of changes kept for watches to resume from.
    pub history: usize,
    /// Seed of the random call failures.
    pub seed: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            listen: any_port,
            control: any_port,
            bookmark_interval: Duration::from_secs(1),
            history: 50_000,
            seed: 1,
        }
    }
}

/// A running stand-in. Dropping it closes all connections.
#[derive(Debug)]
pub struct PlatformHandle {
    api: Arc<Api>,
    address: SocketAddr,
    control: SocketAddr,
    stop: CancellationToken,
}

impl PlatformHandle {
    /// Returns the address of the object API.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that serves `/standin/…` even while the object API refuses connections.
    pub const fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the faults currently in effect.
    pub fn faults(&self) -> Faults {
        self.api.faults.borrow().clone()
    }

    /// Applies a patch to the current faults.
    pub fn set_faults(&self, patch: FaultPatch) {
        self.api.faults.send_modify(|faults| faults.merge(patch));
    }

    /// Clears all faults.
    pub fn clear_faults(&self) {
        self.api.faults.send_replace(Faults::default());
    }

    /// Returns the counters since the start.
    pub fn stats(&self) -> Stats {
        self.api.counters.snapshot()
    }
}

impl Drop for PlatformHandle {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Starts the stand-in on the current Tokio runtime.
///
/// # Errors
/// Fails if one of its addresses cannot be bound.
pub async fn start_platform(options: PlatformOptions) -> io::Result<PlatformHandle> {
    let api = Arc::new(Api::new(
        options.history,
        options.bookmark_interval,
        options.seed,
    ));
    let listener = bind_at_start(options.listen).await?;
    let control = bind_at_start(options.control).await?;
    let handle = PlatformHandle {
        address: listener.local_addr()?,
        control: control.local_addr()?,
        stop: CancellationToken::new(),
        api,
    };
    let api = Arc::clone(&handle.api);
    tokio::spawn(serve(api, listener, handle.stop.clone()));
    let api = Arc::clone(&handle.api);
    tokio::spawn(accept(api, control, handle.stop.clone()));
    Ok(handle)
}

/// Serves the object API. Its port is closed while the `down` fault refuses all connections.
async fn serve(api: Arc<Api>, listener: TcpListener, stop: CancellationToken) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut faults = api.faults.subscribe();
    let mut listener = Some(listener);
    while !stop.is_cancelled() {
        let Some(open) = listener.take() else {
            return;
        };
        let down = stop.child_token();
        tokio::select! {
            () = accept(Arc::clone(&api), open, down.clone()) => {}
            changed = faults.wait_for(Faults::refuses_all) => if changed.is_err() { return },
        }
        down.cancel();
        if faults
            .wait_for(|faults| !faults.refuses_all())
            .await
            .is_err()
        {
            return;
        }
        listener = tokio::select! {
            open = bind_until_free(address) => Some(open),
            () = stop.cancelled() => None,
        };
    }
}

async fn accept(api: Arc<Api>, listener: TcpListener, stop: CancellationToken) {
    loop {
        let stream = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_out_of_files) => {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
        };
        let _set = stream.set_nodelay(true);
        let connection = connection(Arc::clone(&api), stream);
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = connection => {}
            }
        });
    }
}

async fn connection(api: Arc<Api>, stream: TcpStream) {
    let counters = Arc::clone(&api.counters);
    let io = TokioIo::new(CountedStream { stream, counters });
    let service = service_fn(move |req| Arc::clone(&api).handle(req));
    // Connections closed by a fault end with an error, which is expected here.
    let _ended = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(io, service)
        .await;
}

/// A connection that counts the bytes read and written.
struct CountedStream {
    stream: TcpStream,
    counters: Arc<Counters>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = (buf.filled().len() - before) as u64;
        self.counters.bytes_in.fetch_add(read, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.counters
            .bytes_out
            .fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
