//! What the client has to be told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{BackoffConfig, RetryBudgetConfig};
use chervilshunt_model::InstanceId;

/// What the client has to be told; [`PlatformConfig::new`] fills in the usual values.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformConfig {
    /// Where the object API listens.
    pub address: SocketAddr,
    /// The namespace that holds the system's objects.
    pub namespace: Arc<str>,
    /// The instance that calls, for the platform's own accounts.
    pub instance: InstanceId,
    /// The time limits of calls.
    pub timeouts: Timeouts,
    /// The bound on calls a second by this process.
    pub rate: RateLimit,
    /// How many retries all calls together get.
    pub retries: RetryBudgetConfig,
    /// The wait between retries of a call.
    pub backoff: BackoffConfig,
    /// How watches are kept up.
    pub watch: WatchTiming,
}

impl PlatformConfig {
    /// Returns the usual values.
    pub fn new(address: SocketAddr, namespace: impl Into<Arc<str>>, instance: InstanceId) -> Self {
        Self {
            address,
            namespace: namespace.into(),
            instance,
            timeouts: Timeouts::default(),
            rate: RateLimit::default(),
            retries: RetryBudgetConfig::default(),
            backoff: BackoffConfig::default(),
            watch: WatchTiming::default(),
        }
    }
}

/// The time limits of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// For opening a connection.
    pub connect: Duration,
    /// For one try of a call, its wait for a connection included.
    pub attempt: Duration,
    /// For a call with all its tries, waits for the rate limit and between tries included.
    pub call: Duration,
    /// The most tries of a call.
    pub max_attempts: u32,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            attempt: Duration::from_secs(2),
            call: Duration::from_secs(5),
            max_attempts: 4,
        }
    }
}

/// The bound on calls a second by this process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Calls a second in the long run.
    pub per_second: f64,
    /// Calls that may come at once.
    pub burst: f64,
    /// The part of the burst that only urgent calls may use.
    pub urgent_reserve: f64,
}

impl Default for RateLimit {
    fn default() -> Self {
        Self {
            per_second: 20.0,
            burst: 60.0,
            urgent_reserve: 10.0,
        }
    }
}

/// How watches are kept up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTiming {
    /// The wait between tries to reconnect.
    pub backoff: BackoffConfig,
    /// The silence, bookmarks included, after which a watch is taken to be stalled and opened
    /// anew. It has to lie well above the platform's interval between bookmarks.
    pub silence: Duration,
    /// How often the collection's metadata is listed to find events that the watch never told.
    /// Up to a fifth is added or taken off at random.
    pub relist_interval: Duration,
    /// How long events may take to arrive after a list has shown what they tell.
    pub settle: Duration,
    /// The time after which the platform is asked to end a watch, so that it is spread anew.
    pub lifetime: Duration,
    /// Events that may wait for the receiver.
    pub buffer: usize,
}

impl Default for WatchTiming {
    fn default() -> Self {
        Self {
            backoff: BackoffConfig {
                base: Duration::from_millis(100),
                cap: Duration::from_secs(10),
            },
            silence: Duration::from_secs(150),
            relist_interval: Duration::from_secs(60),
            settle: Duration::from_secs(3),
            lifetime: Duration::from_secs(300),
            buffer: 256,
        }
    }
}
