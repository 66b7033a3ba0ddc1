//! The client of one target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{HeaderMap, Request, Response, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use snafu::ResultExt as _;

use crate::answer::{self, Answer, BodyReader};
use crate::call::{Call, Expect, Limits};
use crate::connection::{Connection, SendError};
use crate::error::{
    CrossedSnafu, EngineError, MalformedSnafu, NotSentSnafu, OutcomeUnknownSnafu, Stage,
    TimeoutSnafu,
};
use crate::headers::{ATTEMPT_ID, FENCING_TOKEN, REQUEST_ID, strip_hop_by_hop};
use crate::pool::Pool;

/// The client of one target; clones share its connections.
///
/// It never sends a request twice. One that found its connection closed before the first byte was
/// written goes out on another, which is no second sending.
#[derive(Clone)]
pub struct EngineClient {
    pool: Pool,
}

impl std::fmt::Debug for EngineClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineClient")
            .field("address", &self.pool.address)
            .finish_non_exhaustive()
    }
}

impl EngineClient {
    /// Makes a client; it connects when it is first used.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            pool: Pool::new(address),
        }
    }

    /// Returns the target's address.
    pub fn address(&self) -> SocketAddr {
        self.pool.address
    }

    /// Sends a call and returns its answer once the head has come.
    ///
    /// A whole answer of an engine is read and checked before this returns; a stream is checked
    /// event by event as it is read. Dropping the future or the answer's body cancels the call.
    ///
    /// # Errors
    /// [`EngineError::outcome`] says of each error whether the call can have run.
    pub async fn open(&self, call: Call) -> Result<Answer, EngineError> {
        let (idempotent, limits, attempt) = (call.idempotent, call.limits, call.attempt);
        let expect = call.expect.clone();
        let req = into_request(call, self.address())?;
        let (response, connection) = self.exchange(req, idempotent, limits).await?;
        let (mut head, incoming) = response.into_parts();
        let reader = BodyReader::new(incoming, connection, self.pool.clone(), limits);
        if let Some(received) = head.headers.get(ATTEMPT_ID)
            && received.as_bytes() != attempt.to_string().as_bytes()
        {
            let received = String::from_utf8_lossy(received.as_bytes());
            return CrossedSnafu { attempt, received }.fail();
        }
        answer::require_delimited(&head)?;
        strip_hop_by_hop(&mut head.headers);
        match expect {
            Expect::Anything => Ok(Answer::unchecked(head, reader)),
            Expect::Model(model) => Answer::checked(head, reader, model).await,
        }
    }

    /// Sends a request as it stands and returns the head of its answer, with the body unread.
    ///
    /// Nothing is checked or changed: whoever passes an answer on judges head and body. `reuse` says
    /// whether a connection that was used before may carry it. Dropping the future or the body
    /// closes the connection and so cancels the request.
    ///
    /// # Errors
    /// [`EngineError::outcome`] says of each error whether the request can have run.
    pub async fn forward(
        &self,
        req: Request<Full<Bytes>>,
        reuse: bool,
        limits: Limits,
    ) -> Result<(response::Parts, BodyReader), EngineError> {
        let (response, mut connection) = self.exchange(req, reuse, limits).await?;
        let (head, incoming) = response.into_parts();
        connection.note_keep_alive(&head.headers);
        let reader = BodyReader::new(incoming, connection, self.pool.clone(), limits);
        Ok((head, reader))
    }

    /// Says whether the target's address refuses connections: its process has ended.
    ///
    /// No answer within the limit says nothing, and neither does any other failure.
    pub async fn is_refused(&self, limit: Duration) -> bool {
        let connecting = tokio::net::TcpStream::connect(self.address());
        match tokio::time::timeout(limit, connecting).await {
            Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => false,
        }
    }

    /// Sends a request of this client's own and returns status, headers and the whole body.
    pub(crate) async fn fetch(
        &self,
        req: Request<Full<Bytes>>,
        limits: Limits,
        max_body: usize,
    ) -> Result<Response<Bytes>, EngineError> {
        let (response, connection) = self.exchange(req, true, limits).await?;
        let (head, incoming) = response.into_parts();
        answer::require_delimited(&head)?;
        let reader = BodyReader::new(incoming, connection, self.pool.clone(), limits);
        let body = reader.read_whole(max_body).await?;
        Ok(Response::from_parts(head, body))
    }

    async fn exchange(
        &self,
        mut req: Request<Full<Bytes>>,
        reuse: bool,
        limits: Limits,
    ) -> Result<(Response<Incoming>, Connection), EngineError> {
        if reuse && let Some(mut connection) = self.pool.take() {
            match self.send(&mut connection, req, limits.head).await? {
                Sent::Answered(response) => return Ok((response, connection)),
                Sent::Returned(unsent) => req = *unsent,
            }
        }
        let mut connection = self.connect(limits.connect).await?;
        match self.send(&mut connection, req, limits.head).await? {
            Sent::Answered(response) => Ok((response, connection)),
            Sent::Returned(_) => {
                let source = std::io::ErrorKind::ConnectionAborted.into();
                Err(EngineError::NotSent {
                    address: self.address(),
                    source,
                })
            }
        }
    }

    async fn connect(&self, limit: Duration) -> Result<Connection, EngineError> {
        let address = self.address();
        Connection::open(address, limit)
            .await
            .ok()
            .ok_or_else(|| {
                TimeoutSnafu {
                    address,
                    stage: Stage::Connect,
                    limit,
                }
                .build()
            })?
            .context(NotSentSnafu { address })
    }

    async fn send(
        &self,
        connection: &mut Connection,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Sent, EngineError> {
        let address = self.address();
        let Ok(sent) = tokio::time::timeout(limit, connection.send(req)).await else {
            return TimeoutSnafu {
                address,
                stage: Stage::Head,
                limit,
            }
            .fail();
        };
        match sent {
            Ok(response) => Ok(Sent::Answered(response)),
            Err(SendError::NotSent(req)) => Ok(Sent::Returned(req)),
            Err(SendError::MaySent(source)) => Err(source).context(OutcomeUnknownSnafu { address }),
        }
    }
}

/// What came of giving a request to a connection.
enum Sent {
    Answered(Response<Incoming>),
    /// The connection had ended before it took the request.
    Returned(Box<Request<Full<Bytes>>>),
}

fn into_request(call: Call, address: SocketAddr) -> Result<Request<Full<Bytes>>, EngineError> {
    let mut headers = call.headers;
    strip_hop_by_hop(&mut headers);
    // The length is that of `body`, and the target must not wait to be told to go on.
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    // Orders are given by owners of targets, never by callers.
    headers.remove(FENCING_TOKEN);
    if matches!(call.expect, Expect::Model(_)) {
        // A compressed answer could not be checked.
        headers.remove(header::ACCEPT_ENCODING);
    }
    insert(&mut headers, REQUEST_ID, call.request.as_str())?;
    insert(&mut headers, ATTEMPT_ID, &call.attempt.to_string())?;
    insert(&mut headers, header::HOST, &address.to_string())?;
    let mut req = Request::new(Full::new(call.body));
    *req.method_mut() = call.method;
    *req.uri_mut() = Uri::from(call.path);
    *req.headers_mut() = headers;
    Ok(req)
}

fn insert(
    headers: &mut HeaderMap,
    name: header::HeaderName,
    value: &str,
) -> Result<(), EngineError> {
    let Ok(value) = HeaderValue::from_str(value) else {
        let problem: Arc<str> = format!("{name} can't hold {value:?}").into();
        return MalformedSnafu { problem }.fail();
    };
    headers.insert(name, value);
    Ok(())
}
