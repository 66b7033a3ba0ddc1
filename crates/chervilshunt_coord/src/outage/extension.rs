//! Extends the lease of this run by promises of the electors while the platform is unreachable.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment};

use super::message::ElectorMessage;
use crate::bugs::{Bug, Bugs};
use crate::config::{Elector, Electorate};

/// Configuration of a [`LeaseExtension`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseExtensionConfig {
    /// How long before the lease expires the first promises are requested.
    pub begin_before: Duration,
    /// The interval between requests until a majority has promised.
    pub ask_every: Duration,
    /// The interval between requests to renew the promises.
    pub renew_every: Duration,
    /// Subtracted from each promise to allow for differences in clock rates.
    pub margin: Duration,
    /// The largest fleet in which every instance asks the electors itself. In a larger one, one
    /// instance per zone asks them and the others ask that instance.
    pub direct_at_most: usize,
}

impl Default for LeaseExtensionConfig {
    fn default() -> Self {
        Self {
            begin_before: Duration::from_secs(8),
            ask_every: Duration::from_secs(1),
            renew_every: Duration::from_secs(3),
            margin: Duration::from_millis(500),
            direct_at_most: 24,
        }
    }
}

/// An output of a [`LeaseExtension`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseExtensionAction {
    /// Send a request to an instance, which may be this one.
    Send(InstanceId, ElectorMessage),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PromiseSource {
    Elector(Elector),
    Relay,
}

/// The extension of a lease.
///
/// A holder whose lease expires may continue while a majority of its electors has promised not to
/// vouch, because nobody may mark its lease lapsed without a majority of vouches. The extension
/// must follow the lease without a gap: in a gap the holder may have been superseded, and only the
/// platform can tell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseExtension {
    cfg: LeaseExtensionConfig,
    /// Until when each elector's promise is valid.
    promises: BTreeMap<Elector, Moment>,
    /// Until when a majority has promised, as reported by a relay.
    relay_promise: Moment,
    requests: BTreeMap<u64, (PromiseSource, Moment)>,
    number: u64,
    ask_at: Moment,
    valid_until: Moment,
    /// The number of requests since a relay last answered; it selects the next relay to ask.
    relay_failures: usize,
    bugs: Bugs,
}

impl LeaseExtension {
    /// Creates the state of a lease that is not extended.
    ///
    /// Requests are numbered from `first_number`, which should be drawn at random.
    pub const fn new(cfg: LeaseExtensionConfig, first_number: u64) -> Self {
        Self {
            cfg,
            promises: BTreeMap::new(),
            relay_promise: Moment::ZERO,
            requests: BTreeMap::new(),
            number: first_number,
            ask_at: Moment::ZERO,
            valid_until: Moment::ZERO,
            relay_failures: 0,
            bugs: Bugs::NONE,
        }
    }

    /// Seeds a bug.
    #[cfg(test)]
    pub(crate) const fn seed(&mut self, bugs: Bugs) {
        self.bugs = bugs;
    }

    /// Returns until when the lease is extended; a time in the past if it is not.
    pub const fn valid_until(&self) -> Moment {
        self.valid_until
    }

    /// Returns when [`Self::ask`] is next due, given when the lease itself expires.
    pub fn next_wakeup(&self, lease_until: Moment) -> Moment {
        self.ask_at.max(lease_until - self.cfg.begin_before)
    }

    /// Requests promises if the lease is about to expire and a request is due.
    ///
    /// `relays` are the instances of this zone that ask the electors on behalf of the others, in
    /// order of preference; it is empty if this instance asks the electors itself.
    pub fn ask(
        &mut self,
        lease_until: Moment,
        electorate: &Electorate,
        relays: &[InstanceId],
        now: Moment,
    ) -> Vec<LeaseExtensionAction> {
        let ends = lease_until.max(self.valid_until);
        if now < self.next_wakeup(lease_until) || now >= ends {
            return Vec::new();
        }
        let covered = self.valid_until >= now + self.cfg.renew_every;
        self.ask_at = now
            + if covered {
                self.cfg.renew_every
            } else {
                self.cfg.ask_every
            };
        let old = now - self.cfg.renew_every * 4;
        self.requests.retain(|_, (_, at)| *at >= old);
        let relay = relays.get(self.relay_failures).cloned();
        self.relay_failures += 1;
        match relay {
            Some(relay) => {
                let number = self.record_request(PromiseSource::Relay, now);
                let electorate = electorate.version;
                vec![LeaseExtensionAction::Send(
                    relay,
                    ElectorMessage::AskMajorityPromise { number, electorate },
                )]
            }
            None => electorate
                .electors
                .iter()
                .map(|elector| {
                    let number = self.record_request(PromiseSource::Elector(elector.clone()), now);
                    let address = elector.address;
                    let message = ElectorMessage::AskPromise { number, address };
                    LeaseExtensionAction::Send(elector.instance.clone(), message)
                })
                .collect(),
        }
    }

    fn record_request(&mut self, source: PromiseSource, now: Moment) -> u64 {
        self.number = self.number.wrapping_add(1);
        self.requests.insert(self.number, (source, now));
        self.number
    }

    /// Handles the answer to a request.
    pub fn answered(
        &mut self,
        number: u64,
        for_ms: u64,
        lease_until: Moment,
        electorate: &Electorate,
        now: Moment,
    ) {
        let Some((source, asked_at)) = self.requests.remove(&number) else {
            return;
        };
        let counted_from = if self.bugs.has(Bug::HoldFromReply) {
            now
        } else {
            asked_at
        };
        let until = counted_from + Duration::from_millis(for_ms);
        match source {
            PromiseSource::Elector(elector) if for_ms > 0 => {
                let promised = self.promises.entry(elector).or_default();
                *promised = until.max(*promised);
            }
            PromiseSource::Relay if for_ms > 0 => {
                self.relay_promise = until.max(self.relay_promise);
                self.relay_failures = 0;
            }
            PromiseSource::Elector(_) | PromiseSource::Relay => return,
        }
        self.extend(lease_until, electorate, now);
    }

    /// Extends the lease if a majority has promised and there is no gap.
    fn extend(&mut self, lease_until: Moment, electorate: &Electorate, now: Moment) {
        if now >= lease_until.max(self.valid_until) {
            return;
        }
        let majority = self
            .promised_by_majority(electorate)
            .max(self.relay_promise);
        let until = majority - self.cfg.margin;
        self.valid_until = until.max(self.valid_until);
    }

    /// Returns until when a majority of the electors has promised.
    pub fn promised_by_majority(&self, electorate: &Electorate) -> Moment {
        let promises = electorate.electors.iter().map(|elector| {
            let promised = self.promises.get(elector);
            promised.copied().unwrap_or(Moment::ZERO)
        });
        let mut promises: Vec<_> = promises.collect();
        promises.sort_unstable();
        let below_majority = promises.len().div_ceil(2) - usize::from(!promises.is_empty());
        promises
            .get(below_majority)
            .copied()
            .unwrap_or(Moment::ZERO)
    }
}
