//! The HTTP server used by the engine, plain-service and weight-store stand-ins, with faults at the
//! connection level.

use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Version, header};
use http_body::{Body, Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::command::Addresses;

/// Prefix of the stand-in's control paths. Calls to them are exempt from faults, but the main port
/// refuses them too while it is closed.
pub(crate) const CONTROL_PREFIX: &str = "/standin/";

/// Delay between attempts to bind a port that is still in use.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// Time limit for opening a port when a stand-in starts.
const START_LIMIT: Duration = Duration::from_secs(2);

/// The header with the id of a request.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The header with the id of one attempt of a request.
pub(crate) const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");

/// The response body type of a stand-in.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, Cut>;

/// A response, or [`Cut`] to close the connection without one.
pub(crate) type Answer = Result<Response<AnswerBody>, Cut>;

/// An error that makes the server close the connection immediately.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed by a stand-in fault")
    }
}

impl std::error::Error for Cut {}

impl From<Infallible> for Cut {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The state of a stand-in's port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PortState {
    /// Whether connections are accepted.
    open: bool,
    /// Incremented to close all connections that were accepted before.
    generation: u64,
    /// Whether calls are held without a response.
    frozen: bool,
    /// Whether responses end with their connection, without a length or chunks.
    unframed: bool,
}

/// Opens, closes and freezes a stand-in's port.
#[derive(Clone, Debug)]
pub(crate) struct Port {
    state: watch::Sender<PortState>,
}

impl Port {
    pub(crate) fn new() -> Self {
        let state = PortState {
            open: true,
            generation: 0,
            frozen: false,
            unframed: false,
        };
        Self {
            state: watch::Sender::new(state),
        }
    }

    /// Closes the port, so that connections are refused, or opens it again.
    pub(crate) fn set_open(&self, open: bool) {
        self.state.send_if_modified(|state| {
            let changed = state.open != open;
            state.open = open;
            state.generation += u64::from(changed && !open);
            changed
        });
    }

    /// Closes all current connections.
    pub(crate) fn cut_connections(&self) {
        self.state.send_modify(|state| state.generation += 1);
    }

    /// Applies the fault switches that stand-ins have in common.
    pub(crate) fn change(&self, freeze: Option<bool>, down: Option<bool>, down_ms: Option<u64>) {
        if let Some(frozen) = freeze {
            self.state.send_modify(|state| state.frozen = frozen);
        }
        if let Some(down) = down {
            self.set_open(!down);
        }
        if let Some(millis) = down_ms {
            self.set_open(false);
            let port = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(millis)).await;
                port.set_open(true);
            });
        }
    }

    /// Sets whether responses end with their connection, if that changes.
    pub(crate) fn set_unframed(&self, unframed: Option<bool>) {
        if let Some(unframed) = unframed {
            self.state.send_modify(|state| state.unframed = unframed);
        }
    }

    /// Waits until the stand-in is not frozen.
    pub(crate) async fn until_unfrozen(&self) {
        let mut rx = self.state.subscribe();
        // The wait cannot fail because `self` holds the sender.
        let _state = rx.wait_for(|state| !state.frozen).await;
    }
}

/// Listens on `address` and serves each call with `handler` until the runtime shuts down.
///
/// A second port at `control` stays open through every fault, so that the control paths can be
/// called there at any time.
pub(crate) async fn listen<H, F>(
    address: SocketAddr,
    control: SocketAddr,
    port: Port,
    handler: H,
) -> io::Result<Addresses>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let listener = bind_at_start(address).await?;
    let control = bind_at_start(control).await?;
    let opened = Addresses {
        main: listener.local_addr()?,
        control: control.local_addr()?,
    };
    tokio::spawn(accept_calls(
        control,
        opened.control,
        Port::new(),
        handler.clone(),
    ));
    tokio::spawn(accept_calls(listener, opened.main, port, handler));
    Ok(opened)
}

/// Accepts connections for as long as a handler or handle holds `port`.
async fn accept_calls<H, F>(listener: TcpListener, address: SocketAddr, port: Port, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let mut state = port.state.subscribe();
    let mut listener = Some(listener);
    loop {
        if !state.borrow_and_update().open {
            listener = None;
            if state.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Some(open) = &listener else {
            listener = Some(bind_until_free(address).await);
            continue;
        };
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve_connection(stream, port.state.subscribe(), handler.clone()));
                }
            }
            changed = state.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Opens a port of a stand-in that starts, and waits for an address that an earlier one still holds.
pub(crate) async fn bind_at_start(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + START_LIMIT;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error) if may_pass(&error) && Instant::now() < deadline => {
                tokio::time::sleep(REBIND_PAUSE).await;
            }
            Err(error) => {
                let message = format!("can't listen on {address}: {error}");
                return Err(io::Error::new(error.kind(), message));
            }
        }
    }
}

fn may_pass(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable
    )
}

/// Opens a port again; another program may have taken it meanwhile.
pub(crate) async fn bind_until_free(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(REBIND_PAUSE).await;
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    mut state: watch::Receiver<PortState>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let _best_effort = stream.set_nodelay(true);
    let initial_generation = state.borrow().generation;
    // A connection whose latest call was to a control path is shut down gracefully. Otherwise a
    // fault would cut off the response to the call that set it.
    let control_call = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&control_call);
    let framing = state.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let is_control = req.uri().path().starts_with(CONTROL_PREFIX);
        seen.store(is_control, Ordering::Relaxed);
        let unframed = framing.borrow().unframed && !is_control;
        let answer = handler(req);
        async move {
            let res = answer.await?;
            Ok::<_, Cut>(if unframed { without_framing(res) } else { res })
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ended = &mut connection => return,
        () = generation_after(&mut state, initial_generation) => {}
    }
    if control_call.load(Ordering::Relaxed) {
        connection.as_mut().graceful_shutdown();
        let _ended = connection.await;
    }
}

async fn generation_after(state: &mut watch::Receiver<PortState>, initial_generation: u64) {
    // Without a sender, nothing closes the connection any more.
    if state
        .wait_for(|state| state.generation != initial_generation)
        .await
        .is_err()
    {
        std::future::pending().await
    }
}

/// Returns a complete JSON response.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<AnswerBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

/// Returns a complete text response.
pub(crate) fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}

/// Returns a body with the given data.
pub(crate) fn full(data: impl Into<Bytes>) -> AnswerBody {
    Full::new(data.into()).map_err(Cut::from).boxed_unsync()
}

/// Returns a response whose `Content-Length` covers the whole body, but which is cut off half-way.
pub(crate) fn cut_halfway(whole: &str) -> Response<AnswerBody> {
    let part = whole.as_bytes()[..whole.len() / 2].to_vec();
    let body = CutBody {
        part: Some(part.into()),
        promised: whole.len() as u64,
        flushed: false,
    };
    let mut response = Response::new(body.boxed_unsync());
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Returns a response that ends with its connection. Only responses of HTTP/1.0 may do so if their
/// server can't be told to write one without a length or chunks.
fn without_framing(response: Response<AnswerBody>) -> Response<AnswerBody> {
    let mut response = response.map(|body| Unframed(body).boxed_unsync());
    *response.version_mut() = Version::HTTP_10;
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

/// A body whose length the server does not know.
#[derive(Debug)]
struct Unframed(AnswerBody);

impl Body for Unframed {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        Pin::new(&mut self.0).poll_frame(cx)
    }
}

/// Copies the request and attempt ids from the request headers to the response.
pub(crate) fn echo_ids(
    asked: &HeaderMap,
    mut response: Response<AnswerBody>,
) -> Response<AnswerBody> {
    for name in [REQUEST_ID, ATTEMPT_ID] {
        if let Some(value) = asked.get(&name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    response
}

/// Returns a header as text, or an empty string if it is missing or not text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

/// Reads an update of fault switches. A malformed one yields a 400 response.
pub(crate) async fn read_faults<T: DeserializeOwned>(
    req: Request<Incoming>,
) -> Result<Result<T, Response<AnswerBody>>, Cut> {
    let Ok(body) = req.into_body().collect().await else {
        return Err(Cut);
    };
    Ok(serde_json::from_slice(&body.to_bytes())
        .map_err(|err| text(StatusCode::BAD_REQUEST, err.to_string())))
}

/// A body that announces its full length but is cut off before the end.
#[derive(Debug)]
struct CutBody {
    part: Option<Bytes>,
    promised: u64,
    flushed: bool,
}

impl Body for CutBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if let Some(part) = self.part.take() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        if std::mem::replace(&mut self.flushed, true) {
            return Poll::Ready(Some(Err(Cut)));
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.promised)
    }
}
