//! Extends this run's lease while the platform is unreachable, and ensures that the leases of
//! others are marked lapsed only if the electors have not extended them.

use std::collections::BTreeSet;

use chervilshunt_model::{InstanceId, Moment};

use super::Coordinator;
use super::drive::log;
use super::types::{CoordAction, CoordMessage, DecisionKind};
use crate::config::Electorate;
use crate::hashing::text_hash;
use crate::holder::Holder;
use crate::lease::ObserverEvent;
use crate::outage::{ElectorMessage, LeaseExtensionAction, VouchAction};

impl<S: Clone, C: Clone> Coordinator<S, C> {
    /// Returns the electors that the lease names according to the last renewal known to have been
    /// carried out.
    fn own_electorate(&self) -> Option<&Electorate> {
        self.follower
            .head()?
            .electorate(self.lease.confirmed_electorate())
    }

    pub(super) fn extension_wakeup(&self) -> Option<Moment> {
        self.lease_state?;
        let until = self.lease.valid_until();
        let wakeup = self.extension.next_wakeup(until);
        (wakeup < until.max(self.extension.valid_until())).then_some(wakeup)
    }

    pub(super) fn extend_lease(&mut self, now: Moment, actions: &mut Vec<CoordAction<S, C>>) {
        let until = self.lease.valid_until();
        if self.lease_state.is_none() || now < self.extension.next_wakeup(until) {
            return self.log_extension_change(now, actions);
        }
        let Some(electorate) = self.own_electorate().cloned() else {
            return;
        };
        let relays = self.relays(&electorate);
        for action in self.extension.ask(until, &electorate, &relays, now) {
            let LeaseExtensionAction::Send(to, message) = action;
            self.send_elector_message(to, message, now, actions);
        }
        self.log_extension_change(now, actions);
    }

    fn log_extension_change(&mut self, now: Moment, actions: &mut Vec<CoordAction<S, C>>) {
        let in_extension = !self.lease.is_valid(now) && self.is_extended(now);
        if in_extension == self.in_extension {
            return;
        }
        self.in_extension = in_extension;
        let reason = if in_extension {
            "the platform fails, and a majority of the electors has promised to supersede nobody"
        } else {
            "the lease was renewed, or the electors promise no longer"
        };
        log(actions, DecisionKind::HoldChanged, None, None, reason);
    }

    /// Returns the instances that may ask the electors on behalf of this one, in order of
    /// preference. The result is empty if this instance must ask the electors itself.
    fn relays(&self, electorate: &Electorate) -> Vec<InstanceId> {
        let instances = self.instances();
        let me = &self.cfg.me.instance;
        let is_elector = electorate
            .electors
            .iter()
            .any(|elector| elector.instance == *me);
        if is_elector || instances.len() <= self.cfg.lease_extension.direct_at_most {
            return Vec::new();
        }
        let in_zone = instances.iter().filter(|(_, zone)| **zone == self.cfg.zone);
        let mut in_zone: Vec<_> = in_zone.map(|(instance, _)| instance.clone()).collect();
        in_zone.sort_by_key(|instance| text_hash(instance.as_str()));
        in_zone.truncate(RELAYS_PER_ZONE);
        if in_zone.contains(me) {
            return Vec::new();
        }
        in_zone
    }

    /// Handles a lease that has stayed unchanged for its full duration.
    ///
    /// The lease is marked lapsed at once if its holder cannot have had it extended; in other
    /// cases, once a majority of its electors has vouched.
    pub(super) fn on_expired(
        &mut self,
        holder: Holder,
        now: Moment,
        actions: &mut Vec<CoordAction<S, C>>,
    ) {
        if self.is_dead(&holder.instance, now) {
            return self.drive_observer(ObserverEvent::Mark(holder), now, actions);
        }
        let Some(lease) = self.observer.seen(&holder) else {
            return;
        };
        let is_predecessor =
            holder.instance == self.cfg.me.instance && lease.peer_address == self.cfg.peer_address;
        if is_predecessor {
            // Answers from electors go to the address on which this process now listens, so they
            // cannot have reached its predecessor.
            return self.drive_observer(ObserverEvent::Mark(holder), now, actions);
        }
        let versions = BTreeSet::from([lease.electorate, lease.electorate_before]);
        let named: Vec<_> = versions
            .into_iter()
            .filter(|version| *version > 0)
            .collect();
        if named.is_empty() {
            // The holder has never named electors, so nobody can have extended its lease.
            return self.drive_observer(ObserverEvent::Mark(holder), now, actions);
        }
        let head = self.follower.head();
        let known = named
            .iter()
            .filter_map(|version| head?.electorate(*version).cloned());
        let known: Vec<_> = known.collect();
        if known.len() == named.len() {
            self.vouching.begin(holder, known, now);
        }
    }

    /// Returns whether an instance has been missing from the platform's list for so long that every
    /// promise it made has expired.
    fn is_dead(&self, instance: &InstanceId, now: Moment) -> bool {
        if self.list.contains_key(instance) {
            return false;
        }
        let since = self.gone_since.get(instance).copied().or(self.list_since);
        since.is_some_and(|since| now.since(since) >= self.cfg.elector.promise_for)
    }

    pub(super) fn collect_vouches(&mut self, now: Moment, actions: &mut Vec<CoordAction<S, C>>) {
        for action in self.vouching.ask(now) {
            let VouchAction::Send(to, message) = action;
            self.send_elector_message(to, message, now, actions);
        }
    }

    fn send_elector_message(
        &mut self,
        to: InstanceId,
        message: ElectorMessage,
        now: Moment,
        actions: &mut Vec<CoordAction<S, C>>,
    ) {
        if to == self.cfg.me.instance {
            return self.on_elector_message(&to, &message, now, actions);
        }
        let message = CoordMessage::Elector(message);
        actions.push(CoordAction::Send { to, message });
    }

    pub(super) fn on_elector_message(
        &mut self,
        from: &InstanceId,
        message: &ElectorMessage,
        now: Moment,
        actions: &mut Vec<CoordAction<S, C>>,
    ) {
        match message {
            ElectorMessage::AskPromise { number, address } => {
                let is_me = *address == self.cfg.peer_address;
                let promise = is_me.then(|| self.elector.promise(now)).flatten();
                let answer = ElectorMessage::Promise {
                    number: *number,
                    for_ms: promise.map_or(0, millis),
                };
                self.send_elector_message(from.clone(), answer, now, actions);
            }
            ElectorMessage::AskVouch {
                number,
                address,
                about,
            } => {
                let is_me = *address == self.cfg.peer_address;
                let vouch = is_me.then(|| self.elector.vouch(now)).flatten();
                let answer = ElectorMessage::Vouch {
                    number: *number,
                    about: about.clone(),
                    for_ms: vouch.map_or(0, millis),
                };
                self.send_elector_message(from.clone(), answer, now, actions);
            }
            ElectorMessage::AskMajorityPromise { number, electorate } => {
                let electorate = self
                    .follower
                    .head()
                    .and_then(|head| head.electorate(*electorate));
                let until =
                    electorate.map(|electorate| self.extension.promised_by_majority(electorate));
                let answer = ElectorMessage::MajorityPromise {
                    number: *number,
                    for_ms: until.map_or(0, |until| millis(now.until(until))),
                };
                self.send_elector_message(from.clone(), answer, now, actions);
            }
            ElectorMessage::Promise { number, for_ms }
            | ElectorMessage::MajorityPromise { number, for_ms } => {
                let until = self.lease.valid_until();
                if let Some(electorate) = self.own_electorate().cloned() {
                    self.extension
                        .answered(*number, *for_ms, until, &electorate, now);
                }
            }
            ElectorMessage::Vouch {
                number,
                about,
                for_ms,
            } => {
                let mut vouching = std::mem::take(&mut self.vouching);
                let dead = |instance: &InstanceId| self.is_dead(instance, now);
                let enough = vouching.answered(about, *number, *for_ms, dead, now);
                self.vouching = vouching;
                if enough {
                    let event = ObserverEvent::Mark(about.clone());
                    self.drive_observer(event, now, actions);
                }
            }
        }
    }
}

/// The number of instances per zone that ask the electors on behalf of the others. The second is
/// asked if the first does not answer; if neither does, an instance asks the electors itself.
const RELAYS_PER_ZONE: usize = 2;

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
