//! Passes a target's answer on to the instance that asked for it.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use chervilshunt_core::{PartId, SettlingNumber};
use chervilshunt_engine::{BodyReader, EngineError, Framing};
use chervilshunt_model::Moment;
use http_body::{Body, Frame, SizeHint};

use super::pass_on::PassedRequest;
use crate::crashes::{CrashObservation, END_UNKNOWN, EndedRequest, TARGET_ENDED, check_answer_end};
use crate::run_check::{RunState, TargetRun};
use crate::shared::Shared;

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

pub(super) type Checking = Pin<Box<dyn Future<Output = RunState> + Send>>;

/// A target's body, and the request that it answers.
pub(super) struct PassedAnswer {
    pub(super) body: BodyReader,
    /// The run of the target to which the request was sent.
    pub(super) run: TargetRun,
    pub(super) sent_at: Moment,
    /// When the request's time is over.
    pub(super) deadline: Moment,
    /// The shared parts of the request's prompt.
    pub(super) parts: Vec<PartId>,
    /// When the target began to answer.
    pub(super) begun_at: Option<Moment>,
    /// Whether the target lives on after it began to answer, while that is not known.
    pub(super) settling: Option<SettlingNumber>,
    pub(super) open: PassedRequest,
    /// Finds out whether the target goes on, after a body that ended with its connection.
    pub(super) checking: Option<Checking>,
}

impl PassedAnswer {
    fn ends_with_connection(&self) -> bool {
        self.body.framing() == Framing::Connection
    }

    /// Polls the target's body, and after the end of its connection whether the target goes on.
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
                let left = shared.clock.now().until(self.deadline);
                let check = check_answer_end(shared, self.run.clone(), left);
                self.checking.insert(Box::pin(check))
            }
        };
        let state = ready!(checking.as_mut().poll(cx));
        self.checking = None;
        let problem = match state {
            RunState::Alive => return Poll::Ready(None),
            RunState::Ended => TARGET_ENDED,
            RunState::Unknown => END_UNKNOWN,
        };
        let problem = problem.into();
        Poll::Ready(Some(Err(EngineError::Truncated { problem })))
    }

    /// Records that bytes were received from the target, since only this instance sees it crash.
    fn received(&mut self) {
        let shared = self.open.shared();
        let now = shared.clock.now();
        let mut dispatch = shared.dispatch();
        if self.begun_at.is_some() {
            dispatch.answer_received(&self.run.target, now);
            return;
        }
        dispatch.answer_began(&self.run.target, self.run.started, self.sent_at, now);
        drop(dispatch);
        self.begun_at = Some(now);
        self.settling = shared.answer_began(&self.run.target, &self.parts);
    }

    fn ended_whole(&mut self) {
        if let Some(number) = self.settling.take() {
            self.open.shared().settling().ended_whole(number);
        }
    }

    /// Records that the target's connection ended, if the target had just begun to answer.
    fn connection_ended(&self) {
        let shared = self.open.shared();
        shared.connection_ended(&self.run.target);
        if shared.is_fresh_answer(&self.run.target, self.begun_at) {
            let (run, sent_at) = (self.run.clone(), self.sent_at);
            queue_ended(shared, run, sent_at, self.parts.clone(), true);
        }
    }
}

/// Queues the observation that a target's connection ended when it had just begun to answer a request with
/// these parts, or was about to.
pub(super) fn queue_ended(
    shared: &Shared,
    run: TargetRun,
    sent_at: Moment,
    parts: Vec<PartId>,
    had_head: bool,
) {
    if parts.is_empty() {
        return;
    }
    shared.queue_crash_observation(CrashObservation::ConnectionEnded(EndedRequest {
        run,
        sent_at,
        ended_at: shared.clock.now(),
        crash: None,
        parts,
        had_head,
    }));
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
                    Poll::Ready(Some(Ok(_))) => answer.received(),
                    Poll::Ready(Some(Err(_))) => answer.connection_ended(),
                    Poll::Ready(None) => answer.ended_whole(),
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
