//! A lower bound on the stalls of every policy that does not know the trace.
//!
//! Requests arrive independently of each other, so whatever a policy did before, the next one finds
//! its adapter loaded with at most the summed popularity of as many adapters as there are slots.
//! That holds for loads ahead of demand, too. See `docs/design/bench.md`.

use chervilshunt_model::Class;

use super::deployment::{SLOTS, Sizes};
use super::metrics::{Report, millis};
use super::scenario::Schedule;
use super::workload::Trace;

/// The quantity that [`fill`] bounds.
const BOUND_OF: &str = "expected stalls of policies that don't know the trace; \
    stalled_ms_total if each takes one undisturbed load";

/// Writes the bound into a report.
pub(crate) fn fill(report: &mut Report, sizes: &Sizes, schedule: &Schedule, trace: &Trace) {
    let slots = sizes.engines as u32 * SLOTS;
    for req in trace
        .requests
        .iter()
        .filter(|req| req.at >= schedule.warm_up_end)
    {
        report.requests += u64::from(req.adapter.is_some());
        let unpopular = req.rank.is_some_and(|rank| rank >= slots);
        report.stalls += u64::from(unpopular && req.class == Class::Live);
    }
    let load_ms = millis(sizes.load_time());
    report.stall_ms_p50 = load_ms;
    report.stall_ms_p99 = load_ms;
    report.stalled_ms_total = report.stalls as f64 * load_ms;
    report.bound_of = Some(BOUND_OF);
}
