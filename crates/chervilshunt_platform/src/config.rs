//! Configuration of the platform client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{BackoffConfig, RetryBudgetConfig};
use chervilshunt_model::InstanceId;

/// Configuration of the platform client. [`PlatformConfig::new`] fills in the defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformConfig {
    /// The address of the object API.
    pub address: SocketAddr,
    /// The namespace that holds the system's objects.
    pub namespace: Arc<str>,
    /// The calling instance, sent with each call so that the platform can attribute it.
    pub instance: InstanceId,
    /// The time limits of calls.
    pub timeouts: Timeouts,
    /// The rate limit on the calls of this process.
    pub rate: RateLimit,
    /// The retry budget shared by all calls.
    pub retries: RetryBudgetConfig,
    /// The backoff between attempts of a call.
    pub backoff: BackoffConfig,
    /// The default timing of watches.
    pub watch: WatchTiming,
    /// The number of instances assumed until [`crate::Platform::set_fleet_size`] is called.
    pub fleet_size: usize,
}

/// The number of instances assumed before the actual number is known.
const DEFAULT_FLEET_SIZE: usize = 100;

impl PlatformConfig {
    /// Returns a configuration with default values.
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
            fleet_size: DEFAULT_FLEET_SIZE,
        }
    }
}

/// The time limits of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// The time limit for opening a connection.
    pub connect: Duration,
    /// The time limit for one attempt of a call, including the wait for a connection.
    pub attempt: Duration,
    /// The time limit for a call with all its attempts, including waits for the rate limit and
    /// between attempts.
    pub call: Duration,
    /// The maximum number of attempts of a call.
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

/// The rate limit on the calls of this process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// The sustained rate, in calls per second.
    pub per_second: f64,
    /// The number of calls that may be made at once.
    pub burst: f64,
    /// The part of the burst reserved for urgent calls, in calls.
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

/// Time-outs, check intervals and buffering of watches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatchTiming {
    /// The backoff between attempts to reconnect.
    pub backoff: BackoffConfig,
    /// The time without any line, bookmarks included, after which a watch is considered stalled
    /// and is reopened. It has to be well above the platform's interval between bookmarks.
    pub idle_timeout: Duration,
    /// The minimum time between two checks for events that the watch did not deliver. Jitter of
    /// up to 20 % is added or subtracted.
    pub min_check_interval: Duration,
    /// The rate, in checks per second, at which all instances together check one kind of object.
    pub checks_per_second: f64,
    /// How long a check waits, after it has listed the objects, for events still in transit.
    pub settle: Duration,
    /// The time after which the platform is asked to end a watch, so that watches are
    /// redistributed over its servers.
    pub lifetime: Duration,
    /// The number of events buffered for the receiver.
    pub buffer: usize,
}

impl WatchTiming {
    /// Returns the time between two checks by one of `fleet_size` instances, before jitter.
    ///
    /// The interval grows with the fleet so that the total rate of checks stays constant: the
    /// platform's rate limits grow more slowly than the fleet.
    pub fn check_interval(&self, fleet_size: usize) -> Duration {
        let spread = fleet_size as f64 / self.checks_per_second;
        let spread = Duration::try_from_secs_f64(spread).unwrap_or(Duration::MAX);
        spread.max(self.min_check_interval)
    }
}

impl Default for WatchTiming {
    fn default() -> Self {
        Self {
            backoff: BackoffConfig {
                base: Duration::from_millis(100),
                cap: Duration::from_secs(10),
            },
            idle_timeout: Duration::from_secs(150),
            min_check_interval: Duration::from_millis(1500),
            checks_per_second: 20.0,
            settle: Duration::from_millis(500),
            lifetime: Duration::from_secs(300),
            buffer: 256,
        }
    }
}
