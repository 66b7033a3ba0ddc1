//! The account of teams' quotas, at the placer or its deputy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{
    ChargeNumber, ChargeResult, DeputyLedger, PlacementRequest, ResidencyEvent, RouteTable, Teams,
};
use chervilshunt_mesh::{Peer, Reply};
use chervilshunt_model::{InstanceId, Moment};

use super::actor::{Control, Placer};
use crate::peers::{ChargeRequest, PeerMessage};

impl Control {
    /// Passes the teams of a configuration to the ledger and to this instance's own shares.
    pub(super) fn apply_quotas(&mut self, table: &RouteTable, now: Moment) {
        let none = Teams::default();
        let teams = table.teams.as_ref().unwrap_or(&none);
        if let Some(placer) = &mut self.placer {
            placer.ledger.set_teams(teams, now);
        }
        if let Some(deputy) = &mut self.deputy {
            deputy.set_teams(teams, now);
        }
        let is_known = |name: &str| teams.iter().any(|it| &*it.name == name);
        self.shared.quota_shares().retain(is_known);
    }

    /// Returns the placer's state if the lease is valid at this moment. A process that was paused
    /// beyond the end of its lease is not the only one with a ledger any more.
    pub(super) fn lease_holder(&mut self, now: Moment) -> Option<&mut Placer> {
        self.keeper.may_order(now)?;
        self.placer.as_mut()
    }

    /// Charges a request and then finds a target for it.
    pub(super) fn handle_charged_placement(
        &mut self,
        from: InstanceId,
        request: PlacementRequest,
        within: Duration,
        charge: &ChargeRequest,
        reply: Option<Reply<PeerMessage>>,
    ) {
        let now = self.now();
        let Some(placer) = self.lease_holder(now) else {
            return;
        };
        let number = ChargeNumber(placer.next_request);
        let result = placer.ledger.charge(number, &charge.team, charge.cost, now);
        if !matches!(result, ChargeResult::Admitted { .. }) {
            placer.next_request += 1;
            return self.answer_charge(result, number, charge, reply);
        }
        let event = |request_id| ResidencyEvent::PlacementRequested {
            request_id,
            from,
            request,
            within,
        };
        self.handle_placement_request(event, reply, Some(result));
    }

    /// Charges a request that needs no placement, as the placer or as its deputy.
    pub(super) fn handle_charge(
        &mut self,
        from: &InstanceId,
        charge: &ChargeRequest,
        reply: Option<Reply<PeerMessage>>,
    ) {
        let now = self.now();
        let (team, cost) = (&charge.team, charge.cost);
        let (result, number) = if let Some(placer) = self.lease_holder(now) {
            let number = ChargeNumber(placer.next_request);
            placer.next_request += 1;
            (placer.ledger.charge(number, team, cost, now), number)
        } else {
            let number = ChargeNumber(self.next_deputy_charge);
            self.next_deputy_charge += 1;
            let Some(deputy) = self.deputy_ledger(now) else {
                // Dropping the reply tells the requester at once that there is no answer.
                return;
            };
            (deputy.charge(from, number, team, cost, now), number)
        };
        self.answer_charge(result, number, charge, reply);
    }

    /// Returns the account that this instance keeps as the deputy, if it is the deputy and does not
    /// hear the placer either.
    pub(super) fn deputy_ledger(&mut self, now: Moment) -> Option<&mut DeputyLedger> {
        let deputy = self.shared.deputy.load_full();
        let is_deputy = deputy.is_some_and(|it| it.instance == *self.own_id());
        if !is_deputy || self.placer.is_some() || !self.shared.is_placer_silent(now) {
            if self.deputy.take().is_some() {
                slog::info!(self.shared.log, "account of quotas given up");
            }
            return None;
        }
        let routes = self.shared.routes.load_full()?;
        let teams = routes.teams.as_ref()?;
        let instances = self.shared.known_instances()?;
        let (log, tolerance) = (
            &self.shared.log,
            self.shared.settings.bounds.quota_tolerance,
        );
        Some(self.deputy.get_or_insert_with(|| {
            slog::info!(log, "account of quotas kept for a silent placer"; "instances" => instances);
            DeputyLedger::new(tolerance, teams, instances, now)
        }))
    }

    /// Applies which instance the placer has named as its deputy.
    pub(super) fn apply_deputy(&mut self, deputy: Option<(InstanceId, SocketAddr)>) {
        let deputy = deputy.map(|(instance, address)| Arc::new(Peer { instance, address }));
        if let Some(deputy) = &deputy {
            self.shared.stream_keepers.add(deputy);
        }
        self.shared.deputy.store(deputy);
        self.deputy = None;
    }

    /// Tells the deputy that this instance does not hear the placer, and what it has admitted.
    pub(super) fn report_to_deputy(&self, spent: &[(Arc<str>, f64)]) {
        let has_teams = self
            .shared
            .routes
            .load()
            .as_ref()
            .is_some_and(|it| it.teams.is_some());
        if !has_teams || !self.shared.is_placer_silent(self.now()) {
            return;
        }
        if let Some(deputy) = self.shared.deputy.load_full() {
            self.send(&deputy, PeerMessage::WithoutPlacer(spent.to_vec()));
        }
    }

    /// Takes back the charge of a request that has not run.
    pub(super) fn handle_uncharge(&mut self, number: ChargeNumber) {
        let now = self.now();
        if let Some(placer) = &mut self.placer {
            placer.ledger.give_back(number, now);
        }
        if let Some(deputy) = &mut self.deputy {
            deputy.give_back(number, now);
        }
    }

    /// Charges what an instance has admitted on its own.
    pub(super) fn record_spent(&mut self, spent: &[(Arc<str>, f64)]) {
        let now = self.now();
        if let Some(placer) = &mut self.placer {
            for (team, cost) in spent {
                placer.ledger.record_spent(team, *cost, now);
            }
        }
    }

    /// Publishes what the buckets of limited teams hold.
    pub(super) fn publish_quota_levels(&self) {
        let (Some(placer), Some(routes)) = (&self.placer, self.shared.routes.load_full()) else {
            return;
        };
        let now = self.now();
        for team in routes.teams.iter().flat_map(|it| it.iter()) {
            if let Some(level) = placer.ledger.level(&team.name, now) {
                metrics::gauge!("chervilshunt_team_quota_held", "team" => team.name.to_string())
                    .set(level);
            }
        }
    }

    /// Logs that a request was not charged.
    pub(super) fn report_over_quota(&self, charge: &ChargeRequest, result: ChargeResult) {
        let now = self.now();
        let held = match (&self.placer, &self.deputy) {
            (Some(placer), _) => placer.ledger.level(&charge.team, now),
            (None, Some(deputy)) => deputy.level(&charge.team, now),
            (None, None) => None,
        };
        slog::info!(self.shared.log, "request exceeds quota";
            "team" => &*charge.team, "cost" => charge.cost, "result" => ?result, "held" => held);
    }

    fn answer_charge(
        &self,
        result: ChargeResult,
        number: ChargeNumber,
        charge: &ChargeRequest,
        reply: Option<Reply<PeerMessage>>,
    ) {
        if !matches!(result, ChargeResult::Admitted { .. }) {
            self.report_over_quota(charge, result);
        }
        if let Some(reply) = reply
            && let Err(error) = reply.send(PeerMessage::ChargeAnswer(result, number))
        {
            slog::debug!(self.shared.log, "requester is gone"; "reason" => error.to_string());
        }
    }
}
