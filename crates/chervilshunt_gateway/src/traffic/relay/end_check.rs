//! Finds out whether an answer is whole that states neither a length nor chunks and has ended with its connection.
//!
//! See `docs/design/quarantine.md`.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::task::coop;
use tokio::time::{Instant, Sleep};

use super::super::attempt::AcceptedAnswer;
use super::super::body::TruncatedAnswer;
use super::Relay;
use crate::crashes::{TARGET_ENDED, check_answer_end};
use crate::run_check::RunState;

/// Time for which it may be unknown whether a stream that may be resumed is whole. Then another target is asked
/// to go on, which also tells.
const RESUME_AFTER: Duration = Duration::from_secs(1);

/// A check that is in progress.
pub(super) struct EndCheck {
    state: Pin<Box<dyn Future<Output = RunState> + Send>>,
    /// When another target is asked to go on, if the stream may be resumed and none has been asked.
    resume_at: Option<Pin<Box<Sleep>>>,
}

impl EndCheck {
    /// Returns whether another target has to be asked to go on, once.
    fn is_time_to_resume(&mut self, cx: &mut Context<'_>) -> bool {
        let due = self.resume_at.as_mut();
        let is_due = due.is_some_and(|it| it.as_mut().poll(cx).is_ready());
        if is_due {
            self.resume_at = None;
        }
        is_due
    }
}

/// What follows the end of a body that ended with its connection.
pub(super) enum EndOfBody {
    /// Nothing: the answer is whole.
    Whole,
    /// Another target goes on with the stream, or is asked to.
    Resuming,
}

impl Relay {
    /// Starts to find out whether a body that ended with its connection is whole.
    pub(super) fn begin_end_check(&mut self) {
        self.in_flight.release_target();
        let shared = Arc::clone(&self.shared);
        let left = self.req.time_left(shared.clock.now());
        let checking = check_answer_end(shared, self.in_flight.run(), left);
        let resume_at = self.events.is_some().then(|| Instant::now() + RESUME_AFTER);
        self.checking = Some(EndCheck {
            state: Box::pin(checking),
            resume_at: resume_at.map(|it| Box::pin(tokio::time::sleep_until(it))),
        });
    }

    /// Polls whether a body that ended with its connection is whole, until the request's time is over.
    pub(super) fn poll_end_check(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<EndOfBody, TruncatedAnswer>> {
        let had_budget = coop::has_budget_remaining();
        let Some(check) = &mut self.checking else {
            return Poll::Ready(Ok(EndOfBody::Resuming));
        };
        match check.state.as_mut().poll(cx) {
            Poll::Ready(RunState::Alive) => {
                self.checking = None;
                self.resuming = None;
                return Poll::Ready(Ok(EndOfBody::Whole));
            }
            Poll::Ready(RunState::Ended) => {
                self.checking = None;
                let is_resuming = self.resuming.is_some() || self.resume_interrupted(TARGET_ENDED);
                return Poll::Ready(if is_resuming {
                    Ok(EndOfBody::Resuming)
                } else {
                    self.cut("broke_off")
                });
            }
            Poll::Ready(RunState::Unknown) => return Poll::Ready(self.cut_with_unknown_end()),
            Poll::Pending => {}
        }
        if check.is_time_to_resume(cx) {
            self.in_flight.connection_ended(&self.req, true);
            self.begin_resuming();
        }
        if let Some(resuming) = &mut self.resuming
            && let Poll::Ready((answered, runs)) = resuming.as_mut().poll(cx)
        {
            self.resuming = None;
            self.runs = runs;
            // Without a target that goes on, the answer may still turn out to be whole.
            if let Some(answered) = answered.ok().filter(AcceptedAnswer::can_continue_stream) {
                self.checking = None;
                self.resume_at(answered);
                return Poll::Ready(Ok(EndOfBody::Resuming));
            }
        }
        ready!(self.poll_deadline(had_budget, cx));
        Poll::Ready(self.cut_with_unknown_end())
    }

    /// Ends an answer at its deadline of which nothing has shown whether it is whole. The target may have crashed,
    /// which shows later.
    fn cut_with_unknown_end<T>(&mut self) -> Result<T, TruncatedAnswer> {
        self.checking = None;
        self.in_flight.connection_ended(&self.req, true);
        self.cut("end_unknown")
    }
}
