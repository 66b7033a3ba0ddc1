//! Lower bound on the expected number of stalls of every policy that does not know the trace.
//!
//! Requests arrive independently of each other. Whatever a policy did before, the probability that
//! the next request finds its adapter loaded is therefore at most the summed popularity of the most
//! popular adapters, as many as there are slots. The bound also holds for policies that load ahead
//! of demand. See `docs/design/bench.md`.

use chervilshunt_model::Class;

use super::deployment::{SLOTS, Sizes};
use super::metrics::{RunReport, millis};
use super::scenario::Schedule;
use super::workload::Trace;

/// Description of the quantity that [`fill`] bounds, as written to the report.
const BOUND_OF: &str = "expected stalls of policies that don't know the trace; \
    stalled_ms_total if each takes one undisturbed load";

/// Writes the bound to `report`.
pub(crate) fn fill(report: &mut RunReport, sizes: &Sizes, schedule: &Schedule, trace: &Trace) {
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
