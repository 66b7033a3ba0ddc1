//! The owner of one target: permits, queue, adapter slots, loads and orders to the engine.
//!
//! An owner is a state machine that performs no I/O and reads no clock. Each event first updates
//! its state; the owner then processes everything that is due or has become possible: deadlines,
//! loads and permits. See `docs/design/placement.md` and `docs/design/admission.md`.

mod action;
mod admit;
mod answer;
mod batch;
mod config;
mod demand;
mod engine;
mod event;
mod evict;
mod health;
mod loading;
mod loads;
mod order;
mod orders;
mod permits;
mod power;
mod queue;
mod release;
mod settled;
mod slots;
mod spread;
mod takeover;
mod tuning;
mod view;

use chervilshunt_model::{AdapterVersion, Class, InstanceId, Moment};
use indexmap::{IndexMap, IndexSet};
use smallvec::SmallVec;

pub use action::OwnerAction;
pub use config::OwnerConfig;
pub use event::{AdapterReport, EngineReport, OwnerEvent};
pub use order::{EngineOrder, LoadUrgency, OrderFailure, OrderId, OrderKind};
pub use view::{AdapterState, AdapterView, OwnerView};

use crate::bugs::Bugs;
use crate::decay::{DecayedLevel, DurationAverage};
use crate::{Decision, DecisionKind, RefusalReason, WaitTimes};
use engine::EngineView;
use health::CallHealth;
use loads::Loads;
use permits::Permits;
use power::PowerShare;
use queue::{Queue, TimedRequest};
use settled::SettledAttempts;
use slots::Slots;
use spread::Spread;
use takeover::Takeover;

/// Bits of an order id that number the orders within one epoch; the epoch fills the bits above.
///
/// The result of an order from an earlier owner that arrives late can therefore not be mistaken for
/// the result of one of this owner's orders.
const ORDER_BITS: u32 = 40;

/// The state machine that owns one target.
#[derive(Debug)]
pub struct Owner {
    cfg: OwnerConfig,
    takeover: Takeover,
    permits: Permits,
    queue: Queue,
    settled: SettledAttempts,
    /// Entry instances that left recently, with the time when they left.
    left_entries: IndexMap<InstanceId, Moment>,
    slots: Slots,
    loads: Loads,
    /// Orders to the engine that have not ended.
    orders: IndexMap<OrderId, (OrderKind, AdapterVersion)>,
    demand: demand::DemandTable,
    /// Recently evicted adapters, which are the candidates for a preload.
    evicted: IndexSet<AdapterVersion>,
    spread: Spread,
    engine: EngineView,
    health: CallHealth,
    power: PowerShare,
    service_time: DurationAverage,
    live_load: DecayedLevel,
    live_grants_since_deferrable: u32,
    /// When a deferrable request was last granted a permit.
    last_deferrable_grant: Moment,
    last_load: Option<Moment>,
    last_preload_check: Moment,
    /// When the last event was handled.
    last_event: Moment,
    draining: bool,
    /// Whether the engine has refused this owner's fencing number, which means that another
    /// instance owns the target.
    fenced: bool,
    bugs: Bugs,
}

impl Owner {
    /// Creates the owner of a target about which nothing is known yet.
    ///
    /// The owner requests the engine's inventory at the first event, or at the [`OwnerEvent::Tick`]
    /// that [`Self::next_wakeup`] schedules.
    pub fn new(cfg: OwnerConfig, now: Moment) -> Self {
        let first_order = cfg.epoch.get() << ORDER_BITS;
        Self {
            takeover: Takeover::new(now),
            permits: Permits::default(),
            queue: Queue::default(),
            settled: SettledAttempts::default(),
            left_entries: IndexMap::new(),
            slots: Slots::new(cfg.slots),
            loads: Loads::new(first_order, now),
            orders: IndexMap::new(),
            demand: demand::DemandTable::new(now),
            evicted: IndexSet::new(),
            spread: Spread::new(&cfg.target, &cfg.peers),
            engine: EngineView::new(cfg.slots > 0),
            health: CallHealth::new(cfg.breaker, now),
            power: PowerShare::new(&cfg),
            service_time: DurationAverage::new(tuning::INITIAL_SERVICE_TIME),
            live_load: DecayedLevel::default(),
            live_grants_since_deferrable: 0,
            last_deferrable_grant: now,
            last_load: None,
            last_preload_check: now,
            last_event: now,
            draining: false,
            fenced: false,
            bugs: Bugs::default(),
            cfg,
        }
    }

    /// Handles one event and returns the actions that follow from it.
    pub fn handle(&mut self, event: OwnerEvent, now: Moment) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        self.last_event = now;
        self.apply(event, now, &mut out);
        self.expire(now, &mut out);
        self.pass_long_probe(now, &mut out);
        self.preload_evicted(now);
        self.advance_loads(now, &mut out);
        self.dispatch(now, &mut out);
        self.request_inventory_if_due(now, &mut out);
        self.report_power(now, &mut out);
        out
    }

    /// Seeds a bug, so that a test can show that it detects the bug.
    #[cfg(feature = "seeded-bugs")]
    pub const fn seed(&mut self, bug: crate::Bug) {
        self.bugs = Bugs::seeded(bug);
    }

    /// Returns when the owner next needs an [`OwnerEvent::Tick`] if no other event arrives.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let renewal =
            (!self.loads.is_empty()).then(|| self.loads.reviewed + tuning::PARKED_REVIEW_INTERVAL);
        let preload = !self.evicted.is_empty() && self.loads.is_empty();
        let due = [
            self.queue.next_deadline(),
            self.permits.next_end(),
            self.loads.next_backoff(),
            renewal,
            preload.then(|| self.last_preload_check + tuning::PRELOAD_INTERVAL),
            self.engine.next_inventory_request(),
            self.next_age_check(self.last_event),
            self.next_breaker_check(),
            Some(self.power.next_report().unwrap_or(self.last_event)),
        ];
        due.into_iter().flatten().min()
    }

    fn apply(&mut self, event: OwnerEvent, now: Moment, out: &mut Vec<OwnerAction>) {
        match event {
            OwnerEvent::PermitRequested(req) => self.permit_requested(req, now, out),
            OwnerEvent::PermitReleased(released) => self.permit_released(&released, now, out),
            OwnerEvent::EntryLeft(entry) => self.entry_left(&entry, now),
            OwnerEvent::TurnGranted { order, queue_wait } => {
                self.loads.set_queue_wait(queue_wait, now);
                self.turn_granted(order, now, out);
            }
            OwnerEvent::SchedulerReachable(yes) => self.scheduler_reachable(yes, now, out),
            OwnerEvent::OrderEnded { order, result } => self.order_ended(order, result, now, out),
            OwnerEvent::EngineReported(report) => {
                self.report_in_takeover(&report, now);
                self.engine.reported(&report, now);
            }
            OwnerEvent::AdaptersReported(report) => self.adapters_reported(&report, now),
            OwnerEvent::Inventory(listed) => self.inventory(&listed, now, out),
            OwnerEvent::PermitsHeld { entry, permits } => self.permits_held(&entry, permits, now),
            OwnerEvent::TakeoverComplete => self.takeover_complete(),
            OwnerEvent::Reachable(reachable) => self.reachable(reachable, now, out),
            OwnerEvent::ShareSet { sequence, watts } => self.share_set(sequence, watts, now, out),
            OwnerEvent::PrefixesCached(prefixes) => self.engine.set_cached(prefixes),
            OwnerEvent::Draining(draining) => {
                self.draining = draining;
                if draining {
                    self.redirect_or_refuse_all(RefusalReason::Draining, now, out);
                }
            }
            OwnerEvent::PeersChanged(peers) => self.spread.set_peers(&self.cfg.target, &peers),
            OwnerEvent::Tick => {}
        }
    }

    /// Ends what has expired: waiting requests at their deadlines, and permits of entry instances
    /// that have left.
    fn expire(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        while let Some(attempt) = self.queue.expired(now) {
            self.refuse_queued(attempt, RefusalReason::Deadline, now, out);
        }
        while let Some(attempt) = self.permits.next_ended(now) {
            self.release_unreported(attempt, now, out);
        }
    }

    fn reachable(&mut self, reachable: bool, now: Moment, out: &mut Vec<OwnerAction>) {
        if self.engine.reachable == reachable {
            return;
        }
        self.engine.reachable = reachable;
        if !reachable {
            self.engine.clear_work();
            self.fail_pending_orders(now, out);
            self.redirect_or_refuse_all(RefusalReason::TargetDown, now, out);
            return;
        }
        if self.slots.exist() {
            // The engine may have restarted without adapters, so no permit for an adapter is
            // granted until the engine has listed its adapters.
            self.engine.invalidate_inventory();
        }
    }

    fn share_set(&mut self, sequence: u64, watts: f64, now: Moment, out: &mut Vec<OwnerAction>) {
        let before = self.power.share_watts();
        let Some(confirmation) = self.power.set(sequence, watts, self.drawing_sequences()) else {
            return;
        };
        out.push(OwnerAction::ConfirmShare {
            sequence: confirmation.sequence,
            watts: confirmation.watts,
        });
        if before != watts {
            let reason = if watts < before {
                "share lowered"
            } else {
                "share raised"
            };
            self.log(DecisionKind::Power, None, None, reason, None, out);
        }
        if self.power.parked() {
            self.redirect_all(now, out);
        }
    }

    /// Reports to the power allocator the power that the current work could use, and power that has
    /// been released.
    fn report_power(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        if let Some(less) = self.power.confirm_less(self.drawing_sequences()) {
            out.push(OwnerAction::ConfirmShare {
                sequence: less.sequence,
                watts: less.watts,
            });
        }
        // Requests that wait for a load can't use power yet. Counting them would cause targets to
        // be parked, which loses their adapter slots at the time when slots and loads are scarce.
        // Batch slots reserved for bursts are not counted either: the reserves of all targets are
        // never in use at the same time.
        let live = self.permits.live() + self.queue.ready(Class::Live);
        let deferrable = self.permits.deferrable() + self.queue.ready(Class::Deferrable);
        if let Some((live_watts, deferrable_watts)) = self.power.report(live, deferrable, now) {
            out.push(OwnerAction::ReportDemand {
                live_watts,
                deferrable_watts,
            });
        }
    }

    /// Returns the number of sequences that may draw power, including those whose permits are not
    /// known yet.
    fn drawing_sequences(&self) -> usize {
        let known = self.permits.len() + self.engine.external_sequences();
        let drawing = known.saturating_add(self.unknown_sequences());
        drawing.min(self.cfg.max_batch as usize)
    }

    /// Updates the live load and the permit counts after permits were granted, reported or
    /// released.
    fn permits_changed(&mut self, now: Moment) {
        let live = self.permits.live() as f64;
        self.live_load.set(live, tuning::LIVE_LOAD_HALF_LIFE, now);
        self.engine.count_permits(self.permits.len(), now);
    }

    fn remember_evicted(&mut self, model: &AdapterVersion) {
        let bound = 2 * self.cfg.slots as usize;
        if self.evicted.len() >= bound {
            self.evicted.shift_remove_index(0);
        }
        self.evicted.insert(model.clone());
    }

    /// Builds the log record of a decision about a request.
    fn decision(&self, kind: DecisionKind, timed: &TimedRequest, reason: &'static str) -> Decision {
        Decision {
            kind,
            target: self.cfg.target.clone(),
            model: timed.req.model.clone(),
            attempt: Some(timed.req.attempt),
            class: Some(timed.req.class),
            reason,
            alternatives: SmallVec::new(),
            sent_on: SmallVec::new(),
            waited: timed.waited,
        }
    }

    fn log_request(
        &self,
        kind: DecisionKind,
        timed: &TimedRequest,
        reason: &'static str,
        out: &mut Vec<OwnerAction>,
    ) {
        out.push(OwnerAction::Log(self.decision(kind, timed, reason)));
    }

    fn log_model(
        &self,
        kind: DecisionKind,
        model: &AdapterVersion,
        reason: &'static str,
        alternative: Option<AdapterVersion>,
        out: &mut Vec<OwnerAction>,
    ) {
        self.log(kind, Some(model.clone()), None, reason, alternative, out);
    }

    fn log(
        &self,
        kind: DecisionKind,
        model: Option<AdapterVersion>,
        attempt: Option<chervilshunt_model::AttemptId>,
        reason: &'static str,
        alternative: Option<AdapterVersion>,
        out: &mut Vec<OwnerAction>,
    ) {
        out.push(OwnerAction::Log(Decision {
            kind,
            target: self.cfg.target.clone(),
            model,
            attempt,
            class: None,
            reason,
            alternatives: alternative.into_iter().collect(),
            sent_on: SmallVec::new(),
            waited: WaitTimes::default(),
        }));
    }
}
