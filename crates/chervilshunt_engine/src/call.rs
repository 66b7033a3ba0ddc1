//! A call to a target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_model::{AttemptId, RequestId};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method};

/// One attempt of a request, ready to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: PathAndQuery,
    /// The headers to pass on; the client removes hop-by-hop headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The request of which this call is an attempt.
    pub request: RequestId,
    /// The id of the attempt; an answer with a different id is rejected.
    pub attempt: AttemptId,
    /// The kind of answer that is accepted.
    pub expect: ExpectedAnswer,
    /// Whether the call may run twice without harm.
    ///
    /// A call that is not idempotent gets a new connection. The target may close a reused one as
    /// idle at the moment the call is sent, which would needlessly make its outcome unknown.
    pub idempotent: bool,
    /// The time limits of the call.
    pub limits: Limits,
}

/// How a call uses connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Whether a pooled connection may be used.
    pub reuse: bool,
    /// Whether a new connection is watched for a short time before the request is written to it.
    ///
    /// A target that has too many connections accepts a new one and resets it at once. If that is
    /// noticed in time, it is certain that the request has not run.
    pub checks_fresh: bool,
}

impl ConnectionUse {
    /// Uses a pooled connection, and a new one without checking it.
    pub const POOLED: Self = Self {
        reuse: true,
        checks_fresh: false,
    };
    /// Uses a new connection without checking it.
    pub const NEW: Self = Self {
        reuse: false,
        checks_fresh: false,
    };
}

/// The kind of answer that a call accepts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExpectedAnswer {
    /// An engine's answer that was served by this model only.
    Model(Arc<str>),
    /// Any complete answer, with any status.
    Any,
}

/// The time limits for the stages of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The limit for establishing the connection.
    pub connect: Duration,
    /// The limit from there to the headers of the answer, and then, unless `idle` is longer, from
    /// the headers to the first chunk of its body.
    pub head: Duration,
    /// The limit between two chunks of the answer's body.
    pub idle: Duration,
    /// The limit from the headers of the answer to the end of its body. A target may send without end, so
    /// that `idle` alone is no bound.
    pub body: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            head: Duration::from_secs(60),
            idle: Duration::from_secs(30),
            body: Duration::from_secs(600),
        }
    }
}
