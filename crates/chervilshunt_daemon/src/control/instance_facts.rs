//! Collects the state of this instance and its roles for operators.

use super::actor::Control;
use crate::facts::{
    AdapterFacts, AllocatorFacts, ChangesFacts, InstanceFacts, PermitFacts, SchedulerFacts,
    TargetFacts,
};

impl Control {
    pub(super) fn facts(&self) -> InstanceFacts {
        let instance = &self.cx.settings.instance;
        let now = self.cx.now();
        let roles = self
            .holders
            .iter()
            .filter(|(_, (holder, _))| holder == self.cx.me());
        let mut roles: Vec<String> = roles.map(|(role, _)| role.to_string()).collect();
        roles.sort();
        InstanceFacts {
            instance: instance.id.clone(),
            zone: instance.zone.clone(),
            region: instance.region.clone(),
            takes_work: self.coordinator.may_take_work(now),
            stopping: self.shutdown_waiters.is_some(),
            revision: self.deployment.revision,
            roles,
            targets: self.target_facts(),
            schedulers: self
                .schedulers
                .iter()
                .map(|(store, scheduler)| SchedulerFacts {
                    store: store.clone(),
                    in_progress: scheduler.in_progress(),
                    waiting: scheduler.waiting(),
                })
                .collect(),
            allocators: self
                .allocators
                .iter()
                .map(|(site, allocator)| AllocatorFacts {
                    site: site.clone(),
                    committed_watts: allocator.committed_watts(),
                })
                .collect(),
            changes: self.changes_facts(),
        }
    }

    fn changes_facts(&self) -> ChangesFacts {
        let changed = self.recent_changes.iter().copied().collect();
        let Some(head) = self.coordinator.head() else {
            return ChangesFacts {
                changed,
                ..ChangesFacts::default()
            };
        };
        ChangesFacts {
            generation: head.generation,
            pending: head.pending.as_ref().map(|pending| pending.change),
            outcomes: head.outcomes.iter().copied().collect(),
            changed,
        }
    }

    fn target_facts(&self) -> Vec<TargetFacts> {
        let now = self.cx.now();
        let facts = self.targets.iter().map(|(name, owned)| {
            let view = owned.owner.view(now);
            TargetFacts {
                target: name.clone(),
                epoch: owned.epoch,
                reachable: owned.reachable,
                running: view.live_permits + view.deferrable_permits,
                waiting: view.live_waiting + view.deferrable_waiting,
                share_watts: view.share_watts,
                adapters: view.adapters.into_iter().map(AdapterFacts::from).collect(),
                permits: owned
                    .owner
                    .held_permits(now)
                    .map(PermitFacts::from)
                    .collect(),
            }
        });
        facts.collect()
    }
}
