//! Collects the vouches that are required before a lease may be marked lapsed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment};

use super::message::ElectorMessage;
use crate::config::{Elector, Electorate};
use crate::holder::Holder;

/// The interval between requests for vouches about the same holder.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// An output of [`VouchCollector`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VouchAction {
    /// Send a request to an instance, which may be this one.
    Send(InstanceId, ElectorMessage),
}

/// The vouches about one holder whose lease has expired.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingVouches {
    /// The electorates on which the holder may rely. A majority of each must vouch.
    electorates: Vec<Electorate>,
    requests: BTreeMap<u64, (Elector, Moment)>,
    vouched_until: BTreeMap<Elector, Moment>,
    ask_at: Moment,
}

/// Collects vouches about holders whose lease has expired.
///
/// If at one moment a majority of the holder's electors has no promise outstanding, the holder is
/// not extending its lease and cannot do so again without the platform: an extension needs a
/// majority of promises at every moment, and the two majorities would share an elector.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VouchCollector {
    pending: BTreeMap<Holder, PendingVouches>,
    number: u64,
}

impl VouchCollector {
    /// Creates a collector without any holders.
    ///
    /// Requests are numbered from `first_number`, which should be drawn at random.
    pub const fn new(first_number: u64) -> Self {
        Self {
            pending: BTreeMap::new(),
            number: first_number,
        }
    }

    /// Starts to collect vouches about a holder, or updates its electorates.
    pub fn begin(&mut self, holder: Holder, electorates: Vec<Electorate>, now: Moment) {
        let entry = self
            .pending
            .entry(holder)
            .or_insert_with(|| PendingVouches {
                electorates: Vec::new(),
                requests: BTreeMap::new(),
                vouched_until: BTreeMap::new(),
                ask_at: now,
            });
        entry.electorates = electorates;
    }

    /// Stops collecting vouches about a holder that has renewed its lease or whose lease has ended.
    pub fn end(&mut self, holder: &Holder) {
        self.pending.remove(holder);
    }

    /// Returns when [`Self::ask`] is next due.
    pub fn next_wakeup(&self) -> Option<Moment> {
        self.pending.values().map(|entry| entry.ask_at).min()
    }

    /// Requests vouches from the electors where a request is due.
    pub fn ask(&mut self, now: Moment) -> Vec<VouchAction> {
        let mut actions = Vec::new();
        for (holder, entry) in &mut self.pending {
            if now < entry.ask_at {
                continue;
            }
            entry.ask_at = now + REQUEST_INTERVAL;
            entry
                .requests
                .retain(|_, (_, at)| now.since(*at) < REQUEST_INTERVAL * 4);
            let electors: BTreeSet<_> = entry
                .electorates
                .iter()
                .flat_map(|electorate| &electorate.electors)
                .cloned()
                .collect();
            for elector in electors {
                self.number = self.number.wrapping_add(1);
                let message = ElectorMessage::AskVouch {
                    number: self.number,
                    address: elector.address,
                    about: holder.clone(),
                };
                actions.push(VouchAction::Send(elector.instance.clone(), message));
                entry.requests.insert(self.number, (elector, now));
            }
        }
        actions
    }

    /// Handles the answer of an elector. Returns whether a majority of each electorate now vouches.
    ///
    /// `dead` returns whether the platform's list has been without an instance for so long that its
    /// promises have expired. Such electors count as vouching.
    pub fn answered(
        &mut self,
        about: &Holder,
        number: u64,
        for_ms: u64,
        dead: impl Fn(&InstanceId) -> bool,
        now: Moment,
    ) -> bool {
        let Some(entry) = self.pending.get_mut(about) else {
            return false;
        };
        let Some((elector, asked_at)) = entry.requests.remove(&number) else {
            return false;
        };
        let until = asked_at + Duration::from_millis(for_ms);
        entry.vouched_until.insert(elector, until);
        let vouches = |elector: &Elector| {
            let until = entry.vouched_until.get(elector);
            until.is_some_and(|until| now < *until) || dead(&elector.instance)
        };
        entry.electorates.iter().all(|electorate| {
            let vouching = electorate
                .electors
                .iter()
                .filter(|elector| vouches(elector));
            vouching.count() * 2 > electorate.electors.len()
        })
    }
}
