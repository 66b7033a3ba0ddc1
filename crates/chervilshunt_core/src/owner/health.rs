//! Whether calls to the target succeed, as the entry instances tell when they release permits.
//!
//! A target can pass every health check and still fail what it is sent. Its owner hears of each
//! call, wherever it entered, so that one circuit breaker at the owner serves the whole fleet;
//! `docs/design/retries.md` has the ways that were weighed.

use std::time::Duration;

use chervilshunt_model::{AttemptId, Moment};

use super::Owner;
use super::action::OwnerAction;
use super::permits::HeldPermit;
use super::tuning::{
    INITIAL_FIRST_BYTE_TIME, PROBE_SUCCESS_FACTOR, PROBE_SUCCESS_RANGE, TIMEOUT_FAILURE_FACTOR,
};
use crate::decay::DurationAverage;
use crate::{
    Admission, Breaker, BreakerConfig, BreakerState, BreakerTicket, BreakerTransition, CallOutcome,
    DecisionKind, RefusalReason, ReleaseOutcome,
};

/// What the calls to a target say of it.
#[derive(Debug)]
pub(super) struct CallHealth {
    breaker: Breaker,
    /// The call that shows whether the target is back, with when it began.
    probe: Option<(AttemptId, BreakerTicket, Moment)>,
    first_byte: DurationAverage,
}

impl CallHealth {
    /// Starts with a target that is taken to be sound.
    pub(super) fn new(cfg: BreakerConfig, now: Moment) -> Self {
        Self {
            breaker: Breaker::new(cfg, now),
            probe: None,
            first_byte: DurationAverage::new(INITIAL_FIRST_BYTE_TIME),
        }
    }

    /// Returns until when no call may be made; none if one may.
    pub(super) fn refused_until(&self, now: Moment) -> Option<Moment> {
        self.breaker.refused_until(now)
    }

    /// Counts a call that is made now.
    pub(super) fn admit(&mut self, attempt: AttemptId, now: Moment) -> Option<BreakerTicket> {
        let Admission::Admitted(ticket) = self.breaker.admit(now) else {
            return None;
        };
        if self.breaker.state() == BreakerState::HalfOpen {
            self.probe = Some((attempt, ticket, now));
        }
        Some(ticket)
    }

    /// Returns when the probe counts as a success though it has not ended.
    ///
    /// An answer may take minutes. A target that fails does so at the start: until a stream's end
    /// one that is sound again would get one request at a time.
    fn probe_passes_at(&self) -> Option<Moment> {
        let delay = self.first_byte.get() * PROBE_SUCCESS_FACTOR;
        let (.., began) = self.probe.as_ref()?;
        Some(*began + delay.clamp(PROBE_SUCCESS_RANGE.0, PROBE_SUCCESS_RANGE.1))
    }

    fn record(
        &mut self,
        attempt: AttemptId,
        ticket: BreakerTicket,
        outcome: CallOutcome,
        now: Moment,
    ) -> Option<BreakerTransition> {
        if self.probe.as_ref().is_some_and(|(id, ..)| *id == attempt) {
            self.probe = None;
        }
        self.breaker
            .record(ticket, outcome, now, || random_of(attempt))
    }
}

impl Owner {
    /// Returns when the breaker has to be looked at next.
    pub(super) fn next_breaker_check(&self) -> Option<Moment> {
        let opens = self.health.refused_until(self.last_event);
        let waits = self.queue.iter().next().is_some();
        let passes = self.health.probe_passes_at();
        opens.filter(|_| waits).into_iter().chain(passes).min()
    }

    /// Counts a probe that has run for long enough as a success.
    pub(super) fn pass_long_probe(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        if self.health.probe_passes_at().is_none_or(|at| at > now) {
            return;
        }
        if let Some((attempt, ticket, _)) = self.health.probe {
            let transition = self
                .health
                .record(attempt, ticket, CallOutcome::Success, now);
            self.breaker_changed(transition, now, out);
        }
    }

    /// Takes in how a call ended.
    pub(super) fn call_ended(
        &mut self,
        held: &HeldPermit,
        outcome: Option<ReleaseOutcome>,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(ticket) = held.ticket else {
            return;
        };
        let outcome = outcome.map_or(CallOutcome::Unknown, |outcome| {
            self.call_outcome(outcome, now.since(held.since))
        });
        let attempt = held.permit.attempt;
        let transition = self.health.record(attempt, ticket, outcome, now);
        self.breaker_changed(transition, now, out);
    }

    /// Returns what the end of a call says of the target.
    ///
    /// A call that was given up at its deadline says something only if it had several times as long
    /// as calls usually take: otherwise a caller with short deadlines could close a target to all.
    fn call_outcome(&mut self, outcome: ReleaseOutcome, held: Duration) -> CallOutcome {
        match outcome {
            ReleaseOutcome::Finished { first_byte_ms, .. } => {
                let first_byte = Duration::from_millis(first_byte_ms.into());
                self.health.first_byte.add(first_byte);
                CallOutcome::Success
            }
            ReleaseOutcome::TargetFailed => CallOutcome::Failure,
            ReleaseOutcome::TimedOut
                if held >= self.service_time.get() * TIMEOUT_FAILURE_FACTOR =>
            {
                CallOutcome::Failure
            }
            ReleaseOutcome::TimedOut
            | ReleaseOutcome::Cancelled
            | ReleaseOutcome::AdapterMissing => CallOutcome::Unknown,
        }
    }

    fn breaker_changed(
        &mut self,
        transition: Option<BreakerTransition>,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(transition) = transition else {
            return;
        };
        let reason = match transition.to {
            BreakerState::Open => "calls fail: no more for now",
            BreakerState::HalfOpen => "a call shows whether it is back",
            BreakerState::Closed => "calls succeed again",
        };
        self.log(DecisionKind::Breaker, None, None, reason, None, out);
        if transition.to == BreakerState::Open {
            self.redirect_or_refuse_all(RefusalReason::TargetFailing, now, out);
        }
    }
}

/// Returns a number from 0 to below 1 that is as random as the id of a try.
fn random_of(attempt: AttemptId) -> f64 {
    let bits = xxhash_rust::xxh3::xxh3_64(&attempt.as_u128().to_le_bytes());
    (bits >> 11) as f64 / (1_u64 << 53) as f64
}
