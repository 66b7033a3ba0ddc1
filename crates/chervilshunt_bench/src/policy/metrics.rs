//! Measurements of one run.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use chervilshunt_model::{Class, Moment};
use hdrhistogram::Histogram;
use serde::Serialize;

use super::power::PowerMeter;
use super::requests::{Phase, RequestState, Requests};
use super::workload::{FLOOD_CALLER, Trace};

/// Number of significant digits that the histograms keep.
const DIGITS: u8 = 3;

/// Result of one run; values that do not apply to the policy are `null`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RunReport {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Length of the run in simulated seconds, including the warm-up.
    pub seconds: u64,
    /// Factor by which all request rates were multiplied.
    pub load: f64,
    /// Number of requests to engines that arrived during the measurement period.
    pub requests: u64,
    /// Number of those that were live and stalled on an adapter load.
    pub stalls: u64,
    /// Median stalled time of stalled live requests, in milliseconds.
    pub stall_ms_p50: f64,
    /// 99th percentile of the stalled time of stalled live requests, in milliseconds.
    pub stall_ms_p99: f64,
    /// Total stalled time of live requests, in milliseconds.
    pub stalled_ms_total: f64,
    /// Number of deferrable requests that stalled on an adapter load.
    pub deferrable_stalls: Option<u64>,
    /// Total stalled time of deferrable requests, in milliseconds.
    pub deferrable_stalled_ms_total: Option<f64>,
    /// Median wait of live requests, from arrival to the first engine step, in milliseconds.
    pub live_wait_ms_p50: Option<f64>,
    /// 99th percentile of the wait of live requests, in milliseconds.
    pub live_wait_ms_p99: Option<f64>,
    /// 99th percentile of the wait of live requests, excluding those of the flooding caller, in
    /// milliseconds.
    pub other_callers_live_wait_ms_p99: Option<f64>,
    /// 99th percentile of the wait of calls to the plain service, in milliseconds.
    pub plain_wait_ms_p99: Option<f64>,
    /// Number of live requests whose callers gave up.
    pub live_failed: Option<u64>,
    /// Number of deferrable requests that ended without a response.
    pub deferrable_failed: Option<u64>,
    /// Number of deferrable requests that were completed.
    pub deferrable_done: Option<u64>,
    /// Number of deferrable requests still waiting when the run ended.
    pub deferrable_waiting: Option<u64>,
    /// Median wait of deferrable requests, in milliseconds.
    pub deferrable_wait_ms_p50: Option<f64>,
    /// Longest wait of a deferrable request, in milliseconds.
    pub deferrable_oldest_ms: Option<f64>,
    /// Number of adapter loads started.
    pub loads: Option<u64>,
    /// Number of adapter loads that failed.
    pub loads_failed: Option<u64>,
    /// Number of adapters unloaded.
    pub evictions: Option<u64>,
    /// Number of engine steps.
    pub steps: Option<u64>,
    /// Number of output tokens.
    pub tokens: Option<u64>,
    /// Output tokens per engine step.
    pub useful_tokens_per_step: Option<f64>,
    /// Energy per output token, above the draw of parked accelerators, in joules.
    pub joules_per_token: Option<f64>,
    /// Number of steps that began while the power draw exceeded the cap in force.
    pub cap_exceeded_steps: Option<u64>,
    /// Time from the last reduction of the power cap until the new cap was last exceeded, in milliseconds.
    pub cap_settled_ms: Option<f64>,
    /// Number of evictions of adapters in use, as observed by the engines: orders to unload such an
    /// adapter, which engines refuse, and permitted calls that found their adapter missing.
    pub pinned_evictions: Option<u64>,
    /// Fraction of prompts whose prefix was cached.
    pub prefix_hit_part: Option<f64>,
    /// Number of refusals, by reason.
    pub refused: BTreeMap<&'static str, u64>,
    /// Outcomes of the live requests.
    pub live: Option<ClassReport>,
    /// Outcomes of the deferrable requests.
    pub deferrable: Option<ClassReport>,
    /// Description of the quantity that the report bounds, if it is a bound and not a simulation.
    pub bound_of: Option<&'static str>,
}

/// Outcomes of the requests of one class that arrived during the measurement period.
///
/// A policy cannot reduce `wait_ms_total` or the stalled time by refusing requests or letting them
/// expire: both are counted from arrival to the first engine step, to the time at which the caller
/// gives up, or to the end of the run. Refused and expired requests are also counted separately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ClassReport {
    /// Number of requests.
    pub requests: u64,
    /// Number of requests that were refused at least once.
    pub refused: u64,
    /// Number of refusals; a request that is retried may be refused again.
    pub refusals: u64,
    /// Number of requests whose callers gave up, or that ended without a response.
    pub expired: u64,
    /// Number of requests that had not started when the run ended.
    pub unserved: u64,
    /// Total wait of all requests, in milliseconds.
    pub wait_ms_total: f64,
    /// Part of `wait_ms_total` spent outside every queue, between a refusal and the retry, in
    /// milliseconds.
    pub refused_wait_ms_total: f64,
    /// Part of `wait_ms_total` that belongs to requests that expired, in milliseconds.
    pub expired_wait_ms_total: f64,
    /// Total stalled time of all requests, in milliseconds.
    pub stalled_ms_total: f64,
    /// Part of `stalled_ms_total` that belongs to requests that expired, in milliseconds.
    pub expired_stalled_ms_total: f64,
}

/// RunCounters updated during a run.
#[derive(Debug, Default)]
pub(crate) struct RunCounters {
    pub(crate) live_failed: u64,
    pub(crate) deferrable_failed: u64,
    pub(crate) deferrable_done: u64,
    pub(crate) loads: u64,
    pub(crate) loads_failed: u64,
    pub(crate) evictions: u64,
    pub(crate) steps: u64,
    pub(crate) tokens: u64,
    pub(crate) joules: f64,
    pub(crate) pinned_evictions: u64,
    pub(crate) refused: BTreeMap<&'static str, u64>,
}

impl RunReport {
    /// Fills in the values derived from the requests, counters and power meter of a run.
    ///
    /// Requests that arrived before `time` are ignored; its end is the end of the run.
    pub(crate) fn fill(
        &mut self,
        (trace, requests): (&Trace, &Requests),
        counters: &RunCounters,
        meter: &PowerMeter,
        time: Range<Moment>,
    ) {
        self.fill_waits(trace, requests, time);
        self.live_failed = Some(counters.live_failed);
        self.deferrable_failed = Some(counters.deferrable_failed);
        self.deferrable_done = Some(counters.deferrable_done);
        self.loads = Some(counters.loads);
        self.loads_failed = Some(counters.loads_failed);
        self.evictions = Some(counters.evictions);
        self.steps = Some(counters.steps);
        self.tokens = Some(counters.tokens);
        self.useful_tokens_per_step = Some(ratio(counters.tokens as f64, counters.steps as f64));
        self.joules_per_token = Some(ratio(counters.joules, counters.tokens as f64));
        self.cap_exceeded_steps = Some(meter.exceeded_steps);
        self.cap_settled_ms = meter.settled_after.map(millis);
        self.pinned_evictions = Some(counters.pinned_evictions);
        self.refused.clone_from(&counters.refused);
    }

    fn fill_waits(&mut self, trace: &Trace, requests: &Requests, time: Range<Moment>) {
        let mut stalls = DurationSample::new();
        let mut deferrable_stalls = DurationSample::new();
        let mut live = DurationSample::new();
        let mut others = DurationSample::new();
        let mut plain = DurationSample::new();
        let mut deferrable = DurationSample::new();
        let mut deferrable_waiting = 0;
        let mut live_outcome = ClassTotals::default();
        let mut deferrable_outcome = ClassTotals::default();
        for (req, state) in trace.requests.iter().zip(requests.iter()) {
            if req.at < time.start {
                continue;
            }
            let until = state.started.or(state.failed).unwrap_or(time.end);
            let wait = until.since(state.waiting_since);
            if req.adapter.is_none() {
                plain.add(wait);
                continue;
            }
            self.requests += 1;
            match req.class {
                Class::Live => {
                    live_outcome.add(state, wait);
                    live.add(wait);
                    stalls.add_if_any(state.stalled);
                    if req.caller != FLOOD_CALLER {
                        others.add(wait);
                    }
                }
                Class::Deferrable => {
                    deferrable_outcome.add(state, wait);
                    deferrable.add(wait);
                    deferrable_stalls.add_if_any(state.stalled);
                    deferrable_waiting += u64::from(state.phase == Phase::Waiting);
                }
            }
        }
        self.live = Some(live_outcome.report());
        self.deferrable = Some(deferrable_outcome.report());
        self.stalls = stalls.count();
        self.stall_ms_p50 = stalls.quantile(0.5);
        self.stall_ms_p99 = stalls.quantile(0.99);
        self.stalled_ms_total = millis(stalls.total);
        self.deferrable_stalls = Some(deferrable_stalls.count());
        self.deferrable_stalled_ms_total = Some(millis(deferrable_stalls.total));
        self.live_wait_ms_p50 = Some(live.quantile(0.5));
        self.live_wait_ms_p99 = Some(live.quantile(0.99));
        self.other_callers_live_wait_ms_p99 = Some(others.quantile(0.99));
        self.plain_wait_ms_p99 = Some(plain.quantile(0.99));
        self.deferrable_waiting = Some(deferrable_waiting);
        self.deferrable_wait_ms_p50 = Some(deferrable.quantile(0.5));
        self.deferrable_oldest_ms = Some(deferrable.quantile(1.0));
    }
}

/// Counts and total durations of one class of requests.
#[derive(Default)]
struct ClassTotals {
    counts: ClassReport,
    wait: Duration,
    refused_wait: Duration,
    expired_wait: Duration,
    stalled: Duration,
    expired_stalled: Duration,
}

impl ClassTotals {
    fn add(&mut self, state: &RequestState, wait: Duration) {
        let counts = &mut self.counts;
        counts.requests += 1;
        counts.refused += u64::from(state.refusals > 0);
        counts.refusals += u64::from(state.refusals);
        self.wait += wait;
        self.refused_wait += state.refused;
        self.stalled += state.stalled;
        if state.failed.is_some() {
            counts.expired += 1;
            self.expired_wait += wait;
            self.expired_stalled += state.stalled;
        } else if state.started.is_none() {
            counts.unserved += 1;
        }
    }

    fn report(self) -> ClassReport {
        ClassReport {
            wait_ms_total: millis(self.wait),
            refused_wait_ms_total: millis(self.refused_wait),
            expired_wait_ms_total: millis(self.expired_wait),
            stalled_ms_total: millis(self.stalled),
            expired_stalled_ms_total: millis(self.expired_stalled),
            ..self.counts
        }
    }
}

/// Collection of durations, with their sum and quantiles.
struct DurationSample {
    histogram: Histogram<u64>,
    total: Duration,
}

impl DurationSample {
    fn new() -> Self {
        Self {
            histogram: Histogram::new(DIGITS).expect("the number of digits is allowed"),
            total: Duration::ZERO,
        }
    }

    fn add(&mut self, value: Duration) {
        self.total += value;
        let micros = u64::try_from(value.as_micros()).unwrap_or(u64::MAX);
        self.histogram
            .record(micros)
            .expect("an unbounded histogram takes any value");
    }

    fn add_if_any(&mut self, value: Duration) {
        if !value.is_zero() {
            self.add(value);
        }
    }

    fn count(&self) -> u64 {
        self.histogram.len()
    }

    fn quantile(&self, quantile: f64) -> f64 {
        millis(Duration::from_micros(
            self.histogram.value_at_quantile(quantile),
        ))
    }
}

/// Returns a duration in milliseconds, truncated to whole microseconds to keep its text short.
pub(crate) fn millis(value: Duration) -> f64 {
    value.as_micros() as f64 / 1e3
}

/// Returns `part / whole` rounded to four decimal places, or zero if `whole` is zero.
pub(crate) fn ratio(part: f64, whole: f64) -> f64 {
    if whole == 0.0 {
        return 0.0;
    }
    (part / whole * 1e4).round() / 1e4
}
