//! The callers' port: HTTP/1.1 connections with their limits.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chervilshunt_model::Moment;
use chervilshunt_start::{CallerProtocol, FlushBeforeError};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::shared::Shared;
use crate::traffic::serve;

/// Delay after a connection could not be accepted, for example because file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of connections within `FLOOD_WINDOW` from which on the lag is measured.
const FLOOD_CONNECTIONS: u32 = 32;
const FLOOD_WINDOW: Duration = Duration::from_secs(1);
/// Interval at which the lag is measured, and the shortest time for which it is.
const LAG_INTERVAL: Duration = Duration::from_millis(100);
const MEASURED_FOR: Duration = Duration::from_secs(2);
/// Interval at which refused connections are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a request's head, and of an idle connection, until a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Added to the configured idle time, so that a caller that uses a connection just within that time
/// does not find it closed.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Smallest size of the read buffer, in bytes; it applies until a configuration is known.
const MIN_BUFFER: usize = 16 * 1024;

/// Serves callers until connections are to be closed.
pub(crate) async fn serve_callers(listener: TcpListener, shared: Arc<Shared>) {
    let mut watch = FloodWatch::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.close_connections.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => admit(stream, &shared, &mut watch),
            Err(error) => {
                slog::warn!(shared.log, "accept failed"; "reason" => error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection, or closes it unread. Its caller tries another instance then.
fn admit(stream: TcpStream, shared: &Arc<Shared>, watch: &mut FloodWatch) {
    let now = shared.clock.now();
    if watch.connection_came(now) {
        watch.is_measuring.store(true, Ordering::Relaxed);
        let is_measuring = Arc::clone(&watch.is_measuring);
        tokio::spawn(measure_lag(Arc::clone(shared), is_measuring));
    }
    let opened = shared.admission().try_open();
    match opened {
        Ok(()) => {
            let admitted = AdmittedConnection(Arc::clone(shared));
            tokio::spawn(serve_connection(stream, admitted));
        }
        Err(refusal) => {
            let reason = refusal.as_str();
            metrics::counter!("chervilshunt_connections_refused_total", "reason" => reason)
                .increment(1);
            watch.report_refused(shared, reason, now);
        }
    }
}

/// A connection that is counted as open.
struct AdmittedConnection(Arc<Shared>);

impl Drop for AdmittedConnection {
    fn drop(&mut self) {
        self.0.admission().closed();
    }
}

/// Notices that connections come quickly. Measuring the lag costs wake-ups, so it is done only then.
#[derive(Default)]
struct FloodWatch {
    /// The current second, and the number of connections that have come in it.
    window: Option<(Moment, u32)>,
    is_measuring: Arc<AtomicBool>,
    /// When refused connections were last logged, and how many have been refused since.
    reported: Option<Moment>,
    unreported: u64,
}

impl FloodWatch {
    /// Counts a connection and returns whether the lag should be measured from now on.
    fn connection_came(&mut self, now: Moment) -> bool {
        let current = self
            .window
            .filter(|(since, _)| now.since(*since) < FLOOD_WINDOW);
        let (since, count) = current.unwrap_or((now, 0));
        self.window = Some((since, count + 1));
        count + 1 >= FLOOD_CONNECTIONS && !self.is_measuring.load(Ordering::Relaxed)
    }

    fn report_refused(&mut self, shared: &Shared, reason: &'static str, now: Moment) {
        self.unreported += 1;
        if self
            .reported
            .is_some_and(|at| now.since(at) < REPORT_INTERVAL)
        {
            return;
        }
        slog::info!(shared.log, "connections closed unread";
            "reason" => reason, "count" => std::mem::take(&mut self.unreported),
            "open" => shared.admission().open());
        self.reported = Some(now);
    }
}

/// Measures by how much tasks of the traffic thread are late, for as long as that may matter.
async fn measure_lag(shared: Arc<Shared>, is_measuring: Arc<AtomicBool>) {
    let began = shared.clock.now();
    loop {
        let due = shared.clock.now() + LAG_INTERVAL;
        tokio::time::sleep(LAG_INTERVAL).await;
        let now = shared.clock.now();
        let lag = now.since(due);
        let changed = shared.admission().lag_measured(lag, now);
        if let Some(is_behind) = changed {
            slog::warn!(shared.log, "instance behind with its requests";
                "is_behind" => is_behind, "lag_ms" => lag.as_millis() as u64,
                "open_requests" => shared.open_requests());
        }
        if lag < LAG_INTERVAL && now.since(began) >= MEASURED_FOR {
            is_measuring.store(false, Ordering::Relaxed);
            return;
        }
    }
}

async fn serve_connection(stream: TcpStream, admitted: AdmittedConnection) {
    let shared = Arc::clone(&admitted.0);
    if let Err(error) = stream.set_nodelay(true) {
        slog::debug!(shared.log, "connection closed"; "reason" => error.to_string());
        return;
    }
    let bounds = shared.routes.load_full().map(|routes| routes.bounds);
    let idle = bounds.map_or(DEFAULT_IDLE_TIMEOUT, |it| it.idle_time.max(it.header_time));
    let buffer = bounds.map_or(MIN_BUFFER, |it| it.header_bytes.max(MIN_BUFFER));
    let protocol = CallerProtocol::default();
    let service = service_fn(|req| {
        let shared = &shared;
        protocol.record(req.version());
        async move {
            let res = Box::pin(serve(shared, req)).await;
            Ok::<_, Infallible>(res.map(FlushBeforeError::new))
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle + IDLE_MARGIN)
        // With vectored writes, each small queued event would keep alive the whole buffer it was
        // read into.
        .writev(false)
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = shared.close_connections.cancelled() => {
            // Closes an idle connection now, and a busy one after the current request is answered.
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    let stream = connection.into_parts().io.into_inner();
    if let Err(error) = protocol.prepare_close(&ended, &stream) {
        slog::debug!(shared.log, "connection not reset"; "reason" => error.to_string());
    }
    // A failed connection needs no other handling here: each of its requests cleans up when it is
    // dropped.
    if let Err(error) = ended {
        slog::debug!(shared.log, "connection failed"; "reason" => error.to_string());
    }
}
