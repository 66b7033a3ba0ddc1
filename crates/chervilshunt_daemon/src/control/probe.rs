//! Keeping in touch with targets and entry instances.

use std::collections::HashSet;
use std::time::Duration;

use chervilshunt_core::{OwnerEvent, ReleaseOutcome, ReleasedPermit};
use chervilshunt_model::{AttemptId, InstanceId, TargetName};
use xtra::prelude::*;

use super::actor::Control;
use super::messages::{EngineNews, FromEngine};
use super::steps::Step;

/// The pause between two questions to a target that can't be reached.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// An instance listed its permits for a comparison with ours.
#[derive(Debug)]
struct Compared {
    target: TargetName,
    /// Permits that were out when the instance was asked.
    asked: HashSet<AttemptId>,
    /// Permits that it holds.
    held: HashSet<AttemptId>,
}

impl Control {
    /// Asks an instance which permits it holds, and takes back those that it does not know.
    pub(super) fn compare_permits(&self, instance: &InstanceId) {
        let Some(address) = self.address.clone() else {
            return;
        };
        for (target, owned) in &self.targets {
            let ours = owned
                .owner
                .permits()
                .filter(|permit| permit.entry == *instance);
            let asked: HashSet<AttemptId> = ours.map(|permit| permit.attempt).collect();
            if asked.is_empty() {
                continue;
            }
            let (cx, address) = (self.cx.clone(), address.clone());
            let (instance, target) = (instance.clone(), target.clone());
            tokio::spawn(async move {
                if let Some(permits) = cx.held_by(&instance, &target).await {
                    let held = permits.iter().map(|permit| permit.attempt).collect();
                    drop(
                        address
                            .send(Compared {
                                target,
                                asked,
                                held,
                            })
                            .detach()
                            .await,
                    );
                }
            });
        }
    }

    /// Asks a target that can't be reached again and again, until it answers or is no longer ours.
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
                    let news = EngineNews::Inventory(loaded);
                    drop(address.send(FromEngine { target, news }).detach().await);
                    return;
                }
            }
        });
    }
}

impl Handler<Compared> for Control {
    type Return = ();

    async fn handle(&mut self, message: Compared, _cx: &mut xtra::Context<Self>) {
        let Compared {
            target,
            asked,
            held,
        } = message;
        let lost = asked.difference(&held).map(|attempt| {
            let released = ReleasedPermit {
                attempt: *attempt,
                target: target.clone(),
                outcome: ReleaseOutcome::Cancelled,
            };
            Step::Owner(target.clone(), OwnerEvent::PermitReleased(released))
        });
        let steps: Vec<Step> = lost.collect();
        self.work_off(steps);
    }
}
