//! Beginning and ending roles of this instance.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_coord::{PeerState, PeerView, Role};
use chervilshunt_core::{
    LoadScheduler, Mechanisms, OwnerEvent, PowerAllocator, PowerConfig, PowerEvent,
    SchedulerConfig, SchedulerEvent,
};
use chervilshunt_mesh::Peer;
use chervilshunt_model::{Epoch, InstanceId, SiteName, StoreName, Target, TargetName};

use super::actor::Control;
use super::messages::HeldBy;
use super::owned::{OwnedTarget, is_draining};
use super::steps::Step;
use crate::routing::Routing;
use crate::wire::PeerMessage;

/// The time after which a turn to load of which nothing was heard is taken to be over; owners say
/// each second that they use one.
const TURN_TIMEOUT: Duration = Duration::from_secs(4);
/// The time that an instance has to list the permits it holds.
const HELD_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause before an instance is asked again for the permits it holds.
const HELD_PAUSE: Duration = Duration::from_millis(500);

impl Control {
    pub(super) fn gain_role(
        &mut self,
        role: Role,
        epoch: Epoch,
        previous: Option<InstanceId>,
        handed_over: bool,
        ask: &[InstanceId],
    ) {
        let now = self.cx.now();
        slog::info!(self.cx.log, "role gained";
            "role" => %role,
            "epoch" => epoch.get(),
            "previous" => previous.as_ref().map(InstanceId::as_str),
            "handed_over" => handed_over,
        );
        match role {
            Role::Target(name) => {
                let Some(target) = self.deployment.targets.get(&name).cloned() else {
                    return;
                };
                let mut owned =
                    OwnedTarget::new(&self.cx, &self.deployment, &name, &target, epoch, now);
                owned.scheduler_up = self.is_reachable(&Role::LoadScheduler(target.store.clone()));
                let reachable = OwnerEvent::SchedulerReachable(owned.scheduler_up);
                self.targets.insert(name.clone(), owned);
                let draining = OwnerEvent::Draining(self.is_draining(&name));
                // `ask` names the others only. A permit that the previous owner granted to this
                // instance pins its adapter all the same: without it the new owner would unload
                // the adapter under a stream that its own instance relays.
                let own = OwnerEvent::PermitsHeld {
                    entry: self.cx.me().clone(),
                    permits: self.cx.held.of_target(&name),
                };
                self.work_off([
                    Step::Owner(name.clone(), own),
                    Step::Owner(name.clone(), reachable),
                    Step::Owner(name.clone(), draining),
                    Step::Owner(name.clone(), OwnerEvent::Tick),
                ]);
                self.ask_inventory(&name);
                self.ask_held(&name, ask);
                self.watch_engine(&name, epoch);
            }
            Role::LoadScheduler(store) => {
                if let Some(cfg) = self.scheduler_config(&store) {
                    self.schedulers.insert(store, LoadScheduler::new(cfg, now));
                }
            }
            Role::PowerAllocator(site) => {
                let Some(cap_watts) = self.deployment.sites.get(&site).map(|site| site.cap_watts)
                else {
                    return;
                };
                let weights = self.cx.settings.policy;
                let mechanisms = Mechanisms::default();
                let cfg = PowerConfig {
                    cap_watts,
                    epoch,
                    weights,
                    mechanisms,
                };
                self.allocators.insert(site, PowerAllocator::new(cfg, now));
                self.powered.clear();
                let steps = self.power_membership();
                self.work_off(steps);
            }
            Role::ClaimKeeper(shard) => self.keep_claims(shard, epoch),
            Role::Other(_) => {}
        }
    }

    /// Stops acting under a role. Requests that wait are dropped, so that whoever asked is told at
    /// once and asks the next holder.
    pub(super) fn end_role(&mut self, role: &Role) {
        slog::info!(self.cx.log, "role ended"; "role" => %role);
        match role {
            Role::Target(name) => drop(self.targets.remove(name)),
            Role::LoadScheduler(name) => drop(self.schedulers.remove(name)),
            Role::PowerAllocator(name) => drop(self.allocators.remove(name)),
            Role::ClaimKeeper(shard) => drop(self.keepers.remove(shard)),
            Role::Other(_) => {}
        }
    }

    pub(super) fn complete_takeover(&mut self, role: &Role) {
        let Role::Target(name) = role else {
            return;
        };
        slog::info!(self.cx.log, "takeover complete"; "target" => %name);
        self.work_off([Step::Owner(name.clone(), OwnerEvent::TakeoverComplete)]);
        self.confirm_share_again(name);
    }

    pub(super) fn change_holder(&mut self, role: &Role, holder: Option<(InstanceId, Epoch)>) {
        match holder {
            Some((instance, epoch)) => {
                self.holders.insert(role.clone(), (instance, epoch));
            }
            None => drop(self.holders.remove(role)),
        }
        let steps: Vec<Step> = match role {
            Role::Target(name) => self.owner_changed(name),
            // A new scheduler knows of no turn: owners ask anew once it is back.
            Role::LoadScheduler(store) => {
                let mut steps = self.scheduler_lost(store);
                steps.extend(self.review_schedulers());
                steps
            }
            Role::PowerAllocator(_) | Role::ClaimKeeper(_) | Role::Other(_) => Vec::new(),
        };
        self.work_off(steps);
        self.publish();
    }

    /// Has owners of a store's targets load without its scheduler.
    fn scheduler_lost(&mut self, store: &StoreName) -> Vec<Step> {
        let up = self
            .targets
            .iter_mut()
            .filter(|(_, owned)| owned.target.store == *store && owned.scheduler_up);
        up.map(|(name, owned)| {
            owned.scheduler_up = false;
            Step::Owner(name.clone(), OwnerEvent::SchedulerReachable(false))
        })
        .collect()
    }

    /// Tells owners whose load scheduler can be reached again, or can't any more.
    ///
    /// A scheduler whose instance has died still holds its role until its lease has lapsed, and
    /// throughout an outage of the platform. Owners that went on asking it for turns would load
    /// nothing for as long, and requests for adapters that aren't loaded would run into their
    /// deadlines. Loads without a scheduler stay within the store's rate, so a suspicion that turns
    /// out to be wrong does no harm.
    fn review_schedulers(&mut self) -> Vec<Step> {
        let reachable = |owned: &OwnedTarget| {
            let role = Role::LoadScheduler(owned.target.store.clone());
            self.is_reachable(&role)
        };
        let changed = self
            .targets
            .iter()
            .map(|(name, owned)| (name.clone(), owned.scheduler_up, reachable(owned)))
            .filter(|(_, before, now)| before != now);
        let changed: Vec<_> = changed.collect();
        let steps = changed.into_iter().map(|(name, _, up)| {
            if let Some(owned) = self.targets.get_mut(&name) {
                owned.scheduler_up = up;
            }
            Step::Owner(name, OwnerEvent::SchedulerReachable(up))
        });
        steps.collect()
    }

    /// A target's new owner starts with no share and no turn: both roles start over with it.
    fn owner_changed(&mut self, name: &TargetName) -> Vec<Step> {
        let Some(target) = self.deployment.targets.get(name) else {
            return Vec::new();
        };
        let mut steps = Vec::new();
        if self.schedulers.contains_key(&target.store) {
            let event = SchedulerEvent::OwnerChanged(name.clone());
            steps.push(Step::Scheduler(target.store.clone(), event));
        }
        if self.allocators.contains_key(&target.site) {
            steps.push(joined(name, target));
        }
        steps
    }

    /// Returns the events that bring the allocators' lists of targets up to the configuration.
    pub(super) fn power_membership(&mut self) -> Vec<Step> {
        let wanted: HashMap<TargetName, SiteName> = self
            .deployment
            .targets
            .iter()
            .filter(|(_, target)| self.allocators.contains_key(&target.site))
            .map(|(name, target)| (name.clone(), target.site.clone()))
            .collect();
        let left = self
            .powered
            .iter()
            .filter(|(name, site)| wanted.get(*name) != Some(site));
        let mut steps: Vec<Step> = left
            .map(|(name, site)| Step::Power(site.clone(), PowerEvent::TargetLeft(name.clone())))
            .collect();
        let new = wanted
            .iter()
            .filter(|(name, site)| self.powered.get(*name) != Some(site));
        let targets = new.filter_map(|(name, _)| self.deployment.targets.get_key_value(name));
        steps.extend(targets.map(|(name, target)| joined(name, target)));
        self.powered = wanted;
        steps
    }

    pub(super) fn change_peers(&mut self, view: &PeerView) {
        let left: Vec<InstanceId> = self
            .peers
            .keys()
            .filter(|name| !view.peers.contains_key(*name))
            .cloned()
            .collect();
        self.peers = view
            .peers
            .iter()
            .map(|(name, peer)| (name.clone(), peer.peer_address))
            .collect();
        self.suspects = view
            .peers
            .iter()
            .filter(|(_, peer)| peer.state == PeerState::Suspect)
            .map(|(name, _)| name.clone())
            .collect();
        slog::info!(self.cx.log, "instances changed";
            "known" => view.peers.len(), "suspect" => self.suspects.len());
        self.publish();
        let targets: Vec<TargetName> = self.targets.keys().cloned().collect();
        let steps = left.iter().flat_map(|instance| {
            let event = || OwnerEvent::EntryLeft(instance.clone());
            targets
                .iter()
                .map(move |target| Step::Owner(target.clone(), event()))
        });
        let mut steps: Vec<Step> = steps.collect();
        steps.extend(self.review_schedulers());
        self.work_off(steps);
    }

    /// Asks instances for the permits that they hold for a target, until each has answered or the
    /// target has another owner.
    pub(super) fn ask_held(&self, target: &TargetName, instances: &[InstanceId]) {
        let Some(address) = self.address.clone() else {
            return;
        };
        for instance in instances.iter().cloned() {
            let (cx, target, address) = (self.cx.clone(), target.clone(), address.clone());
            tokio::spawn(async move {
                loop {
                    if let Some(permits) = cx.held_by(&instance, &target).await {
                        let held = HeldBy {
                            target,
                            instance,
                            permits,
                        };
                        drop(address.send(held).detach().await);
                        return;
                    }
                    tokio::time::sleep(HELD_PAUSE).await;
                    let routing = cx.routing.get();
                    let ours = routing.owners.get(&target) == Some(cx.me());
                    if !ours || !routing.peers.contains_key(&instance) {
                        return;
                    }
                }
            });
        }
    }

    pub(super) fn scheduler_config(&self, store: &StoreName) -> Option<SchedulerConfig> {
        let store = self.deployment.stores.get(store)?;
        Some(SchedulerConfig {
            concurrency: store.concurrency,
            loads_per_second: store.loads_per_second,
            turn_timeout: TURN_TIMEOUT,
            mechanisms: Mechanisms::default(),
        })
    }

    pub(super) fn is_draining(&self, name: &TargetName) -> bool {
        let target = self.deployment.targets.get(name);
        target.is_none_or(is_draining) || self.leaving.contains(name)
    }

    pub(super) fn peers_of(&self, name: &TargetName) -> Vec<TargetName> {
        let Some(target) = self.deployment.targets.get(name) else {
            return Vec::new();
        };
        let peers = self.deployment.active_targets(&target.service);
        peers
            .map(|(peer, _)| peer)
            .filter(|peer| *peer != name)
            .cloned()
            .collect()
    }

    /// Returns whether a role has a holder that seems to be there.
    fn is_reachable(&self, role: &Role) -> bool {
        let holder = self.holders.get(role);
        holder.is_some_and(|(instance, _)| !self.suspects.contains(instance))
    }

    /// Shows the traffic threads the control state as it is now.
    pub(super) fn publish(&self) {
        let claim_keepers = self
            .holders
            .iter()
            .filter_map(|(role, (instance, _))| match role {
                Role::ClaimKeeper(shard) => Some((*shard, instance.clone())),
                Role::Target(_)
                | Role::LoadScheduler(_)
                | Role::PowerAllocator(_)
                | Role::Other(_) => None,
            });
        let owners = self
            .holders
            .iter()
            .filter_map(|(role, (instance, _))| match role {
                Role::Target(name) => Some((name.clone(), instance.clone())),
                Role::LoadScheduler(_)
                | Role::PowerAllocator(_)
                | Role::ClaimKeeper(_)
                | Role::Other(_) => None,
            });
        self.cx.routing.set(Routing {
            deployment: std::sync::Arc::clone(&self.deployment),
            owners: owners.collect(),
            claim_keepers: claim_keepers.collect(),
            incarnation: Some(self.coordinator.me().incarnation),
            peers: self.peers.clone(),
            leaving: std::sync::Arc::clone(&self.leaving),
        });
    }
}

/// Returns the event by which an allocator learns of a target, or starts over with its new owner.
///
/// The target may be drawing up to its full power until its owner says otherwise: to count less
/// could pass the cap when an earlier owner's requests still run.
fn joined(name: &TargetName, target: &Target) -> Step {
    let full_watts = target.idle_watts + target.watts_per_sequence * f64::from(target.max_batch);
    let event = PowerEvent::TargetJoined {
        target: name.clone(),
        idle_watts: target.idle_watts,
        full_watts,
        max_draw_watts: full_watts,
    };
    Step::Power(target.site.clone(), event)
}

impl super::context::Context {
    /// Asks an instance, this one included, for the permits it holds for a target.
    pub(super) async fn held_by(
        &self,
        instance: &InstanceId,
        target: &TargetName,
    ) -> Option<Vec<chervilshunt_core::Permit>> {
        if instance == self.me() {
            return Some(self.held.of_target(target));
        }
        let peer: Peer = self.peer(instance)?;
        let asked = PeerMessage::PermitsAsked(target.clone());
        match self.mesh.request(&peer, asked, HELD_TIMEOUT).await {
            Ok(PeerMessage::PermitsHeld(permits)) => Some(permits),
            Ok(_) | Err(_) => None,
        }
    }
}
