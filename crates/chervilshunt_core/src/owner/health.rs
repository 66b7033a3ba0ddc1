//! Health of the target as shown by the calls whose permits the entry instances release.
//!
//! A target can pass every health check and still fail the requests that it is sent. Its owner
//! receives the outcome of each call, whichever instance the call entered through, so one circuit
//! breaker at the owner serves the whole fleet. `docs/design/retries.md` lists the alternatives.

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

/// Health of a target derived from the outcomes of calls.
#[derive(Debug)]
pub(super) struct CallHealth {
    breaker: Breaker,
    /// The call that probes whether the target has recovered, and when it started.
    probe: Option<(AttemptId, BreakerTicket, Moment)>,
    first_byte: DurationAverage,
}

impl CallHealth {
    /// Starts with a target that is assumed to be healthy.
    pub(super) fn new(cfg: BreakerConfig, now: Moment) -> Self {
        Self {
            breaker: Breaker::new(cfg, now),
            probe: None,
            first_byte: DurationAverage::new(INITIAL_FIRST_BYTE_TIME),
        }
    }

    /// Returns the time until which calls are refused, or `None` if a call may be made.
    pub(super) fn refused_until(&self, now: Moment) -> Option<Moment> {
        self.breaker.refused_until(now)
    }

    /// Counts a call that starts now.
    pub(super) fn admit(&mut self, attempt: AttemptId, now: Moment) -> Option<BreakerTicket> {
        let Admission::Admitted(ticket) = self.breaker.admit(now) else {
            return None;
        };
        if self.breaker.state() == BreakerState::HalfOpen {
            self.probe = Some((attempt, ticket, now));
        }
        Some(ticket)
    }

    /// Returns when the probe counts as a success even if it has not ended.
    ///
    /// An answer may take minutes, but a target that fails does so at the start. Without this
    /// limit, a recovered target would get one request at a time until the end of the probe's
    /// stream.
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
    /// Returns when the breaker next has to be checked.
    pub(super) fn next_breaker_check(&self) -> Option<Moment> {
        let opens = self.health.refused_until(self.last_event);
        let waits = self.queue.iter().next().is_some();
        let passes = self.health.probe_passes_at();
        opens.filter(|_| waits).into_iter().chain(passes).min()
    }

    /// Counts a probe that has run long enough as a success.
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

    /// Records how a call ended.
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

    /// Returns what the end of a call shows about the target.
    ///
    /// A call that was abandoned at its deadline counts as a failure only if it ran for several
    /// times the usual duration. Otherwise a caller with short deadlines could open the breaker for
    /// everybody.
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

/// Returns a number in `[0, 1)` derived from the hash of the attempt id, which is random.
fn random_of(attempt: AttemptId) -> f64 {
    let bits = xxhash_rust::xxh3::xxh3_64(&attempt.as_u128().to_le_bytes());
    (bits >> 11) as f64 / (1_u64 << 53) as f64
}
