//! Decides from the head of a target's answer how its request goes on.

use chervilshunt_core::HealthSignal;
use chervilshunt_engine::{AnswerProof, BodyReader};
use chervilshunt_platform::retry_after;
use http::StatusCode;
use http::header;
use http::response::Parts;

use super::answer::{Verdict, classify};
use super::attempt::{AcceptedAnswer, AttemptOutcome, RequestAttempts};
use super::in_flight::InFlight;
use super::not_run::{NotRunProof, Rejection};
use super::place::SelectedTarget;
use super::refusal::Reason;
use crate::peers::PeerMessage;

impl RequestAttempts<'_> {
    /// Decides what becomes of the request; `may_retry` is whether another target may run it.
    pub(super) fn classify(
        &mut self,
        chosen: &SelectedTarget,
        head: Parts,
        mut body: BodyReader,
        in_flight: InFlight,
        may_retry: bool,
    ) -> AttemptOutcome {
        let now = self.shared.clock.now();
        let names = &self.shared.dialect.headers;
        let is_in_transit = chosen.route.is_some();
        // A new connection to the instance in between proves nothing: older versions pass an answer on
        // from a connection to the target that has been used before.
        let proof = body
            .proof()
            .filter(|it| !is_in_transit || *it == AnswerProof::OwnId);
        let Some(proof) = proof else {
            return AttemptOutcome::MayHaveRun(Reason::AnswerLost);
        };
        let rejection = NotRunProof::Rejected(Rejection {
            status: head.status,
            proof,
            names_target: head.headers.contains_key(&names.target),
            is_reused: body.is_on_reused_connection(),
        });
        let is_others = names.name_other_target(&head.headers, &chosen.target);
        let verdict = classify(names, &chosen.target, &head, may_retry);
        if verdict != Verdict::PassOn {
            slog::info!(self.shared.log, "answer not passed on";
                "request" => &*self.req.id, "target" => chosen.target.as_str(),
                "status" => head.status.as_u16(), "verdict" => ?verdict,
                "retry_after" => head.headers.get(header::RETRY_AFTER).and_then(|it| it.to_str().ok()));
        }
        if !is_others {
            if chosen.route.is_none() && !body.is_on_reused_connection() {
                self.shared.record_connection_opened(&chosen.target);
            }
            self.handle_self_report(chosen, &in_flight, &head, verdict);
        }
        let own_signal = match verdict {
            Verdict::PassOn if head.status.is_server_error() => HealthSignal::Failed,
            Verdict::PassOn | Verdict::Full | Verdict::NotHeld => HealthSignal::Served,
            Verdict::OtherTarget => HealthSignal::Unreachable,
            Verdict::Failed => HealthSignal::Failed,
        };
        let signal = if is_others {
            HealthSignal::Unreachable
        } else {
            own_signal
        };
        in_flight.record_signal(signal, now);
        match verdict {
            Verdict::PassOn => {
                let is_untyped = !head.headers.contains_key(header::CONTENT_TYPE);
                if is_untyped && head.status.is_success() && self.req.route.streams {
                    body.assume_event_stream();
                }
                AttemptOutcome::Answered(Box::new(AcceptedAnswer {
                    head,
                    body,
                    in_flight,
                }))
            }
            Verdict::Full if self.is_brittle() => {
                self.shared.record_turned_away(&chosen.target);
                self.not_run(chosen, rejection);
                AttemptOutcome::TurnedAway
            }
            Verdict::Full => {
                self.not_run(chosen, rejection);
                AttemptOutcome::Rejected
            }
            Verdict::OtherTarget => self.not_run(chosen, rejection),
            Verdict::NotHeld => self.not_held(chosen, rejection),
            Verdict::Failed => AttemptOutcome::MayHaveRun(Reason::BadAnswer),
        }
    }

    /// Handles what a target reports about itself in an answer: its load and limits, that it is
    /// leaving, or requests a pause.
    fn handle_self_report(
        &self,
        chosen: &SelectedTarget,
        in_flight: &InFlight,
        head: &Parts,
        verdict: Verdict,
    ) {
        let (shared, target) = (self.shared, &chosen.target);
        let load = head.headers.get(&shared.dialect.headers.load);
        let load = load.and_then(|it| it.to_str().ok());
        let load = load.and_then(shared.dialect.targets.load);
        let now = shared.clock.now();
        if let Some(load) = load {
            shared.dispatch().load_reported(target, load, now);
            if load.is_pace_malformed {
                metrics::counter!("chervilshunt_malformed_load_total").increment(1);
            }
        }
        in_flight.record_pace(load.and_then(|it| it.pace), now);
        shared.check_brittle(target, &head.headers, in_flight.sent_at);
        // A target may refuse a request without naming its limit.
        let sent_at = (verdict == Verdict::PassOn).then_some(in_flight.sent_at);
        shared.check_limit(target, in_flight.started, &head.headers, sent_at);
        shared.check_leaving(target, in_flight.started, &head.headers);
        let turned_away = head.status == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(pause) = retry_after(&head.headers).filter(|_| turned_away) {
            slog::info!(shared.log, "target requested a pause";
                "request" => &*self.req.id, "target" => target.as_str(),
                "pause_ms" => pause.as_millis() as u64);
            shared.dispatch().pause_requested(target, pause, now);
        }
    }

    fn is_brittle(&self) -> bool {
        let dispatch = self.shared.dispatch();
        dispatch.brittleness(&self.req.service).is_some()
    }

    /// Handles a target that does not hold the adapter.
    fn not_held(&mut self, chosen: &SelectedTarget, proof: NotRunProof) -> AttemptOutcome {
        let Some(weights) = &self.req.weights else {
            return self.not_run(chosen, proof);
        };
        self.shared.dispatch().not_held(&chosen.target, weights);
        if let Some(placer) = self.shared.placer.load_full() {
            let message = PeerMessage::NotHeld(chosen.target.clone(), weights.clone());
            if let Err(error) = self.shared.mesh.send(&placer, message) {
                slog::debug!(self.shared.log, "message to placer not sent"; "reason" => error.to_string());
            }
        }
        self.not_run(chosen, proof)
    }
}
