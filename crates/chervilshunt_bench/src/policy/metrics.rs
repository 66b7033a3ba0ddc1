//! What one run measured.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use chervilshunt_model::{Class, Moment};
use hdrhistogram::Histogram;
use serde::Serialize;

use super::power::PowerMeter;
use super::requests::{Phase, RequestState, Requests};
use super::workload::{FLOOD_CALLER, Trace};

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// The result of one run; a quantity that the policy does not have is null.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// The deployment.
    pub deployment: &'static str,
    /// The policy.
    pub policy: &'static str,
    /// The scenario.
    pub scenario: &'static str,
    /// The seed.
    pub seed: u64,
    /// Virtual seconds, warm-up included.
    pub seconds: u64,
    /// By how much the rates of all requests were multiplied.
    pub load: f64,
    /// Requests to engines that arrived in the measured time.
    pub requests: u64,
    /// Live requests among them that waited on a load.
    pub stalls: u64,
    /// Median of their stalled time.
    pub stall_ms_p50: f64,
    /// 99th percentile of their stalled time.
    pub stall_ms_p99: f64,
    /// Sum of their stalled time.
    pub stalled_ms_total: f64,
    /// Deferrable requests that waited on a load.
    pub deferrable_stalls: Option<u64>,
    /// Sum of their stalled time.
    pub deferrable_stalled_ms_total: Option<f64>,
    /// Median wait of live requests, from arrival to the first step.
    pub live_wait_ms_p50: Option<f64>,
    /// 99th percentile of the same.
    pub live_wait_ms_p99: Option<f64>,
    /// 99th percentile of the same, without the caller that floods.
    pub other_callers_live_wait_ms_p99: Option<f64>,
    /// 99th percentile of the wait of calls of the plain service.
    pub plain_wait_ms_p99: Option<f64>,
    /// Live requests whose callers gave up.
    pub live_failed: Option<u64>,
    /// Deferrable requests that ended without an answer.
    pub deferrable_failed: Option<u64>,
    /// Deferrable requests that were answered.
    pub deferrable_done: Option<u64>,
    /// Deferrable requests that wait when the run ends.
    pub deferrable_waiting: Option<u64>,
    /// Median wait of deferrable requests.
    pub deferrable_wait_ms_p50: Option<f64>,
    /// The longest wait of a deferrable request.
    pub deferrable_oldest_ms: Option<f64>,
    /// Loads begun.
    pub loads: Option<u64>,
    /// Loads that failed.
    pub loads_failed: Option<u64>,
    /// Adapters unloaded.
    pub evictions: Option<u64>,
    /// Steps that engines ran.
    pub steps: Option<u64>,
    /// Tokens of answers.
    pub tokens: Option<u64>,
    /// Tokens of answers a step.
    pub useful_tokens_per_step: Option<f64>,
    /// Energy for each token, above the draw of parked accelerators.
    pub joules_per_token: Option<f64>,
    /// Steps that began above the cap in force.
    pub cap_exceeded_steps: Option<u64>,
    /// How long after a cut of the cap the new one was last exceeded.
    pub cap_settled_ms: Option<f64>,
    /// Adapters evicted while they served a request, as the engines saw it.
    pub pinned_evictions: Option<u64>,
    /// Prompts whose prefix was cached, as a part of all.
    pub prefix_hit_part: Option<f64>,
    /// Refusals by reason.
    pub refused: BTreeMap<&'static str, u64>,
    /// What became of the live requests.
    pub live: Option<ClassReport>,
    /// What became of the deferrable requests.
    pub deferrable: Option<ClassReport>,
    /// The quantity that this run bounds, if it is a bound.
    pub bound_of: Option<&'static str>,
}

/// What became of the requests of one class that arrived in the measured time.
///
/// A policy that refuses requests, or lets them expire, takes no time off `wait_ms_total` and none
/// off the stalled time: both run on from arrival to the first step, to the end of the caller's
/// patience or to the end of the run. What was refused and what expired stands beside them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ClassReport {
    /// Requests.
    pub requests: u64,
    /// Requests that were refused at least once.
    pub refused: u64,
    /// Refusals; a caller that comes back may be refused again.
    pub refusals: u64,
    /// Requests whose callers gave up, or that ended without an answer.
    pub expired: u64,
    /// Requests that had not begun when the run ended.
    pub unserved: u64,
    /// Sum of all waits.
    pub wait_ms_total: f64,
    /// The part of it spent outside every queue, between a refusal and the next question.
    pub refused_wait_ms_total: f64,
    /// The part of it that requests waited which then expired.
    pub expired_wait_ms_total: f64,
    /// Sum of the stalled time of all requests.
    pub stalled_ms_total: f64,
    /// The part of it that belongs to requests which then expired.
    pub expired_stalled_ms_total: f64,
}

/// Counts during a run.
#[derive(Debug, Default)]
pub(crate) struct Counters {
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

impl Report {
    /// Fills in what requests, counters and meter of a run tell.
    pub(crate) fn fill(
        &mut self,
        (trace, requests): (&Trace, &Requests),
        counters: &Counters,
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
        let mut stalls = Sample::new();
        let mut deferrable_stalls = Sample::new();
        let mut live = Sample::new();
        let mut others = Sample::new();
        let mut plain = Sample::new();
        let mut deferrable = Sample::new();
        let mut deferrable_waiting = 0;
        let mut live_outcome = Outcome::default();
        let mut deferrable_outcome = Outcome::default();
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

/// Counts and sums of one class.
#[derive(Default)]
struct Outcome {
    counts: ClassReport,
    wait: Duration,
    refused_wait: Duration,
    expired_wait: Duration,
    stalled: Duration,
    expired_stalled: Duration,
}

impl Outcome {
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

/// Durations with their sum and quantiles.
struct Sample {
    histogram: Histogram<u64>,
    total: Duration,
}

impl Sample {
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

/// Returns a duration in milliseconds, rounded to microseconds so that its text is short.
pub(crate) fn millis(value: Duration) -> f64 {
    value.as_micros() as f64 / 1e3
}

/// Returns a quotient rounded to four digits after the point; zero when there is nothing.
pub(crate) fn ratio(part: f64, whole: f64) -> f64 {
    if whole == 0.0 {
        return 0.0;
    }
    (part / whole * 1e4).round() / 1e4
}
