//! Starts and ends the roles of this instance, and updates them when peers or holders change.

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
use super::carry_out::join_names;
use super::messages::PermitReport;
use super::owned::{OwnedTarget, is_draining};
use super::steps::Step;
use crate::routing::Routing;
use crate::wire::PeerMessage;

/// Time without a renewal after which a load turn is considered over. Owners renew their turns
/// every second.
const TURN_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout for asking an instance which permits it holds.
const PERMIT_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before an instance is asked again which permits it holds.
const PERMIT_LIST_RETRY_PAUSE: Duration = Duration::from_millis(500);

impl Control {
    /// Starts a role; `ask` lists the instances to ask for the permits that they hold.
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
            "waits_for" => join_names(ask),
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
                // `ask` does not include this instance. Permits that the previous owner granted to
                // this instance pin their adapters too; without them the new owner could unload an
                // adapter while this instance relays a stream that uses it.
                let own = OwnerEvent::PermitsHeld {
                    entry: self.cx.me().clone(),
                    permits: self.cx.held.of_target(&name),
                };
                self.run_steps([
                    Step::Owner(name.clone(), own),
                    Step::Owner(name.clone(), reachable),
                    Step::Owner(name.clone(), draining),
                    Step::Owner(name.clone(), OwnerEvent::Tick),
                ]);
                self.request_inventory(&name);
                self.request_held_permits(&name, ask);
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
                self.powered_targets.clear();
                let steps = self.power_membership();
                self.run_steps(steps);
            }
            Role::ClaimKeeper(shard) => self.start_claim_keeper(shard, epoch),
            Role::Other(_) => {}
        }
    }

    /// Stops acting under a role.
    ///
    /// The reply channels of pending requests are dropped, so that requesters notice at once and
    /// ask the next holder.
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
        self.run_steps([Step::Owner(name.clone(), OwnerEvent::TakeoverComplete)]);
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
            // A new scheduler knows no turns, so owners request theirs again once it is reachable.
            Role::LoadScheduler(store) => {
                let mut steps = self.scheduler_lost(store);
                steps.extend(self.update_scheduler_reachability());
                steps
            }
            Role::PowerAllocator(_) | Role::ClaimKeeper(_) | Role::Other(_) => Vec::new(),
        };
        self.run_steps(steps);
        self.publish();
    }

    /// Reports the load scheduler of a store as unreachable to the owners of its targets.
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

    /// Reports to owners that their load scheduler has become reachable or unreachable.
    ///
    /// A scheduler whose instance has crashed holds its role until its lease expires, and
    /// throughout an outage of the platform. Owners that kept requesting turns from it would load
    /// nothing during that time, and requests for adapters that are not loaded would exceed their
    /// deadlines. Loads without a scheduler stay within the store's rate, so a wrong suspicion does
    /// no harm.
    fn update_scheduler_reachability(&mut self) -> Vec<Step> {
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

    /// Returns the events that make the scheduler and the allocator of a target start over with its
    /// new owner, which has no turns and no share.
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
            steps.push(target_joined_event(name, target));
        }
        steps
    }

    /// Returns the events that update the allocators' sets of targets to the configuration.
    pub(super) fn power_membership(&mut self) -> Vec<Step> {
        let wanted: HashMap<TargetName, SiteName> = self
            .deployment
            .targets
            .iter()
            .filter(|(_, target)| self.allocators.contains_key(&target.site))
            .map(|(name, target)| (name.clone(), target.site.clone()))
            .collect();
        let left = self
            .powered_targets
            .iter()
            .filter(|(name, site)| wanted.get(*name) != Some(site));
        let mut steps: Vec<Step> = left
            .map(|(name, site)| Step::Power(site.clone(), PowerEvent::TargetLeft(name.clone())))
            .collect();
        let new = wanted
            .iter()
            .filter(|(name, site)| self.powered_targets.get(*name) != Some(site));
        let targets = new.filter_map(|(name, _)| self.deployment.targets.get_key_value(name));
        steps.extend(targets.map(|(name, target)| target_joined_event(name, target)));
        self.powered_targets = wanted;
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
        steps.extend(self.update_scheduler_reachability());
        self.run_steps(steps);
    }

    /// Asks instances for the permits that they hold for a target.
    ///
    /// Each is asked until it answers or is no longer live, or until the target has another owner.
    pub(super) fn request_held_permits(&self, target: &TargetName, instances: &[InstanceId]) {
        let Some(address) = self.address.clone() else {
            return;
        };
        for instance in instances.iter().cloned() {
            let (cx, target, address) = (self.cx.clone(), target.clone(), address.clone());
            tokio::spawn(async move {
                loop {
                    if let Some(permits) = cx.permits_held_by(&instance, &target).await {
                        let held = PermitReport {
                            target,
                            instance,
                            permits,
                        };
                        drop(address.send(held).detach().await);
                        return;
                    }
                    tokio::time::sleep(PERMIT_LIST_RETRY_PAUSE).await;
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

    /// Returns whether a role has a holder that is not suspected to be down.
    fn is_reachable(&self, role: &Role) -> bool {
        let holder = self.holders.get(role);
        holder.is_some_and(|(instance, _)| !self.suspects.contains(instance))
    }

    /// Publishes the current routing state to the traffic threads.
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

/// Returns the event that adds a target to its allocator, or starts over with its new owner.
///
/// The target counts with its full power until its owner confirms a share. Requests admitted by a
/// previous owner may still be running, and counting less could exceed the site's cap.
fn target_joined_event(name: &TargetName, target: &Target) -> Step {
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
    /// Returns the permits that an instance, which may be this one, holds for a target.
    ///
    /// Returns `None` if the instance is not live or does not answer in time.
    pub(super) async fn permits_held_by(
        &self,
        instance: &InstanceId,
        target: &TargetName,
    ) -> Option<Vec<chervilshunt_core::Permit>> {
        if instance == self.me() {
            return Some(self.held.of_target(target));
        }
        let peer: Peer = self.peer(instance)?;
        let asked = PeerMessage::PermitsAsked(target.clone());
        match self.mesh.request(&peer, asked, PERMIT_LIST_TIMEOUT).await {
            Ok(PeerMessage::PermitsHeld(permits)) => Some(permits),
            Ok(_) | Err(_) => None,
        }
    }
}
