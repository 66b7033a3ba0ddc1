//! An engine with endless streams that counts the bytes that it sends.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use bytes::Bytes;
use futures_util::stream;
use http::{Method, Request, Response, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio_util::task::AbortOnDropHandle;

/// The base model that the engine serves.
pub(crate) const ENDLESS: &str = "endless";

const SEND_BUFFER: u32 = 16 * 1024;
const BACKLOG: u32 = 256;

/// An engine whose streams never end.
#[derive(Debug)]
pub(crate) struct Endless {
    pub(crate) address: SocketAddr,
    counts: Arc<Counts>,
    _task: AbortOnDropHandle<()>,
}

#[derive(Debug, Default)]
struct Counts {
    bytes: AtomicU64,
    open: AtomicUsize,
}

/// Counts a stream as open until dropped.
struct OpenStreamGuard(Arc<Counts>);

impl Drop for OpenStreamGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Endless {
    pub(crate) async fn start() -> Self {
        // The kernel's default send buffer would hold megabytes that nobody has read.
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_send_buffer_size(SEND_BUFFER).expect("an option");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(any_port).expect("a port is free");
        let listener = socket.listen(BACKLOG).expect("it is bound");
        let address = listener.local_addr().expect("it is bound");
        let counts = Arc::new(Counts::default());
        let shared = Arc::clone(&counts);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let counts = Arc::clone(&shared);
                let service = service_fn(move |req| answer(req, Arc::clone(&counts)));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(async move { drop(connection.await) });
            }
        });
        Self {
            address,
            counts,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// Returns the number of bytes that have been sent on all streams.
    pub(crate) fn bytes(&self) -> u64 {
        self.counts.bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of open streams.
    pub(crate) fn open(&self) -> usize {
        self.counts.open.load(Ordering::Relaxed)
    }
}

async fn answer(
    req: Request<Incoming>,
    counts: Arc<Counts>,
) -> Result<Response<BoxBody<Bytes, Infallible>>, Infallible> {
    if req.method() == Method::GET {
        let models = format!(r#"{{"object":"list","data":[{{"id":"{ENDLESS}"}}]}}"#);
        let mut res = Response::new(Full::from(models).boxed());
        res.headers_mut().insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/json"),
        );
        return Ok(res);
    }
    let event = Bytes::from(format!(
        "data: {{\"id\":\"x\",\"model\":\"{ENDLESS}\",\"choices\":[{{\"index\":0,\"text\":\"{}\"}}]}}\n\n",
        " chair".repeat(20),
    ));
    counts.open.fetch_add(1, Ordering::Relaxed);
    let counted = OpenStreamGuard(counts);
    let events = stream::repeat_with(move || {
        let taken = event.len() as u64;
        counted.0.bytes.fetch_add(taken, Ordering::Relaxed);
        Ok(Frame::data(event.clone()))
    });
    let mut res = Response::new(BodyExt::boxed(StreamBody::new(events)));
    res.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("text/event-stream"),
    );
    Ok(res)
}
