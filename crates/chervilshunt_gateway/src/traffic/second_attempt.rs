//! Requests that a target has rejected, or whose connection it has reset before anything was sent.
//!
//! See `docs/design/not-run.md`.

use std::time::Duration;

use chervilshunt_engine::{EngineError, Outcome};
use chervilshunt_model::TargetName;

use super::attempt::RequestAttempts;
use super::place::SelectedTarget;
use super::refusal::{Reason, Refusal};
use crate::shared::Shared;

/// Delay after which a caller should retry when all targets have queues.
const QUEUED_RETRY_DELAY: Duration = Duration::from_millis(600);

impl RequestAttempts<'_> {
    /// Returns whether a new connection to the chosen target may be reset at once.
    pub(super) fn may_reset_fresh_connection(&self, chosen: &SelectedTarget) -> bool {
        let now = self.shared.clock.now();
        chosen.route.is_none()
            && self
                .shared
                .dispatch()
                .may_reset_fresh_connection(&chosen.target, now)
    }

    /// Keeps the next attempt of a rejected request from targets that are known to have a queue, and
    /// refuses the request if all of them have one.
    ///
    /// Requests that name weights are left to the placer, which knows the requests of all instances.
    pub(super) fn hold_second_attempt(&mut self) -> Result<(), Refusal> {
        if self.req.weights.is_some() {
            return Ok(());
        }
        let now = self.shared.clock.now();
        let service = &self.req.service;
        let found = self
            .shared
            .dispatch()
            .second_attempt(service, &self.avoid, now);
        if found.open > 0 || found.queued.is_empty() {
            self.avoid.extend(found.queued);
            return Ok(());
        }
        slog::info!(self.shared.log, "second attempt held";
            "request" => &*self.req.id, "service" => service.as_str(),
            "queued" => found.queued.len(), "tried" => self.avoid.len());
        metrics::counter!("chervilshunt_second_attempts_held_total").increment(1);
        Err(Refusal::retry_after(Reason::Full, QUEUED_RETRY_DELAY))
    }
}

impl Shared {
    /// Records that a target has closed a new connection without an answer.
    pub(crate) fn record_fresh_reset(&self, target: &TargetName, error: &EngineError) {
        let now = self.clock.now();
        self.dispatch().fresh_connection_reset(target, now);
        let sent = match error.outcome() {
            Outcome::NotRun => "no",
            Outcome::Unknown | Outcome::CutShort => "yes",
        };
        slog::info!(self.log, "new connection reset";
            "target" => target.as_str(), "sent" => sent);
        metrics::counter!("chervilshunt_fresh_connection_resets_total", "sent" => sent)
            .increment(1);
    }
}
