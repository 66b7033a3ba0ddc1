//! Extends the own lease, while the platform fails, by the promises of the electors.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment};

use super::message::HoldMessage;
use crate::bugs::{Bug, Bugs};
use crate::config::{Elector, Electorate};

/// How a lease is extended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HoldConfig {
    /// How long before the lease runs out promises are begun to be asked for.
    pub begin_before: Duration,
    /// How often promises are asked for until a majority has promised.
    pub ask_every: Duration,
    /// How often promises are renewed.
    pub renew_every: Duration,
    /// What is taken off each promise, for clocks that run at different speeds.
    pub margin: Duration,
    /// The most instances that ask the electors themselves; of more, one for each zone does, and
    /// the others ask that one.
    pub direct_at_most: usize,
}

impl Default for HoldConfig {
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

/// What a hold wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldAction {
    /// Send a question to an instance, which may be this one.
    Send(InstanceId, HoldMessage),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Asked {
    Elector(Elector),
    Relay,
}

/// The extension of a lease.
///
/// A holder whose lease runs out may go on as long as a majority of its electors has promised not
/// to vouch, since without a majority of vouches nobody may mark its lease lapsed. The extension
/// has to follow on the lease without a gap: in a gap the holder may have been superseded, and
/// only the platform can tell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Hold {
    cfg: HoldConfig,
    /// Until when each elector has promised.
    promises: BTreeMap<Elector, Moment>,
    /// Until when a majority has promised, as a relay said.
    relayed: Moment,
    asked: BTreeMap<u64, (Asked, Moment)>,
    number: u64,
    ask_at: Moment,
    valid_until: Moment,
    /// The relays that did not answer since the last one that did.
    silent_relays: usize,
    bugs: Bugs,
}

impl Hold {
    /// Starts without an extension.
    ///
    /// Questions are numbered from `first_number`, which should be drawn at random.
    pub const fn new(cfg: HoldConfig, first_number: u64) -> Self {
        Self {
            cfg,
            promises: BTreeMap::new(),
            relayed: Moment::ZERO,
            asked: BTreeMap::new(),
            number: first_number,
            ask_at: Moment::ZERO,
            valid_until: Moment::ZERO,
            silent_relays: 0,
            bugs: Bugs::NONE,
        }
    }

    /// Seeds a bug.
    #[cfg(test)]
    pub(crate) const fn seed(&mut self, bugs: Bugs) {
        self.bugs = bugs;
    }

    /// Returns until when the lease is extended; a moment that has passed if it isn't.
    pub const fn valid_until(&self) -> Moment {
        self.valid_until
    }

    /// Returns when [`Self::ask`] is next wanted, given until when the lease itself counts.
    pub fn next_wakeup(&self, lease_until: Moment) -> Moment {
        self.ask_at.max(lease_until - self.cfg.begin_before)
    }

    /// Asks for promises, if the lease is about to run out and it is time.
    ///
    /// `relays` are the instances of this zone in the order in which they are to ask the electors
    /// for the others, none if this instance is to ask for itself.
    pub fn ask(
        &mut self,
        lease_until: Moment,
        electorate: &Electorate,
        relays: &[InstanceId],
        now: Moment,
    ) -> Vec<HoldAction> {
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
        self.asked.retain(|_, (_, at)| *at >= old);
        let relay = relays.get(self.silent_relays).cloned();
        self.silent_relays += 1;
        match relay {
            Some(relay) => {
                let number = self.note(Asked::Relay, now);
                let electorate = electorate.version;
                vec![HoldAction::Send(
                    relay,
                    HoldMessage::AskHold { number, electorate },
                )]
            }
            None => electorate
                .electors
                .iter()
                .map(|elector| {
                    let number = self.note(Asked::Elector(elector.clone()), now);
                    let address = elector.address;
                    let message = HoldMessage::AskPromise { number, address };
                    HoldAction::Send(elector.instance.clone(), message)
                })
                .collect(),
        }
    }

    fn note(&mut self, asked: Asked, now: Moment) -> u64 {
        self.number = self.number.wrapping_add(1);
        self.asked.insert(self.number, (asked, now));
        self.number
    }

    /// Takes the answer to a question.
    pub fn answered(
        &mut self,
        number: u64,
        for_ms: u64,
        lease_until: Moment,
        electorate: &Electorate,
        now: Moment,
    ) {
        let Some((asked, asked_at)) = self.asked.remove(&number) else {
            return;
        };
        let counted_from = if self.bugs.has(Bug::HoldFromReply) {
            now
        } else {
            asked_at
        };
        let until = counted_from + Duration::from_millis(for_ms);
        match asked {
            Asked::Elector(elector) if for_ms > 0 => {
                let promised = self.promises.entry(elector).or_default();
                *promised = until.max(*promised);
            }
            Asked::Relay if for_ms > 0 => {
                self.relayed = until.max(self.relayed);
                self.silent_relays = 0;
            }
            Asked::Elector(_) | Asked::Relay => return,
        }
        self.extend(lease_until, electorate, now);
    }

    /// Extends the lease if a majority has promised and there is no gap.
    fn extend(&mut self, lease_until: Moment, electorate: &Electorate, now: Moment) {
        if now >= lease_until.max(self.valid_until) {
            return;
        }
        let majority = self.promised_by_majority(electorate).max(self.relayed);
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
