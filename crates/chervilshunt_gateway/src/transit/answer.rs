//! Passes a target's answer on to the instance that asked for it.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use chervilshunt_core::{PartId, SettlingNumber, TargetStart};
use chervilshunt_engine::{BodyReader, EngineError, Framing};
use chervilshunt_model::{Moment, TargetName};
use http_body::{Body, Frame, SizeHint};

use super::pass_on::PassedRequest;
use crate::crashes::{CrashObservation, EndedRequest, TARGET_ENDED, has_crashed};
use crate::traffic::FRESH_ANSWER_AGE;

/// The body of an answer to another instance.
pub(super) enum TransitBody {
    /// None: the answer states a [`TransitOutcome`](super::TransitOutcome).
    Empty,
    /// A target's body. If it ends early the connection is closed, so that the other instance
    /// can't take it for complete.
    Passed(Box<PassedAnswer>),
}

impl TransitBody {
    /// Returns whether the target's answer comes on a connection that had been used before.
    pub(super) const fn is_on_reused_connection(&self) -> bool {
        match self {
            Self::Empty => false,
            Self::Passed(answer) => answer.body.is_on_reused_connection(),
        }
    }
}

pub(super) type Checking = Pin<Box<dyn Future<Output = bool> + Send>>;

/// A target's body, and the request that it answers.
pub(super) struct PassedAnswer {
    pub(super) body: BodyReader,
    pub(super) target: TargetName,
    pub(super) address: SocketAddr,
    /// The start of the target to which the request was sent.
    pub(super) started: Option<TargetStart>,
    /// The shared parts of the request's prompt.
    pub(super) parts: Vec<PartId>,
    /// When the target began to answer.
    pub(super) begun_at: Option<Moment>,
    /// Whether the target lives on after it began to answer, while that is not known.
    pub(super) settling: Option<SettlingNumber>,
    pub(super) open: PassedRequest,
    /// Finds out whether the target has crashed, after a body that ended with its connection.
    pub(super) checking: Option<Checking>,
}

impl PassedAnswer {
    fn ends_with_connection(&self) -> bool {
        self.body.framing() == Framing::Connection
    }

    /// Polls the target's body, and after the end of its connection whether the target has crashed.
    fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, EngineError>>> {
        let checking = match &mut self.checking {
            Some(checking) => checking,
            None => {
                let polled = self.body.poll_chunk(cx);
                if !matches!(polled, Poll::Ready(None)) || !self.ends_with_connection() {
                    return polled;
                }
                let shared = Arc::clone(self.open.shared());
                let check = has_crashed(shared, self.target.clone(), self.address);
                self.checking.insert(Box::pin(check))
            }
        };
        let has_crashed = ready!(checking.as_mut().poll(cx));
        self.checking = None;
        Poll::Ready(has_crashed.then(|| {
            let problem = TARGET_ENDED.into();
            Err(EngineError::Truncated { problem })
        }))
    }

    /// Records that the target has begun to answer, since only this instance sees it crash.
    fn record_begin(&mut self) {
        if self.begun_at.is_none() {
            let shared = self.open.shared();
            self.begun_at = Some(shared.clock.now());
            self.settling = shared.answer_began(&self.target, &self.parts);
        }
    }

    /// Records that the target's connection ended, if the target had just begun to answer or was about to.
    fn connection_ended(&self) {
        let shared = self.open.shared();
        shared.connection_ended(&self.target);
        let now = shared.clock.now();
        let begun_before = self.begun_at.map(|at| now.since(at));
        let is_fresh = begun_before.is_none_or(|it| it <= FRESH_ANSWER_AGE);
        if is_fresh && !self.parts.is_empty() {
            shared.queue_crash_observation(CrashObservation::ConnectionEnded(EndedRequest {
                target: self.target.clone(),
                address: self.address,
                started: self.started,
                ended_at: now,
                crash: None,
                parts: self.parts.clone(),
            }));
        }
    }
}

impl Drop for PassedAnswer {
    fn drop(&mut self) {
        if let Some(number) = self.settling {
            self.open.shared().settling().given_up(number);
        }
    }
}

impl Body for TransitBody {
    type Data = Bytes;
    type Error = EngineError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, EngineError>>> {
        match self.get_mut() {
            Self::Empty => Poll::Ready(None),
            Self::Passed(answer) => {
                let polled = answer.poll_body(cx);
                match &polled {
                    Poll::Ready(Some(Ok(_))) => answer.record_begin(),
                    Poll::Ready(Some(Err(_))) => answer.connection_ended(),
                    Poll::Ready(None) => answer.settling = None,
                    Poll::Pending => {}
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Passed(answer) => !answer.ends_with_connection() && answer.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Passed(answer) => answer.body.size_hint(),
        }
    }
}
