//! Which targets run nothing for a while, so that the others run fuller batches.
//!
//! A step costs its fixed part however few sequences it runs. The same work takes fewer steps, and
//! less power, on fewer targets; but fewer targets hold fewer adapters, and requests wait for
//! loads more often. The weights of the deployment decide; see `docs/design/power.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_model::{Moment, TargetName};

use super::PowerConfig;
use super::target::TargetPower;
use crate::decay::DecayedLevel;

/// Memory of the demand by which targets are parked.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(30);

/// Part by which the power for sequences has to exceed the demand for it.
const HEAD_ROOM: f64 = 1.2;

/// Part of each batch that is to be filled before another target is used, where batches alone
/// count; in proportion where they outweigh stalls by less, and none where they don't.
const FULL_ENOUGH: f64 = 0.85;

/// Time for which fewer targets have to do before one is parked, and between two.
const PARK_PAUSE: Duration = Duration::from_secs(20);

/// The choice of targets to be parked.
#[derive(Debug)]
pub(super) struct Parking {
    demand: DecayedLevel,
    /// Since when fewer targets would do.
    fewer_since: Option<Moment>,
    started: Moment,
}

impl Parking {
    /// Starts with no target parked.
    pub(super) fn new(now: Moment) -> Self {
        Self {
            demand: DecayedLevel::default(),
            fewer_since: None,
            started: now,
        }
    }

    /// Returns when the choice is to be reviewed, even if no demand changes.
    pub(super) fn next_review(&self) -> Option<Moment> {
        self.fewer_since.map(|since| since + PARK_PAUSE)
    }

    /// Parks at most one target, or takes as many back as demand asks for.
    pub(super) fn work_out(
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
        let lasting = self.demand.average(DEMAND_HALF_LIFE, now);
        let wanted = wanted_targets(cfg, targets, lasting, fill);
        let in_use = targets.values().filter(|it| !it.parked).count();
        if wanted >= in_use {
            self.fewer_since = None;
            for _ in in_use..wanted {
                unpark_one(targets);
            }
            return;
        }
        let settled = now.since(self.started) >= PARK_PAUSE * 3;
        let since = *self.fewer_since.get_or_insert(now);
        if settled && now.since(since) >= PARK_PAUSE {
            self.fewer_since = Some(now);
            park_one(targets);
        }
    }
}

/// Returns how many targets are to be in use.
fn wanted_targets(
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
    let enough = |used: &usize| power_for(*used) >= demand * HEAD_ROOM;
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

/// Returns the part of each batch that is to be filled before another target is used: none where
/// stalls weigh as much as batches or more.
fn batch_fill(cfg: &PowerConfig) -> f64 {
    let weights = cfg.weights;
    let sum = weights.batch_efficiency + weights.load_stalls;
    if sum <= 0.0 || !cfg.mechanisms.packing {
        return 0.0;
    }
    (weights.batch_efficiency - weights.load_stalls) / sum * FULL_ENOUGH
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
