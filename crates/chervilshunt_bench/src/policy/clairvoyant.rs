//! A lower bound on the stalled time of live requests, from knowing the whole trace.
//!
//! It holds for every policy that begins a load of an adapter only while a request for it waits.
//! The proof stands in `docs/design/bench.md`.

use std::collections::{BTreeSet, HashMap};

use chervilshunt_model::{Class, Moment};

use super::deployment::{SLOTS, Sizes};
use super::metrics::{Report, millis};
use super::scenario::{Scenario, Schedule};
use super::workload::Trace;

/// The quantity that [`fill`] bounds.
const BOUND_OF: &str = "stalls and stalled_ms_total of policies that load on demand";

/// Loads by which the wait for an adapter is left out of the time that its slot is taken.
const SLACK_LOADS: u32 = 2;

/// A time during which an adapter has to be kept so that its next request finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Gap {
    start: Moment,
    end: Moment,
}

/// Writes the bound into a report.
pub(crate) fn fill(
    report: &mut Report,
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
    let stalls = least_missed(gaps, sizes.engines * SLOTS as usize, wiped);
    let load_ms = millis(sizes.load_time());
    report.stalls = stalls;
    report.stall_ms_p50 = load_ms;
    report.stall_ms_p99 = load_ms;
    report.stalled_ms_total = stalls as f64 * load_ms;
    report.bound_of = Some(BOUND_OF);
}

/// Returns the gaps between live requests of the same adapter, by start.
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
        // Anything may be held when measuring begins.
        let before = last.insert(adapter, req.at);
        let start = before.map_or(schedule.warm_up_end, |at| at + slack);
        if start < req.at {
            gaps.push(Gap { start, end: req.at });
        }
    }
    gaps.sort_by_key(|gap| gap.start);
    gaps
}

/// Returns how many gaps can't be kept at least, if at most `slots` are kept at any time.
///
/// Of the gaps that overlap, the one that ends last is given up: Belady's rule, which is optimal.
fn least_missed(gaps: Vec<Gap>, slots: usize, wiped: Option<Moment>) -> u64 {
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
