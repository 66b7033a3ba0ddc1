//! Fair shares of a service's throughput while it is short.
//!
//! Load that this handles: one team sends several times its usual rate. Without shares it takes the
//! throughput in proportion to its requests, and every other team is refused as often as the one
//! that causes the shortage.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::Moment;

use crate::decay::DecayedRate;

/// Half-life of the measured demand. It is short enough that a team is back at its usual demand a
/// second or two after a burst, and long enough to count the requests of a team that sends one or
/// two a second.
pub(super) const DEMAND_HALF_LIFE: Duration = Duration::from_secs(1);
/// The part of the throughput that is shared out. At the whole of it the queues would be at their
/// bounds all the time, and teams within their shares would be refused by chance. The rest is not
/// lost: a request that finds a free slot is admitted whatever its team's share.
const SHARED_PART: f64 = 0.9;
/// Time for which computed shares are used. The demand changes little within it, and computing the
/// shares takes time in proportion to the number of teams.
const LEVEL_VALIDITY: Duration = Duration::from_millis(50);
/// Demand in requests per second below which a team is forgotten, which bounds the memory.
const MIN_DEMAND: f64 = 0.01;
/// The number of teams that are told apart, which bounds the memory; further ones share an entry
/// with the requests that have no team.
const MAX_TEAMS: usize = 4_096;

/// The demand of each team for one service, and the shares that follow from it.
#[derive(Clone, Debug, Default)]
pub(super) struct FairShares {
    teams: HashMap<Option<Arc<str>>, TeamDemand>,
    /// The share of a team of weight 1, in requests per second, and when it was computed; `None`
    /// while the throughput covers the demand.
    level: Option<f64>,
    /// The demand of all teams, in requests per second.
    total: f64,
    computed_at: Option<Moment>,
    /// The weight of teams without a quota.
    mean_weight: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamDemand {
    demand: DecayedRate,
    /// Requests admitted because their callers returned at their times.
    returned: DecayedRate,
    /// Times to return that callers were given.
    promised: DecayedRate,
    /// The requests per second that the team's quota allows, if it has one.
    weight: Option<f64>,
}

impl TeamDemand {
    fn rate(of: &DecayedRate, now: Moment) -> f64 {
        of.per_second(DEMAND_HALF_LIFE, now)
    }
}

impl FairShares {
    fn entry(&mut self, team: Option<&Arc<str>>) -> &mut TeamDemand {
        let key = team.filter(|it| {
            self.teams.len() < MAX_TEAMS || self.teams.contains_key(&Some(Arc::clone(it)))
        });
        self.teams.entry(key.cloned()).or_default()
    }

    fn get(&self, team: Option<&Arc<str>>) -> Option<&TeamDemand> {
        self.teams
            .get(&team.cloned())
            .or_else(|| self.teams.get(&None))
    }

    /// Records a first-time request; `weight` is the number of such requests per second that the
    /// team's quota allows.
    pub(super) fn record_demand(
        &mut self,
        team: Option<&Arc<str>>,
        weight: Option<f64>,
        now: Moment,
    ) {
        let entry = self.entry(team);
        entry.demand.add(1.0, DEMAND_HALF_LIFE, now);
        entry.weight = weight.or(entry.weight);
    }

    /// Records a request that was admitted because its caller returned at its time.
    pub(super) fn record_return(&mut self, team: Option<&Arc<str>>, now: Moment) {
        self.entry(team).returned.add(1.0, DEMAND_HALF_LIFE, now);
    }

    /// Records that a caller was given a time to return.
    pub(super) fn record_promise(&mut self, team: Option<&Arc<str>>, now: Moment) {
        self.entry(team).promised.add(1.0, DEMAND_HALF_LIFE, now);
    }

    /// Returns the probability with which a first-time request of a team is admitted while the
    /// throughput of the service is `capacity` requests per second: 1 for a team within its share.
    ///
    /// What returning callers of the team were admitted counts against the share, so that a team
    /// does not get a second share by being refused.
    pub(super) fn admission_probability(
        &mut self,
        team: Option<&Arc<str>>,
        capacity: f64,
        now: Moment,
    ) -> f64 {
        let Some(share) = self.share(team, capacity, now) else {
            return 1.0;
        };
        let Some(entry) = self.get(team) else {
            return 1.0;
        };
        let demand = TeamDemand::rate(&entry.demand, now);
        if demand <= share {
            return 1.0;
        }
        let returned = TeamDemand::rate(&entry.returned, now);
        ((share - returned) / demand).clamp(0.0, 1.0)
    }

    /// Returns whether a refused caller of a team may be given a time to return: a team beyond its
    /// share gets at most the part of the times that its share is of the throughput.
    pub(super) fn may_promise(
        &mut self,
        team: Option<&Arc<str>>,
        capacity: f64,
        return_part: f64,
        now: Moment,
    ) -> bool {
        let Some(share) = self.share(team, capacity, now) else {
            return true;
        };
        let Some(entry) = self.get(team) else {
            return true;
        };
        TeamDemand::rate(&entry.demand, now) <= share
            || TeamDemand::rate(&entry.promised, now) < share * return_part
    }

    /// Returns whether the demand of all teams exceeds the throughput.
    pub(super) fn exceeds(&mut self, capacity: f64, now: Moment) -> bool {
        self.update(capacity, now);
        self.total > capacity
    }

    /// Returns the share of a team in requests per second, or `None` if the throughput covers the
    /// demand of all teams.
    fn share(&mut self, team: Option<&Arc<str>>, capacity: f64, now: Moment) -> Option<f64> {
        self.update(capacity, now);
        let weight = self.get(team).and_then(|it| it.weight);
        Some(self.level? * weight.unwrap_or(self.mean_weight))
    }

    fn update(&mut self, capacity: f64, now: Moment) {
        let is_valid = |at| now.since(at) < LEVEL_VALIDITY;
        if !self.computed_at.is_some_and(is_valid) {
            self.compute(capacity, now);
        }
    }

    /// Computes the level at which the shares of all teams, each at most its demand, add up to the
    /// throughput (weighted max-min fairness).
    fn compute(&mut self, capacity: f64, now: Moment) {
        self.computed_at = Some(now);
        self.teams.retain(|_, it| {
            TeamDemand::rate(&it.demand, now) + TeamDemand::rate(&it.promised, now) >= MIN_DEMAND
        });
        let weights = self.teams.values().filter_map(|it| it.weight);
        let (sum, count) = weights.fold((0.0, 0.0), |(sum, count), it| (sum + it, count + 1.0));
        self.mean_weight = if count > 0.0 { sum / count } else { 1.0 };
        let mean = self.mean_weight;
        let demands = self.teams.values().map(|it| {
            let weight = it.weight.unwrap_or(mean).max(f64::MIN_POSITIVE);
            (TeamDemand::rate(&it.demand, now), weight)
        });
        let demands: Vec<(f64, f64)> = demands.collect();
        self.total = demands.iter().map(|(demand, _)| demand).sum();
        self.level = max_min_level(demands, capacity * SHARED_PART);
    }
}

/// Returns the level `l` at which the sum of `min(demand, l * weight)` is `capacity`, or `None` if
/// the capacity covers all demands.
fn max_min_level(mut demands: Vec<(f64, f64)>, capacity: f64) -> Option<f64> {
    demands.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let mut left = capacity;
    let mut weights: f64 = demands.iter().map(|(_, weight)| weight).sum();
    for (demand, weight) in demands {
        let level = left / weights;
        if demand > level * weight {
            return Some(level.max(0.0));
        }
        left -= demand;
        weights -= weight;
    }
    None
}
