//! What is sent to a target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_model::{AttemptId, RequestId};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method};

/// One try of a request, ready to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and query at the target.
    pub path: PathAndQuery,
    /// Headers to pass on; those that concern only a connection are left out by the client.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The request that this is a try of.
    pub request: RequestId,
    /// The try; an answer that carries another id is not handed on.
    pub attempt: AttemptId,
    /// What the answer has to be like.
    pub expect: Expect,
    /// Whether the call may run twice without harm.
    ///
    /// A call that may not gets a connection of its own: on one that was used before, the target
    /// may close it for idleness just as the call leaves, and whether it ran is unknown for
    /// nothing.
    pub idempotent: bool,
    /// How long each stage may take.
    pub limits: Limits,
}

/// What an answer has to be like.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expect {
    /// An answer of an engine, served by this model alone.
    Model(Arc<str>),
    /// Any whole answer, whatever its status.
    Anything,
}

/// How long each stage of a call may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Until the connection stands.
    pub connect: Duration,
    /// From then until the answer's head has come, and from there until its first piece.
    pub head: Duration,
    /// Between any two pieces of the answer's body.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            head: Duration::from_secs(60),
            idle: Duration::from_secs(30),
        }
    }
}
