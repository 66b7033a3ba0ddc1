//! Timeouts and intervals that scale with the lease duration.

use std::time::Duration;

use chervilshunt_config::LeaseSettings;
use chervilshunt_coord::{ElectorConfig, LeaseConfig, LeaseExtensionConfig, ObserverConfig};

/// The lease duration that the coordinator's default timings assume.
const DEFAULT_DURATION: Duration = Duration::from_secs(15);

/// All timings that have to match the lease duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LeaseTiming {
    /// Timings of this instance's own lease.
    pub(crate) lease: LeaseConfig,
    /// Timings for observing the leases of other instances.
    pub(crate) observer: ObserverConfig,
    /// Timings of an elector's promises during a platform outage.
    pub(crate) elector: ElectorConfig,
    /// Timings for extending the lease during a platform outage.
    pub(crate) hold: LeaseExtensionConfig,
}

impl LeaseTiming {
    /// Derives all timings from the lease settings.
    ///
    /// The default timings are scaled in proportion to the lease duration. If an observer waited
    /// for less than the lease duration, a role could be taken over while its holder still relies
    /// on it, and a target would have two owners; if it waited longer, the role would stay without
    /// a holder. Promises that arrive after the lease has expired can't extend it through an
    /// outage.
    pub(crate) fn new(settings: &LeaseSettings) -> Self {
        let ratio = settings.duration.as_secs_f64() / DEFAULT_DURATION.as_secs_f64();
        let scaled = |time: Duration| time.mul_f64(ratio);
        let (lease, observer) = (LeaseConfig::default(), ObserverConfig::default());
        let (elector, hold) = (ElectorConfig::default(), LeaseExtensionConfig::default());
        Self {
            lease: LeaseConfig {
                duration: settings.duration,
                renew_every: settings.renew_every,
                retry_every: scaled(lease.retry_every),
                margin: settings.margin,
            },
            observer: ObserverConfig {
                read_every: scaled(observer.read_every),
                unchanged_for: settings.duration,
                longest_gap: scaled(observer.longest_gap),
            },
            elector: ElectorConfig {
                promise_for: scaled(elector.promise_for),
                vouch_for: scaled(elector.vouch_for),
                failing_for: scaled(elector.failing_for),
                answered_within: scaled(elector.answered_within),
            },
            hold: LeaseExtensionConfig {
                begin_before: scaled(hold.begin_before),
                ask_every: scaled(hold.ask_every),
                renew_every: scaled(hold.renew_every),
                margin: scaled(hold.margin),
                direct_at_most: hold.direct_at_most,
            },
        }
    }
}

#[cfg(test)]
mod tests;
