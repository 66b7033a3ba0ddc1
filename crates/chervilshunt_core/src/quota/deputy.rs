//! The account of teams' quotas while there is no placer.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment};

use super::ledger::{ChargeNumber, ChargeResult, QuotaLedger};
use super::share::QuotaTolerance;
use crate::dispatch::Teams;

/// Time for which an instance counts as one that asks this deputy. Instances without a placer report
/// several times in it.
const MEMBER_WINDOW: Duration = Duration::from_secs(2);

/// Part of the instances of which a deputy has to hear before it keeps the account at once.
const MAJORITY: f64 = 0.5;
/// Time after which it does so for fewer instances. If they are cut off together with it, the placer
/// has noticed by then that they don't report, and leaves their part of each quota to them.
const NOTICE_TIME: Duration = Duration::from_secs(5);

/// The account that a deputy keeps for the instances that don't reach a placer.
///
/// A placer that is cut off from the deputy may still keep its own account for others, and nothing
/// fences one against the other. Therefore a deputy admits only the part of each quota that
/// corresponds to the part of the instances that ask it.
#[derive(Clone, Debug)]
pub struct DeputyLedger {
    ledger: QuotaLedger,
    instances: usize,
    started: Moment,
    /// When each instance was last heard from.
    members: HashMap<InstanceId, Moment>,
}

impl DeputyLedger {
    /// Creates an account for one of `instances` instances.
    pub fn new(tolerance: QuotaTolerance, teams: &Teams, instances: usize, now: Moment) -> Self {
        let mut ledger = QuotaLedger::new(tolerance, now);
        ledger.set_absent(1.0, now);
        ledger.set_teams(teams, now);
        Self {
            ledger,
            instances: instances.max(1),
            started: now,
            members: HashMap::new(),
        }
    }

    /// Sets the teams and their quotas.
    pub fn set_teams(&mut self, teams: &Teams, now: Moment) {
        self.ledger.set_teams(teams, now);
    }

    /// Records that an instance does not reach a placer, and what it has admitted on its own.
    pub fn record_member(&mut self, from: &InstanceId, spent: &[(Arc<str>, f64)], now: Moment) {
        self.members.insert(from.clone(), now);
        self.members.retain(|_, at| now.since(*at) <= MEMBER_WINDOW);
        let part = self.members.len() as f64 / self.instances as f64;
        self.ledger.set_absent(1.0 - part, now);
        for (team, cost) in spent {
            self.ledger.record_spent(team, *cost, now);
        }
    }

    /// Charges a request of an instance to its team.
    pub fn charge(
        &mut self,
        from: &InstanceId,
        number: ChargeNumber,
        team: &Arc<str>,
        cost: f64,
        now: Moment,
    ) -> ChargeResult {
        self.record_member(from, &[], now);
        if !self.is_deciding(now) {
            return ChargeResult::NoAccount;
        }
        self.ledger.charge(number, team, cost, now)
    }

    /// Returns whether this deputy decides. Until then instances go by their own shares.
    fn is_deciding(&self, now: Moment) -> bool {
        self.part() > MAJORITY || now.since(self.started) >= NOTICE_TIME
    }

    /// Returns the part of the instances that ask this deputy.
    fn part(&self) -> f64 {
        self.members.len() as f64 / self.instances as f64
    }

    /// Takes back the charge of a request that has not run.
    pub fn give_back(&mut self, number: ChargeNumber, now: Moment) {
        self.ledger.give_back(number, now);
    }

    /// Returns what a team's bucket holds, in units; `None` for a team without a limit.
    pub fn level(&self, team: &str, now: Moment) -> Option<f64> {
        self.ledger.level(team, now)
    }
}
