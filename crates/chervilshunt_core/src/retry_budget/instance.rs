//! The retries of one instance.

use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::earned::EarnedRetries;
use super::{RetryBoundConfig, RetrySource};

/// The retries of one instance for one service.
#[derive(Clone, Debug)]
pub struct InstanceRetries {
    /// What the instance's own requests earn.
    pub earned: EarnedRetries,
    /// Until when it does not ask for a part of the allowance, which is spent or not to be had.
    no_allowance_until: Moment,
    /// Granted retries that have arrived, or will not arrive any more, and that the placer does not know of.
    settled: u32,
}

impl InstanceRetries {
    /// Returns whether the placer may be asked for a retry.
    pub fn may_ask(&self, now: Moment) -> bool {
        now >= self.no_allowance_until
    }

    /// Records that the placer grants no retry for a time.
    pub fn allowance_refused(&mut self, retry_in: Duration, now: Moment) {
        self.no_allowance_until = self.no_allowance_until.max(now + retry_in);
    }
}

/// Granted retries of one instance that have arrived at their targets, or will not arrive any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledRetries {
    /// The number of the ledger that granted them.
    #[serde(rename = "l")]
    pub ledger: u64,
    /// How many there are of each service.
    #[serde(rename = "s")]
    pub by_service: Vec<(ServiceName, u32)>,
}

/// The retries of one instance for each service.
#[derive(Clone, Debug)]
pub struct ServiceRetries {
    cfg: RetryBoundConfig,
    /// The ledger that granted the settled retries.
    ledger: u64,
    services: IndexMap<ServiceName, InstanceRetries>,
}

impl ServiceRetries {
    /// Creates the state of an instance without requests.
    pub fn new(cfg: RetryBoundConfig) -> Self {
        Self {
            cfg,
            ledger: 0,
            services: IndexMap::new(),
        }
    }

    /// Returns the retries of a service.
    pub fn of(&mut self, service: &ServiceName) -> &mut InstanceRetries {
        let cfg = self.cfg;
        let entry = self.services.entry(service.clone());
        entry.or_insert_with(|| InstanceRetries {
            earned: EarnedRetries::new(cfg),
            no_allowance_until: Moment::ZERO,
            settled: 0,
        })
    }

    /// Records that a retry has arrived at its target, or will not arrive any more.
    pub fn settle(&mut self, service: &ServiceName, source: RetrySource, now: Moment) {
        match source {
            RetrySource::Earned => self.of(service).earned.settle(1, now),
            RetrySource::Granted { ledger } => {
                if ledger != self.ledger {
                    self.ledger = ledger;
                    self.services.values_mut().for_each(|it| it.settled = 0);
                }
                self.of(service).settled += 1;
            }
        }
    }

    /// Returns the settled retries that are to be reported to the ledger that granted them.
    pub fn take_settled(&mut self) -> Option<SettledRetries> {
        let services = self.services.iter_mut();
        let settled = services.filter(|(_, retries)| retries.settled > 0);
        let settled = settled.map(|(name, it)| (name.clone(), std::mem::take(&mut it.settled)));
        let settled = SettledRetries {
            ledger: self.ledger,
            by_service: settled.collect(),
        };
        (!settled.by_service.is_empty()).then_some(settled)
    }

    /// Counts a request that a caller has sent at a moment, or shortly before.
    pub fn record_request(&mut self, service: &ServiceName, sent: Moment) {
        self.of(service).earned.record_request(sent);
    }
}
