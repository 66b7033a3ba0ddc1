//! The port on which other instances have their requests passed on.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_start::FlushBeforeError;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpStream};

use super::pass_on::pass_on;
use crate::shared::Shared;
use crate::unwritten::UnwrittenAnswers;

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of a request's head, and of an idle connection: longer than the other instance keeps
/// one in its pool.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Size of the read buffer in bytes; it bounds a request's head, which a caller's instance has
/// added to.
pub(super) const BUFFER_BYTES: usize = 128 * 1024;

/// Serves other instances until connections are to be closed.
pub(crate) async fn serve_transit(listener: TcpListener, shared: Arc<Shared>) {
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
    let unwritten = UnwrittenAnswers::new(&shared);
    let io = unwritten.watch(stream);
    let service = service_fn(|req| {
        let (shared, unwritten) = (&shared, &unwritten);
        async move {
            let res = Box::pin(pass_on(shared, req)).await;
            Ok::<_, Infallible>(res.map(|it| unwritten.count(FlushBeforeError::new(it))))
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .writev(false)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(io, service);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = shared.close_connections.cancelled() => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    // The other instance sees a failed connection itself.
    if let Err(error) = ended {
        slog::debug!(shared.log, "connection failed"; "reason" => error.to_string());
    }
}
