//! Probes unreachable targets and compares permits with entry instances.

use std::collections::HashSet;
use std::time::Duration;

use chervilshunt_core::{OwnerEvent, ReleaseOutcome, ReleasedPermit};
use chervilshunt_model::{AttemptId, InstanceId, TargetName};
use xtra::prelude::*;

use super::actor::Control;
use super::messages::{EngineUpdate, FromEngine};
use super::steps::Step;

/// Pause between probes of an unreachable target.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// The permits that an instance reported, for comparison with those granted to it.
#[derive(Debug)]
struct PermitComparison {
    target: TargetName,
    /// Permits that were granted to the instance when it was asked.
    granted: HashSet<AttemptId>,
    /// Permits that it reported.
    held: HashSet<AttemptId>,
}

impl Control {
    /// Asks an instance which permits it holds, and releases those that it does not report.
    pub(super) fn compare_permits(&self, instance: &InstanceId) {
        let Some(address) = self.address.clone() else {
            return;
        };
        for (target, owned) in &self.targets {
            let ours = owned
                .owner
                .permits()
                .filter(|permit| permit.entry == *instance);
            let granted: HashSet<AttemptId> = ours.map(|permit| permit.attempt).collect();
            if granted.is_empty() {
                continue;
            }
            let (cx, address) = (self.cx.clone(), address.clone());
            let (instance, target) = (instance.clone(), target.clone());
            tokio::spawn(async move {
                if let Some(permits) = cx.permits_held_by(&instance, &target).await {
                    let held = permits.iter().map(|permit| permit.attempt).collect();
                    drop(
                        address
                            .send(PermitComparison {
                                target,
                                granted,
                                held,
                            })
                            .detach()
                            .await,
                    );
                }
            });
        }
    }

    /// Probes an unreachable target until it answers or this instance no longer owns it.
    pub(super) fn probe(&self, target: &TargetName) {
        let (Some(owned), Some(address)) = (self.targets.get(target), self.address.clone()) else {
            return;
        };
        let (client, target) = (owned.client.clone(), target.clone());
        let (routing, me) = (self.cx.routing.clone(), self.cx.me().clone());
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(PROBE_PAUSE).await;
                if routing.get().owners.get(&target) != Some(&me) {
                    return;
                }
                if let Ok(loaded) = client.inventory().await {
                    let update = EngineUpdate::Inventory(loaded);
                    drop(address.send(FromEngine { target, update }).detach().await);
                    return;
                }
            }
        });
    }
}

impl Handler<PermitComparison> for Control {
    type Return = ();

    async fn handle(&mut self, message: PermitComparison, _cx: &mut xtra::Context<Self>) {
        let PermitComparison {
            target,
            granted,
            held,
        } = message;
        let lost = granted.difference(&held).map(|attempt| {
            let released = ReleasedPermit {
                attempt: *attempt,
                target: target.clone(),
                outcome: ReleaseOutcome::Cancelled,
            };
            Step::Owner(target.clone(), OwnerEvent::PermitReleased(released))
        });
        let steps: Vec<Step> = lost.collect();
        self.run_steps(steps);
    }
}
