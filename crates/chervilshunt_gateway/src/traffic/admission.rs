//! Asks for admission to plain services, or decides on it while no placer answers.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{
    ChargeNumber, InstanceShare, PlacerPace, PlacerUse, ShareRequest, ShareResult,
};
use chervilshunt_mesh::Peer;
use chervilshunt_model::ServiceName;

use super::attempt::RequestAttempts;
use super::charge::CHARGE_TIMEOUT;
use super::place::ROOM_POLL_INTERVAL;
use super::placer::PlacerAnswer;
use super::placer_time::ask_within;
use super::refusal::{Reason, Refusal};
use crate::admit::{AdmitAnswer, AdmitOutcome, AdmitRequest};
use crate::grants::Grant;
use crate::peers::PeerMessage;
use crate::settings::PlainAdmission;
use crate::shared::Shared;

/// Callers wait at most this fraction (one third) of their remaining time.
const RETRY_TIME_DIVISOR: u32 = 3;

/// A request that counts in this instance's share until it is sent, or while it waits.
#[derive(Debug)]
pub(super) struct PendingAdmission {
    shared: Arc<Shared>,
    service: ServiceName,
    /// Ends the count.
    end: fn(&mut InstanceShare, &ServiceName),
}

impl PendingAdmission {
    fn new(run: &RequestAttempts<'_>, end: fn(&mut InstanceShare, &ServiceName)) -> Self {
        Self {
            shared: Arc::clone(run.shared),
            service: run.req.service.clone(),
            end,
        }
    }
}

impl Drop for PendingAdmission {
    fn drop(&mut self) {
        (self.end)(&mut self.shared.instance_share(), &self.service);
    }
}

impl RequestAttempts<'_> {
    /// Returns whether the request needs a place that is decided on for all instances together.
    ///
    /// Targets with rate limits and brittle targets have rules of their own, which don't expect a
    /// queue at the target.
    pub(super) fn needs_admission(&self) -> bool {
        let is_wanted = match self.shared.settings.plain_admission {
            PlainAdmission::Auto => self.req.limited_team().is_some(),
            PlainAdmission::Placer => true,
            PlainAdmission::Off => false,
        };
        if !is_wanted || self.req.weights.is_some() || self.software.is_some() {
            return false;
        }
        let service = &self.req.service;
        let routes = self.shared.routes.load();
        let spec = routes.as_ref().and_then(|it| it.services.get(service));
        if spec.is_none_or(|it| it.placement.is_some()) {
            return false;
        }
        let dispatch = self.shared.dispatch();
        dispatch.brittleness(service).is_none() && !dispatch.has_limited_target(service)
    }

    /// Asks the placer for a place and for the charge to the team's quota. Returns
    /// `PlacerAnswer::AskAgain` if this instance has admitted the request and has to choose the
    /// target itself, because no placer answers or the placer is slow.
    ///
    /// A request that was admitted here is kept in `pending` until it is sent.
    pub(super) async fn admit(
        &mut self,
        pending: &mut Option<PendingAdmission>,
    ) -> Result<PlacerAnswer, Refusal> {
        let now = self.shared.clock.now();
        let placer = self.shared.placer.load_full();
        let placer =
            placer.filter(|_| self.shared.placer_admits() && !self.shared.is_placer_silent(now));
        let Some(placer) = placer else {
            *pending = Some(self.admit_alone().await?);
            self.charge().await?;
            return Ok(PlacerAnswer::AskAgain);
        };
        let placer_use = self.shared.placer_pace().next_use(now);
        let within = match placer_use {
            PlacerUse::Ask => CHARGE_TIMEOUT,
            PlacerUse::Probe => PlacerPace::PROBE_WAIT,
            PlacerUse::Bypass => {
                *pending = Some(self.admit_alone().await?);
                self.charge_with(placer, placer_use).await?;
                return Ok(PlacerAnswer::AskAgain);
            }
        };
        let Some(answer) = self.ask_admission(&placer, within).await else {
            *pending = Some(self.admit_alone().await?);
            if self.pending_charge().is_some() {
                self.charge_to_share()?;
            }
            return Ok(PlacerAnswer::AskAgain);
        };
        self.record_placer_response();
        self.use_admission(answer, placer).await
    }

    async fn ask_admission(&self, placer: &Arc<Peer>, within: Duration) -> Option<AdmitAnswer> {
        let message = PeerMessage::AdmitRequest(self.admit_request());
        match ask_within(self.shared, placer, message, within).await {
            Ok(PeerMessage::AdmitAnswer(answer)) => Some(answer),
            Ok(_) => None,
            Err(error) => {
                slog::info!(self.shared.log, "admission not decided by placer";
                    "request" => &*self.req.id, "placer" => placer.instance.as_str(),
                    "reason" => error.to_string());
                None
            }
        }
    }

    fn admit_request(&self) -> AdmitRequest {
        let now = self.shared.clock.now();
        let service = &self.req.service;
        let mut avoid = {
            let dispatch = self.shared.dispatch();
            let mut avoid = dispatch.suspect_targets(service, now);
            avoid.extend(dispatch.closed_targets(service, now));
            avoid
        };
        avoid.extend(self.avoid.iter().cloned());
        let charge = self.pending_charge();
        let team = self.req.team.as_ref().filter(|_| charge.is_none());
        let passed = now.since(self.req.arrived);
        AdmitRequest {
            service: service.clone(),
            team: team.map(|it| Arc::clone(&it.name)),
            charge,
            objective_left: self.req.route.objective.saturating_sub(passed),
            time_left: self.req.time_left(now),
            priority: self.req.priority(),
            content: self.req.fingerprint(),
            is_repeat: self.arrivals > 0,
            zone: Some(self.shared.settings.instance.zone.clone()),
            avoid,
        }
    }

    async fn use_admission(
        &mut self,
        answer: AdmitAnswer,
        placer: Arc<Peer>,
    ) -> Result<PlacerAnswer, Refusal> {
        let AdmitAnswer {
            charge,
            number,
            outcome,
            slot_time,
        } = answer;
        if let Some(time) = slot_time {
            let mut share = self.shared.instance_share();
            share.record_slot_time(&self.req.service, time);
        }
        let grant = matches!(outcome, AdmitOutcome::At(_)).then(|| Grant::new(self.shared, number));
        if let Some(result) = charge {
            let is_given_back = matches!(outcome, AdmitOutcome::Busy { .. });
            self.handle_admit_charge(result, is_given_back, placer, ChargeNumber(number.0))?;
        }
        match (outcome, grant) {
            (AdmitOutcome::At(target), Some(grant)) => {
                Ok(self.use_placement(target, grant, None).await)
            }
            (AdmitOutcome::Busy { retry_in }, _) => Err(self.not_admitted(retry_in)),
            (AdmitOutcome::NoTarget | AdmitOutcome::At(_), _) => Ok(PlacerAnswer::AskAgain),
        }
    }

    /// Refuses a request. The time to return is the caller's own, so it is not spread.
    fn not_admitted(&self, retry_in: Option<Duration>) -> Refusal {
        let now = self.shared.clock.now();
        let third = self.req.time_left(now) / RETRY_TIME_DIVISOR;
        Refusal {
            reason: Reason::NotAdmitted,
            retry_after: Some(retry_in.unwrap_or(third)),
        }
    }

    /// Admits the request from this instance's share of the service's capacity, or refuses it.
    async fn admit_alone(&self) -> Result<PendingAdmission, Refusal> {
        let mut waiting = None;
        loop {
            match self.decide_alone(waiting.is_some()) {
                ShareResult::Admitted => {
                    self.count_admission("alone");
                    return Ok(PendingAdmission::new(self, InstanceShare::sent));
                }
                ShareResult::Refused(retry_in) => {
                    self.count_admission("busy");
                    return Err(self.not_admitted(retry_in));
                }
                ShareResult::Wait if waiting.is_none() => {
                    let service = &self.req.service;
                    self.shared.instance_share().wait_began(service);
                    waiting = Some(PendingAdmission::new(self, InstanceShare::wait_ended));
                }
                ShareResult::Wait => tokio::time::sleep(ROOM_POLL_INTERVAL).await,
            }
        }
    }

    fn decide_alone(&self, is_waiting: bool) -> ShareResult {
        let now = self.shared.clock.now();
        let service = &self.req.service;
        let (slots, in_flight) = {
            let dispatch = self.shared.dispatch();
            (
                dispatch.service_slots(service),
                dispatch.service_in_flight(service),
            )
        };
        let objective = self.req.route.objective;
        let share = ShareRequest {
            service,
            slots,
            instances: self.shared.instances(),
            in_flight,
            objective,
            objective_left: objective.saturating_sub(now.since(self.req.arrived)),
            time_left: self.req.time_left(now),
            content: self.req.fingerprint(),
            is_waiting,
        };
        let result = self.shared.instance_share().decide(&share, now);
        if let ShareResult::Refused(retry_in) = result {
            slog::info!(self.shared.log, "request not admitted";
                "request" => &*self.req.id, "service" => service.as_str(), "alone" => true,
                "team" => self.req.team.as_ref().map(|it| it.name.to_string()),
                "queue" => in_flight, "slots" => slots, "instances" => share.instances,
                "retry_in_ms" => retry_in.map(|it| it.as_millis() as u64));
        }
        result
    }

    fn count_admission(&self, outcome: &'static str) {
        let labels = [
            ("service", self.req.service.to_string()),
            ("outcome", outcome.to_owned()),
        ];
        metrics::counter!("chervilshunt_admissions_total", &labels).increment(1);
    }
}
