//! Asks the placer for the target of a request.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{
    AdapterHolding, ChargeNumber, Lane, PlacementRequest, PlacementResult, Weights,
};
use chervilshunt_model::TargetName;

use super::attempt::RequestAttempts;
use super::place::SelectedTarget;
use super::placer_time::{AskMode, GivenUp, OpenQuestion};
use super::refusal::{Reason, Refusal};
use crate::grants::Grant;
use crate::peers::PeerMessage;

/// Time that a request waits for its adapter, as a multiple of its latency objective. After that
/// either the placer is gone, or so many loads are ahead of this one that another request had
/// better get the slot.
const PLACEMENT_WAIT_FACTOR: f64 = 1.0;
/// Time that an instance waits for the placer's answer beyond the request's own wait. If the placer
/// answers that there is no room, the caller can be told when to retry; without an answer that is
/// unknown.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// The result of asking the placer.
pub(super) enum PlacerAnswer {
    /// The target to which the request may be sent.
    At(SelectedTarget),
    /// A target that accepts nothing from this instance.
    Closed(TargetName),
    /// The placer does not know the team, and this instance has admitted the request itself.
    AskAgain,
    /// The placer counts as slow, and a target is known to which the request can be sent.
    Slow,
    /// The placer gave no answer.
    Nothing,
}

impl RequestAttempts<'_> {
    /// Asks the placer for a target, and waits until the target holds the adapter.
    pub(super) async fn ask_placer(
        &mut self,
        weights: Weights,
        mode: AskMode,
    ) -> Result<PlacerAnswer, Refusal> {
        let Some(placer) = self.shared.placer.load_full() else {
            self.report_placement("nobody places", None);
            return Ok(PlacerAnswer::Nothing);
        };
        let now = self.shared.clock.now();
        let max_wait = self.req.route.objective.mul_f64(PLACEMENT_WAIT_FACTOR);
        let max_wait = max_wait.min(self.req.time_left(now));
        let mut avoid = {
            let dispatch = self.shared.dispatch();
            let mut avoid = dispatch.suspect_targets(&self.req.service, now);
            avoid.extend(dispatch.closed_targets(&self.req.service, now));
            avoid
        };
        avoid.extend(self.avoid.iter().cloned());
        let want = PlacementRequest {
            service: self.req.service.clone(),
            weights,
            prompt_tokens: self.req.size.prompt_tokens,
            lane: Lane::of(self.req.size),
            zone: self.shared.settings.instance.zone.clone(),
            software: self.software.clone(),
            avoid,
        };
        let message = match self.pending_charge() {
            Some(charge) => PeerMessage::ChargedPlacementRequest(want, max_wait, charge),
            None => PeerMessage::PlacementRequest(want, max_wait),
        };
        let mut question = OpenQuestion::ask(
            self.shared,
            &placer,
            message,
            max_wait + ANSWER_MARGIN,
            self.known_holders(),
        );
        let answer = match self.until_given_up(&mut question, mode).await {
            Ok(answer) => Some(answer),
            Err(why) => {
                question.give_up(why);
                if why == GivenUp::Slow {
                    self.report_placement("placer slow", None);
                    return Ok(PlacerAnswer::Slow);
                }
                None
            }
        };
        let answer = match answer {
            Some(Ok(PeerMessage::ChargedPlacementAnswer(placed, number, charged))) => {
                // The placer has given back the charge of a request that it can't place.
                if matches!(placed, PlacementResult::At { .. }) {
                    self.handle_charge_result(
                        charged,
                        Arc::clone(&placer),
                        ChargeNumber(number.0),
                    )?;
                }
                Some(Ok(PeerMessage::PlacementAnswer(placed, number)))
            }
            answer => answer,
        };
        match answer {
            Some(Ok(PeerMessage::ChargeAnswer(result, number))) => {
                self.record_placer_response();
                self.handle_charge_result(result, placer, number)?;
                Ok(PlacerAnswer::AskAgain)
            }
            Some(Ok(PeerMessage::PlacementAnswer(
                PlacementResult::At {
                    target,
                    version,
                    send_in,
                },
                number,
            ))) => {
                let grant = Grant::new(self.shared, number);
                self.record_placer_response();
                self.report_placement("placed", Some(&target));
                self.record_holding(&target, version);
                Ok(self.use_placement(target, grant, send_in).await)
            }
            Some(Ok(PeerMessage::PlacementAnswer(PlacementResult::Later { retry_in }, _))) => {
                self.record_placer_response();
                self.report_placement("no room", None);
                Err(Refusal::retry_after(Reason::NotPlaced, retry_in))
            }
            Some(Ok(_)) => Ok(PlacerAnswer::Nothing),
            Some(Err(error)) => {
                slog::info!(self.shared.log, "placer did not respond";
                    "request" => &*self.req.id, "reason" => error.to_string());
                Ok(PlacerAnswer::Nothing)
            }
            None => {
                slog::info!(self.shared.log, "placer did not respond";
                    "request" => &*self.req.id, "reason" => "nothing heard of it");
                Ok(PlacerAnswer::Nothing)
            }
        }
    }

    /// Records that a target holds the weights that this request names.
    fn record_holding(&self, target: &TargetName, version: Option<u64>) {
        let (Some(weights), Some(version)) = (&self.req.weights, version) else {
            return;
        };
        let mut dispatch = self.shared.dispatch();
        let started = dispatch.started(target);
        dispatch.holding_changed(AdapterHolding {
            target: target.clone(),
            started,
            weights: weights.clone(),
            version: Some(version),
        });
    }

    pub(super) fn record_placer_response(&self) {
        let now = self.shared.clock.now();
        self.shared.set_placer_heard();
        self.shared.dispatch().placer_responded(now);
    }

    pub(super) fn report_placement(&self, outcome: &str, target: Option<&TargetName>) {
        slog::info!(self.shared.log, "placement result";
            "request" => &*self.req.id, "outcome" => outcome,
            "weights" => self.req.weights.as_ref().map(ToString::to_string),
            "target" => target.map(|it| it.as_str().to_owned()));
    }

    /// Sends to the target that the placer chose, unless it accepts nothing from this instance.
    ///
    /// `send_in` is the delay after which the target's rate limit allows the request, or `None` if the
    /// placer knows of no limit.
    pub(super) async fn use_placement(
        &self,
        target: TargetName,
        grant: Grant,
        send_in: Option<Duration>,
    ) -> PlacerAnswer {
        if let Some(delay) = send_in {
            self.wait_to_send(delay).await;
        } else if self.shared.dispatch().limit_of(&target).is_some() {
            self.report_unknown_limit(&target);
            if !self.send_alone(&target) {
                return PlacerAnswer::Closed(target);
            }
        }
        let now = self.shared.clock.now();
        let weights = self.req.weights.as_ref();
        let has_transit = self.shared.transit_routes.is_available(now);
        let choice = self.shared.dispatch().choose_named(
            &target,
            weights,
            self.software.as_ref(),
            has_transit,
            now,
        );
        match self.accept_choice(choice) {
            Ok(chosen) => PlacerAnswer::At(SelectedTarget {
                grant: Some(grant),
                ..chosen
            }),
            Err(_) => {
                self.report_chosen_target_leaving(&target);
                PlacerAnswer::Closed(target)
            }
        }
    }

    /// Reports to the placer that the target it has chosen is leaving; an earlier report may have
    /// gone to another placer.
    fn report_chosen_target_leaving(&self, target: &TargetName) {
        let dispatch = self.shared.dispatch();
        let known = dispatch.target(target).filter(|it| it.leaving.is_some());
        let started = known.map(|it| it.started);
        drop(dispatch);
        if let Some(started) = started {
            self.shared.report_leaving(target, started);
        }
    }
}
