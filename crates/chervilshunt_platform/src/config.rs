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
    /// The number of instances, until [`crate::Platform::set_fleet_size`] tells it.
    pub fleet_size: usize,
}

/// What the number of instances is taken to be before it is known.
const FLEET_SIZE: usize = 100;

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
            fleet_size: FLEET_SIZE,
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
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatchTiming {
    /// The wait between tries to reconnect.
    pub backoff: BackoffConfig,
    /// The silence, bookmarks included, after which a watch is taken to be stalled and opened
    /// anew. It has to lie well above the platform's interval between bookmarks.
    pub silence: Duration,
    /// The shortest time between two checks for events that the watch never told. Up to a fifth
    /// is added or taken off at random.
    pub check_min: Duration,
    /// The checks a second that all instances together make for one kind of objects.
    pub checks_per_second: f64,
    /// How long events may take to arrive after a list has shown what they tell.
    pub settle: Duration,
    /// The time after which the platform is asked to end a watch, so that it is spread anew.
    pub lifetime: Duration,
    /// Events that may wait for the receiver.
    pub buffer: usize,
}

impl WatchTiming {
    /// Returns the time between two checks of one instance among `fleet_size`, before jitter.
    ///
    /// It grows with the fleet, so that the calls of all instances together don't: the platform's
    /// rates grow more slowly than the fleet does.
    pub fn check_interval(&self, fleet_size: usize) -> Duration {
        let spread = fleet_size as f64 / self.checks_per_second;
        let spread = Duration::try_from_secs_f64(spread).unwrap_or(Duration::MAX);
        spread.max(self.check_min)
    }
}

impl Default for WatchTiming {
    fn default() -> Self {
        Self {
            backoff: BackoffConfig {
                base: Duration::from_millis(100),
                cap: Duration::from_secs(10),
            },
            silence: Duration::from_secs(150),
            check_min: Duration::from_millis(1500),
            checks_per_second: 20.0,
            settle: Duration::from_millis(500),
            lifetime: Duration::from_secs(300),
            buffer: 256,
        }
    }
}
