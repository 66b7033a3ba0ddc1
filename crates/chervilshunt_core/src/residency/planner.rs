//! The state of the planner and its event handling.

use std::cmp::Ordering;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment, ServiceName, TargetName};
use indexmap::IndexMap;

use super::config::ResidencyConfig;
use super::estimates::LoadEstimates;
use super::grants::{GrantNumber, Grants};
use super::hold::AdapterStage;
use super::lanes::LaneSwitch;
use super::memory::MemorySize;
use super::order::{OrderNumber, ResidencyAction, ResidencyEvent, TargetUse};
use super::placement::PendingPlacement;
use super::prefill_rate::PrefillRate;
use super::restart::{LostLoads, PredecessorOrders};
use super::slot_time::SlotTime;
use super::target::{OrderState, Summary, TargetState};
use super::window::LoadWindow;
use crate::dispatch::{
    AnnouncedVersions, PlacementLimits, TargetFacts, TargetSnapshot, TargetStart, Weights,
};
use crate::rate_limit::{SendPermit, SendSchedules};
use crate::speed::{PaceChange, PaceQuantiles, ServicePace, TargetSpeed};

/// The share of targets that must have reported before the placer counts as knowing what is held.
/// The last few may be slow or gone.
const MIN_QUERIED_SHARE: f64 = 0.95;
/// The share of these that must have answered. If fewer have, the placer's own links may have failed.
const MIN_ANSWERED_SHARE: f64 = 0.5;
/// The number of targets that a new placer queries at once.
const INITIAL_QUERIES: u32 = 128;
/// The interval between the queries of further targets.
const QUERY_INTERVAL: Duration = Duration::from_micros(650);

/// Decides which target holds which weights. [`Self::handle`] takes an event and returns the
/// actions to perform.
#[derive(Debug)]
pub struct ResidencyPlanner {
    pub(super) cfg: ResidencyConfig,
    pub(super) targets: IndexMap<TargetName, TargetState>,
    pub(super) limits: HashMap<ServiceName, PlacementLimits>,
    pub(super) newest: HashMap<Weights, u64>,
    /// The announced versions of base models.
    pub(super) base_versions: HashMap<Arc<str>, AnnouncedVersions>,
    /// The targets that may unload an outdated base model now.
    pub(super) model_updates: HashSet<TargetName>,
    pub(super) model_updates_picked_at: Moment,
    /// When loads of base models from the weight store were ordered, the most recent one last.
    pub(super) store_loads: VecDeque<Moment>,
    pub(super) window: LoadWindow,
    pub(super) memory: MemorySize,
    pub(super) prefill_rate: PrefillRate,
    pub(super) slot_time: SlotTime,
    pub(super) lanes: LaneSwitch,
    pub(super) grants: Grants,
    /// The placement requests that wait for a load to end.
    pub(super) pending: HashMap<u64, PendingPlacement>,
    /// Unanswered orders to targets that are gone.
    pub(super) lost_of_gone: HashMap<TargetName, LostLoads>,
    /// Unanswered orders of an earlier placer, as far as they may be executed by restarted targets.
    pub(super) predecessor_orders: Option<PredecessorOrders>,
    /// Loads that may be ordered now; the others wait for a load in progress to end.
    pub(super) admitted: HashSet<(TargetName, Weights)>,
    /// When targets with rate limits are sent requests.
    pub(super) schedules: SendSchedules,
    /// The services whose targets get no requests to queue.
    pub(super) brittle: Vec<ServiceName>,
    /// The pace of each service, and when it was computed.
    pub(super) paces: HashMap<ServiceName, ServicePace>,
    pub(super) paces_at: Moment,
    /// When an instance last could not connect to a target.
    pub(super) unreachable_at: Moment,
    /// The last usage report of each instance.
    pub(super) uses: HashMap<InstanceId, Vec<TargetUse>>,
    /// Changes of targets' lasting paces that operators have not seen yet.
    pub(super) pace_changes: Vec<(TargetName, PaceChange)>,
    next_order: u64,
    knows_targets: bool,
    /// The time from which the first targets are queried.
    queries_from: Moment,
}

impl ResidencyPlanner {
    /// Creates a planner without targets; each target is queried when it is first seen.
    ///
    /// A target's report lags behind the orders that it has accepted, and this instance itself may
    /// have sent orders just before. If queried immediately, a target could omit the last load; the
    /// planner would then order one load more than the target has slots for, which kills it.
    pub fn new(cfg: ResidencyConfig, now: Moment) -> Self {
        Self {
            queries_from: now + cfg.report_lag,
            cfg,
            targets: IndexMap::new(),
            limits: HashMap::new(),
            newest: HashMap::new(),
            base_versions: HashMap::new(),
            model_updates: HashSet::new(),
            model_updates_picked_at: Moment::ZERO,
            store_loads: VecDeque::new(),
            window: LoadWindow::new(),
            memory: MemorySize::default(),
            prefill_rate: PrefillRate::default(),
            slot_time: SlotTime::default(),
            lanes: LaneSwitch::default(),
            grants: Grants::default(),
            pending: HashMap::new(),
            lost_of_gone: HashMap::new(),
            predecessor_orders: None,
            admitted: HashSet::new(),
            schedules: SendSchedules::default(),
            brittle: Vec::new(),
            paces: HashMap::new(),
            paces_at: Moment::ZERO,
            unreachable_at: Moment::ZERO,
            uses: HashMap::new(),
            pace_changes: Vec::new(),
            next_order: 0,
            knows_targets: false,
        }
    }

    /// Returns this planner's estimates, or `None` while it has none.
    pub fn estimates(&self) -> Option<LoadEstimates> {
        let (load_time, loads_at_once) = self.window.estimates()?;
        Some(LoadEstimates {
            load_time,
            loads_at_once,
            kept_in_memory: u32::try_from(self.memory.get()).unwrap_or(u32::MAX),
        })
    }

    /// Starts with the estimates of another planner.
    pub fn start_with(&mut self, estimates: LoadEstimates) {
        self.window
            .start_with(estimates.load_time, estimates.loads_at_once);
        self.memory = MemorySize::start_with(estimates.kept_in_memory as usize);
    }

    /// Starts with the speeds of targets that this instance has learnt before it became the placer.
    pub fn start_with_speeds(&mut self, speeds: Vec<(TargetName, TargetSpeed)>) {
        for (name, speed) in speeds {
            if let Some(target) = self.targets.get_mut(&name) {
                target.speed = speed;
            }
        }
    }

    /// Returns the distributions of targets' lasting paces, by service.
    pub fn pace_quantiles(&self) -> Vec<PaceQuantiles> {
        let targets = self.targets.values();
        PaceQuantiles::of(targets.map(|it| (&it.facts.service, &it.speed)))
    }

    /// Returns the changes of targets' lasting paces since the last call.
    pub fn take_pace_changes(&mut self) -> Vec<(TargetName, PaceChange)> {
        std::mem::take(&mut self.pace_changes)
    }

    /// Processes one event and returns the actions to perform.
    pub fn handle(&mut self, event: ResidencyEvent, now: Moment) -> Vec<ResidencyAction> {
        let mut out = Vec::new();
        self.refresh_paces(now);
        match event {
            // Targets write their entries every second. With thousands of them, the planner would
            // check for due work thousands of times per second, and delay its other events.
            ResidencyEvent::TargetListed(facts) if self.is_known(&facts, now) => return out,
            ResidencyEvent::TargetListed(facts) => self.target_listed(facts, now, &mut out),
            ResidencyEvent::TargetGone(name) => self.target_gone(&name, now, &mut out),
            ResidencyEvent::Limits(service, limits) => {
                self.limits.insert(service, limits);
                self.touch_all();
            }
            ResidencyEvent::PlacementRequested {
                request_id,
                from,
                request,
                within,
            } => {
                let until = now + self.placement_time(&request, within);
                self.place_or_refuse(
                    request_id,
                    PendingPlacement {
                        from,
                        request,
                        until,
                        send_at: None,
                    },
                    now,
                    &mut out,
                );
            }
            ResidencyEvent::UsageReported(from, uses, grants) => {
                self.usage_reported(&from, uses, &grants, now)
            }
            ResidencyEvent::GrantsProgressed(progress) => self.grants_progressed(&progress, now),
            ResidencyEvent::InstanceGone(from) => self.instance_gone(&from, now),
            ResidencyEvent::NotHeld(target, weights) => {
                self.not_held(&target, &weights, now, &mut out);
            }
            ResidencyEvent::OrderAnswered(number, answer) => {
                self.order_answered(number, answer, now, &mut out);
            }
            ResidencyEvent::TargetReported(target, report) => {
                self.target_reported(&target, &report, now, &mut out);
            }
            ResidencyEvent::ReportFailed(target) => self.report_failed(&target, now),
            ResidencyEvent::RateLimits(limits) => self.schedules.set_limits(&limits, now),
            ResidencyEvent::BrittleServices(services) => self.brittle = services,
            ResidencyEvent::Unreachable(from, target) => {
                self.unreachable_reported(from, &target, now);
            }
            ResidencyEvent::VersionAnnounced(weights, version) => {
                self.version_announced(weights, version, now, &mut out);
            }
            ResidencyEvent::Tick => {}
        }
        self.advance(now, &mut out);
        self.note_known_targets();
        self.name_starts(&mut out);
        out
    }

    /// Adds the start of the target to notifications about its adapters.
    fn name_starts(&self, out: &mut [ResidencyAction]) {
        for action in out {
            if let ResidencyAction::Notify(holding) = action {
                holding.started = self.started(&holding.target);
            }
        }
    }

    fn started(&self, target: &TargetName) -> Option<TargetStart> {
        self.targets.get(target).and_then(|it| it.facts.started)
    }

    /// Schedules a request that an instance sends to a target by its own choice, if the target's rate
    /// limit allows it within the given time.
    pub fn permit_send(
        &mut self,
        target: &TargetName,
        within: Duration,
        now: Moment,
    ) -> SendPermit {
        self.schedules.permit(target, within, now)
    }

    /// Returns when [`ResidencyEvent::Tick`] is needed next.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let targets = self.targets.values();
        targets.filter_map(|it| it.summary.wake_at).min()
    }

    /// Marks a target to be inspected with this event.
    pub(super) fn touch(&mut self, name: &TargetName) {
        if let Some(target) = self.targets.get_mut(name) {
            target.touched = true;
        }
    }

    pub(super) fn touch_all(&mut self) {
        for target in self.targets.values_mut() {
            target.touched = true;
        }
    }

    /// Updates the summary of a target that has just been inspected.
    pub(super) fn summarize(&mut self, name: &TargetName, now: Moment) {
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let planned = target.adapters.values();
        let planned = planned.filter(|entry| entry.is_planned());
        let limits = self.limits.get(&target.facts.service);
        let model = target.facts.models.first();
        let slots = limits
            .zip(model)
            .map(|(it, model)| it.adapters_beside(&model.name));
        let summary = Summary {
            free_slots: target.count_free_slots(slots.unwrap_or(0), now),
            wake_at: self.target_wakeup(target, now),
            planned: planned.clone().count(),
            planned_fetches: planned.filter(|entry| entry.from_store).count(),
            fetching: target.fetching(),
            outdated: self.has_outdated_model(target, now),
            depends_on_others: self.lacks_model(name, now)
                || target.adapters.values().any(|entry| entry.outdated),
        };
        if let Some(target) = self.targets.get_mut(name) {
            target.summary = summary;
            target.touched = false;
        }
    }

    /// Returns whether the targets have been asked what they hold. Until then the placer considers
    /// nothing loaded, and would reload what is there.
    ///
    /// Once true, this stays true. A target that is added or restarts later has not been queried
    /// yet; if this made the placer report that it knows nothing, all instances would select
    /// targets themselves for half a second each time.
    pub const fn knows_targets(&self) -> bool {
        self.knows_targets
    }

    fn note_known_targets(&mut self) {
        if !self.knows_targets && !self.targets.is_empty() {
            let count = |holds: fn(&TargetState) -> bool| {
                let targets = self.targets.values();
                targets.filter(|it| holds(it)).count() as f64
            };
            let queried = count(|it| it.was_queried);
            let answered = count(|it| it.has_answered);
            self.knows_targets = queried >= self.targets.len() as f64 * MIN_QUERIED_SHARE
                && answered >= queried * MIN_ANSWERED_SHARE;
        }
    }

    /// Returns the usable adapters of all targets that have answered a query, for instances that have
    /// to select targets themselves. What the others hold is not known, and may be known elsewhere.
    pub fn snapshots(&self) -> Vec<TargetSnapshot> {
        let targets = self.targets.iter();
        let targets = targets.filter(|(_, target)| target.has_answered);
        let snapshots = targets.map(|(name, target)| TargetSnapshot {
            target: name.clone(),
            started: target.facts.started,
            in_flight: target.in_flight(),
            models: target.serving_adapters(),
            pace: target.speed.lasting_figure(),
        });
        snapshots.collect()
    }

    fn target_wakeup(&self, target: &TargetState, now: Moment) -> Option<Moment> {
        let query_at = match &target.order_state {
            OrderState::Unknown(at) => Some(*at),
            OrderState::Querying | OrderState::Idle(_) | OrderState::InFlight(_) => None,
        };
        let adapters = target.adapters.values();
        let due = adapters.filter_map(|entry| match entry.state {
            AdapterStage::Loading(at) => Some(at),
            AdapterStage::Ready if entry.outdated => Some(entry.since + self.cfg.old_version_grace),
            AdapterStage::Ending => Some(entry.since + self.cfg.usage_settle_time),
            AdapterStage::Planned => {
                let load_time = self.load_times().of(entry.from_store);
                entry.needed_until.map(|until| until - load_time)
            }
            AdapterStage::Ordered
            | AdapterStage::Confirming
            | AdapterStage::Ready
            | AdapterStage::Unloading => None,
        });
        let store = self.store_loads.front();
        let model = store.filter(|_| target.facts.models.is_empty());
        let model = model.map(|at| *at + self.cfg.store_window);
        // Work that is overdue waits for an answer or a usage report, which are events themselves.
        let due = due.chain(model).chain(target.lost.next_old());
        let due = due.filter(|at| *at > now);
        due.chain(query_at).min()
    }

    pub(super) fn next_number(&mut self) -> OrderNumber {
        self.next_order += 1;
        OrderNumber(self.next_order)
    }

    fn target_listed(&mut self, facts: TargetFacts, now: Moment, out: &mut Vec<ResidencyAction>) {
        if !self.limits.contains_key(&facts.service) {
            return;
        }
        match self.compare_start(&facts.name, facts.started) {
            Some(Ordering::Less) => return,
            Some(Ordering::Greater) => return self.target_restarted(facts, now, out),
            Some(Ordering::Equal) | None => {}
        }
        match self.targets.get_mut(&facts.name) {
            Some(target) => {
                let known = std::mem::replace(&mut target.facts, facts);
                if now < target.models_reported_until {
                    target.facts.models = known.models;
                }
                target.touched = true;
            }
            None => {
                let query_at = self.first_query(now);
                self.insert_target(TargetState::new(facts, query_at));
            }
        }
    }

    /// Returns whether an entry contains no news for the planner.
    fn is_known(&self, facts: &TargetFacts, now: Moment) -> bool {
        let known = self.targets.get(&facts.name);
        known.is_some_and(|it| now >= it.models_reported_until && !it.facts.needs_broadcast(facts))
    }

    /// Returns when a newly seen target is queried.
    ///
    /// If thousands of targets were queried at once, their answers would exceed what the placer
    /// processes before it times out and asks again, and it would never learn the state of any of
    /// them.
    fn first_query(&mut self, now: Moment) -> Moment {
        let queried = u32::try_from(self.targets.len()).unwrap_or(u32::MAX);
        let turn = QUERY_INTERVAL.saturating_mul(queried.saturating_sub(INITIAL_QUERIES));
        now.max(self.queries_from + turn)
    }

    fn target_gone(&mut self, name: &TargetName, now: Moment, out: &mut Vec<ResidencyAction>) {
        let Some(target) = self.targets.shift_remove(name) else {
            return;
        };
        self.grants.forget_target(name);
        self.remember_lost(&target, now);
        for entry in target.adapters.into_values() {
            self.place_elsewhere(name, entry.waiting_requests, now, out);
        }
    }

    fn instance_gone(&mut self, from: &InstanceId, now: Moment) {
        self.holder_gone(from, now);
        self.usage_reported(from, Vec::new(), &[], now);
        self.uses.remove(from);
    }

    fn usage_reported(
        &mut self,
        from: &InstanceId,
        uses: Vec<TargetUse>,
        grants: &[GrantNumber],
        now: Moment,
    ) {
        let uses = self.uses_beside_grants(from, uses, grants, now);
        for before in self.uses.get(from).into_iter().flatten() {
            if let Some(target) = self.targets.get_mut(&before.target) {
                target.clear_uses(from);
            }
        }
        for it in &uses {
            let Some(target) = self.targets.get_mut(&it.target) else {
                continue;
            };
            target.set_use(from, it.weights.as_ref(), it.in_flight);
            let entry = it.weights.as_ref();
            if let Some(entry) = entry.and_then(|weights| target.adapters.get_mut(weights)) {
                entry.last_used = now;
            }
        }
        self.uses.insert(from.clone(), uses);
    }
}
