//! Selects the leases to watch and maintains the view of the instances.

use std::collections::{BTreeMap, BTreeSet};

use chervilshunt_model::{InstanceId, Moment, ZoneName};

use super::Coordinator;
use super::types::CoordAction;
use crate::holder::Holder;
use crate::lease::ObserverEvent;
use crate::membership::{InstanceEntry, Peer, PeerState, PeerView, watched_by};
use crate::roles::RoleEvent;

impl<S: Clone, C: Clone> Coordinator<S, C> {
    pub(super) fn on_list(
        &mut self,
        entries: Vec<InstanceEntry>,
        now: Moment,
        actions: &mut Vec<CoordAction<S, C>>,
    ) {
        let entries = entries
            .into_iter()
            .map(|entry| (entry.instance.clone(), entry));
        let before = std::mem::replace(&mut self.list, entries.collect());
        self.list_since.get_or_insert(now);
        self.gone_since
            .retain(|instance, _| !self.list.contains_key(instance));
        for instance in before.into_keys() {
            if !self.list.contains_key(&instance) {
                self.gone_since.entry(instance).or_insert(now);
            }
        }
        self.watches_outdated = true;
        self.view_outdated = true;
        self.electorate_update.recheck();
        let gone = self
            .takeovers
            .retain_listed(&self.list.keys().cloned().collect());
        actions.extend(
            gone.into_iter()
                .map(|role| CoordAction::TakeoverComplete { role }),
        );
        let instances = self.instances();
        self.drive_roles(RoleEvent::Instances(instances), now, actions);
    }

    /// Returns the instances that are believed to be live, including this one.
    pub(super) fn instances(&self) -> BTreeMap<InstanceId, ZoneName> {
        let listed = self.list.values().filter(|entry| !entry.terminating);
        let mut instances: BTreeMap<_, _> = listed
            .map(|entry| (entry.instance.clone(), entry.zone.clone()))
            .collect();
        instances.insert(self.cfg.me.instance.clone(), self.cfg.zone.clone());
        instances
    }

    /// Watches the leases of the holders that are assigned to this instance, and of earlier runs of
    /// this instance.
    pub(super) fn update_watches(&mut self, now: Moment, actions: &mut Vec<CoordAction<S, C>>) {
        if !std::mem::take(&mut self.watches_outdated) {
            return;
        }
        let me = self.cfg.me.clone();
        let holders: BTreeSet<Holder> = self
            .roles
            .entries()
            .flat_map(|(_, entry)| std::iter::once(&entry.holder).chain(&entry.next))
            .filter(|holder| **holder != me)
            .cloned()
            .collect();
        let instances = self.instances();
        let held_by = holders.iter().map(|holder| holder.instance.clone());
        let departed = held_by
            .filter(|instance| !instances.contains_key(instance))
            .collect();
        let turns: BTreeSet<_> = watched_by(&me.instance, &instances, &departed, self.cfg.watchers)
            .into_iter()
            .collect();
        let wanted: BTreeSet<Holder> = holders
            .into_iter()
            .filter(|holder| turns.contains(&holder.instance) || holder.instance == me.instance)
            .chain(self.extra_watches.iter().cloned())
            .collect();
        let watched: Vec<_> = self.observer.watched().cloned().collect();
        for holder in watched.iter().filter(|holder| !wanted.contains(holder)) {
            let event = if self.ended.remove(holder) {
                ObserverEvent::Discard(holder.clone())
            } else {
                ObserverEvent::Unwatch(holder.clone())
            };
            self.drive_observer(event, now, actions);
        }
        for holder in wanted {
            if !self.observer.is_watching(&holder) {
                self.drive_observer(ObserverEvent::Watch(holder), now, actions);
            }
        }
    }

    /// Recomputes the view of the instances and reports it if it has changed.
    pub(super) fn update_view(&mut self, actions: &mut Vec<CoordAction<S, C>>) {
        if !std::mem::take(&mut self.view_outdated) {
            return;
        }
        let peers = self.list.values().map(|entry| {
            let state = if entry.terminating {
                PeerState::Leaving
            } else if self.lost_peers.contains(&entry.instance)
                || self.suspects.contains(&entry.instance)
                || !entry.serving
            {
                PeerState::Suspect
            } else {
                PeerState::Live
            };
            let peer = Peer {
                zone: entry.zone.clone(),
                peer_address: entry.peer_address,
                operators_address: entry.operators_address,
                state,
            };
            (entry.instance.clone(), peer)
        });
        let mut view = PeerView {
            peers: peers.collect(),
        };
        view.peers
            .entry(self.cfg.me.instance.clone())
            .or_insert_with(|| Peer {
                zone: self.cfg.zone.clone(),
                peer_address: self.cfg.peer_address,
                operators_address: self.cfg.operators_address,
                state: PeerState::Live,
            });
        if view != self.view {
            self.view = view.clone();
            actions.push(CoordAction::PeersChanged(view));
        }
    }
}
