//! Lower bound on the stalled time of live requests, computed offline from the whole trace.
//!
//! The bound holds for every policy that starts a load of an adapter only while a request for it
//! waits. See `docs/design/bench.md` for the proof.

use std::collections::{BTreeSet, HashMap};

use chervilshunt_model::{Class, Moment};

use super::deployment::{SLOTS, Sizes};
use super::metrics::{RunReport, millis};
use super::scenario::{Scenario, Schedule};
use super::workload::Trace;

/// Description of the quantity that [`fill`] bounds, as written to the report.
const BOUND_OF: &str = "stalls and stalled_ms_total of policies that load on demand";

/// Number of load times after a request during which its adapter is not counted as occupying a
/// slot, because the request may still wait for the adapter.
const SLACK_LOADS: u32 = 2;

/// Interval during which an adapter must stay loaded so that its next request does not stall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Gap {
    start: Moment,
    end: Moment,
}

/// Writes the bound to `report`.
pub(crate) fn fill(
    report: &mut RunReport,
    sizes: &Sizes,
    scenario: Scenario,
    schedule: &Schedule,
    trace: &Trace,
) {
    let measured = |at: Moment| at >= schedule.warm_up_end;
    let engine_requests = trace.requests.iter().filter(|req| req.adapter.is_some());
    report.requests = engine_requests.filter(|req| measured(req.at)).count() as u64;
    let wiped = (scenario == Scenario::Restart).then_some(schedule.start);
    let gaps = gaps(trace, sizes, schedule);
    let stalls = min_missed(gaps, sizes.engines * SLOTS as usize, wiped);
    let load_ms = millis(sizes.load_time());
    report.stalls = stalls;
    report.stall_ms_p50 = load_ms;
    report.stall_ms_p99 = load_ms;
    report.stalled_ms_total = stalls as f64 * load_ms;
    report.bound_of = Some(BOUND_OF);
}

/// Returns the gaps between successive live requests for the same adapter, sorted by start.
fn gaps(trace: &Trace, sizes: &Sizes, schedule: &Schedule) -> Vec<Gap> {
    let slack = sizes.load_time() * SLACK_LOADS;
    let mut last: HashMap<u32, Moment> = HashMap::new();
    let mut gaps = Vec::new();
    for req in &trace.requests {
        let (Some(adapter), Class::Live) = (req.adapter, req.class) else {
            continue;
        };
        if req.at < schedule.warm_up_end {
            continue;
        }
        // Any adapter may be loaded when measurement starts, so the first gap starts there.
        let before = last.insert(adapter, req.at);
        let start = before.map_or(schedule.warm_up_end, |at| at + slack);
        if start < req.at {
            gaps.push(Gap { start, end: req.at });
        }
    }
    gaps.sort_by_key(|gap| gap.start);
    gaps
}

/// Returns the minimum number of gaps that cannot be kept if at most `slots` are kept at any time.
///
/// When too many gaps overlap, the one that ends last is dropped. This is Belady's algorithm, which
/// is optimal. Gaps that span `wiped`, the time at which all engines lose their adapters, are always
/// missed.
fn min_missed(gaps: Vec<Gap>, slots: usize, wiped: Option<Moment>) -> u64 {
    let mut kept: BTreeSet<(Moment, usize)> = BTreeSet::new();
    let mut missed = 0;
    for (number, gap) in gaps.into_iter().enumerate() {
        if wiped.is_some_and(|at| gap.start < at && at < gap.end) {
            missed += 1;
            continue;
        }
        while kept.first().is_some_and(|(end, _)| *end <= gap.start) {
            kept.pop_first();
        }
        kept.insert((gap.end, number));
        if kept.len() > slots {
            kept.pop_last();
            missed += 1;
        }
    }
    missed
}
