//! The control actor: its state and message handlers.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_coord::{
    ExclusiveLeaseAction, ExclusiveLeaseConfig, ExclusiveLeaseEvent, ExclusiveLeaseKeeper,
    LeaseWriteOutcome,
};
use chervilshunt_core::{
    ChargeResult, DeputyLedger, LoadEstimates, QuotaLedger, ResidencyEvent, ResidencyPlanner,
    RetryLedger, ServiceQueues, Weights,
};
use chervilshunt_mesh::{Inbound, Peer, Reply};
use chervilshunt_model::{InstanceId, Moment, StoreRevision, TargetName};
use chervilshunt_platform::Exchange;
use tokio::sync::watch;
use xtra::prelude::*;

use super::change_feed::ChangeFeed;
use super::messages::{
    Begin, OrderResult, PeerEvent, Reload, ReportUsage, Stop, StoreEvent, TargetQueried, Tick,
};
use super::overload::Overload;
use super::pace::FollowModes;
use super::presence::Presence;
use super::targets::MissingTargets;
use crate::dialect::Kind;
use crate::peers::{LeaseAnswer, LeaseCall, PeerMessage, TransitOffer};
use crate::settings::Settings;
use crate::shared::Shared;

/// Interval at which an instance reports its open requests to the placer. The placer counts the
/// requests it has granted itself; if the message that ends a grant is lost, the placer corrects
/// its count with the next report.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Upper bound of the random delay that spreads the instances' writes after the lease has lapsed.
const MAX_WRITE_JITTER: Duration = Duration::from_millis(400);

/// Share of a processor core below which an instance delays its attempt to acquire the placer's
/// lease. With less than this, a placer of hundreds of targets answers late, which delays every
/// request for an adapter that is not loaded.
const SUFFICIENT_SHARE: f64 = 0.25;
/// Upper bound of that delay, reached as the instance's share of a core approaches zero.
const MAX_YIELD_DELAY: Duration = Duration::from_secs(1);

/// Returns how long an instance leaves a lease that is free to instances with a larger processor
/// share.
fn yield_delay(processor_share: f64) -> Duration {
    let lacks = (1.0 - processor_share / SUFFICIENT_SHARE).clamp(0.0, 1.0);
    MAX_YIELD_DELAY.mul_f64(lacks)
}

/// Charges of deputies are numbered from here on, above those of placers.
const FIRST_DEPUTY_CHARGE: u64 = 1 << 63;

/// The planner and the state that goes with it while this instance is the placer.
#[derive(Debug)]
pub(super) struct Placer {
    pub(super) residency: ResidencyPlanner,
    pub(super) pending_requests: HashMap<u64, PendingPlacement>,
    pub(super) next_request: u64,
    pub(super) presence: Presence,
    /// When the term began.
    pub(super) began: Moment,
    /// The quotas of teams; charges are numbered like placement requests.
    pub(super) ledger: QuotaLedger,
    /// The retries that are allowed regardless of requests.
    pub(super) retries: RetryLedger,
    /// The queues of plain services; their grants are numbered like placement requests.
    pub(super) queues: ServiceQueues,
}

/// A placement request that has not been answered.
#[derive(Debug)]
pub(super) struct PendingPlacement {
    pub(super) reply: Reply<PeerMessage>,
    /// The result of charging it to its team's quota, if it has one.
    pub(super) charged: Option<ChargeResult>,
}

/// The control state of an instance.
#[derive(Debug, xtra::Actor)]
pub(crate) struct Control {
    pub(super) shared: Arc<Shared>,
    pub(super) exchange: Arc<Exchange>,
    pub(super) address: Option<Address<Self>>,
    pub(super) keeper: ExclusiveLeaseKeeper,
    pub(super) placer: Option<Placer>,
    pub(super) missing_targets: MissingTargets,
    pub(super) follow_modes: FollowModes,
    /// Whether the last call of a follower to the platform succeeded.
    pub(super) reaches_platform: bool,
    pub(super) overload: Overload,
    /// Instances that may pass on this one's requests while there is no placer to offer any; the one
    /// offered last is last.
    pub(super) known_peers: Vec<TransitOffer>,
    /// Whether this instance leaves placing to others because it does not reach the targets.
    pub(super) suspended: bool,
    /// Load estimates of this or an earlier placer, passed on to the next one.
    pub(super) estimates: Option<LoadEstimates>,
    /// Instances that may read the platform's objects on behalf of this one while it is the placer.
    pub(super) relays: watch::Sender<Vec<Peer>>,
    /// Changes seen at the platform, which the placer broadcasts.
    pub(super) feed: ChangeFeed,
    /// The newest version of each set of weights that the platform has announced.
    pub(super) versions: HashMap<Weights, u64>,
    /// Targets whose services the configuration does not have, which have been logged.
    pub(super) of_unknown_services: HashSet<TargetName>,
    /// Targets whose entries state a start in the future, which have been logged.
    pub(super) of_future_starts: HashSet<TargetName>,
    /// The newest known era of the platform; the followers update it too.
    pub(super) era: watch::Sender<u64>,
    /// The era that this state has already handled; `None` until the platform has answered.
    pub(super) known_era: Option<u64>,
    /// The era in which targets were last listed.
    pub(super) listed_era: Option<u64>,
    /// Targets that a restore of the platform has brought back, with the revisions of their
    /// entries.
    pub(super) restored_targets: HashMap<TargetName, StoreRevision>,
    /// Placer and deputy whose connections were lost: they may have started again at their addresses, and
    /// know of no streams then.
    pub(super) untold: HashSet<InstanceId>,
    /// The account of teams' quotas, while this instance is the deputy of a placer that is silent.
    pub(super) deputy: Option<DeputyLedger>,
    /// The number of the next charge as the deputy.
    pub(super) next_deputy_charge: u64,
    /// When the last write of the lease was sent.
    pub(super) lease_sent_at: Moment,
    /// When the metric of targets' paces was last updated.
    pub(super) paces_published_at: Moment,
    /// Time of the next scheduled wake-up. Keeps a single timer rather than one per message.
    wakes_at: Option<Moment>,
}

impl Control {
    /// Creates the state. The instance starts as an observer of the lease.
    pub(crate) fn new(
        shared: Arc<Shared>,
        exchange: Arc<Exchange>,
        follow_modes: FollowModes,
    ) -> Self {
        let settings = &shared.settings;
        let cfg = ExclusiveLeaseConfig {
            handover_gap: settings.bounds.handover_gap,
            yield_delay: yield_delay(settings.instance.processor_share),
            is_first_start: settings.instance.is_first_start,
            retries_per_write: settings.bounds.retries.grants_per_record(),
            ..ExclusiveLeaseConfig::default()
        };
        let keeper = ExclusiveLeaseKeeper::new(
            cfg,
            settings.instance.id.clone(),
            rand::random(),
            settings.addresses.peers,
            MAX_WRITE_JITTER.mul_f64(rand::random()),
            shared.clock.now(),
        );
        Self {
            exchange,
            address: None,
            keeper,
            placer: None,
            missing_targets: MissingTargets::default(),
            follow_modes,
            reaches_platform: false,
            overload: Overload::default(),
            known_peers: Vec::new(),
            suspended: false,
            estimates: None,
            relays: watch::Sender::default(),
            feed: ChangeFeed::default(),
            versions: HashMap::new(),
            of_unknown_services: HashSet::new(),
            of_future_starts: HashSet::new(),
            era: watch::Sender::default(),
            known_era: None,
            listed_era: None,
            restored_targets: HashMap::new(),
            untold: HashSet::new(),
            deputy: None,
            next_deputy_charge: FIRST_DEPUTY_CHARGE | shared.clock.now().as_micros(),
            lease_sent_at: Moment::ZERO,
            paces_published_at: Moment::ZERO,
            wakes_at: None,
            shared,
        }
    }

    pub(super) fn now(&self) -> Moment {
        self.shared.clock.now()
    }

    /// Passes an event to the lease keeper and carries out the actions it returns.
    pub(super) fn lease_event(&mut self, event: ExclusiveLeaseEvent) {
        let now = self.now();
        if let ExclusiveLeaseEvent::Written(outcome) = &event {
            self.retries_written(outcome);
        }
        self.record_retries(now);
        let actions = self.keeper.handle(event, now);
        for action in actions {
            self.execute_lease_action(action, now);
        }
        self.publish_holder();
        self.publish_recorded_instances();
    }

    fn execute_lease_action(&mut self, action: ExclusiveLeaseAction, now: Moment) {
        match action {
            ExclusiveLeaseAction::Write(record, version) => {
                self.lease_sent_at = now;
                self.call_lease(LeaseCall::Write(record, version));
            }
            ExclusiveLeaseAction::Read => self.call_lease(LeaseCall::Read),
            ExclusiveLeaseAction::Gained(term) => self.become_placer(term, now),
            ExclusiveLeaseAction::Lost => self.stop_placing(),
        }
    }

    /// Runs everything that is due and schedules the next wake-up.
    fn after_message(&mut self) {
        let now = self.now();
        if self.keeper.next_wakeup().is_some_and(|at| at <= now) {
            self.lease_event(ExclusiveLeaseEvent::Tick);
        }
        self.remove_missing_targets(now);
        self.expire_crashes(now);
        self.broadcast_changes();
        self.publish_placer_return(now);
        let placer = self.placer.as_ref();
        if placer
            .and_then(|it| it.residency.next_wakeup())
            .is_some_and(|at| at <= now)
        {
            self.plan(ResidencyEvent::Tick);
        }
        self.follow_modes.update(self.placer.is_some(), now);
        let configuration = self.follow_modes.guide(Kind::Configuration);
        if let Some(as_of) = configuration.confirmed_as_of() {
            self.shared.set_configuration_confirmed(as_of);
        }
        let targets = self.follow_modes.guide(Kind::Targets);
        if let Some(as_of) = targets.confirmed_as_of() {
            self.shared.dispatch().targets_confirmed(as_of);
        }
        self.arrange_wakeup(now);
    }

    fn arrange_wakeup(&mut self, now: Moment) {
        let placer = self.placer.as_ref();
        let next = [
            self.keeper.next_wakeup(),
            placer.and_then(|it| it.residency.next_wakeup()),
            self.missing_targets.next_wakeup(),
            self.follow_modes.next_wakeup(now),
        ];
        let Some(next) = next.into_iter().flatten().min() else {
            return;
        };
        let next = next.max(now + MIN_WAKEUP_INTERVAL);
        if self.wakes_at.is_some_and(|at| at > now && at <= next) {
            return;
        }
        self.wakes_at = Some(next);
        let Some(address) = self.address.clone() else {
            return;
        };
        let pause = now.until(next);
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            drop(address.send(Tick).detach().await);
        });
    }

    pub(super) fn own_id(&self) -> &InstanceId {
        &self.shared.settings.instance.id
    }
}

/// Shortest time between two wake-ups; everything that falls due within it is handled together.
const MIN_WAKEUP_INTERVAL: Duration = Duration::from_millis(2);

impl Handler<Begin> for Control {
    type Return = ();

    async fn handle(&mut self, Begin(address): Begin, _cx: &mut xtra::Context<Self>) {
        self.address = Some(address.clone());
        let mut links_changed = self.shared.links_changed.subscribe();
        tokio::spawn(async move {
            let mut every = tokio::time::interval(USAGE_REPORT_INTERVAL);
            every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            let mut due_at = tokio::time::Instant::now();
            while address.send(ReportUsage { due_at }).await.is_ok() {
                // The sender is kept by the shared state, which outlives this actor.
                tokio::select! {
                    _ = every.tick() => {}
                    _ = links_changed.changed() => {}
                }
                due_at = tokio::time::Instant::now();
            }
        });
    }
}

impl Handler<StoreEvent> for Control {
    type Return = ();

    async fn handle(&mut self, event: StoreEvent, _cx: &mut xtra::Context<Self>) {
        self.handle_store_event(event);
        self.after_message();
    }
}

impl Handler<PeerEvent> for Control {
    type Return = ();

    async fn handle(&mut self, PeerEvent(inbound): PeerEvent, _cx: &mut xtra::Context<Self>) {
        match inbound {
            Inbound::Message(message) => self.handle_message(message),
            Inbound::Lost(peer) => self.peer_lost(&peer),
        }
        self.after_message();
    }
}

impl Handler<LeaseAnswer> for Control {
    type Return = ();

    async fn handle(&mut self, answer: LeaseAnswer, _cx: &mut xtra::Context<Self>) {
        match &answer {
            LeaseAnswer::Written(LeaseWriteOutcome::Done(version)) => self.handle_era(version.era),
            LeaseAnswer::Read(Some(seen)) => self.handle_era(seen.version.era),
            LeaseAnswer::Written(_) | LeaseAnswer::Read(None) | LeaseAnswer::ReadFailed => {}
        }
        let event = match answer {
            LeaseAnswer::Written(written) => ExclusiveLeaseEvent::Written(written),
            LeaseAnswer::Read(seen) => ExclusiveLeaseEvent::Seen(seen),
            LeaseAnswer::ReadFailed => ExclusiveLeaseEvent::ReadFailed,
        };
        self.lease_event(event);
        self.after_message();
    }
}

impl Handler<OrderResult> for Control {
    type Return = ();

    async fn handle(
        &mut self,
        OrderResult(number, answer): OrderResult,
        _cx: &mut xtra::Context<Self>,
    ) {
        self.plan(ResidencyEvent::OrderAnswered(number, answer));
        self.after_message();
    }
}

impl Handler<TargetQueried> for Control {
    type Return = ();

    async fn handle(
        &mut self,
        TargetQueried(target, report): TargetQueried,
        _cx: &mut xtra::Context<Self>,
    ) {
        self.plan(match report {
            Some(report) => ResidencyEvent::TargetReported(target, report),
            None => ResidencyEvent::ReportFailed(target),
        });
        self.after_message();
    }
}

impl Handler<Tick> for Control {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, _cx: &mut xtra::Context<Self>) {
        self.after_message();
    }
}

impl Handler<ReportUsage> for Control {
    type Return = ();

    async fn handle(&mut self, due: ReportUsage, _cx: &mut xtra::Context<Self>) {
        self.check_overload(due.due_at.elapsed());
        self.check_links();
        self.report_usage();
        self.after_message();
    }
}

impl Handler<Reload> for Control {
    type Return = ();

    async fn handle(&mut self, _reload: Reload, _cx: &mut xtra::Context<Self>) {
        // Everything that may change while an instance runs comes from the platform. The file is
        // read only to report errors in it now rather than at the next start.
        let path = self.shared.settings_file.clone();
        match Settings::load(&path) {
            Ok(settings) => slog::info!(self.shared.log, "settings file checked";
                "changed" => settings != self.shared.settings),
            Err(error) => slog::warn!(self.shared.log, "settings file can't be used";
                "reason" => error.to_string()),
        }
    }
}

impl Handler<Stop> for Control {
    type Return = ();

    /// Releases the lease unless this instance is the placer.
    ///
    /// A placer keeps its lease until the process ends, and its next start on the same address
    /// continues with it at once. A released lease can't be taken for 3.3 s, so releasing it on
    /// each restart of the placer caused requests for adapters that were not loaded to be refused
    /// for 4 s. An instance that is not the placer stops competing for the lease.
    async fn handle(&mut self, _stop: Stop, _cx: &mut xtra::Context<Self>) {
        if self.placer.is_none() {
            self.lease_event(ExclusiveLeaseEvent::Release);
        }
        self.after_message();
    }
}
