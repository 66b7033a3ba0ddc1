//! Parameters of a load run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Callers' addresses of the instances, used in turn.
    pub entries: Vec<SocketAddr>,
    /// Engine stand-ins to which every completion is also sent directly, for comparison.
    ///
    /// They should not be targets of the system, otherwise both loads share batches.
    pub direct: Vec<SocketAddr>,
    /// Control addresses of the stand-ins that report at the end which requests they ran.
    pub standins: Vec<SocketAddr>,
    /// Mean arrivals per second.
    pub rate: f64,
    /// The time during which requests arrive.
    pub duration: Duration,
    /// The time at the start excluded from reported latencies; its answers are still checked.
    pub warmup: Duration,
    /// Models by descending popularity.
    pub models: Vec<Arc<str>>,
    /// The exponent of the Zipf distribution of popularity; 0 makes all models equally popular.
    pub skew: f64,
    /// The share of deferrable requests, from 0 to 1.
    pub deferrable_share: f64,
    /// The share of requests with an idempotency key, from 0 to 1.
    pub keyed_share: f64,
    /// The share of streamed completions, from 0 to 1.
    pub stream_share: f64,
    /// The share of completions sent to the chat API, from 0 to 1.
    pub chat_share: f64,
    /// Calls to a plain service, if any.
    pub plain: Option<PlainShare>,
    /// The minimum and maximum number of tokens per answer.
    pub tokens: (u32, u32),
    /// The deadline of live requests; `None` applies the service's own.
    pub deadline: Option<Duration>,
    /// The time after which an answer counts as overdue.
    pub timeout: Duration,
    /// The maximum number of retries of a keyed request whose outcome is unknown; the first goes
    /// to the next instance in `entries`.
    pub retries: u32,
    /// Whether to use HTTP/2 instead of HTTP/1.1.
    pub http2: bool,
    /// Seed of arrivals and request contents.
    pub seed: u64,
}

/// Share of the load that calls a plain service.
#[derive(Clone, Debug)]
pub struct PlainShare {
    /// The name of the service.
    pub service: Arc<str>,
    /// Its share of all requests, from 0 to 1.
    pub share: f64,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            direct: Vec::new(),
            standins: Vec::new(),
            rate: 100.0,
            duration: Duration::from_secs(10),
            warmup: Duration::ZERO,
            models: Vec::new(),
            skew: 1.0,
            deferrable_share: 0.2,
            keyed_share: 0.2,
            stream_share: 0.7,
            chat_share: 0.3,
            plain: None,
            tokens: (4, 32),
            deadline: None,
            timeout: Duration::from_secs(60),
            retries: 0,
            http2: false,
            seed: 1,
        }
    }
}
