//! The callers' port: HTTP/1.1 and HTTP/2 connections within their limits.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::greeting::Greeted;
use super::serve::Traffic;

/// The pause after a connection could not be accepted, as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// hyper's smallest buffer.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves callers until `stop` is cancelled, then waits for every open answer to end.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    traffic: Traffic,
    stop: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let (stream, peer) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    slog::warn!(traffic.log(), "accept failed"; "reason" => %error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            () = stop.cancelled() => break,
        };
        serve_connection(stream, peer, &traffic, &graceful);
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    traffic: &Traffic,
    graceful: &GracefulShutdown,
) {
    drop(stream.set_nodelay(true));
    let limits = traffic.limits();
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        // Queued for a vectored write, each small event would pin the whole buffer of 8 KiB or more
        // that it was read into, 16 of them for a caller that does not read. Copied, events take
        // their own length.
        .writev(false)
        .max_buf_size(
            limits
                .stream_buffer_bytes
                .max(limits.header_bytes)
                .max(MIN_BUFFER_BYTES),
        );
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX))
        .max_send_buf_size(limits.stream_buffer_bytes)
        .keep_alive_interval(Some(limits.header_timeout))
        .keep_alive_timeout(limits.header_timeout);
    let stream = Greeted::new(stream, limits.header_timeout);
    let traffic = traffic.clone();
    let service = service_fn(move |req| {
        let traffic = traffic.clone();
        // hyper keeps the room of this future for as long as the connection lasts. On the heap the
        // inner one is freed when the head of the answer is there, which for a stream is early.
        async move { Ok::<_, Infallible>(Box::pin(traffic.serve(req, peer)).await) }
    });
    let connection = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        // A failed connection is the caller's affair: each of its requests has cleaned up by drop.
        drop(watched.await);
    });
}
