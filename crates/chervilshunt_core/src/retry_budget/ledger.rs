//! The placer's account of retries that are allowed regardless of requests.

use std::collections::VecDeque;
use std::time::Duration;

use chervilshunt_model::{Moment, RetryCounts, ServiceName, SpentRetries};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::counted::{CountedRetries, MAX_UNANSWERED};
use super::{RetryBoundConfig, SettledRetries};

/// The part of the allowance that is granted. The rest is for retries that arrive later than
/// [`MAX_UNANSWERED`], and for requests that earn retries although they were counted late.
const USED_PART: f64 = 0.9;
/// The part of what can be granted that may be granted between two writes of the record.
const UNRECORDED_PART: f64 = 1.0 / 3.0;
/// Shortest time until an instance asks again. It bounds the messages of an instance whose targets
/// all fail.
const MIN_RETRY_IN: Duration = Duration::from_millis(200);

/// The answer to an instance that asks for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryGrant {
    /// The retry may be made now.
    #[serde(rename = "g")]
    Granted,
    /// The allowance is spent.
    #[serde(rename = "s")]
    Spent {
        /// How long to wait before another question.
        #[serde(rename = "r")]
        retry_in: Duration,
    },
}

/// The state of a service's allowance, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllowanceUsage {
    /// What this ledger has granted and still counts.
    pub granted: u32,
    /// What may not have arrived yet, of this ledger and of earlier ones.
    pub unanswered: u32,
    /// What earlier ledgers may have granted that still counts.
    pub inherited: u32,
    /// The most that the window may hold.
    pub limit: u32,
}

/// What was granted of the allowance, in one place for all instances.
///
/// Each retry is granted by itself, so that nothing is lost with an instance that ends. It counts until a window
/// after its instance has reported that it is answered. What a ledger grants outlives it in a record, which its
/// successor inherits. The record is written ahead: it says how many retries may have been granted by the time of
/// the next write, so that a ledger grants no more than that until the next one is written.
#[derive(Clone, Debug)]
pub struct RetryLedger {
    cfg: RetryBoundConfig,
    number: u64,
    /// What earlier ledgers may have granted.
    inherited: SpentRetries,
    inherited_at: Moment,
    services: IndexMap<ServiceName, Granted>,
    /// When the last record was made that is known to be written.
    recorded_at: Moment,
}

/// What was granted for one service.
#[derive(Clone, Debug, Default)]
struct Granted {
    counted: CountedRetries,
    /// When retries were granted that the last record may not count, the oldest first.
    unrecorded: VecDeque<Moment>,
}

impl RetryLedger {
    /// Creates a ledger that inherits what earlier ones may have granted, which must not grant anything any
    /// more. Its number differs from theirs; its first record was made at a moment and is written.
    pub fn new(
        cfg: RetryBoundConfig,
        number: u64,
        inherited: SpentRetries,
        recorded_at: Moment,
        now: Moment,
    ) -> Self {
        Self {
            cfg,
            number,
            inherited,
            inherited_at: now,
            services: IndexMap::new(),
            recorded_at,
        }
    }

    /// Grants a retry if the allowance of the service is not spent.
    pub fn grant(&mut self, service: &ServiceName, now: Moment) -> RetryGrant {
        self.forget_expired(now);
        if self.unrecorded(service) >= self.cfg.grants_per_record() {
            return RetryGrant::Spent {
                retry_in: MIN_RETRY_IN,
            };
        }
        if self.spent(service, now) < self.cfg.usable_allowance() {
            let granted = self.services.entry(service.clone()).or_default();
            granted.counted.add(now);
            granted.unrecorded.push_back(now);
            return RetryGrant::Granted;
        }
        let retry_in = now.until(self.next_expiry(service, now));
        RetryGrant::Spent {
            retry_in: retry_in.max(MIN_RETRY_IN),
        }
    }

    /// Records that retries have arrived at their targets, or will not arrive any more. Retries of another
    /// ledger are ignored: they are counted as inherited.
    pub fn settle(&mut self, settled: &SettledRetries, now: Moment) {
        if settled.ledger != self.number {
            return;
        }
        self.forget_expired(now);
        for (service, count) in &settled.by_service {
            if let Some(granted) = self.services.get_mut(service) {
                granted.counted.settle(*count, now);
            }
        }
    }

    /// Returns the record to write now, for a successor.
    pub fn record(&mut self, now: Moment) -> SpentRetries {
        self.forget_expired(now);
        let inherited = self.inherited.counts.by_service.iter();
        let inherited = inherited.map(|(service, _)| service);
        let services: IndexSet<&ServiceName> = self.services.keys().chain(inherited).collect();
        let counts = |count: &dyn Fn(&ServiceName) -> u32, inherited: Option<&RetryCounts>| {
            let counts = services.iter().map(|it| ((*it).clone(), count(it)));
            RetryCounts {
                by_service: counts.collect(),
                others: inherited.map_or(0, |it| it.others),
            }
        };
        let spent = SpentRetries {
            counts: counts(&|it| self.spent(it, now), self.inherited_counts(now)),
            unanswered: Some(counts(
                &|it| self.unanswered(it, now),
                self.inherited_unanswered_counts(now),
            )),
        };
        spent.with_more(self.cfg.grants_per_record())
    }

    /// Returns the number of the ledger, under which its retries are settled.
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Records that a record is written that was made at a moment.
    pub fn recorded(&mut self, made_at: Moment) {
        self.recorded_at = made_at;
        for granted in self.services.values_mut() {
            let unrecorded = &mut granted.unrecorded;
            while unrecorded.front().is_some_and(|at| *at < made_at) {
                unrecorded.pop_front();
            }
        }
    }

    /// Returns what is spent of a service's allowance.
    pub fn usage(&mut self, service: &ServiceName, now: Moment) -> AllowanceUsage {
        self.forget_expired(now);
        let inherited = self.inherited(service, now);
        AllowanceUsage {
            granted: self.granted(service),
            unanswered: self.unanswered(service, now),
            inherited: inherited.min(self.cfg.usable_allowance()),
            limit: self.cfg.usable_allowance(),
        }
    }

    fn forget_expired(&mut self, now: Moment) {
        let window = self.cfg.window;
        self.services.retain(|_, granted| {
            granted.counted.forget_expired(window, now);
            granted.counted.len() > 0
        });
    }

    fn spent(&self, service: &ServiceName, now: Moment) -> u32 {
        let inherited = self.inherited(service, now);
        self.granted(service).saturating_add(inherited)
    }

    fn granted(&self, service: &ServiceName) -> u32 {
        let granted = self.services.get(service);
        granted.map_or(0, |it| it.counted.len())
    }

    /// Returns how many retries of a service may not have arrived yet.
    fn unanswered(&self, service: &ServiceName, now: Moment) -> u32 {
        let granted = self.services.get(service);
        let granted = granted.map_or(0, |it| it.counted.unanswered());
        let inherited = self.inherited_unanswered_counts(now);
        granted.saturating_add(inherited.map_or(0, |it| it.of(service)))
    }

    fn inherited(&self, service: &ServiceName, now: Moment) -> u32 {
        let counts = self.inherited_counts(now);
        counts.map_or(0, |it| it.of(service))
    }

    /// Returns what still counts of earlier ledgers: all for a window, then what had not arrived for a window
    /// after its last possible arrival.
    fn inherited_counts(&self, now: Moment) -> Option<&RetryCounts> {
        if now.since(self.inherited_at) <= self.cfg.window {
            Some(&self.inherited.counts)
        } else {
            self.inherited_unanswered_counts(now)
        }
    }

    /// Returns what still counts of earlier ledgers and had not arrived when they ended.
    fn inherited_unanswered_counts(&self, now: Moment) -> Option<&RetryCounts> {
        let counts_until = self.inherited_at + self.cfg.window + MAX_UNANSWERED;
        (now <= counts_until).then(|| self.inherited.unanswered())
    }

    /// Returns how many retries were granted that the last record does not count.
    fn unrecorded(&self, service: &ServiceName) -> u32 {
        let granted = self.services.get(service);
        let times = granted.into_iter().flat_map(|it| &it.unrecorded);
        let unrecorded = times.filter(|at| **at >= self.recorded_at);
        unrecorded.count() as u32
    }

    /// Returns when the next retry may stop counting.
    fn next_expiry(&self, service: &ServiceName, now: Moment) -> Moment {
        let window = self.cfg.window;
        let granted = self.services.get(service);
        let granted = granted.and_then(|it| it.counted.next_expiry(window));
        let inherited = [window, window + MAX_UNANSWERED].map(|it| self.inherited_at + it);
        let inherited = inherited.into_iter().find(|it| *it > now);
        let inherited = inherited.filter(|_| self.inherited(service, now) > 0);
        // An unanswered retry stops counting a window after its answer, which may come now.
        let expiries = granted.into_iter().chain(inherited);
        expiries.min().unwrap_or(now + window).min(now + window)
    }
}

impl RetryBoundConfig {
    /// Returns how many retries of a service may be granted in a window.
    fn usable_allowance(&self) -> u32 {
        (self.allowance * USED_PART) as u32
    }

    /// Returns how many retries of a service may be granted between two writes of the record.
    pub fn grants_per_record(&self) -> u32 {
        (f64::from(self.usable_allowance()) * UNRECORDED_PART).ceil() as u32
    }
}
