//! Attempts that did not arrive at their target, directly or in transit.

use chervilshunt_core::HealthSignal;

use super::attempt::{AttemptOutcome, RequestAttempts};
use super::in_flight::InFlight;
use super::not_run::NotRunProof;
use super::place::SelectedTarget;
use super::refusal::Reason;
use crate::peers::PeerMessage;
use crate::transit::{TransitOutcome, TransitRoute};

impl RequestAttempts<'_> {
    /// Tries targets again that accepted no connection, once it is known that this instance is cut
    /// off from them: another one may reach them.
    pub(super) fn reconsider_unconnected(&mut self) {
        if self.unconnected.is_empty() || !self.shared.dispatch().is_cut_off(&self.req.service) {
            return;
        }
        let unconnected = std::mem::take(&mut self.unconnected);
        self.avoid.retain(|it| !unconnected.contains(it));
    }

    pub(super) fn record_connect_failure(&self, chosen: &SelectedTarget) {
        match &chosen.route {
            Some(route) => route.record_failure(self.shared.clock.now()),
            None => {
                self.shared.record_connection_failed(&chosen.target);
                self.report_unreachable(chosen);
            }
        }
    }

    /// Tells the placer of a target that it would otherwise go on choosing, because it looks idle.
    fn report_unreachable(&self, chosen: &SelectedTarget) {
        let Some(placer) = self.shared.placer.load_full() else {
            return;
        };
        if self.req.weights.is_none() || self.shared.dispatch().is_cut_off(&self.req.service) {
            return;
        }
        metrics::counter!("chervilshunt_unreachable_reports_total").increment(1);
        let message = PeerMessage::Unreachable(chosen.target.clone());
        if let Err(error) = self.shared.mesh.send(&placer, message) {
            slog::debug!(self.shared.log, "message to placer not sent"; "reason" => error.to_string());
        }
    }

    /// Handles an instance that has not passed the request on, or has lost its answer.
    pub(super) fn not_passed_on(
        &mut self,
        chosen: &SelectedTarget,
        route: &TransitRoute,
        outcome: TransitOutcome,
        in_flight: &InFlight,
    ) -> AttemptOutcome {
        let now = self.shared.clock.now();
        slog::info!(self.shared.log, "request not passed on";
            "request" => &*self.req.id, "target" => chosen.target.as_str(),
            "via" => route.instance.as_str(), "outcome" => outcome.as_str());
        if outcome == TransitOutcome::NoTicket {
            self.shared.transit_routes.remove(&route.instance);
        }
        if outcome.may_have_run() {
            in_flight.record_signal(HealthSignal::Failed, now);
            return AttemptOutcome::MayHaveRun(Reason::AnswerLost);
        }
        self.arrivals -= 1;
        if outcome.closes_route() {
            route.record_failure(now);
            self.not_run(chosen, NotRunProof::NotPassedOn(outcome));
            return AttemptOutcome::NotConnected;
        }
        if outcome == TransitOutcome::Unreachable {
            in_flight.record_signal(HealthSignal::Unreachable, now);
        }
        self.not_run(chosen, NotRunProof::NotPassedOn(outcome))
    }
}
