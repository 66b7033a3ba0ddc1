//! The control actor: its state and its message handlers.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use chervilshunt_coord::{ChangeTicket, ClaimEvent, ClaimKeeper, CoordEvent, Coordinator, Role};
use chervilshunt_core::{LoadScheduler, OwnerEvent, PowerAllocator, PowerEvent, SchedulerEvent};
use chervilshunt_model::{
    AttemptId, ChangeId, ChangeSet, Deployment, Epoch, InstanceId, Moment, SiteName, StoreName,
    TargetName,
};
use tokio::sync::oneshot;
use xtra::prelude::*;

use super::carry_out::NOT_OWNER;
use super::claims::ClaimReply;
use super::context::Context;
use super::coordination::ProposalOutcome;
use super::measure::MetricsState;
use super::messages::{
    Begin, EndLease, EngineUpdate, FromEngine, GetFacts, HandOverRoles, PermitReport,
    ReleasePermit, RequestPermit, Tick,
};
use super::owned::OwnedTarget;
use super::steps::{Step, Steps};

/// The actor that holds every role of this instance; see [`crate::control`].
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
    /// Reply channels of claim requests that have not been answered yet.
    pub(super) claim_replies: HashMap<AttemptId, ClaimReply>,
    /// The targets that the power allocators of this instance know, with their sites.
    pub(super) powered_targets: HashMap<TargetName, SiteName>,
    pub(super) holders: HashMap<Role, (InstanceId, Epoch)>,
    pub(super) peers: HashMap<InstanceId, SocketAddr>,
    /// Peers that are suspected to be down.
    pub(super) suspects: HashSet<InstanceId>,
    /// Targets that the instance list shows as leaving or not serving.
    pub(super) leaving: Arc<HashSet<TargetName>>,
    /// Reply channels of proposed changes whose outcome is not known yet.
    pub(super) proposals: HashMap<ChangeTicket, oneshot::Sender<ProposalOutcome>>,
    pub(super) next_ticket: u64,
    pub(super) metrics_state: MetricsState,
    /// The most recent changes proposed at this instance, each with the number of objects that it
    /// changes.
    pub(super) recent_changes: VecDeque<(ChangeId, usize)>,
    /// Number of orders in flight to each target, including targets that are no longer owned.
    pub(super) orders_in_flight: HashMap<TargetName, u32>,
    /// Targets whose role is handed over once no order to them is in flight.
    pub(super) awaiting_orders: HashSet<TargetName>,
    /// Present from the start of a graceful shutdown.
    pub(super) shutdown_waiters: Option<ShutdownWaiters>,
}

/// Channels that notify a graceful shutdown of its progress.
#[derive(Debug, Default)]
pub(super) struct ShutdownWaiters {
    /// Notified when this instance no longer holds any role.
    pub(super) roles_released: Option<oneshot::Sender<()>>,
    /// Notified when the lease of this instance has ended.
    pub(super) lease_ended: Option<oneshot::Sender<()>>,
}

impl Control {
    /// Creates the actor without any role.
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
            claim_replies: HashMap::new(),
            powered_targets: HashMap::new(),
            holders: HashMap::new(),
            peers: HashMap::new(),
            suspects: HashSet::new(),
            leaving: Arc::default(),
            proposals: HashMap::new(),
            next_ticket: 0,
            metrics_state: MetricsState::default(),
            recent_changes: VecDeque::new(),
            orders_in_flight: HashMap::new(),
            awaiting_orders: HashSet::new(),
            shutdown_waiters: None,
        }
    }

    /// Handles events and all further events that they cause at this instance.
    pub(super) fn run_steps(&mut self, steps: impl IntoIterator<Item = Step>) {
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

    /// Passes a permit request to the owner, or refuses it if this instance does not own the
    /// target or its lease has run out.
    pub(super) fn request_permit(&mut self, message: RequestPermit) {
        let RequestPermit { req, reply } = message;
        let may_grant = self.may_grant(&req.target);
        let Some(owned) = self.targets.get_mut(&req.target).filter(|_| may_grant) else {
            reply.send(NOT_OWNER);
            return;
        };
        owned.waiting.insert(req.attempt, reply);
        let target = req.target.clone();
        self.run_steps([Step::Owner(target, OwnerEvent::PermitRequested(req))]);
    }

    /// Releases a permit at the owner and returns whether this instance owns the target.
    pub(super) fn release_permit(&mut self, message: ReleasePermit) -> bool {
        let ReleasePermit(released) = message;
        let target = released.target.clone();
        let Some(owned) = self.targets.get_mut(&target) else {
            return false;
        };
        owned.waiting.remove(&released.attempt);
        self.run_steps([Step::Owner(target, OwnerEvent::PermitReleased(released))]);
        true
    }

    /// Returns a tick for every role whose wake-up time has passed.
    fn due_ticks(&self, now: Moment) -> Vec<Step> {
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

impl Handler<RequestPermit> for Control {
    type Return = ();

    async fn handle(&mut self, message: RequestPermit, _cx: &mut xtra::Context<Self>) {
        self.request_permit(message);
    }
}

impl Handler<ReleasePermit> for Control {
    type Return = bool;

    async fn handle(&mut self, message: ReleasePermit, _cx: &mut xtra::Context<Self>) -> bool {
        self.release_permit(message)
    }
}

impl Handler<FromEngine> for Control {
    /// Whether this instance still owns the target, under the same epoch for a load report.
    type Return = bool;

    async fn handle(&mut self, message: FromEngine, _cx: &mut xtra::Context<Self>) -> bool {
        let FromEngine { target, update } = message;
        if let EngineUpdate::OrderEnded(..) = update {
            self.order_ended(&target);
        }
        let Some(owned) = self.targets.get(&target) else {
            return false;
        };
        match update {
            EngineUpdate::OrderEnded(order, result) => {
                self.handle_response(target, OwnerEvent::OrderEnded { order, result });
            }
            EngineUpdate::Inventory(loaded) => {
                self.handle_response(target, OwnerEvent::Inventory(loaded))
            }
            EngineUpdate::Polled { epoch, .. } if epoch != owned.epoch => return false,
            EngineUpdate::Polled {
                report,
                adapters,
                cached,
                ..
            } => {
                let adapters = adapters.map(OwnerEvent::AdaptersReported);
                let cached = cached.map(OwnerEvent::PrefixesCached);
                let events = std::iter::once(OwnerEvent::EngineReported(report));
                let events = events.chain(adapters).chain(cached);
                let steps: Vec<Step> = events
                    .map(|event| Step::Owner(target.clone(), event))
                    .collect();
                self.run_steps(steps);
            }
            EngineUpdate::Unreachable => self.mark_unreachable(target),
        }
        true
    }
}

impl Control {
    /// Handles an event that shows that the target is reachable.
    fn handle_response(&mut self, target: TargetName, event: OwnerEvent) {
        let owned = self.targets.get_mut(&target);
        let is_back = owned.is_some_and(|owned| !std::mem::replace(&mut owned.reachable, true));
        let back = is_back.then(|| Step::Owner(target.clone(), OwnerEvent::Reachable(true)));
        let steps: Vec<Step> = back
            .into_iter()
            .chain([Step::Owner(target, event)])
            .collect();
        self.run_steps(steps);
    }

    /// Marks a target as unreachable and probes it until it answers.
    fn mark_unreachable(&mut self, target: TargetName) {
        let owned = self.targets.get_mut(&target);
        if owned.is_some_and(|owned| std::mem::replace(&mut owned.reachable, false)) {
            self.probe(&target);
            self.run_steps([Step::Owner(target, OwnerEvent::Reachable(false))]);
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
        let due = self.due_ticks(now);
        self.run_steps(due);
        self.send_withheld_orders();
        self.update_metrics(now);
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

impl Handler<PermitReport> for Control {
    type Return = ();

    async fn handle(&mut self, message: PermitReport, _cx: &mut xtra::Context<Self>) {
        let PermitReport {
            target,
            instance,
            permits,
        } = message;
        let event = OwnerEvent::PermitsHeld {
            entry: instance.clone(),
            permits,
        };
        self.run_steps([Step::Owner(target.clone(), event)]);
        let role = Role::Target(target);
        self.coordinate(CoordEvent::PermitsReported { role, instance });
    }
}

impl Handler<GetFacts> for Control {
    type Return = crate::facts::InstanceFacts;

    async fn handle(
        &mut self,
        _: GetFacts,
        _cx: &mut xtra::Context<Self>,
    ) -> crate::facts::InstanceFacts {
        self.facts()
    }
}

impl Handler<HandOverRoles> for Control {
    type Return = oneshot::Receiver<()>;

    async fn handle(
        &mut self,
        _: HandOverRoles,
        _cx: &mut xtra::Context<Self>,
    ) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let waiters = self.shutdown_waiters.get_or_insert_default();
        waiters.roles_released = Some(tx);
        self.coordinate(CoordEvent::ShutdownRequested);
        rx
    }
}

impl Handler<EndLease> for Control {
    type Return = oneshot::Receiver<()>;

    async fn handle(
        &mut self,
        _: EndLease,
        _cx: &mut xtra::Context<Self>,
    ) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let waiters = self.shutdown_waiters.get_or_insert_default();
        waiters.lease_ended = Some(tx);
        self.coordinate(CoordEvent::Drained);
        rx
    }
}

impl Control {
    /// Notifies a graceful shutdown that this instance no longer holds any role.
    pub(super) fn notify_roles_released(&mut self) {
        let waiters = self.shutdown_waiters.as_mut();
        if let Some(tx) = waiters.and_then(|waiters| waiters.roles_released.take()) {
            let _gone = tx.send(());
        }
    }

    /// Notifies a graceful shutdown that the lease of this instance has ended.
    pub(super) fn notify_lease_ended(&mut self) {
        let waiters = self.shutdown_waiters.as_mut();
        if let Some(tx) = waiters.and_then(|waiters| waiters.lease_ended.take()) {
            let _gone = tx.send(());
        }
    }
}
