//! Admission to plain services, at the placer.

use std::time::Duration;

use chervilshunt_core::{
    AdmissionRequest, AdmissionResult, ChargeNumber, ChargeResult, GrantNumber, Refused,
};
use chervilshunt_mesh::Reply;
use chervilshunt_model::InstanceId;

use super::actor::{Control, Placer};
use crate::admit::{AdmitAnswer, AdmitOutcome, AdmitRequest};
use crate::peers::PeerMessage;
use crate::traffic::CHARGE_TIMEOUT;

impl Control {
    /// Charges a request for a plain service, and decides whether and where it may run.
    pub(super) fn handle_admit(
        &mut self,
        from: &InstanceId,
        request: AdmitRequest,
        waited: Duration,
        reply: Option<Reply<PeerMessage>>,
    ) {
        if waited >= CHARGE_TIMEOUT {
            // The sender has decided alone by now. A grant would hold a place that nobody uses.
            return slog::info!(self.shared.log, "admission request handled too late"; "peer" => from.as_str());
        }
        let now = self.now();
        let Some(placer) = self.lease_holder(now) else {
            // Dropping the reply tells the requester at once that there is no answer.
            return;
        };
        let number = placer.next_request;
        placer.next_request += 1;
        let charged = request.charge.as_ref().map(|charge| {
            let number = ChargeNumber(number);
            placer.ledger.charge(number, &charge.team, charge.cost, now)
        });
        let is_charged = match charged {
            Some(ChargeResult::Over { .. } | ChargeResult::TooLarge) => false,
            Some(ChargeResult::Admitted { .. } | ChargeResult::NoAccount) | None => true,
        };
        let service = request.service.clone();
        let outcome = if is_charged {
            let wanted = wanted(placer, request);
            let grant = GrantNumber(number);
            let result = placer
                .queues
                .admit(grant, from, &wanted, rand::random(), now);
            if matches!(result, AdmissionResult::Busy(_)) {
                placer.ledger.give_back(ChargeNumber(number), now);
            }
            self.outcome(from, &wanted, result)
        } else {
            if let (Some(charge), Some(result)) = (&request.charge, charged) {
                self.report_over_quota(charge, result);
            }
            AdmitOutcome::Busy { retry_in: None }
        };
        let placer = self.placer.as_ref();
        let answer = AdmitAnswer {
            charge: charged,
            number: GrantNumber(number),
            outcome,
            slot_time: placer.and_then(|it| it.queues.slot_time(&service)),
        };
        if let Some(reply) = reply
            && let Err(error) = reply.send(PeerMessage::AdmitAnswer(answer))
        {
            slog::debug!(self.shared.log, "requester is gone"; "reason" => error.to_string());
        }
    }

    /// Returns what the requester is told, and counts and logs the decision.
    fn outcome(
        &self,
        from: &InstanceId,
        wanted: &AdmissionRequest,
        result: AdmissionResult,
    ) -> AdmitOutcome {
        let (label, outcome) = match result {
            AdmissionResult::At { target, is_return } => (
                if is_return { "returned" } else { "admitted" },
                AdmitOutcome::At(target),
            ),
            AdmissionResult::Busy(refused) => {
                self.report_not_admitted(from, wanted, &refused);
                let label = if refused.is_over_share {
                    "over_share"
                } else {
                    "busy"
                };
                let retry_in = refused.retry_in;
                (label, AdmitOutcome::Busy { retry_in })
            }
            AdmissionResult::NoTarget => ("no_target", AdmitOutcome::NoTarget),
        };
        let labels = [
            ("service", wanted.service.to_string()),
            ("outcome", label.to_owned()),
        ];
        metrics::counter!("chervilshunt_admissions_total", &labels).increment(1);
        outcome
    }

    fn report_not_admitted(&self, from: &InstanceId, wanted: &AdmissionRequest, why: &Refused) {
        slog::info!(self.shared.log, "request not admitted";
            "service" => wanted.service.as_str(), "peer" => from.as_str(),
            "content" => wanted.content.to_string(), "team" => wanted.team.as_deref(),
            "priority" => wanted.priority, "over_share" => why.is_over_share,
            "queue" => why.in_flight, "pace" => why.throughput,
            "expected_ms" => why.expected.as_millis() as u64,
            "retry_in_ms" => why.retry_in.map(|it| it.as_millis() as u64));
    }

    /// Publishes the expected wait at each plain service to which requests were admitted here.
    pub(super) fn publish_queues(&self) {
        let Some(placer) = &self.placer else {
            return;
        };
        for state in placer.queues.states(self.now()) {
            let service = state.service.to_string();
            metrics::gauge!("chervilshunt_expected_response_seconds", "service" => service)
                .set(state.expected.as_secs_f64());
        }
    }
}

/// Returns the request with the weight of its team: the number of such requests per second that
/// the quota allows.
fn wanted(placer: &Placer, request: AdmitRequest) -> AdmissionRequest {
    let charge = request.charge.as_ref();
    let weight = charge.and_then(|it| {
        let rate = placer.ledger.quota_rate(&it.team)?;
        (it.cost > 0.0).then(|| rate / it.cost)
    });
    AdmissionRequest {
        service: request.service,
        team: request.charge.map(|it| it.team).or(request.team),
        weight,
        objective_left: request.objective_left,
        time_left: request.time_left,
        priority: request.priority,
        content: request.content,
        is_repeat: request.is_repeat,
        zone: request.zone,
        avoid: request.avoid,
    }
}
