//! The division of a site's power between its targets.

use std::collections::BTreeMap;

use chervilshunt_model::TargetName;

use super::PowerConfig;
use super::target::TargetPower;

/// Part of a target's range of power that it always has, so that live work is served at once.
const ALWAYS: f64 = 1.0 / 16.0;

/// Power kept from deferrable work for bursts of live work, in square roots of the power of all
/// live sequences times the range of one target.
///
/// Bursts grow with the square root of the work. Power that deferrable sequences use comes back
/// only as their answers end, after half a minute; without this part live work that grows at one
/// target waits for a seat that long, or moves to another target, which has to load its adapter.
const BURST_POOL: f64 = 1.5;

/// Works out the share that each target is to have.
///
/// A parked target gets none. Each other gets the fixed part and a little more, then what its live work could use, then what
/// its deferrable work could use. What is left goes to all, so that a burst finds power at hand.
/// Where deferrable work has to be cut short, the part that batch efficiency has in the weights
/// goes to few targets in full: the same sequences then take fewer steps.
pub(super) fn work_out(cfg: &PowerConfig, targets: &mut BTreeMap<TargetName, TargetPower>) {
    let mut spare = cfg.cap_watts;
    for power in targets.values_mut() {
        power.wanted = if power.parked { 0.0 } else { power.idle_watts };
        spare -= power.wanted;
    }
    if spare < 0.0 {
        scale_to(cfg.cap_watts, targets);
        return;
    }
    give_evenly(targets, &mut spare, |it| {
        it.idle_watts + it.range() * ALWAYS
    });
    give_evenly(targets, &mut spare, |it| it.live_watts);
    let pool = burst_pool(targets).min(spare);
    spare -= pool;
    let weights = cfg.weights;
    let sum = weights.load_stalls + weights.batch_efficiency;
    if cfg.mechanisms.packing && sum > 0.0 {
        let mut packed = spare * weights.batch_efficiency / sum;
        let kept = spare - packed;
        give_to_few(targets, &mut packed);
        spare = kept + packed;
    }
    give_evenly(targets, &mut spare, |it| {
        it.live_watts + it.deferrable_watts
    });
    spare += pool;
    give_evenly(targets, &mut spare, |it| it.full_watts);
}

fn burst_pool(targets: &BTreeMap<TargetName, TargetPower>) -> f64 {
    let live: f64 = targets.values().map(TargetPower::live_demand).sum();
    let range = targets.values().map(TargetPower::range).fold(0.0, f64::max);
    BURST_POOL * (live * range).sqrt()
}

/// Divides a cap that does not even cover the fixed parts of the targets in use.
///
/// It can't run a step on each of them, so it goes to as many as it covers, by name.
fn scale_to(cap_watts: f64, targets: &mut BTreeMap<TargetName, TargetPower>) {
    let mut left = cap_watts;
    for power in targets.values_mut() {
        let given = if power.full_watts <= left {
            power.full_watts
        } else {
            0.0
        };
        power.wanted = given;
        left -= given;
    }
}

/// Raises every target towards a goal, by the same part of what it lacks.
fn give_evenly(
    targets: &mut BTreeMap<TargetName, TargetPower>,
    spare: &mut f64,
    goal: impl Fn(&TargetPower) -> f64,
) {
    let lacks = |it: &TargetPower| {
        if it.parked {
            return 0.0;
        }
        (goal(it).min(it.full_watts) - it.wanted).max(0.0)
    };
    let lacking: f64 = targets.values().map(lacks).sum();
    if lacking <= 0.0 || *spare <= 0.0 {
        return;
    }
    let part = (*spare / lacking).min(1.0);
    for power in targets.values_mut() {
        power.wanted += part * lacks(power);
    }
    *spare = (*spare - lacking * part).max(0.0);
}

/// Gives the targets with the largest shares all that their deferrable work could use.
fn give_to_few(targets: &mut BTreeMap<TargetName, TargetPower>, spare: &mut f64) {
    let mut order: Vec<&mut TargetPower> = targets.values_mut().filter(|it| !it.parked).collect();
    order.sort_by(|left, right| right.share().total_cmp(&left.share()));
    for power in order {
        let goal = (power.live_watts + power.deferrable_watts).min(power.full_watts);
        let given = (goal - power.wanted).clamp(0.0, *spare);
        power.wanted += given;
        *spare -= given;
    }
}
