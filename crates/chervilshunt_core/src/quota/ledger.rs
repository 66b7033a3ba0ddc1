//! The placer's account of what each team was admitted.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::Moment;
use serde::{Deserialize, Serialize};

use super::bucket::TokenBucket;
use super::share::{DEMAND_HALF_LIFE, QuotaTolerance};
use crate::decay::DecayedRate;
use crate::dispatch::{Quota, Teams};

/// Time for which a charge can be returned. A request that has not been sent after this time has
/// passed its objective.
const RETURN_WINDOW: Duration = Duration::from_secs(3);
/// Longest time that a refused caller is told to wait because of others that were refused before.
/// Callers come back after a third of the time they have left at the latest.
const MAX_BACKLOG: Duration = Duration::from_secs(5);

/// Identifies a charge; numbers only rise, also from one ledger to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChargeNumber(pub u64);

/// The result of charging a request to its team.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChargeResult {
    /// The request may run.
    #[serde(rename = "a")]
    Admitted {
        /// Units per second that all instances together were admitted lately; `None` from a ledger
        /// that is too young to know.
        #[serde(rename = "d")]
        fleet_rate: Option<f32>,
    },
    /// The request would exceed the quota now.
    #[serde(rename = "o")]
    Over {
        /// How long to wait before another attempt.
        #[serde(rename = "r")]
        retry_in: Duration,
    },
    /// The request is larger than the quota ever allows at once.
    #[serde(rename = "l")]
    TooLarge,
    /// There is no account of the team here, or none yet.
    #[serde(rename = "u")]
    NoAccount,
}

/// Age from which a ledger knows how much each team is admitted.
const MEASURED_AFTER: Duration = Duration::from_secs(4);
/// Part of what is tolerated beyond a quota that a bucket holds in addition to the burst. Without it
/// a team whose burst is little more than one request is refused although it stays within its rate.
const TOLERANCE_PART: f64 = 0.35;

/// What each team was admitted, in one place for all instances.
///
/// A ledger starts with empty buckets. The one before it may just have admitted a whole burst, and
/// another one at once would exceed the quota within one window.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    tolerance: QuotaTolerance,
    started: Moment,
    /// Part of each rate that is left to instances which may be admitting alone.
    reserved: f64,
    accounts: HashMap<Arc<str>, Account>,
    returnable: BTreeMap<ChargeNumber, Charged>,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    quota: Option<Quota>,
    /// The most that can be admitted at once if nothing is reserved.
    capacity: f64,
    bucket: TokenBucket,
    /// What refused callers that are to come back will need.
    backlog: TokenBucket,
    admitted: DecayedRate,
}

#[derive(Clone, Debug)]
struct Charged {
    team: Arc<str>,
    cost: f64,
    at: Moment,
}

impl QuotaLedger {
    /// Creates a ledger without teams.
    pub fn new(tolerance: QuotaTolerance, now: Moment) -> Self {
        Self {
            tolerance,
            started: now,
            reserved: 0.0,
            accounts: HashMap::new(),
            returnable: BTreeMap::new(),
        }
    }

    /// Sets the part of the instances that don't report any more. They may have ended, or may be cut
    /// off and admit from their own shares, so their part of each rate is not admitted here.
    pub fn set_absent(&mut self, part: f64, now: Moment) {
        let part = part.clamp(0.0, 1.0);
        if (part - self.reserved).abs() < f64::EPSILON {
            return;
        }
        self.reserved = part;
        for account in self.accounts.values_mut() {
            account.set_quota(account.quota, self.tolerance, part, now);
        }
    }

    /// Sets the teams and their quotas. The buckets of teams that stay keep their levels, as far as
    /// the new quotas allow.
    pub fn set_teams(&mut self, teams: &Teams, now: Moment) {
        self.accounts
            .retain(|name, _| teams.iter().any(|it| it.name == *name));
        for team in teams.iter() {
            match self.accounts.get_mut(&team.name) {
                Some(account) => {
                    account.set_quota(team.quota, self.tolerance, self.reserved, now);
                }
                None => {
                    let mut account = Account::new(now);
                    account.set_quota(team.quota, self.tolerance, self.reserved, now);
                    self.accounts.insert(Arc::clone(&team.name), account);
                }
            }
        }
    }

    /// Charges a request to its team.
    pub fn charge(
        &mut self,
        number: ChargeNumber,
        team: &Arc<str>,
        cost: f64,
        now: Moment,
    ) -> ChargeResult {
        let Some(account) = self.accounts.get_mut(team) else {
            return ChargeResult::NoAccount;
        };
        let result = account.charge(cost, self.started, now);
        if matches!(result, ChargeResult::Admitted { .. }) {
            self.remove_final(now);
            let team = Arc::clone(team);
            self.returnable.insert(
                number,
                Charged {
                    team,
                    cost,
                    at: now,
                },
            );
        }
        result
    }

    /// Takes back the charge of a request that has not run. Returning it once more, or to another
    /// ledger, has no effect.
    pub fn give_back(&mut self, number: ChargeNumber, now: Moment) {
        self.remove_final(now);
        let Some(charged) = self.returnable.remove(&number) else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(&charged.team) {
            account.bucket.add(charged.cost, now);
        }
    }

    /// Charges what an instance has admitted on its own although this ledger exists.
    pub fn record_spent(&mut self, team: &str, cost: f64, now: Moment) {
        if let Some(account) = self.accounts.get_mut(team)
            && cost.is_finite()
        {
            account.bucket.add(-cost.max(0.0), now);
            account.admitted.add(cost.max(0.0), DEMAND_HALF_LIFE, now);
        }
    }

    /// Returns what a team's bucket holds, in units; `None` for a team without a limit.
    pub fn level(&self, team: &str, now: Moment) -> Option<f64> {
        let account = self.accounts.get(team)?;
        account.quota.map(|_| account.bucket.level(now))
    }

    /// Returns the units per second that a team's quota allows; `None` for a team without a limit.
    pub fn quota_rate(&self, team: &str) -> Option<f64> {
        let account = self.accounts.get(team)?;
        account.quota.map(|quota| quota.rate)
    }

    /// Returns the number of charges that can still be returned.
    pub fn returnable_count(&self) -> usize {
        self.returnable.len()
    }

    fn remove_final(&mut self, now: Moment) {
        while let Some(oldest) = self.returnable.first_entry() {
            if now.since(oldest.get().at) <= RETURN_WINDOW {
                return;
            }
            oldest.remove();
        }
    }
}

impl Account {
    fn new(now: Moment) -> Self {
        Self {
            quota: None,
            capacity: 0.0,
            bucket: TokenBucket::empty(0.0, 0.0, now),
            backlog: TokenBucket::empty(0.0, 0.0, now),
            admitted: DecayedRate::default(),
        }
    }

    fn set_quota(
        &mut self,
        quota: Option<Quota>,
        tolerance: QuotaTolerance,
        reserved: f64,
        now: Moment,
    ) {
        if let Some(quota) = quota {
            let rate = quota.rate * (1.0 - reserved);
            self.capacity = quota.burst + TOLERANCE_PART * tolerance.excess(&quota);
            let capacity = self.capacity * (1.0 - reserved);
            self.bucket.set_limits(rate, capacity, now);
            let backlog = rate * MAX_BACKLOG.as_secs_f64();
            self.backlog.set_limits(rate, backlog, now);
        }
        self.quota = quota;
    }

    fn charge(&mut self, cost: f64, started: Moment, now: Moment) -> ChargeResult {
        if self.quota.is_none() {
            return self.admit(cost, started, now);
        }
        if cost > self.capacity {
            return ChargeResult::TooLarge;
        }
        if self.bucket.level(now) >= cost {
            self.bucket.add(-cost, now);
            return self.admit(cost, started, now);
        }
        ChargeResult::Over {
            retry_in: self.schedule_retry(cost, now),
        }
    }

    fn admit(&mut self, cost: f64, started: Moment, now: Moment) -> ChargeResult {
        self.admitted.add(cost, DEMAND_HALF_LIFE, now);
        let age = now.since(started);
        // The measured rate approaches the true one from zero.
        let measured = 1.0 - (-age.as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64()).exp2();
        let rate = self.admitted.per_second(DEMAND_HALF_LIFE, now);
        ChargeResult::Admitted {
            fleet_rate: (age >= MEASURED_AFTER).then(|| (rate / measured) as f32),
        }
    }

    /// Returns when a refused caller should come back: when the bucket holds its request and those
    /// of the callers that were refused before it. If all were told the time at which the bucket
    /// holds one request, they would come back together and all but one would be refused again.
    fn schedule_retry(&mut self, cost: f64, now: Moment) -> Duration {
        // The backlog is a debt that shrinks at the rate of the quota.
        let before = (-self.backlog.level(now)).max(0.0);
        let retry_in = self.bucket.time_until(cost + before, now);
        self.backlog
            .add(-self.backlog.level(now).max(0.0) - cost, now);
        retry_in.min(MAX_BACKLOG)
    }
}
