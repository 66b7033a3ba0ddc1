//! What an instance admits on its own while no placer answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::Moment;

use super::bucket::TokenBucket;
use crate::decay::DecayedRate;
use crate::dispatch::{Quota, Team};

/// Half-life of the measured demand of a team.
pub(super) const DEMAND_HALF_LIFE: Duration = Duration::from_secs(8);
/// Part of a quota that is divided by recent demand; the rest is divided evenly, for teams whose
/// requests come to instances that had none of them before.
const BY_DEMAND: f64 = 0.8;
/// The most that one instance's part by demand may be, as a multiple of an even part. It bounds what
/// a few instances admit that are cut off while the others are admitted the whole rate.
const MAX_CONCENTRATION: f64 = 4.0;
/// Part of the quota's rate that all instances together admit without a placer. It is below 1
/// because requests are admitted at random, and because some instances may not reach the placer
/// while the others are still admitted the whole rate.
const RATE_PART: f64 = 0.6;
/// Part of what is tolerated beyond the quota that all instances together may admit at once. The
/// rest is for the ledger's burst, and for the time in which some instances know of a new placer
/// and others don't.
const TOLERANCE_PART: f64 = 0.25;

/// By how much a quota may be exceeded in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// The length of the sliding window.
    pub window: Duration,
    /// The tolerated excess as a part of what the quota allows in a window.
    pub overage: f64,
    /// The tolerated excess beyond that, in units.
    pub slack: f64,
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            overage: 0.1,
            slack: 0.0,
        }
    }
}

impl QuotaTolerance {
    /// Returns the tolerated excess over a quota in one window, in units.
    pub(super) fn excess(&self, quota: &Quota) -> f64 {
        let allowed = quota.rate * self.window.as_secs_f64() + quota.burst;
        self.overage * allowed + self.slack
    }
}

/// One instance's shares of the teams' quotas.
///
/// While the ledger answers, the shares follow each team's demand here as a part of its demand
/// everywhere. When it stops answering they stay as they are, so that they add up to one.
#[derive(Clone, Debug)]
pub struct QuotaShares {
    tolerance: QuotaTolerance,
    teams: HashMap<Arc<str>, TeamShare>,
    /// When the instance started. Shares fill from then on, so that instances which start together
    /// don't admit a burst at once.
    started: Moment,
    /// When the ledger was found not to answer; `None` while it does.
    alone_since: Option<Moment>,
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamShare {
    /// What this instance was admitted by the ledger.
    own: DecayedRate,
    /// What all instances together were admitted, in units per second.
    fleet_rate: f64,
    /// The share of the quota. It outlives the times at which the ledger answers: if it were full
    /// again after each of them, a ledger that answers now and then would multiply the quota.
    bucket: Option<TokenBucket>,
    /// What was admitted from it since the last report.
    unreported: f64,
}

impl QuotaShares {
    /// Creates the shares of an instance that starts now and has not heard from a ledger.
    pub fn new(tolerance: QuotaTolerance, now: Moment) -> Self {
        Self {
            tolerance,
            teams: HashMap::new(),
            started: now,
            alone_since: None,
        }
    }

    /// Records that the ledger has admitted a request of this instance.
    pub fn admitted(&mut self, team: &Arc<str>, cost: f64, fleet_rate: Option<f32>, now: Moment) {
        self.alone_since = None;
        let share = self.teams.entry(Arc::clone(team)).or_default();
        share.own.add(cost, DEMAND_HALF_LIFE, now);
        if let Some(rate) = fleet_rate {
            share.fleet_rate = f64::from(rate);
        }
    }

    /// Admits a request from this instance's share of its team's quota, if the share allows it.
    ///
    /// `instances` is the number of instances, if known. `draw` is a random number from 0 to 1: a
    /// share that holds a part of the cost admits the request with that probability, so that a team
    /// whose share at each instance is smaller than one request is still served.
    pub fn try_admit(
        &mut self,
        team: &Team,
        cost: f64,
        instances: Option<usize>,
        draw: f64,
        now: Moment,
    ) -> bool {
        let Some(quota) = team.quota else {
            return true;
        };
        let share = self.refilled(team, &quota, instances, now);
        let Some(bucket) = &mut share.bucket else {
            return false;
        };
        let held = bucket.level(now);
        let is_admitted = cost <= quota.burst && (held >= cost || draw * cost < held);
        if is_admitted {
            bucket.add(-cost.min(held), now);
            share.unreported += cost;
        }
        is_admitted
    }

    /// Returns whether this instance's share of a team's quota stays at least half full if it admits
    /// a request. Then the request needs no answer of the ledger that comes late; the rest is kept for
    /// requests that get no answer at all.
    pub fn has_surplus(
        &mut self,
        team: &Team,
        cost: f64,
        instances: Option<usize>,
        now: Moment,
    ) -> bool {
        let Some(quota) = team.quota else {
            return true;
        };
        let share = self.refilled(team, &quota, instances, now);
        let bucket = share.bucket.as_ref();
        cost <= quota.burst && bucket.is_some_and(|it| it.level(now) - cost >= it.capacity() / 2.0)
    }

    /// Returns a team's share with its bucket as it is now.
    fn refilled(
        &mut self,
        team: &Team,
        quota: &Quota,
        instances: Option<usize>,
        now: Moment,
    ) -> &mut TeamShare {
        let since = *self.alone_since.get_or_insert(now);
        let excess = self.tolerance.excess(quota);
        let share = self.teams.entry(Arc::clone(&team.name)).or_default();
        let part = share.part(instances, since);
        let rate = quota.rate * RATE_PART * part;
        let capacity = excess * TOLERANCE_PART * part;
        let new = || TokenBucket::empty(rate, capacity, self.started);
        let bucket = share.bucket.get_or_insert_with(new);
        bucket.set_limits(rate, capacity, now);
        share
    }

    /// Takes what was admitted without the ledger since the last call, by team. It is reported to
    /// the ledger at short intervals, or never if there is none: a later ledger starts with nothing
    /// to give.
    pub fn take_unreported(&mut self) -> Vec<(Arc<str>, f64)> {
        let spent = self.teams.iter_mut().filter(|(_, it)| it.unreported > 0.0);
        spent
            .map(|(team, it)| (Arc::clone(team), std::mem::take(&mut it.unreported)))
            .collect()
    }

    /// Removes teams that are not in the configuration any more.
    pub fn retain(&mut self, mut is_known: impl FnMut(&str) -> bool) {
        self.teams.retain(|team, _| is_known(team));
    }
}

impl TeamShare {
    /// Returns this instance's part of the quota, from 0 to 1.
    fn part(&self, instances: Option<usize>, since: Moment) -> f64 {
        let evenly = instances.map_or(0.0, |it| 1.0 / it.max(1) as f64);
        let own = self.own.per_second(DEMAND_HALF_LIFE, since);
        let by_demand = if self.fleet_rate > 0.0 {
            (own / self.fleet_rate).min(MAX_CONCENTRATION * evenly)
        } else {
            0.0
        };
        BY_DEMAND * by_demand.min(1.0) + (1.0 - BY_DEMAND) * evenly
    }
}
