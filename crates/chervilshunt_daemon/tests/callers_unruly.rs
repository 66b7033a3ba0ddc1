//! Callers that begin large bodies and don't end them: an instance lives, stays within its memory, and answers
//! others.

mod support;

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_standin::fleet::{FleetOptions, model_name};
use http::{Request, StatusCode};
use hyper::body::{Body, Frame};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use rstest::rstest;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use support::http::{Protocol, post, send};
use support::raw::RawConnection;
use support::serial::{ExclusiveFleet, run_exclusively};

const MIB: usize = 1024 * 1024;
/// Largest body that callers may send.
const MAX_BODY: usize = 4 * MIB;
/// Memory of the machine that an instance runs on.
const MEMORY: usize = 256 * MIB;
const PIECE: usize = 64 * 1024;
const CONNECTIONS: usize = 100;
/// Streams on each HTTP/2 connection.
const STREAMS: usize = 20;
/// Time in which an instance reads what has been sent.
const READING_TIME: Duration = Duration::from_secs(3);

fn options() -> FleetOptions {
    FleetOptions {
        instances: 1,
        engines: 1,
        plains: 1,
        adapters: 1,
        settings: json!({"limits": { "body_bytes": MAX_BODY }}),
        ..FleetOptions::default()
    }
}

/// What each caller sends.
#[derive(Clone, Copy, Debug)]
enum Unruly {
    /// A body of a length that it announces, but for its last bytes.
    ShortOfLength,
    /// All chunks but the last one.
    ShortOfLastChunk,
    /// Streams of HTTP/2 that stay open.
    OpenStreams,
}

/// Sends pieces up to a length, and doesn't end.
struct Unended(usize);

impl Body for Unended {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.0 < PIECE {
            return Poll::Pending;
        }
        self.0 -= PIECE;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![b'x'; PIECE])))))
    }
}

async fn send_text(to: SocketAddr, what: Unruly) -> RawConnection {
    let mut connection = RawConnection::connect(to).await;
    let framing = match what {
        Unruly::ShortOfLength => format!("content-length: {MAX_BODY}"),
        Unruly::ShortOfLastChunk | Unruly::OpenStreams => "transfer-encoding: chunked".to_owned(),
    };
    let head = format!("POST /v1/completions HTTP/1.1\r\nhost: x\r\n{framing}\r\n\r\n");
    connection.write(head.as_bytes()).await;
    let text = "x".repeat(PIECE);
    let piece = match what {
        Unruly::ShortOfLength => text,
        Unruly::ShortOfLastChunk | Unruly::OpenStreams => format!("{PIECE:x}\r\n{text}\r\n"),
    };
    for _ in 1..MAX_BODY / PIECE {
        connection.write(piece.as_bytes()).await;
    }
    connection
}

async fn open_streams(to: SocketAddr) {
    let stream = TcpStream::connect(to).await.expect("the port is open");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, connection) = handshake.await.expect("a handshake");
    let mut streams = JoinSet::new();
    streams.spawn(async move { drop(connection.await) });
    for _ in 0..STREAMS {
        let mut sender = sender.clone();
        let uri = format!("http://{to}/v1/completions");
        let req = Request::post(uri).body(Unended(MAX_BODY - PIECE));
        let req = req.expect("a request");
        streams.spawn(async move { drop(sender.send_request(req).await) });
    }
    streams.join_all().await;
}

/// Has callers send, and keeps their connections until the result is dropped.
async fn crowd(to: SocketAddr, what: Unruly) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    let count = match what {
        Unruly::ShortOfLength | Unruly::ShortOfLastChunk => CONNECTIONS,
        Unruly::OpenStreams => CONNECTIONS / STREAMS,
    };
    for _ in 0..count {
        callers.spawn(async move {
            match what {
                Unruly::OpenStreams => open_streams(to).await,
                Unruly::ShortOfLength | Unruly::ShortOfLastChunk => {
                    let _connection = send_text(to, what).await;
                    std::future::pending::<()>().await;
                }
            }
        });
    }
    tokio::time::sleep(READING_TIME).await;
    callers
}

/// Asserts that the process lives within its memory, and answers an ordinary request.
async fn assert_holds(test: &ExclusiveFleet) {
    let instance = &test.fleet.instances()["i1"];
    let body = json!({"model": model_name(0), "prompt": "x", "max_tokens": 1}).to_string();
    let to = instance.callers();
    let answer = send(to, Protocol::Http1, post(to, "/v1/completions", &[], &body)).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let id = instance.process.id().expect("the process lives");
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("a status");
    let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|it| it.split_whitespace().next());
    let peak: usize = peak.and_then(|it| it.parse().ok()).expect("a size");
    println!("{} MiB at most", peak / 1024);
    assert!(peak * 1024 <= MEMORY, "{} MiB of memory", peak / 1024);
}

/// Guards against an instance that runs out of memory because callers begin large bodies and don't end them.
#[rstest]
#[case::ten_bytes_short(Unruly::ShortOfLength)]
#[case::large_chunks(Unruly::ShortOfLastChunk)]
#[case::streams(Unruly::OpenStreams)]
fn bodies_that_do_not_end_leave_the_process_alive(#[case] what: Unruly) {
    run_exclusively(options, |test| async move {
        let to = test.fleet.instances()["i1"].callers();
        let callers = crowd(to, what).await;
        assert_holds(&test).await;
        drop(callers);
        assert_holds(&test).await;
    });
}
