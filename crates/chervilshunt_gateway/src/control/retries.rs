//! The account of retries that are allowed regardless of requests, at the placer.

use chervilshunt_coord::LeaseWriteOutcome;
use chervilshunt_core::{RetryGrant, RetryLedger, SettledRetries};
use chervilshunt_mesh::Reply;
use chervilshunt_model::{InstanceId, Moment, ServiceName};

use super::actor::Control;
use crate::peers::PeerMessage;

impl Control {
    /// Passes the granted retries to the lease, in whose record they outlive the placer.
    pub(super) fn record_retries(&mut self, now: Moment) {
        if let Some(placer) = &mut self.placer {
            self.keeper.set_retries(placer.retries.record(now));
        }
    }

    /// Handles the end of a write of the lease.
    pub(super) fn retries_written(&mut self, outcome: &LeaseWriteOutcome) {
        if let (LeaseWriteOutcome::Done(_), Some(placer)) = (outcome, &mut self.placer) {
            placer.retries.recorded(self.lease_sent_at);
        }
    }

    /// Returns the ledger of a new placer, which follows that of the last one.
    pub(super) fn new_retry_ledger(&self, term: u64, now: Moment) -> RetryLedger {
        let cfg = self.shared.settings.bounds.retries;
        let inherited = self.keeper.inherited_retries().clone();
        slog::info!(self.shared.log, "retry ledger begun"; "ledger" => term,
            "inherited_services" => inherited.counts.by_service.len(),
            "inherited_others" => inherited.counts.others,
            "inherited_unanswered_others" => inherited.unanswered().others);
        RetryLedger::new(cfg, term, inherited, self.lease_sent_at, now)
    }

    /// Records granted retries that have arrived, or will not arrive any more.
    pub(super) fn settle_retries(&mut self, settled: Option<&SettledRetries>) {
        let now = self.now();
        if let (Some(settled), Some(placer)) = (settled, &mut self.placer) {
            placer.retries.settle(settled, now);
        }
    }

    /// Decides whether an instance may send a request once more that its own requests have not earned.
    pub(super) fn handle_retry_request(
        &mut self,
        service: &ServiceName,
        from: &InstanceId,
        reply: Option<Reply<PeerMessage>>,
    ) {
        let now = self.now();
        // A process that was paused beyond the end of its lease is not the only one with a ledger
        // any more. Dropping the reply tells the requester at once that there is no answer.
        let (Some(reply), Some(placer)) = (reply, self.lease_holder(now)) else {
            return;
        };
        let grant = placer.retries.grant(service, now);
        let usage = placer.retries.usage(service, now);
        let (outcome, retry_in) = match grant {
            RetryGrant::Granted => ("granted", None),
            RetryGrant::Spent { retry_in } => ("spent", Some(retry_in)),
        };
        slog::info!(self.shared.log, "retry requested";
            "service" => service.as_str(), "peer" => from.as_str(), "outcome" => outcome,
            "granted" => usage.granted, "unanswered" => usage.unanswered, "inherited" => usage.inherited, "limit" => usage.limit,
            "retry_in_ms" => retry_in.map(|it| it.as_millis() as u64));
        metrics::counter!("chervilshunt_retry_grants_total", "outcome" => outcome).increment(1);
        metrics::gauge!("chervilshunt_retry_allowance_spent", "service" => service.to_string())
            .set(f64::from(usage.granted + usage.inherited));
        if let Err(error) = reply.send(PeerMessage::RetryAnswer(grant)) {
            slog::debug!(self.shared.log, "requester is gone"; "reason" => error.to_string());
        }
    }
}
