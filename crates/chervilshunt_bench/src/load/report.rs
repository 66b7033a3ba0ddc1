//! Results of a load run.

use chervilshunt_standin::check::{Outcome, ViolationKind};
use serde::Serialize;

/// Results of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadRunReport {
    /// Whether no guarantee was violated.
    pub passed: bool,
    /// The seed of arrivals and request contents.
    pub seed: u64,
    /// The configured mean arrivals per second.
    pub rate: f64,
    /// The time during which requests arrived, in seconds.
    pub seconds: f64,
    /// The number of models in the plan.
    pub models: usize,
    /// Results of the requests sent to the system.
    pub system: PathReport,
    /// Results of the same completions sent directly to engines, if there were any.
    pub direct: Option<PathReport>,
    /// The latency that the system adds to the first token of streams.
    pub added_first_token: Option<AddedTime>,
    /// The tool's own delay between scheduled and actual sending; included in all latencies.
    pub send_lag: Latency,
    /// Whether answers were checked against the requests that the stand-ins report to have run.
    pub settled: bool,
    /// Violations by kind.
    pub violations: Vec<ViolationCount>,
}

/// Results of the requests on one path.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PathReport {
    /// Requests sent, including retries.
    pub sent: u64,
    /// Retries.
    pub retries: u64,
    /// Complete and correct answers.
    pub answered: u64,
    /// Tokens in these answers.
    pub tokens: u64,
    /// Refusals by outcome and reason.
    pub refused: Vec<RefusalCount>,
    /// Requests whose connection broke.
    pub disconnected: u64,
    /// Answers in which the client itself detected a violation.
    pub violated: u64,
    /// Time to first token of live streams.
    pub first_token_live: Latency,
    /// Time to first token of deferrable streams.
    pub first_token_deferrable: Latency,
    /// Time to the end of the answer of live requests.
    pub total_live: Latency,
    /// Time to the end of the answer of deferrable requests.
    pub total_deferrable: Latency,
    /// The longest pause between two tokens of each stream.
    pub longest_gap: Latency,
}

/// Number of refusals with the same outcome and reason.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalCount {
    /// Whether the request ran, according to the refusal.
    pub outcome: Outcome,
    /// The reason code.
    pub reason: String,
    /// The number of refusals.
    pub count: u64,
}

/// Violations of one kind.
#[derive(Clone, Debug, Serialize)]
pub struct ViolationCount {
    /// The kind of violation.
    pub kind: ViolationKind,
    /// The number of violations.
    pub count: u64,
    /// Descriptions of the first few.
    pub examples: Vec<String>,
}

/// Summary of a latency distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Latency {
    /// The number of samples.
    pub count: u64,
    /// The mean.
    pub mean_ms: f64,
    /// The median.
    pub p50_ms: f64,
    /// The 90th percentile.
    pub p90_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    pub max_ms: f64,
}

/// The latency that the system adds, as the difference between quantiles of two distributions.
///
/// Both cover the same requests: those that were answered as streams on both paths.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct AddedTime {
    /// The number of requests compared.
    pub count: u64,
    /// The difference at the median, in milliseconds.
    pub p50_ms: f64,
    /// The difference at the 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Time to first token through the system.
    pub system: Latency,
    /// Time to first token directly from engines.
    pub direct: Latency,
}
