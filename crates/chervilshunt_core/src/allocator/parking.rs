//! Chooses targets that run nothing for a while, so that the others run fuller batches.
//!
//! An engine step has a fixed power cost, however few sequences it runs. On fewer targets the same
//! work takes fewer steps and less power, but fewer targets hold fewer adapters, so that requests
//! wait for adapter loads more often. The deployment's weights decide between the two; see
//! `docs/design/power.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_model::{Moment, TargetName};

use super::PowerConfig;
use super::target::TargetPower;
use crate::decay::DecayedLevel;

/// Half-life of the average demand that parking decisions are based on.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(30);

/// Ratio by which the power available to sequences must exceed their demand.
const HEADROOM_RATIO: f64 = 1.2;

/// Fraction of each batch to fill before another target is used, if only batch efficiency counts.
/// It is scaled down as load stalls gain weight, and is zero where they weigh as much or more.
const MAX_BATCH_FILL: f64 = 0.85;

/// Time for which fewer targets must suffice before one is parked, and minimum time between two
/// parkings.
const PARK_DELAY: Duration = Duration::from_secs(20);

/// Decides which targets are parked.
#[derive(Debug)]
pub(super) struct Parking {
    demand: DecayedLevel,
    /// Time since which fewer targets than are in use would suffice.
    surplus_since: Option<Moment>,
    started: Moment,
}

impl Parking {
    /// Creates the state with no target parked.
    pub(super) fn new(now: Moment) -> Self {
        Self {
            demand: DecayedLevel::default(),
            surplus_since: None,
            started: now,
        }
    }

    /// Returns when the decision must be reviewed even if demand does not change.
    pub(super) fn next_review(&self) -> Option<Moment> {
        self.surplus_since.map(|since| since + PARK_DELAY)
    }

    /// Parks at most one target, or unparks as many as demand requires.
    pub(super) fn update(
        &mut self,
        cfg: &PowerConfig,
        targets: &mut BTreeMap<TargetName, TargetPower>,
        now: Moment,
    ) {
        let fill = batch_fill(cfg);
        let demand = |it: &TargetPower| {
            let deferrable = if fill > 0.0 { it.deferrable_watts } else { 0.0 };
            it.live_demand() + deferrable
        };
        let demand: f64 = targets.values().map(demand).sum();
        self.demand.set(demand, DEMAND_HALF_LIFE, now);
        let average = self.demand.average(DEMAND_HALF_LIFE, now);
        let desired = desired_targets(cfg, targets, average, fill);
        let in_use = targets.values().filter(|it| !it.parked).count();
        if desired >= in_use {
            self.surplus_since = None;
            for _ in in_use..desired {
                unpark_one(targets);
            }
            return;
        }
        let settled = now.since(self.started) >= PARK_DELAY * 3;
        let since = *self.surplus_since.get_or_insert(now);
        if settled && now.since(since) >= PARK_DELAY {
            self.surplus_since = Some(now);
            park_one(targets);
        }
    }
}

/// Returns how many targets should be in use.
fn desired_targets(
    cfg: &PowerConfig,
    targets: &BTreeMap<TargetName, TargetPower>,
    demand: f64,
    fill: f64,
) -> usize {
    let count = targets.len().max(1);
    let fixed = targets.values().map(|it| it.idle_watts).sum::<f64>() / count as f64;
    let range = targets.values().map(TargetPower::range).sum::<f64>() / count as f64;
    let power_for = |used: usize| {
        let used = used as f64;
        (used * range).min(cfg.cap_watts - used * fixed)
    };
    let enough = |used: &usize| power_for(*used) >= demand * HEADROOM_RATIO;
    if !(1..=count).any(|used| enough(&used)) {
        let most = |left: &usize, right: &usize| power_for(*left).total_cmp(&power_for(*right));
        return (1..=count).max_by(most).unwrap_or(count);
    }
    let largest = (1..=count).rev().find(enough).unwrap_or(count);
    let smallest = (1..=count).find(enough).unwrap_or(count);
    if fill <= 0.0 {
        return largest;
    }
    let filled = (demand / (fill * range.max(f64::MIN_POSITIVE))).ceil() as usize;
    filled.clamp(smallest, largest)
}

/// Returns the fraction of each batch to fill before another target is used. It is not positive if
/// load stalls weigh at least as much as batch efficiency.
fn batch_fill(cfg: &PowerConfig) -> f64 {
    let weights = cfg.weights;
    let sum = weights.batch_efficiency + weights.load_stalls;
    if sum <= 0.0 || !cfg.mechanisms.packing {
        return 0.0;
    }
    (weights.batch_efficiency - weights.load_stalls) / sum * MAX_BATCH_FILL
}

fn park_one(targets: &mut BTreeMap<TargetName, TargetPower>) {
    let in_use = targets.values_mut().filter(|it| !it.parked);
    if let Some(power) = in_use.min_by(|a, b| a.demand().total_cmp(&b.demand())) {
        power.parked = true;
    }
}

fn unpark_one(targets: &mut BTreeMap<TargetName, TargetPower>) {
    let parked = targets.values_mut().filter(|it| it.parked);
    if let Some(power) = parked.max_by(|a, b| a.demand().total_cmp(&b.demand())) {
        power.parked = false;
    }
}
