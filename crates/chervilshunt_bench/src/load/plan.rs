//! What load is to be sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What load is to be sent.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Instances of the system; requests go to them in turn.
    pub entries: Vec<SocketAddr>,
    /// Engine stand-ins to which every completion is also sent directly, for comparison.
    ///
    /// They should be others than those behind the system, or both loads share their batches.
    pub direct: Vec<SocketAddr>,
    /// Stand-ins that are asked at the end what they ran.
    pub standins: Vec<SocketAddr>,
    /// Mean arrivals a second.
    pub rate: f64,
    /// How long requests arrive.
    pub duration: Duration,
    /// How long at the start latencies are left out of the report; answers are checked.
    pub warmup: Duration,
    /// Models by falling popularity.
    pub models: Vec<Arc<str>>,
    /// The exponent of the popularity's Zipf distribution; 0 makes all equally popular.
    pub skew: f64,
    /// The share of requests that may wait.
    pub deferrable_share: f64,
    /// The share of requests with an idempotency key.
    pub keyed_share: f64,
    /// The share of completions whose answer is a stream.
    pub stream_share: f64,
    /// The share of completions that are chats.
    pub chat_share: f64,
    /// Calls of a plain service among the load.
    pub plain: Option<PlainShare>,
    /// The fewest and the most tokens of an answer.
    pub tokens: (u32, u32),
    /// The deadline that live requests ask for; none leaves it to the service.
    pub deadline: Option<Duration>,
    /// The time after which an answer is called overdue.
    pub patience: Duration,
    /// How often a keyed request whose outcome is unknown is sent again, to the next instance.
    pub retries: u32,
    /// Whether HTTP/2 is spoken in place of HTTP/1.1.
    pub http2: bool,
    /// Seeds arrivals and the mix.
    pub seed: u64,
}

/// Calls of a plain service among the load.
#[derive(Clone, Debug)]
pub struct PlainShare {
    /// The service.
    pub service: Arc<str>,
    /// Its share of all requests.
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
            patience: Duration::from_secs(60),
            retries: 0,
            http2: false,
            seed: 1,
        }
    }
}
