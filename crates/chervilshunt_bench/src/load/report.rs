//! What a load run found.

use chervilshunt_standin::check::{Outcome, ViolationKind};
use serde::Serialize;

/// What a load run found.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Whether no promise was broken.
    pub passed: bool,
    /// The seed of arrivals and mix.
    pub seed: u64,
    /// Mean arrivals a second that were asked for.
    pub rate: f64,
    /// How long requests arrived, in seconds.
    pub seconds: f64,
    /// Models that requests could name.
    pub models: usize,
    /// What came of the requests to the system.
    pub system: Path,
    /// What came of the same completions sent straight to engines.
    pub direct: Option<Path>,
    /// The time that the system adds to the first token of streams.
    pub added_first_token: Option<AddedTime>,
    /// How late the tool itself sent; it is part of all latencies.
    pub send_lag: Latency,
    /// Whether the stand-ins were asked what they ran.
    pub settled: bool,
    /// Broken promises by kind.
    pub violations: Vec<ViolationCount>,
}

/// What came of the requests on one path.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Path {
    /// Requests sent, repeated tries included.
    pub sent: u64,
    /// Repeated tries.
    pub retries: u64,
    /// Whole and right answers.
    pub answered: u64,
    /// Tokens of these.
    pub tokens: u64,
    /// Refusals by outcome and reason.
    pub refused: Vec<RefusalCount>,
    /// Connections that broke.
    pub disconnected: u64,
    /// Answers that broke a promise in the caller's own eyes.
    pub violated: u64,
    /// Time to the first token of streams of live work.
    pub first_token_live: Latency,
    /// Time to the first token of streams of deferrable work.
    pub first_token_deferrable: Latency,
    /// Time to the end of answers to live work.
    pub total_live: Latency,
    /// Time to the end of answers to deferrable work.
    pub total_deferrable: Latency,
    /// The longest pause between two tokens, for each stream.
    pub longest_gap: Latency,
}

/// Refusals of one kind.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalCount {
    /// What they say of the request.
    pub outcome: Outcome,
    /// Why.
    pub reason: String,
    /// How many.
    pub count: u64,
}

/// Broken promises of one kind.
#[derive(Clone, Debug, Serialize)]
pub struct ViolationCount {
    /// Which promise.
    pub kind: ViolationKind,
    /// How many requests.
    pub count: u64,
    /// The first few.
    pub examples: Vec<String>,
}

/// A distribution of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Latency {
    /// Times that it is made of.
    pub count: u64,
    /// Their mean.
    pub mean_ms: f64,
    /// Their median.
    pub p50_ms: f64,
    /// 90 in 100 are below this.
    pub p90_ms: f64,
    /// 95 in 100 are below this.
    pub p95_ms: f64,
    /// 99 in 100 are below this.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

/// The time that the system adds, as the difference of two distributions' quantiles.
///
/// Both are made of the same requests: those that were answered as streams on both paths.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct AddedTime {
    /// Requests that were compared.
    pub count: u64,
    /// The difference at the median, in milliseconds.
    pub p50_ms: f64,
    /// The difference at the 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// The first tokens through the system.
    pub system: Latency,
    /// The first tokens straight from engines.
    pub direct: Latency,
}
