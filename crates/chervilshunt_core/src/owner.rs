//! The owner of one target: permits, queue, adapter slots, loads and orders to the engine.
//!
//! An owner is a state machine without a clock or a socket. Each event first changes its state,
//! and then everything that has come due or become possible is done: deadlines, loads, permits.
//! See `docs/design/placement.md` and `docs/design/admission.md`.

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
pub use event::{EngineReport, OwnerEvent};
pub use order::{EngineOrder, LoadUrgency, OrderFailure, OrderId, OrderKind};
pub use view::{AdapterState, AdapterView, OwnerView};

use crate::bugs::Bugs;
use crate::decay::{DecayedLevel, DurationAverage};
use crate::{Decision, DecisionKind, RefusalReason, Waited};
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

/// Bits of an order's id that count within one epoch.
///
/// A late end of an earlier owner's order can't be taken for the end of one's own.
const ORDER_BITS: u32 = 40;

/// The owner of one target.
#[derive(Debug)]
pub struct Owner {
    cfg: OwnerConfig,
    takeover: Takeover,
    permits: Permits,
    queue: Queue,
    settled: SettledAttempts,
    /// Entry instances that have left of late.
    left_entries: IndexMap<InstanceId, Moment>,
    slots: Slots,
    loads: Loads,
    /// Orders that the engine has not answered.
    orders: IndexMap<OrderId, (OrderKind, AdapterVersion)>,
    demand: demand::DemandTable,
    /// Adapters that lost their slots of late, as candidates for a load ahead of demand.
    evicted: IndexSet<AdapterVersion>,
    spread: Spread,
    engine: EngineView,
    health: CallHealth,
    power: PowerShare,
    service_time: DurationAverage,
    live_load: DecayedLevel,
    live_grants_since_deferrable: u32,
    /// When a deferrable request last got its permit.
    last_deferrable_grant: Moment,
    last_load: Option<Moment>,
    last_preload_check: Moment,
    /// When the last event was handled.
    last_event: Moment,
    draining: bool,
    /// Whether the engine has told that somebody else owns the target.
    fenced: bool,
    bugs: Bugs,
}

impl Owner {
    /// Starts to own a target, of which nothing is known yet.
    ///
    /// The first event, or the [`OwnerEvent::Tick`] that [`Self::next_wakeup`] asks for, brings
    /// the question for the engine's adapters.
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

    /// Takes one event and says what is to be done.
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

    /// Seeds a bug, to show that a test finds it.
    #[cfg(feature = "seeded-bugs")]
    pub const fn seed(&mut self, bug: crate::Bug) {
        self.bugs = Bugs::seeded(bug);
    }

    /// Returns when [`OwnerEvent::Tick`] is next wanted.
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

    /// Ends what has come due: waiting requests at their deadlines, permits of entry instances
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
            // It may have restarted empty: nothing is granted for an adapter until it has listed
            // what it holds.
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

    /// Tells the power allocator what the work at hand could use, and of power given back.
    fn report_power(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        if let Some(less) = self.power.confirm_less(self.drawing_sequences()) {
            out.push(OwnerAction::ConfirmShare {
                sequence: less.sequence,
                watts: less.watts,
            });
        }
        // Requests that wait for a load can't use power yet: counted, they would have targets
        // parked, and their slots lost, just when slots and loads are short.
        // Seats reserved for bursts don't count either: all targets' are never in use at once.
        let live = self.permits.live() + self.queue.ready(Class::Live);
        let deferrable = self.permits.deferrable() + self.queue.ready(Class::Deferrable);
        if let Some((live_watts, deferrable_watts)) = self.power.report(live, deferrable, now) {
            out.push(OwnerAction::ReportDemand {
                live_watts,
                deferrable_watts,
            });
        }
    }

    /// Returns the sequences that may draw power, known or not.
    fn drawing_sequences(&self) -> usize {
        let known = self.permits.len() + self.engine.external_sequences();
        let drawing = known.saturating_add(self.unknown_sequences());
        drawing.min(self.cfg.max_batch as usize)
    }

    /// Notes that permits were granted, learnt or released.
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

    /// Puts a decision about a request into words.
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
        out.push(OwnerAction::Log(self.decision(kind, asked, reason)));
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
            waited: Waited::default(),
        }));
    }
}
