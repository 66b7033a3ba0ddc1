//! The callers' port: serves HTTP/1.1 and HTTP/2 connections within their limits.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_config::Limits;
use chervilshunt_start::{CallerProtocol, FlushBeforeError};
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::greeting::{Version, detect_version};
use super::serve::Traffic;
use super::slow_head;

/// The delay after a failed `accept`, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The minimum read buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves callers until `stop` is cancelled, then waits for all open requests to end.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    traffic: Traffic,
    stop: CancellationToken,
) {
    let connections = TaskTracker::new();
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
        connections.spawn(serve_connection(
            stream,
            peer,
            traffic.clone(),
            stop.clone(),
        ));
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    traffic: Traffic,
    stop: CancellationToken,
) {
    drop(stream.set_nodelay(true));
    let detected = tokio::select! {
        biased;
        detected = detect_version(&stream, traffic.limits().header_timeout) => detected,
        () = stop.cancelled() => None,
    };
    // Connection errors are ignored: each request releases its resources when it is dropped.
    match detected {
        Some(Version::Http1) => serve_http1(stream, peer, traffic, stop).await,
        // Boxed, because this future is larger and most connections are HTTP/1.1.
        Some(Version::Http2) => drop(Box::pin(serve_http2(stream, peer, traffic, stop)).await),
        None => {}
    }
}

/// Returns the largest size of a connection's read buffer, in bytes.
pub(super) fn read_buffer(limits: &Limits) -> usize {
    limits
        .stream_buffer_bytes
        .max(limits.header_bytes)
        .max(MIN_BUFFER_BYTES)
}

async fn serve_http1(
    stream: TcpStream,
    peer: SocketAddr,
    traffic: Traffic,
    stop: CancellationToken,
) {
    let limits = traffic.limits();
    let buffer = read_buffer(limits);
    let protocol = CallerProtocol::default();
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        // With vectored writes, each small queued event would keep alive the whole buffer of 8 KiB
        // or more that it was read into, up to 16 of them for a caller that does not read. Copied
        // events only take up their own length.
        .writev(false)
        .max_buf_size(buffer)
        .serve_connection(
            TokioIo::new(stream),
            service_fn(|req| {
                protocol.record(req.version());
                // hyper keeps the memory of this future until the connection ends. Boxed, the inner
                // future is freed as soon as the response head is ready, which for a stream is
                // early.
                let answer = Box::pin(traffic.serve(req, peer));
                async move { Ok::<_, Infallible>(answer.await.map(FlushBeforeError::new)) }
            }),
        );
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = stop.cancelled() => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    let parts = connection.into_parts();
    let stream = parts.io.into_inner();
    if let Err(error) = protocol.prepare_close(&ended, &stream) {
        slog::debug!(traffic.log(), "connection not reset"; "reason" => %error);
    }
    if ended.is_err_and(|error| error.is_timeout()) && !parts.read_buf.is_empty() {
        slow_head::refuse(&stream, &traffic);
    }
}

async fn serve_http2(
    stream: TcpStream,
    peer: SocketAddr,
    traffic: Traffic,
    stop: CancellationToken,
) -> hyper::Result<()> {
    let limits = traffic.limits();
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX))
        .max_send_buf_size(limits.stream_buffer_bytes)
        .keep_alive_interval(Some(limits.header_timeout))
        .keep_alive_timeout(limits.header_timeout)
        .serve_connection(
            TokioIo::new(stream),
            service_fn(move |req| {
                let traffic = traffic.clone();
                async move {
                    let res = traffic.serve(req, peer).await;
                    Ok::<_, Infallible>(res.map(FlushBeforeError::new))
                }
            }),
        );
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => return ended,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    connection.await
}
