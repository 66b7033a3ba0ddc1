//! The callers' port: HTTP/1.1 connections with their limits.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chervilshunt_core::{CallerBounds, ConnectionNumber, ConnectionRefusal, WaitingCallers};
use chervilshunt_model::Moment;
use chervilshunt_start::{CallerProtocol, FlushBeforeError};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::shared::Shared;
use crate::traffic::serve;
use crate::unwritten::UnwrittenAnswers;

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
    let mut opened = shared.admission().try_open();
    if opened == Err(ConnectionRefusal::TooMany) && shared.waiting_connections().evict(now) {
        metrics::counter!("chervilshunt_connections_evicted_total").increment(1);
        shared.admission().open_replacing();
        opened = Ok(());
    }
    match opened {
        Ok(()) => {
            let admitted = CallerConnection::begin(shared, now);
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
pub(crate) struct CallerConnection {
    shared: Arc<Shared>,
    number: ConnectionNumber,
    has_sent_request: AtomicBool,
    /// Notified when it has to be closed for another one.
    evicted: Arc<Notify>,
}

impl CallerConnection {
    fn begin(shared: &Arc<Shared>, now: Moment) -> Self {
        let evicted = Arc::new(Notify::new());
        let number = shared.waiting_connections().opened(&evicted, now);
        Self {
            shared: Arc::clone(shared),
            number,
            has_sent_request: AtomicBool::new(false),
            evicted,
        }
    }

    /// Records that a request has been read as a whole. Returns false if the connection is about to be closed
    /// instead.
    pub(crate) fn request_read(&self) -> bool {
        self.has_sent_request.load(Ordering::Relaxed) || {
            let is_kept = self.shared.waiting_connections().ended(self.number);
            self.has_sent_request.store(is_kept, Ordering::Relaxed);
            is_kept
        }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.shared.waiting_connections().ended(self.number);
        self.shared.admission().closed();
    }
}

/// The connections that have not sent a whole request yet, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct WaitingConnections {
    known: WaitingCallers,
    notified: HashMap<ConnectionNumber, Arc<Notify>>,
}

impl WaitingConnections {
    fn opened(&mut self, evicted: &Arc<Notify>, now: Moment) -> ConnectionNumber {
        let number = self.known.opened(now);
        self.notified.insert(number, Arc::clone(evicted));
        number
    }

    /// Forgets a connection that has sent a request or is closed, and returns whether it was known.
    fn ended(&mut self, number: ConnectionNumber) -> bool {
        self.known.ended(number);
        self.notified.remove(&number).is_some()
    }

    /// Has the oldest connection closed, and returns false if none is old enough.
    fn evict(&mut self, now: Moment) -> bool {
        let oldest = self.known.evict(now);
        let notified = oldest.and_then(|it| self.notified.remove(&it));
        notified.inspect(|it| it.notify_one()).is_some()
    }
}

/// Returns the largest size of a connection's read buffer, in bytes.
pub(crate) fn read_buffer(bounds: CallerBounds) -> usize {
    bounds.header_bytes.max(MIN_BUFFER)
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

async fn serve_connection(stream: TcpStream, admitted: CallerConnection) {
    let shared = Arc::clone(&admitted.shared);
    if let Err(error) = stream.set_nodelay(true) {
        slog::debug!(shared.log, "connection closed"; "reason" => error.to_string());
        return;
    }
    let bounds = shared.routes.load_full().map(|routes| routes.bounds);
    let idle = bounds.map_or(DEFAULT_IDLE_TIMEOUT, |it| it.idle_time.max(it.header_time));
    let buffer = bounds.map_or(MIN_BUFFER, read_buffer);
    let protocol = CallerProtocol::default();
    let unwritten = UnwrittenAnswers::new(&shared);
    let io = unwritten.watch(stream);
    let service = service_fn(|req| {
        let (shared, admitted, unwritten) = (&shared, &admitted, &unwritten);
        protocol.record(req.version());
        async move {
            let res = Box::pin(serve(shared, admitted, req)).await;
            Ok::<_, Infallible>(res.map(|it| unwritten.count(FlushBeforeError::new(it))))
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle + IDLE_MARGIN)
        // With vectored writes, each small queued event would keep alive the whole buffer it was
        // read into.
        .writev(false)
        .max_buf_size(buffer)
        .serve_connection(io, service);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = admitted.evicted.notified() => return,
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
