//! The times that depend on how long a lease lasts.

use std::time::Duration;

use chervilshunt_config::LeaseSettings;
use chervilshunt_coord::{ElectorConfig, LeaseConfig, LeaseExtensionConfig, ObserverConfig};

/// The lease for which the defaults of the coordination are laid out.
const DEFAULT_DURATION: Duration = Duration::from_secs(15);

/// Every time that has to fit the lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LeaseTiming {
    /// How the own lease is kept.
    pub(crate) lease: LeaseConfig,
    /// How the leases of others are watched.
    pub(crate) observer: ObserverConfig,
    /// How electors give their word in an outage.
    pub(crate) elector: ElectorConfig,
    /// How the lease is extended in an outage.
    pub(crate) hold: LeaseExtensionConfig,
}

impl LeaseTiming {
    /// Lays the times out for a lease.
    ///
    /// All keep their proportions. An observer that waited for less than the lease would let a
    /// role be taken over while its holder still relies on it, so that a target had two owners;
    /// one that waited for longer would leave the role without a holder. Promises that come after
    /// the lease has run out can't carry it through an outage.
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
