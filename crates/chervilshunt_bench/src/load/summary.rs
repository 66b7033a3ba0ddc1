//! Aggregates the records of a run into a report.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use chervilshunt_model::Class;
use chervilshunt_standin::check::{Call, Outcome, Record, Route, Verdict, Violation};
use hdrhistogram::Histogram;

use super::report::{AddedTime, Latency, PathReport, RefusalCount, ViolationCount};

/// Significant decimal digits of histogram values.
const DIGITS: u8 = 3;

/// Examples of violations in a report, per kind.
const EXAMPLES: usize = 3;

/// The record of one sent request, with its position in the schedule.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) record: Record,
    /// The number of the request; the same on both paths.
    pub(crate) number: usize,
    /// The number of earlier tries.
    pub(crate) tries: u32,
    /// The delay from the scheduled time until the request was passed to the HTTP client.
    pub(crate) lag: Duration,
    /// Whether its latency is included in the report.
    pub(crate) measured: bool,
}

impl SentRequest {
    fn is_stream(&self) -> bool {
        match &self.record.plan.call {
            Call::Completion(call) => call.stream,
            Call::Plain(_) => false,
        }
    }

    fn is_answered(&self) -> bool {
        matches!(self.record.verdict, Verdict::Answered(_))
    }

    /// Returns the time from the scheduled time to the first token, for a measured and answered
    /// stream.
    fn first_token(&self) -> Option<Duration> {
        let first = self.record.timing.first?;
        (self.measured && self.is_stream() && self.is_answered()).then(|| self.lag + first)
    }
}

/// A histogram of times, in microseconds.
#[derive(Debug)]
pub(crate) struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    fn of(times: impl Iterator<Item = Duration>) -> Self {
        let mut histogram = Histogram::new(DIGITS).expect("the number of digits is in range");
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            // The histogram resizes as needed; `saturating_record` would clamp to its current range.
            histogram
                .record(micros)
                .expect("a growing histogram takes any time");
        }
        Self(histogram)
    }

    fn latency(&self) -> Latency {
        let quantile = |quantile| millis(self.0.value_at_quantile(quantile));
        Latency {
            count: self.0.len(),
            mean_ms: self.0.mean().round() / 1_000.0,
            p50_ms: quantile(0.5),
            p90_ms: quantile(0.9),
            p95_ms: quantile(0.95),
            p99_ms: quantile(0.99),
            max_ms: millis(self.0.max()),
        }
    }
}

/// Summarizes the distribution of `times`.
pub(crate) fn latency(times: impl Iterator<Item = Duration>) -> Latency {
    LatencyHistogram::of(times).latency()
}

/// Summarizes the results of the requests on one path.
pub(crate) fn path(sent: &[SentRequest], route: Route) -> PathReport {
    let on_path = || {
        sent.iter()
            .filter(move |sent| sent.record.plan.route == route)
    };
    let mut path = PathReport::default();
    let mut refusals: BTreeMap<(Outcome, &str), u64> = BTreeMap::new();
    for sent in on_path() {
        path.sent += 1;
        path.retries += u64::from(sent.tries > 0);
        match &sent.record.verdict {
            Verdict::Answered(answer) => {
                path.answered += 1;
                path.tokens += u64::from(answer.tokens);
            }
            Verdict::Refused(refusal) => {
                *refusals
                    .entry((refusal.outcome, &refusal.reason))
                    .or_default() += 1;
            }
            Verdict::Disconnected { .. } => path.disconnected += 1,
            Verdict::Violated(_) => path.violated += 1,
        }
    }
    let refused = refusals
        .into_iter()
        .map(|((outcome, reason), count)| RefusalCount {
            outcome,
            reason: reason.to_owned(),
            count,
        });
    path.refused = refused.collect();
    let of_class = |class| on_path().filter(move |sent| sent.record.plan.class == class);
    let first = |class| latency(of_class(class).filter_map(SentRequest::first_token));
    let total = |class| latency(of_class(class).filter_map(total));
    path.first_token_live = first(Class::Live);
    path.first_token_deferrable = first(Class::Deferrable);
    path.total_live = total(Class::Live);
    path.total_deferrable = total(Class::Deferrable);
    let streams = on_path().filter(|sent| sent.first_token().is_some());
    path.longest_gap = latency(streams.map(|sent| sent.record.timing.longest_gap));
    path
}

/// Compares time to first token of the requests that were answered as streams on both paths.
pub(crate) fn added_first_token(sent: &[SentRequest]) -> AddedTime {
    let direct: HashMap<usize, Duration> = sent
        .iter()
        .filter(|sent| sent.record.plan.route == Route::Direct)
        .filter_map(|sent| Some((sent.number, sent.first_token()?)))
        .collect();
    let pairs: Vec<(Duration, Duration)> = sent
        .iter()
        .filter(|sent| sent.record.plan.route == Route::System)
        .filter_map(|sent| Some((sent.first_token()?, *direct.get(&sent.number)?)))
        .collect();
    let system = latency(pairs.iter().map(|(system, _)| *system));
    let direct = latency(pairs.iter().map(|(_, direct)| *direct));
    AddedTime {
        count: system.count,
        p50_ms: system.p50_ms - direct.p50_ms,
        p99_ms: system.p99_ms - direct.p99_ms,
        system,
        direct,
    }
}

/// Counts violations by kind, with the first few of each kind as examples.
pub(crate) fn violations<'a>(
    found: impl Iterator<Item = (&'a str, &'a Violation)>,
) -> Vec<ViolationCount> {
    let mut by_kind = BTreeMap::new();
    for (request_id, violation) in found {
        let entry = by_kind
            .entry(violation.kind)
            .or_insert_with(|| ViolationCount {
                kind: violation.kind,
                count: 0,
                examples: Vec::new(),
            });
        entry.count += 1;
        if entry.examples.len() < EXAMPLES {
            entry
                .examples
                .push(format!("{request_id}: {}", violation.detail));
        }
    }
    by_kind.into_values().collect()
}

fn total(sent: &SentRequest) -> Option<Duration> {
    (sent.measured && sent.is_answered()).then(|| sent.lag + sent.record.timing.total)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times are far below 2^53 microseconds"
)]
fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}

#[cfg(test)]
mod tests;
