//! Charges requests to their teams' quotas.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{ChargeNumber, ChargeResult, PlacerPace, PlacerUse, Team};
use chervilshunt_mesh::Peer;

use super::attempt::RequestAttempts;
use super::placer_time::ask_within;
use super::refusal::{Reason, Refusal};
use super::request::CallerRequest;
use crate::peers::{ChargeRequest, PeerMessage};
use crate::shared::Shared;

/// Time in which the keeper of the account answers a charge. It is a part of what the shortest requests may take,
/// and many times the way to the placer and back.
pub(crate) const CHARGE_TIMEOUT: Duration = Duration::from_millis(50);
/// Part of the objective (one third) that a charge to a slow placer may take if this instance's share is
/// low. Most requests without an answer would be refused, which is worse than a late response.
const SLOW_CHARGE_DIVISOR: u32 = 3;
/// Delay after which a caller should retry if this instance has no share left for its team and nobody
/// keeps the account.
const NO_SHARE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A charge to a team's quota. It is given back when it is dropped before its request was sent.
#[derive(Debug)]
pub(crate) struct Charge {
    shared: Arc<Shared>,
    /// Who keeps the account, and the number there; `None` if the request was admitted here.
    charged_at: Option<(Arc<Peer>, ChargeNumber)>,
    /// Whether the request may have run.
    pub(super) is_final: bool,
}

impl Charge {
    fn new(shared: &Arc<Shared>, charged_at: Option<(Arc<Peer>, ChargeNumber)>) -> Self {
        Self {
            shared: Arc::clone(shared),
            charged_at,
            is_final: false,
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if let (false, Some((keeper, number))) = (self.is_final, &self.charged_at)
            && let Err(error) = self
                .shared
                .mesh
                .send(keeper, PeerMessage::Uncharge(*number))
        {
            slog::debug!(self.shared.log, "charge not given back"; "reason" => error.to_string());
        }
    }
}

impl CallerRequest {
    /// Returns the team and the cost of a request that counts against a quota.
    pub(super) fn limited_team(&self) -> Option<(&Arc<Team>, f64)> {
        let team = self.team.as_ref()?;
        let quota = team.quota.as_ref()?;
        Some((team, quota.cost(self.stated_size)))
    }
}

impl RequestAttempts<'_> {
    /// Returns the charge that has yet to be made, if any.
    pub(super) fn pending_charge(&self) -> Option<ChargeRequest> {
        // A request that has run before, or that resumes a stream, has been charged.
        if self.charge.is_some() || self.runs() > 0 {
            return None;
        }
        let (team, cost) = self.req.limited_team()?;
        Some(ChargeRequest {
            team: Arc::clone(&team.name),
            cost,
        })
    }

    /// Charges the request unless that has been done.
    ///
    /// The placer or its deputy decides, since it knows what all instances admit. Without an answer
    /// this instance decides from its own share of the quota.
    pub(super) async fn charge(&mut self) -> Result<(), Refusal> {
        if self.pending_charge().is_none() {
            return Ok(());
        }
        let now = self.shared.clock.now();
        let Some(keeper) = self.shared.account_keeper(now) else {
            return self.charge_to_share();
        };
        let placer_use = self.account_use(&keeper);
        self.charge_with(keeper, placer_use).await
    }

    /// Charges the request unless that has been done, and uses the keeper of the account as given.
    pub(super) async fn charge_with(
        &mut self,
        keeper: Arc<Peer>,
        placer_use: PlacerUse,
    ) -> Result<(), Refusal> {
        let Some(charge) = self.pending_charge() else {
            return Ok(());
        };
        if placer_use == PlacerUse::Bypass && self.has_share_surplus() && self.try_charge_to_share()
        {
            return Ok(());
        }
        let within = match placer_use {
            PlacerUse::Ask => CHARGE_TIMEOUT,
            PlacerUse::Probe => PlacerPace::PROBE_WAIT,
            PlacerUse::Bypass => CHARGE_TIMEOUT.max(self.req.route.objective / SLOW_CHARGE_DIVISOR),
        };
        match self.charge_at(&keeper, charge, within).await {
            Some((result, number)) => {
                let placer = self.shared.placer.load();
                if placer.as_ref().is_some_and(|it| *it == keeper) {
                    self.record_placer_response();
                }
                self.handle_charge_result(result, keeper, number)
            }
            None => self.charge_to_share(),
        }
    }

    /// Counts the decision on a request by its team. The teams of the configuration bound the number
    /// of series.
    fn count_charge(&self, outcome: &'static str) {
        let Some((team, cost)) = self.req.limited_team() else {
            return;
        };
        let labels = [
            ("team", team.name.to_string()),
            ("outcome", outcome.to_owned()),
        ];
        metrics::counter!("chervilshunt_team_requests_total", &labels).increment(1);
        metrics::counter!("chervilshunt_team_units_total", &labels).increment(cost as u64);
    }

    async fn charge_at(
        &self,
        keeper: &Arc<Peer>,
        charge: ChargeRequest,
        within: Duration,
    ) -> Option<(ChargeResult, ChargeNumber)> {
        let message = PeerMessage::Charge(charge);
        match ask_within(self.shared, keeper, message, within).await {
            Ok(PeerMessage::ChargeAnswer(result, number)) => Some((result, number)),
            Ok(_) => None,
            Err(error) => {
                slog::info!(self.shared.log, "quota not charged";
                    "request" => &*self.req.id, "keeper" => keeper.instance.as_str(),
                    "reason" => error.to_string());
                None
            }
        }
    }

    /// Handles the decision of the account's keeper.
    pub(super) fn handle_charge_result(
        &mut self,
        result: ChargeResult,
        keeper: Arc<Peer>,
        number: ChargeNumber,
    ) -> Result<(), Refusal> {
        match result {
            ChargeResult::Admitted { fleet_rate } => {
                self.record_charge(keeper, number, fleet_rate);
                Ok(())
            }
            ChargeResult::Over { retry_in } => {
                self.count_charge("over_quota");
                Err(Refusal::retry_after(Reason::OverQuota, retry_in))
            }
            ChargeResult::TooLarge => {
                self.count_charge("larger_than_quota");
                Err(Refusal::new(Reason::LargerThanQuota))
            }
            ChargeResult::NoAccount => self.charge_to_share(),
        }
    }

    /// Handles the decision on the charge of a request for a plain service. If the request was
    /// refused, the placer has given back what it charged.
    pub(super) fn handle_admit_charge(
        &mut self,
        result: ChargeResult,
        is_given_back: bool,
        keeper: Arc<Peer>,
        number: ChargeNumber,
    ) -> Result<(), Refusal> {
        if is_given_back
            && matches!(
                result,
                ChargeResult::Admitted { .. } | ChargeResult::NoAccount
            )
        {
            return Ok(());
        }
        self.handle_charge_result(result, keeper, number)
    }

    fn record_charge(&mut self, keeper: Arc<Peer>, number: ChargeNumber, fleet_rate: Option<f32>) {
        let now = self.shared.clock.now();
        if let Some((team, cost)) = self.req.limited_team() {
            let mut shares = self.shared.quota_shares();
            shares.admitted(&team.name, cost, fleet_rate, now);
        }
        self.count_charge("admitted");
        self.charge = Some(Charge::new(self.shared, Some((keeper, number))));
    }

    /// Admits the request from this instance's share of the quota, or refuses it.
    pub(super) fn charge_to_share(&mut self) -> Result<(), Refusal> {
        if self.try_charge_to_share() {
            return Ok(());
        }
        self.count_charge("no_share");
        let refusal = Refusal::retry_after(Reason::NoQuotaShare, NO_SHARE_RETRY_DELAY);
        Err(refusal)
    }

    /// Returns whether this instance's share of the quota is kept well filled if the request is charged
    /// to it.
    fn has_share_surplus(&self) -> bool {
        let Some((team, cost)) = self.req.limited_team() else {
            return true;
        };
        let now = self.shared.clock.now();
        let instances = self.shared.known_instances();
        let mut shares = self.shared.quota_shares();
        shares.has_surplus(team, cost, instances, now)
    }

    /// Admits the request from this instance's share of the quota, if the share allows it.
    fn try_charge_to_share(&mut self) -> bool {
        let Some((team, cost)) = self.req.limited_team() else {
            return true;
        };
        let now = self.shared.clock.now();
        let instances = self.shared.known_instances();
        let is_admitted =
            self.shared
                .quota_shares()
                .try_admit(team, cost, instances, rand::random(), now);
        slog::info!(self.shared.log, "quota charged to own share";
            "request" => &*self.req.id, "team" => &*team.name, "cost" => cost,
            "instances" => instances, "admitted" => is_admitted);
        if is_admitted {
            self.count_charge("admitted_alone");
            self.charge = Some(Charge::new(self.shared, None));
        }
        is_admitted
    }
}
