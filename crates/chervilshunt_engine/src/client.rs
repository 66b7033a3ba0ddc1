//! The client of one target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chervilshunt_model::is_final_status;
use http::header::{self, HeaderValue};
use http::{HeaderMap, Request, Response, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use snafu::ResultExt as _;

use crate::answer::{Answer, BodyReader};
use crate::call::{Call, ConnectionUse, ExpectedAnswer, Limits};
use crate::connection::{TargetConnection, TransmitError};
use crate::error::{
    AnswerMismatchSnafu, CallStage, EngineError, MalformedSnafu, NoStatusSnafu, NotSentSnafu,
    OutcomeUnknownSnafu, TimeoutSnafu,
};
use crate::headers::{ATTEMPT_ID, FENCING_TOKEN, REQUEST_ID, strip_hop_by_hop};
use crate::identity::{AnswerProof, IdHeader, Mismatch};
use crate::pool::Pool;

/// The time for which a new connection is checked: as long as connecting took, which is a round trip,
/// within these bounds. A reset sent when the connection is accepted arrives half a round trip later
/// than the connection itself, and up to 3 ms more if the target is busy. A slow connect says little
/// about the round trip, so that a request is never held back for longer than 20 ms.
const MIN_CHECK_TIME: Duration = Duration::from_millis(3);
const MAX_CHECK_TIME: Duration = Duration::from_millis(20);

/// The client of one target; clones share its connection pool.
///
/// It never sends a request twice. If a connection turns out to be closed before the first byte of
/// a request is written, the request is sent on another connection instead.
#[derive(Clone)]
pub struct EngineClient {
    pool: Pool,
    id_header: IdHeader,
}

impl std::fmt::Debug for EngineClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineClient")
            .field("address", &self.pool.address)
            .finish_non_exhaustive()
    }
}

impl EngineClient {
    /// Creates a client, which connects on first use.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_id_header(address, IdHeader::default())
    }

    /// Creates a client that compares this header of requests and answers.
    pub fn with_id_header(address: SocketAddr, id_header: IdHeader) -> Self {
        Self {
            pool: Pool::new(address),
            id_header,
        }
    }

    /// Returns the target's address.
    pub fn address(&self) -> SocketAddr {
        self.pool.address
    }

    /// Sends a call and returns its answer once the headers have been received.
    ///
    /// A non-streaming answer of an engine is read and validated before this returns; a stream is
    /// validated event by event as it is read. Dropping the future or the answer's body cancels the
    /// call.
    ///
    /// # Errors
    /// [`EngineError::outcome`] returns for each error whether the call may have run.
    pub async fn open(&self, call: Call) -> Result<Answer, EngineError> {
        let (idempotent, limits) = (call.idempotent, call.limits);
        let expect = call.expect.clone();
        let req = into_request(call, self.address())?;
        let using = ConnectionUse {
            reuse: idempotent,
            checks_fresh: false,
        };
        let answered = self.exchange(req, using, limits, || true).await?;
        let (mut head, reader) = answered.into_reader(&self.pool, limits);
        strip_hop_by_hop(&mut head.headers);
        match expect {
            ExpectedAnswer::Any => Ok(Answer::unchecked(head, reader)),
            ExpectedAnswer::Model(model) => Answer::checked(head, reader, model).await,
        }
    }

    /// Sends a request unmodified and returns the headers of its answer, with the body unread.
    ///
    /// Only the id of the answer is validated, so the code that passes the answer on must validate the
    /// rest.
    /// Dropping the future or the body closes the connection and thereby cancels the request.
    ///
    /// # Errors
    /// [`EngineError::outcome`] returns for each error whether the request may have run.
    pub async fn forward(
        &self,
        req: Request<Full<Bytes>>,
        using: ConnectionUse,
        limits: Limits,
    ) -> Result<(response::Parts, BodyReader), EngineError> {
        self.forward_if(req, using, limits, || true).await
    }

    /// Sends a request like [`forward`](Self::forward), unless `may_send` returns false when a connection is
    /// ready for it.
    ///
    /// # Errors
    /// [`EngineError::Withheld`] if the request was not sent for that reason.
    pub async fn forward_if(
        &self,
        req: Request<Full<Bytes>>,
        using: ConnectionUse,
        limits: Limits,
        may_send: impl Fn() -> bool,
    ) -> Result<(response::Parts, BodyReader), EngineError> {
        let mut answered = self.exchange(req, using, limits, may_send).await?;
        let connection = &mut answered.connection;
        connection.apply_keep_alive(&answered.head.headers);
        Ok(answered.into_reader(&self.pool, limits))
    }

    /// Sends one of this system's own requests, and returns the answer with its complete body.
    ///
    /// These requests state no id, so that a late answer to an earlier one can't be told from the
    /// request's own. A request whose answer decides something needs a connection of its own, which
    /// is not pooled afterwards either.
    pub(crate) async fn fetch(
        &self,
        req: Request<Full<Bytes>>,
        using: ConnectionUse,
        limits: Limits,
        max_body: usize,
    ) -> Result<Fetched, EngineError> {
        let mut answered = self.exchange(req, using, limits, || true).await?;
        if !using.reuse {
            answered.connection.idle_limit = Duration::ZERO;
        }
        let (head, reader) = answered.into_reader(&self.pool, limits);
        let proof = reader.proof();
        let body = reader.read_whole(max_body).await?;
        Ok(Fetched { head, body, proof })
    }

    /// Sends a request and returns its answer once the headers have been received and show that the
    /// answer belongs to the request.
    async fn exchange(
        &self,
        req: Request<Full<Bytes>>,
        using: ConnectionUse,
        limits: Limits,
        may_send: impl Fn() -> bool,
    ) -> Result<Answered, EngineError> {
        let sent_id = self.id_header.of(req.headers()).cloned();
        let (response, mut connection) = self.transmit(req, using, limits, may_send).await?;
        let (head, incoming) = response.into_parts();
        let (sent_id, history) = (sent_id.as_ref(), connection.history());
        let verified = self.id_header.verify(sent_id, &head.headers, history);
        // After a mismatch nothing shows that the connection's further answers belong to the requests
        // that are sent on it, so it is closed.
        let proof = match verified {
            Ok(proof) => proof,
            Err(Mismatch(stated)) => {
                return AnswerMismatchSnafu {
                    address: self.address(),
                    status: head.status,
                    stated: stated.map(Arc::from),
                }
                .fail();
            }
        };
        connection.has_repeated_id |= proof == Some(AnswerProof::OwnId);
        Ok(Answered {
            head,
            incoming,
            connection,
            proof,
        })
    }

    async fn transmit(
        &self,
        mut req: Request<Full<Bytes>>,
        using: ConnectionUse,
        limits: Limits,
        may_send: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, TargetConnection), EngineError> {
        if using.reuse
            && let Some(mut connection) = self.pool.take()
        {
            if !may_send() {
                return Err(self.withheld());
            }
            match self.send(&mut connection, req, limits.head).await? {
                SendOutcome::Answered(response) => return Ok((response, connection)),
                SendOutcome::Unsent(unsent) => req = *unsent,
            }
        }
        let began = Instant::now();
        let mut connection = self.connect(limits.connect).await?;
        if using.checks_fresh {
            let time = began.elapsed().clamp(MIN_CHECK_TIME, MAX_CHECK_TIME);
            if !connection.stays_open(time).await {
                return Err(self.closed_unused());
            }
        }
        if !may_send() {
            return Err(self.withheld());
        }
        match self.send(&mut connection, req, limits.head).await? {
            SendOutcome::Answered(response) => Ok((response, connection)),
            SendOutcome::Unsent(_) => Err(self.closed_unused()),
        }
    }

    /// Returns the error for a new connection that the target closed before anything was sent.
    fn closed_unused(&self) -> EngineError {
        EngineError::NotSent {
            address: self.address(),
            was_open: true,
            source: std::io::ErrorKind::ConnectionAborted.into(),
        }
    }

    fn withheld(&self) -> EngineError {
        EngineError::Withheld {
            address: self.address(),
        }
    }

    async fn connect(&self, limit: Duration) -> Result<TargetConnection, EngineError> {
        let address = self.address();
        match TargetConnection::open(address, limit).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(source)) => {
                // A port without a listener refuses a connection. One that is reset had been opened,
                // though the runtime had not seen it yet.
                let was_open = source.kind() == std::io::ErrorKind::ConnectionReset;
                Err(source).context(NotSentSnafu { address, was_open })
            }
            Err(_) => TimeoutSnafu {
                address,
                stage: CallStage::Connect,
                limit,
            }
            .fail(),
        }
    }

    async fn send(
        &self,
        connection: &mut TargetConnection,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<SendOutcome, EngineError> {
        let address = self.address();
        let is_fresh = !connection.is_reused;
        let Ok(sent) = tokio::time::timeout(limit, connection.send(req)).await else {
            return TimeoutSnafu {
                address,
                stage: CallStage::Head,
                limit,
            }
            .fail();
        };
        match sent {
            Ok(response) if !is_final_status(response.status().as_u16()) => NoStatusSnafu {
                address,
                status: response.status(),
            }
            .fail(),
            Ok(response) => Ok(SendOutcome::Answered(response)),
            Err(TransmitError::NotSent(req)) => Ok(SendOutcome::Unsent(req)),
            Err(TransmitError::MaybeSent(source)) => {
                Err(source).context(OutcomeUnknownSnafu { address, is_fresh })
            }
        }
    }
}

/// An answer with its complete body.
pub(crate) struct Fetched {
    pub(crate) head: response::Parts,
    pub(crate) body: Bytes,
    /// What shows that the answer belongs to its request.
    pub(crate) proof: Option<AnswerProof>,
}

/// An answer that belongs to its request, with its body unread.
struct Answered {
    head: response::Parts,
    incoming: Incoming,
    connection: TargetConnection,
    proof: Option<AnswerProof>,
}

impl Answered {
    fn into_reader(self, pool: &Pool, limits: Limits) -> (response::Parts, BodyReader) {
        let (incoming, connection, proof) = (self.incoming, self.connection, self.proof);
        let pool = pool.clone();
        let reader = BodyReader::new(&self.head, incoming, connection, proof, pool, limits);
        (self.head, reader)
    }
}

/// The result of sending a request on a connection.
enum SendOutcome {
    Answered(Response<Incoming>),
    /// The connection ended before it wrote any of the request.
    Unsent(Box<Request<Full<Bytes>>>),
}

fn into_request(call: Call, address: SocketAddr) -> Result<Request<Full<Bytes>>, EngineError> {
    let mut headers = call.headers;
    strip_hop_by_hop(&mut headers);
    // The length is set from `body`, and the target must not wait for a `100 Continue` exchange.
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    // Only owners of targets may give orders, so a caller's fencing token is dropped.
    headers.remove(FENCING_TOKEN);
    if matches!(call.expect, ExpectedAnswer::Model(_)) {
        // A compressed answer could not be validated.
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
        let problem: Arc<str> =
            format!("{value:?} is not a valid value of the header {name}").into();
        return MalformedSnafu { problem }.fail();
    };
    headers.insert(name, value);
    Ok(())
}
