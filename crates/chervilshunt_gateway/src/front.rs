//! The callers' port: HTTP/1.1 connections with their limits.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

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
/// Timeout of a request's head, and of an idle connection, until a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Added to the configured idle time, so that a caller that uses a connection just within that time
/// does not find it closed.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Smallest size of the read buffer, in bytes; it applies until a configuration is known.
const MIN_BUFFER: usize = 16 * 1024;

/// Serves callers until connections are to be closed.
pub(crate) async fn serve_callers(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.close_connections.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, Arc::clone(&shared)));
            }
            Err(error) => {
                slog::warn!(shared.log, "accept failed"; "reason" => error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
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
