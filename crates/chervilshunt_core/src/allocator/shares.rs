//! Calculates how a site's power is divided between its targets.

use std::collections::BTreeMap;

use chervilshunt_model::TargetName;

use super::PowerConfig;
use super::target::TargetPower;

/// Fraction of a target's power range that it always receives, so that live work can start at once.
const MIN_RANGE_FRACTION: f64 = 1.0 / 16.0;

/// Factor for the power withheld from deferrable work to absorb bursts of live work. The reserve is
/// this factor times the square root of the product of all live demand and the range of one target.
///
/// Bursts grow with the square root of the load. Power used by deferrable sequences is only freed
/// as their answers end, after about half a minute. Without the reserve, live work that grows at
/// one target would wait that long for room in the batch, or move to another target, which would
/// have to load its adapter.
const BURST_RESERVE_FACTOR: f64 = 1.5;

/// Calculates the share of each target.
///
/// A parked target gets none. Every other target gets the fixed part of a step and a small part of
/// its range, then the power that its live work could use, then the power that its deferrable work
/// could use. The remainder is spread over all of them, so that a burst finds power available. If
/// there is not enough power for all deferrable work, the fraction given by the weight of batch
/// efficiency goes to a few targets in full, since the same sequences then take fewer steps.
pub(super) fn allocate(cfg: &PowerConfig, targets: &mut BTreeMap<TargetName, TargetPower>) {
    let mut spare = cfg.cap_watts;
    for power in targets.values_mut() {
        power.desired = if power.parked { 0.0 } else { power.idle_watts };
        spare -= power.desired;
    }
    if spare < 0.0 {
        allocate_whole_targets(cfg.cap_watts, targets);
        return;
    }
    raise_evenly(targets, &mut spare, |it| {
        it.idle_watts + it.range() * MIN_RANGE_FRACTION
    });
    raise_evenly(targets, &mut spare, |it| it.live_watts);
    let reserve = burst_reserve(targets).min(spare);
    spare -= reserve;
    let weights = cfg.weights;
    let sum = weights.load_stalls + weights.batch_efficiency;
    if cfg.mechanisms.packing && sum > 0.0 {
        let mut packed = spare * weights.batch_efficiency / sum;
        let kept = spare - packed;
        fill_largest_first(targets, &mut packed);
        spare = kept + packed;
    }
    raise_evenly(targets, &mut spare, |it| {
        it.live_watts + it.deferrable_watts
    });
    spare += reserve;
    raise_evenly(targets, &mut spare, |it| it.full_watts);
}

fn burst_reserve(targets: &BTreeMap<TargetName, TargetPower>) -> f64 {
    let live: f64 = targets.values().map(TargetPower::live_demand).sum();
    let range = targets.values().map(TargetPower::range).fold(0.0, f64::max);
    BURST_RESERVE_FACTOR * (live * range).sqrt()
}

/// Divides a cap that does not cover the fixed power of all targets in use.
///
/// Not every target can run a step, so targets are given their full power in order of their names
/// for as long as the cap lasts.
fn allocate_whole_targets(cap_watts: f64, targets: &mut BTreeMap<TargetName, TargetPower>) {
    let mut left = cap_watts;
    for power in targets.values_mut() {
        let given = if power.full_watts <= left {
            power.full_watts
        } else {
            0.0
        };
        power.desired = given;
        left -= given;
    }
}

/// Raises every target towards its goal by the same fraction of what it lacks.
fn raise_evenly(
    targets: &mut BTreeMap<TargetName, TargetPower>,
    spare: &mut f64,
    goal: impl Fn(&TargetPower) -> f64,
) {
    let lacks = |it: &TargetPower| {
        if it.parked {
            return 0.0;
        }
        (goal(it).min(it.full_watts) - it.desired).max(0.0)
    };
    let lacking: f64 = targets.values().map(lacks).sum();
    if lacking <= 0.0 || *spare <= 0.0 {
        return;
    }
    let part = (*spare / lacking).min(1.0);
    for power in targets.values_mut() {
        power.desired += part * lacks(power);
    }
    *spare = (*spare - lacking * part).max(0.0);
}

/// Gives the targets that hold the largest shares all the power that their deferrable work could
/// use.
fn fill_largest_first(targets: &mut BTreeMap<TargetName, TargetPower>, spare: &mut f64) {
    let mut order: Vec<&mut TargetPower> = targets.values_mut().filter(|it| !it.parked).collect();
    order.sort_by(|left, right| right.share().total_cmp(&left.share()));
    for power in order {
        let goal = (power.live_watts + power.deferrable_watts).min(power.full_watts);
        let given = (goal - power.desired).clamp(0.0, *spare);
        power.desired += given;
        *spare -= given;
    }
}
