//! The control actor: its state and its message handlers.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use chervilshunt_coord::{ChangeTicket, ClaimEvent, ClaimKeeper, CoordEvent, Coordinator, Role};
use chervilshunt_core::{
    LoadScheduler, OwnerEvent, PermitAnswer, PowerAllocator, PowerEvent, RefusalReason,
    SchedulerEvent,
};
use chervilshunt_model::{
    AttemptId, ChangeId, ChangeSet, Deployment, Epoch, InstanceId, Moment, SiteName, StoreName,
    TargetName,
};
use tokio::sync::oneshot;
use xtra::prelude::*;

use super::claims::ClaimReply;
use super::context::Context;
use super::coordination::Proposed;
use super::measure::Measured;
use super::messages::{
    AskFacts, AskPermit, Begin, EngineNews, FromEngine, HeldBy, Leave, Left, ReleasePermit, Tick,
};
use super::owned::OwnedTarget;
use super::steps::{Step, Steps};

/// When a refusal for want of the role tells the caller's instance to ask again.
const NOT_OWNER_RETRY_MS: u64 = 200;

/// Holds every role of this instance; see [`crate::control`].
#[derive(Debug, xtra::Actor)]
pub(crate) struct Control {
    pub(super) cx: Context,
    pub(super) address: Option<Address<Self>>,
    pub(super) coordinator: Coordinator<Deployment, ChangeSet>,
    pub(super) deployment: Arc<Deployment>,
    pub(super) targets: BTreeMap<TargetName, OwnedTarget>,
    pub(super) schedulers: HashMap<StoreName, LoadScheduler>,
    pub(super) allocators: HashMap<SiteName, PowerAllocator>,
    pub(super) keepers: HashMap<u32, ClaimKeeper>,
    /// Requests for claims that wait for an answer.
    pub(super) claimants: HashMap<AttemptId, ClaimReply>,
    /// The targets that the allocators of this instance know, with their sites.
    pub(super) powered: HashMap<TargetName, SiteName>,
    pub(super) holders: HashMap<Role, (InstanceId, Epoch)>,
    pub(super) peers: HashMap<InstanceId, SocketAddr>,
    /// Those of the peers that don't seem to be there.
    pub(super) suspects: HashSet<InstanceId>,
    /// Targets that the instance list shows as leaving.
    pub(super) leaving: Arc<HashSet<TargetName>>,
    /// Operators that wait for the outcome of a change.
    pub(super) proposals: HashMap<ChangeTicket, oneshot::Sender<Proposed>>,
    pub(super) next_ticket: u64,
    pub(super) measured: Measured,
    /// The latest changes that were proposed here, with the number of objects that they change.
    pub(super) proposed: VecDeque<(ChangeId, usize)>,
    /// Orders on their way to targets, owned still or not.
    pub(super) orders: HashMap<TargetName, u32>,
    /// Roles that are handed over once no order is on its way any more.
    pub(super) ending: HashSet<TargetName>,
    /// Told when the roles have been given away, and when the lease has been given up.
    pub(super) leaving_steps: Option<LeavingSteps>,
}

/// What a graceful shutdown waits for.
#[derive(Debug, Default)]
pub(super) struct LeavingSteps {
    pub(super) roles_given_away: Option<oneshot::Sender<()>>,
    pub(super) left: Option<oneshot::Sender<()>>,
}

impl Control {
    /// Starts without any role.
    pub(crate) fn new(cx: Context, coordinator: Coordinator<Deployment, ChangeSet>) -> Self {
        Self {
            cx,
            address: None,
            coordinator,
            deployment: Arc::default(),
            targets: BTreeMap::new(),
            schedulers: HashMap::new(),
            allocators: HashMap::new(),
            keepers: HashMap::new(),
            claimants: HashMap::new(),
            powered: HashMap::new(),
            holders: HashMap::new(),
            peers: HashMap::new(),
            suspects: HashSet::new(),
            leaving: Arc::default(),
            proposals: HashMap::new(),
            next_ticket: 0,
            measured: Measured::default(),
            proposed: VecDeque::new(),
            orders: HashMap::new(),
            ending: HashSet::new(),
            leaving_steps: None,
        }
    }

    /// Works off events and all that they cause at this instance.
    pub(super) fn work_off(&mut self, steps: impl IntoIterator<Item = Step>) {
        let now = self.cx.now();
        let mut steps: Steps = steps.into_iter().collect();
        while let Some(step) = steps.pop_front() {
            self.step(step, now, &mut steps);
        }
    }

    fn step(&mut self, step: Step, now: Moment, steps: &mut Steps) {
        match step {
            Step::Owner(target, event) => {
                let Some(owned) = self.targets.get_mut(&target) else {
                    return;
                };
                for action in owned.owner.handle(event, now) {
                    self.carry_out_owner(&target, action, steps);
                }
            }
            Step::Scheduler(store, event) => {
                let Some(scheduler) = self.schedulers.get_mut(&store) else {
                    return;
                };
                for action in scheduler.handle(event, now) {
                    self.carry_out_scheduler(action, steps);
                }
            }
            Step::Claims(shard, event) => self.step_claims(shard, event, steps),
            Step::Power(site, event) => {
                let Some(allocator) = self.allocators.get_mut(&site) else {
                    return;
                };
                for action in allocator.handle(event, now) {
                    self.carry_out_power(&site, action, steps);
                }
            }
        }
    }

    /// Hands a request to the owner, or refuses it if this instance isn't the owner.
    pub(super) fn ask_permit(&mut self, message: AskPermit) {
        let AskPermit { req, reply } = message;
        let Some(owned) = self.targets.get_mut(&req.target) else {
            reply.send(PermitAnswer::Refused {
                reason: RefusalReason::NotOwner,
                retry_after_ms: NOT_OWNER_RETRY_MS,
            });
            return;
        };
        owned.waiting.insert(req.attempt, reply);
        let target = req.target.clone();
        self.work_off([Step::Owner(target, OwnerEvent::PermitRequested(req))]);
    }

    /// Gives a permit back to the owner; returns whether this instance is the owner.
    pub(super) fn release_permit(&mut self, message: ReleasePermit) -> bool {
        let ReleasePermit(released) = message;
        let target = released.target.clone();
        let Some(owned) = self.targets.get_mut(&target) else {
            return false;
        };
        owned.waiting.remove(&released.attempt);
        self.work_off([Step::Owner(target, OwnerEvent::PermitReleased(released))]);
        true
    }

    fn due(&self, now: Moment) -> Vec<Step> {
        let is_due = |wakeup: Option<Moment>| wakeup.is_some_and(|wakeup| wakeup <= now);
        let owners = self
            .targets
            .iter()
            .filter(|(_, owned)| is_due(owned.owner.next_wakeup()));
        let schedulers = self
            .schedulers
            .iter()
            .filter(|(_, role)| is_due(role.next_wakeup()));
        let allocators = self
            .allocators
            .iter()
            .filter(|(_, role)| is_due(role.next_wakeup()));
        let keepers = self
            .keepers
            .iter()
            .filter(|(_, role)| is_due(role.next_wakeup()));
        owners
            .map(|(name, _)| Step::Owner(name.clone(), OwnerEvent::Tick))
            .chain(schedulers.map(|(name, _)| Step::Scheduler(name.clone(), SchedulerEvent::Tick)))
            .chain(keepers.map(|(shard, _)| Step::Claims(*shard, ClaimEvent::Tick)))
            .chain(allocators.map(|(name, _)| Step::Power(name.clone(), PowerEvent::Tick)))
            .collect()
    }
}

impl Handler<AskPermit> for Control {
    type Return = ();

    async fn handle(&mut self, message: AskPermit, _cx: &mut xtra::Context<Self>) {
        self.ask_permit(message);
    }
}

impl Handler<ReleasePermit> for Control {
    type Return = bool;

    async fn handle(&mut self, message: ReleasePermit, _cx: &mut xtra::Context<Self>) -> bool {
        self.release_permit(message)
    }
}

impl Handler<FromEngine> for Control {
    /// Whether this instance still owns the target.
    type Return = bool;

    async fn handle(&mut self, message: FromEngine, _cx: &mut xtra::Context<Self>) -> bool {
        let FromEngine { target, news } = message;
        if let EngineNews::OrderEnded(..) = news {
            self.order_ended(&target);
        }
        let Some(owned) = self.targets.get(&target) else {
            return false;
        };
        match news {
            EngineNews::OrderEnded(order, result) => {
                self.heard(target, OwnerEvent::OrderEnded { order, result });
            }
            EngineNews::Inventory(loaded) => self.heard(target, OwnerEvent::Inventory(loaded)),
            EngineNews::Looked { epoch, .. } if epoch != owned.epoch => return false,
            EngineNews::Looked { report, cached, .. } => {
                let cached = cached.map(OwnerEvent::PrefixesCached);
                let events = std::iter::once(OwnerEvent::EngineReported(report)).chain(cached);
                let steps: Vec<Step> = events
                    .map(|event| Step::Owner(target.clone(), event))
                    .collect();
                self.work_off(steps);
            }
            EngineNews::Unreachable => self.lost_target(target),
        }
        true
    }
}

impl Control {
    /// A target answered: it can be reached.
    fn heard(&mut self, target: TargetName, event: OwnerEvent) {
        let owned = self.targets.get_mut(&target);
        let is_back = owned.is_some_and(|owned| !std::mem::replace(&mut owned.reachable, true));
        let back = is_back.then(|| Step::Owner(target.clone(), OwnerEvent::Reachable(true)));
        let steps: Vec<Step> = back
            .into_iter()
            .chain([Step::Owner(target, event)])
            .collect();
        self.work_off(steps);
    }

    /// A target can't be reached: it is asked again and again until it answers.
    fn lost_target(&mut self, target: TargetName) {
        let owned = self.targets.get_mut(&target);
        if owned.is_some_and(|owned| std::mem::replace(&mut owned.reachable, false)) {
            self.probe(&target);
            self.work_off([Step::Owner(target, OwnerEvent::Reachable(false))]);
        }
    }
}

impl Handler<Tick> for Control {
    type Return = ();

    async fn handle(&mut self, _: Tick, _cx: &mut xtra::Context<Self>) {
        let now = self.cx.now();
        if self
            .coordinator
            .next_wakeup()
            .is_some_and(|wakeup| wakeup <= now)
        {
            self.coordinate(CoordEvent::Tick);
        }
        let due = self.due(now);
        self.work_off(due);
        self.give_withheld();
        self.measure(now);
    }
}

impl Handler<Begin> for Control {
    type Return = ();

    async fn handle(&mut self, message: Begin, _cx: &mut xtra::Context<Self>) {
        super::watches::start(&self.cx.platform, &message.0);
        super::timer::start(message.0.clone());
        self.address = Some(message.0);
        self.coordinate(CoordEvent::Tick);
    }
}

impl Handler<HeldBy> for Control {
    type Return = ();

    async fn handle(&mut self, message: HeldBy, _cx: &mut xtra::Context<Self>) {
        let HeldBy {
            target,
            instance,
            permits,
        } = message;
        let event = OwnerEvent::PermitsHeld {
            entry: instance.clone(),
            permits,
        };
        self.work_off([Step::Owner(target.clone(), event)]);
        let role = Role::Target(target);
        self.coordinate(CoordEvent::PermitsReported { role, instance });
    }
}

impl Handler<AskFacts> for Control {
    type Return = crate::facts::InstanceFacts;

    async fn handle(
        &mut self,
        _: AskFacts,
        _cx: &mut xtra::Context<Self>,
    ) -> crate::facts::InstanceFacts {
        self.facts()
    }
}

impl Handler<Leave> for Control {
    type Return = oneshot::Receiver<()>;

    async fn handle(&mut self, _: Leave, _cx: &mut xtra::Context<Self>) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let steps = self.leaving_steps.get_or_insert_default();
        steps.roles_given_away = Some(tx);
        self.coordinate(CoordEvent::ShutdownRequested);
        rx
    }
}

impl Handler<Left> for Control {
    type Return = oneshot::Receiver<()>;

    async fn handle(&mut self, _: Left, _cx: &mut xtra::Context<Self>) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let steps = self.leaving_steps.get_or_insert_default();
        steps.left = Some(tx);
        self.coordinate(CoordEvent::Drained);
        rx
    }
}

impl Control {
    /// The roles of this instance that shuts down have new holders.
    pub(super) fn roles_given_away(&mut self) {
        let steps = self.leaving_steps.as_mut();
        if let Some(tx) = steps.and_then(|steps| steps.roles_given_away.take()) {
            let _gone = tx.send(());
        }
    }

    /// The lease of this instance that shuts down has been given up.
    pub(super) fn left(&mut self) {
        let steps = self.leaving_steps.as_mut();
        if let Some(tx) = steps.and_then(|steps| steps.left.take()) {
            let _gone = tx.send(());
        }
    }
}
