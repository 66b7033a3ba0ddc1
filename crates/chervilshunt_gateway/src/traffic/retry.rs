//! Attempts after one that arrived at a target: their number is bounded for all instances together, to
//! protect the targets.
//!
//! See `docs/design/retry-bound.md`.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{EarnedUsage, RetryGrant, RetryPermit, RetrySource};
use chervilshunt_mesh::Peer;
use chervilshunt_model::Moment;
use http::response::Parts;

use super::answer::classify;
use super::arrival::Arrival;
use super::attempt::{MAX_ATTEMPTS, RequestAttempts};
use super::place::SelectedTarget;
use crate::peers::PeerMessage;

/// Time in which the placer answers. A later answer is not used: the retry would arrive at its target
/// after the placer has stopped counting it.
const GRANT_TIMEOUT: Duration = Duration::from_millis(50);
/// Delay before another question to a placer that has not answered.
const UNANSWERED_DELAY: Duration = Duration::from_millis(500);

/// What decides on a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryDecision {
    /// The requests of this instance have earned it.
    Earned,
    /// The placer has granted a part of the allowance.
    Granted {
        /// The number of its ledger.
        ledger: u64,
    },
    /// The placer has granted nothing, now or shortly before.
    Spent,
    /// There is no placer that grants retries.
    NoPlacer,
    /// The placer has not answered in time.
    Unanswered,
}

impl RetryDecision {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Earned => "earned",
            Self::Granted { .. } => "granted",
            Self::Spent => "spent",
            Self::NoPlacer => "no_placer",
            Self::Unanswered => "unanswered",
        }
    }

    /// Returns the account that the retry is taken from, if it is allowed.
    const fn source(self) -> Option<RetrySource> {
        match self {
            Self::Earned => Some(RetrySource::Earned),
            Self::Granted { ledger } => Some(RetrySource::Granted { ledger }),
            Self::Spent | Self::NoPlacer | Self::Unanswered => None,
        }
    }
}

impl RequestAttempts<'_> {
    /// Returns whether the request may be sent, or sent once more, and counts the attempt if so.
    pub(super) async fn try_attempt(&mut self) -> bool {
        if self.attempts >= MAX_ATTEMPTS {
            return false;
        }
        let is_allowed =
            self.arrivals == 0 || self.has_unexpired_retry() || self.take_retry().await;
        self.attempts += u32::from(is_allowed);
        is_allowed
    }

    /// Returns whether a retry was allowed so lately that it can be sent. A request may have waited for its
    /// target since.
    fn has_unexpired_retry(&self) -> bool {
        let now = self.shared.clock.now();
        self.retry.is_some_and(|it| !it.time_left(now).is_zero())
    }

    /// Returns whether another target may run the request, so that an answer that reports a failure need
    /// not be passed on. If so, a retry is reserved; it is not if the answer does not depend on it.
    pub(super) async fn reserve_retry(&mut self, chosen: &SelectedTarget, head: &Parts) -> bool {
        let names = &self.shared.dialect.headers;
        let verdict = |again| classify(names, &chosen.target, head, again);
        let may_run_again = self.req.route.repeat.is_allowed()
            && self.runs < self.req.route.max_targets
            && self.attempts < MAX_ATTEMPTS;
        if !may_run_again || verdict(true) == verdict(false) {
            return false;
        }
        self.take_retry().await
    }

    /// Takes a retry that this instance has earned or one that the placer grants, and returns whether there
    /// was one.
    async fn take_retry(&mut self) -> bool {
        let now = self.shared.clock.now();
        let (is_earned, usage) = {
            let mut retries = self.shared.retries();
            let earned = &mut retries.of(&self.req.service).earned;
            (earned.try_retry(now), earned.usage(now))
        };
        let decision = if is_earned {
            RetryDecision::Earned
        } else {
            self.ask_for_retry(now).await
        };
        self.report_retry(decision, usage);
        let source = decision.source();
        if let Some(source) = source {
            self.unanswered.retry_taken(source);
        }
        self.retry = source.map(|_| RetryPermit::new(now));
        self.retry.is_some()
    }

    /// Logs how long ago a retry was decided on that is sent now, and how much of that time passed until its
    /// target was found.
    pub(super) fn report_retry_sent(&self, retry: RetryPermit, chosen: &SelectedTarget) {
        let age = retry.age(self.shared.clock.now());
        let target_found = retry.age(self.target_found_at);
        slog::info!(self.shared.log, "retry sent";
            "request" => &*self.req.id, "service" => self.req.service.as_str(),
            "target" => chosen.target.as_str(),
            "decided_ms" => age.as_millis() as u64,
            "target_found_ms" => target_found.as_millis() as u64);
        metrics::histogram!("chervilshunt_retry_delay_seconds").record(age.as_secs_f64());
    }

    /// Logs what is known of the arrival of a retry whose exchange has ended, and how long ago it was decided on.
    pub(super) fn report_retry_ended(
        &self,
        retry: RetryPermit,
        chosen: &SelectedTarget,
        arrival: Arrival,
    ) {
        let age = retry.age(self.shared.clock.now());
        slog::info!(self.shared.log, "retry ended";
            "request" => &*self.req.id, "service" => self.req.service.as_str(),
            "target" => chosen.target.as_str(), "arrival" => arrival.as_str(),
            "decided_ms" => age.as_millis() as u64);
        metrics::histogram!("chervilshunt_retry_arrival_seconds", "arrival" => arrival.as_str())
            .record(age.as_secs_f64());
    }

    /// Asks the placer for a part of the allowance that all instances share.
    async fn ask_for_retry(&self, now: Moment) -> RetryDecision {
        // Read before the placer: the number of an earlier ledger only delays when the retry stops counting.
        let ledger = self.shared.retry_ledger();
        let Some(placer) = self.granting_placer(now) else {
            return RetryDecision::NoPlacer;
        };
        let service = &self.req.service;
        if !self.shared.retries().of(service).may_ask(now) {
            return RetryDecision::Spent;
        }
        let message = PeerMessage::RetryRequest(service.clone());
        let answer = self.shared.mesh.request(&placer, message, GRANT_TIMEOUT);
        let answer = answer.await;
        let answered_at = self.shared.clock.now();
        // The process may have been paused, in which case the timeout has not ended the wait.
        let is_late = answered_at.since(now) > GRANT_TIMEOUT;
        let (decision, delay) = match answer {
            Ok(PeerMessage::RetryAnswer(RetryGrant::Granted)) if !is_late => {
                return RetryDecision::Granted { ledger };
            }
            Ok(PeerMessage::RetryAnswer(RetryGrant::Spent { retry_in })) => {
                (RetryDecision::Spent, retry_in)
            }
            Ok(_) => (RetryDecision::Unanswered, UNANSWERED_DELAY),
            Err(error) => {
                slog::info!(self.shared.log, "placer did not grant a retry";
                    "request" => &*self.req.id, "placer" => placer.instance.as_str(),
                    "reason" => error.to_string());
                (RetryDecision::Unanswered, UNANSWERED_DELAY)
            }
        };
        let mut retries = self.shared.retries();
        retries.of(service).allowance_refused(delay, answered_at);
        decision
    }

    fn granting_placer(&self, now: Moment) -> Option<Arc<Peer>> {
        let placer = self.shared.placer.load_full();
        placer.filter(|_| self.shared.placer_grants_retries() && !self.shared.is_placer_silent(now))
    }

    fn report_retry(&self, decision: RetryDecision, usage: EarnedUsage) {
        let service = &self.req.service;
        slog::info!(self.shared.log, "retry decided";
            "request" => &*self.req.id, "service" => service.as_str(),
            "allowed" => decision.source().is_some(), "by" => decision.as_str(),
            "retries" => usage.retries, "limit" => usage.limit, "requests" => usage.requests,
            "placer" => self.shared.placer.load().as_ref().map(|it| it.instance.as_str().to_owned()));
        let labels = [
            ("service", service.to_string()),
            ("decision", decision.as_str().to_owned()),
        ];
        metrics::counter!("chervilshunt_repeats_total", &labels).increment(1);
        let service = || service.to_string();
        metrics::gauge!("chervilshunt_retry_budget_limit", "service" => service()).set(usage.limit);
        metrics::gauge!("chervilshunt_retry_budget_spent", "service" => service())
            .set(f64::from(usage.retries));
    }
}
