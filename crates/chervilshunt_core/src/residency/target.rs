//! The state of one target as known to the placer.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment};
use indexmap::IndexMap;

use super::config::ResidencyConfig;
use super::grants::Grant;
use super::hold::{AdapterEntry, AdapterStage};
use super::memory::RecentAdapters;
use super::models::{LoadedFor, ModelOrder};
use super::order::Order;
use super::restart::LostLoads;
use super::unreachable::UnreachableReports;
use crate::dispatch::{HeldAdapters, TargetFacts, Weights};
use crate::speed::TargetSpeed;

/// What is known about the orders that a target has accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OrderState {
    /// The target has to be queried, at the given time at the earliest.
    Unknown(Moment),
    /// The target is being queried.
    Querying,
    /// The target has accepted this many orders, and none is in flight.
    Idle(u64),
    /// An order is in flight.
    InFlight(Order),
}

/// How long a count of free slots stays valid when no time is known at which it changes; late
/// orders to earlier starts of a target expire in the meantime.
const MAX_COUNT_AGE: Duration = Duration::from_secs(1);

/// The state of one target as known to the placer.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub(crate) facts: TargetFacts,
    pub(crate) order_state: OrderState,
    /// When the last order was sent to the target.
    pub(crate) ordered_at: Moment,
    /// The adapters of the target, including planned and loading ones.
    pub(crate) adapters: IndexMap<Weights, AdapterEntry>,
    /// Adapters that the target had recently, some of which it still has in memory.
    pub(crate) recent_adapters: RecentAdapters,
    /// The pending order for a base model.
    pub(crate) model_order: Option<ModelOrder>,
    /// The base model that the target was last ordered to unload or load, and is to hold.
    pub(crate) reloads: Option<Weights>,
    /// The version for which a base model was last loaded on this target, and when.
    pub(crate) loaded_for: Option<LoadedFor>,
    /// The time until which the reported base models take precedence over the platform's list.
    pub(crate) models_reported_until: Moment,
    /// The requests that instances have in flight at this target, by weights.
    ///
    /// This is separate from the adapters: a late order may load an adapter of which the planner
    /// learns only afterwards, and which may be in use by then.
    uses: HashMap<Weights, Vec<(InstanceId, u32)>>,
    /// The requests without weights that instances have in flight at this target.
    plain_uses: Vec<(InstanceId, u32)>,
    /// The total number of requests in flight at this target that are not counted as grants.
    in_flight: u32,
    /// The number of granted requests in flight at this target, by weights.
    grants: HashMap<Weights, u32>,
    granted: u32,
    /// The prompt tokens of granted requests that still await prefill.
    prefill_tokens: u32,
    /// When the prefill of a prompt last completed at this target.
    last_prefill: Moment,
    /// Unanswered orders to load adapters.
    pub(crate) lost: LostLoads,
    /// The instances that could not connect to it.
    pub(crate) unreachable: UnreachableReports,
    /// Whether the target has answered a query, or one has failed.
    pub(crate) was_queried: bool,
    /// Whether the target has answered a query.
    pub(crate) has_answered: bool,
    /// Whether something has changed since the planner last inspected the target.
    pub(crate) touched: bool,
    pub(crate) summary: Summary,
    pub(crate) speed: TargetSpeed,
}

/// What the planner found when it last inspected a target.
///
/// It inspects only targets that an event touched or for which something is due: inspecting all of
/// them with each event would be most of its work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Summary {
    /// When something becomes due at this target, if nothing changes before.
    pub(crate) wake_at: Option<Moment>,
    /// The number of planned loads.
    pub(crate) planned: usize,
    /// The number of planned loads from the weight store.
    pub(crate) planned_fetches: usize,
    /// The number of loads from the weight store in progress.
    pub(crate) fetching: usize,
    /// Whether the target holds an outdated version of a base model.
    pub(crate) outdated: bool,
    /// Whether due work depends on other targets, so that this one is inspected with every event.
    pub(crate) depends_on_others: bool,
    /// The slots that are free for more adapters.
    pub(crate) free_slots: FreeSlots,
}

/// The slots of a target that are free for more adapters, as counted at its last inspection.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FreeSlots {
    /// The total number of slots that the count was based on.
    slots: usize,
    adapters: usize,
    /// The time from which the count may have changed without an event.
    until: Moment,
}

impl TargetState {
    pub(crate) fn new(facts: TargetFacts, query_at: Moment) -> Self {
        Self {
            facts,
            order_state: OrderState::Unknown(query_at),
            ordered_at: Moment::ZERO,
            adapters: IndexMap::new(),
            recent_adapters: RecentAdapters::default(),
            model_order: None,
            reloads: None,
            loaded_for: None,
            models_reported_until: Moment::ZERO,
            uses: HashMap::new(),
            plain_uses: Vec::new(),
            in_flight: 0,
            grants: HashMap::new(),
            granted: 0,
            prefill_tokens: 0,
            last_prefill: Moment::ZERO,
            lost: LostLoads::default(),
            unreachable: UnreachableReports::default(),
            was_queried: false,
            has_answered: false,
            touched: true,
            summary: Summary::default(),
            speed: TargetSpeed::default(),
        }
    }

    /// Returns whether the target may be prepared for new requests.
    pub(crate) fn takes_work(&self) -> bool {
        self.facts.leaving.is_none()
    }

    /// Returns whether the target lists a base model.
    pub(crate) fn lists_model(&self, model: &str) -> bool {
        self.facts.version_of(model).is_some()
    }

    /// Returns the adapters that requests can use, by base model.
    pub(crate) fn serving_adapters(&self) -> Vec<HeldAdapters> {
        let mut by_model: IndexMap<Arc<str>, Vec<(Arc<str>, u64)>> = IndexMap::new();
        for (weights, entry) in self.adapters.iter().filter(|(_, entry)| entry.serves()) {
            if let Some(adapter) = &weights.adapter {
                let adapters = by_model.entry(Arc::clone(&weights.model)).or_default();
                adapters.push((Arc::clone(adapter), entry.version));
            }
        }
        let by_model = by_model.into_iter();
        by_model
            .map(|(model, adapters)| HeldAdapters { model, adapters })
            .collect()
    }

    /// Returns the number of loads that have been ordered and have not ended.
    pub(crate) fn loading(&self) -> usize {
        let loading =
            |entry: &&AdapterEntry| entry.is_load_pending() && entry.state != AdapterStage::Planned;
        self.adapters.values().filter(loading).count()
    }

    /// Returns the number of loads in progress at the weight store, as far as known.
    ///
    /// A load whose last order was not answered has not begun, has ended, or begins seconds later.
    /// If it were counted, a few lost answers would block the loads of all other targets.
    pub(crate) fn fetching(&self) -> usize {
        let answers = matches!(
            self.order_state,
            OrderState::InFlight(_) | OrderState::Idle(_)
        );
        let fetching = |entry: &&AdapterEntry| match entry.state {
            AdapterStage::Loading(_) => entry.from_store,
            AdapterStage::Ordered | AdapterStage::Confirming => answers && entry.from_store,
            AdapterStage::Planned
            | AdapterStage::Ready
            | AdapterStage::Ending
            | AdapterStage::Unloading => false,
        };
        self.adapters.values().filter(fetching).count()
    }

    /// Returns the number of loads that are planned or in progress.
    pub(crate) fn pending_loads(&self) -> usize {
        self.adapters
            .values()
            .filter(|entry| entry.is_load_pending())
            .count()
    }

    /// Returns whether the target is waiting for requests to end before it unloads an adapter, and
    /// accepts no other order until then.
    pub(crate) fn is_unloading(&self) -> bool {
        let mut states = self.adapters.values().map(|entry| entry.state);
        let ordered = matches!(self.order_state, OrderState::InFlight(_));
        !ordered && states.any(|state| state == AdapterStage::Unloading)
    }

    /// Returns the number of slots taken, including those that unanswered orders may take.
    pub(crate) fn slots_taken(&self) -> usize {
        let taken = |entry: &&AdapterEntry| entry.state != AdapterStage::Planned;
        self.adapters.values().filter(taken).count() + self.slots_of_late_orders()
    }

    /// Returns the number of slots that orders to an earlier start of the target may take.
    fn slots_of_late_orders(&self) -> usize {
        let accepted = match &self.order_state {
            OrderState::Idle(accepted) => Some(*accepted),
            OrderState::InFlight(order) => Some(order.accepted_before),
            OrderState::Unknown(_) | OrderState::Querying => None,
        };
        self.lost.slots(accepted)
    }

    /// Returns whether an adapter may be evicted immediately.
    fn is_free(&self, weights: &Weights, entry: &AdapterEntry, now: Moment) -> bool {
        entry.serves() && entry.free_from <= now && self.in_use(weights) == 0
    }

    /// Returns the adapter to evict: the least recently used one of those not in use.
    pub(crate) fn victim(&self, now: Moment) -> Option<&Weights> {
        let free = self.adapters.iter();
        let free = free.filter(|(weights, entry)| self.is_free(weights, entry, now));
        let first = free.min_by_key(|(_, entry)| entry.last_used);
        first.map(|(weights, _)| weights)
    }

    /// Returns an adapter that is no longer announced and that nothing uses any more.
    pub(crate) fn unused_adapter(&self, cfg: &ResidencyConfig, now: Moment) -> Option<&Weights> {
        let mut adapters = self.adapters.iter();
        let due = adapters.find(|(weights, entry)| {
            entry.state == AdapterStage::Ending
                && now.since(entry.since) >= cfg.usage_settle_time
                && self.in_use(weights) == 0
        });
        due.map(|(weights, _)| weights)
    }

    /// Counts the free slots, for the requests that arrive until something changes at this target.
    pub(crate) fn count_free_slots(&self, slots: usize, now: Moment) -> FreeSlots {
        let evictable_from = self.adapters.values().map(|entry| entry.free_from);
        let until = evictable_from.filter(|at| *at > now).min();
        FreeSlots {
            slots,
            adapters: self.compute_free_slots(slots, now),
            until: until.unwrap_or(now + MAX_COUNT_AGE),
        }
    }

    /// Returns how many more adapters fit, including into the slots of unused ones.
    ///
    /// Every request asks this of all targets. With thousands of targets, computing it each time
    /// would dominate the cost of a request.
    pub(crate) fn free_slots(&self, slots: usize, now: Moment) -> usize {
        let free = &self.summary.free_slots;
        if !self.touched && free.slots == slots && now < free.until {
            return free.adapters;
        }
        self.compute_free_slots(slots, now)
    }

    fn compute_free_slots(&self, slots: usize, now: Moment) -> usize {
        let occupied = self
            .adapters
            .iter()
            .filter(|(weights, entry)| !entry.is_leaving() && !self.is_free(weights, entry, now));
        slots.saturating_sub(occupied.count() + self.slots_of_late_orders())
    }

    /// Returns whether a load fits without evicting another adapter.
    pub(crate) fn has_free_slot(&self, slots: usize) -> bool {
        self.adapters.len() + self.slots_of_late_orders() < slots
    }

    /// Returns whether an adapter has to be evicted for a planned load.
    pub(crate) fn lacks_slot(&self, slots: usize) -> bool {
        let mut states = self.adapters.values().map(|entry| entry.state);
        let planned = states.clone().any(|state| state == AdapterStage::Planned);
        let unloading = states.any(|state| state == AdapterStage::Unloading);
        planned && !unloading && self.slots_taken() >= slots
    }

    /// Removes an adapter that the target no longer holds but may still have in memory.
    pub(crate) fn adapter_unloaded(&mut self, weights: &Weights) {
        self.adapters.shift_remove(weights);
        self.recent_adapters.record(weights.clone());
    }

    /// Counts a granted request.
    pub(crate) fn grant_given(&mut self, weights: &Weights, tokens: u32) {
        self.touched = true;
        *self.grants.entry(weights.clone()).or_default() += 1;
        self.granted += 1;
        self.prefill_tokens += tokens;
    }

    /// Records that the prompt of a granted request has been prefilled, and returns how long the
    /// target has worked on it.
    pub(crate) fn prefill_completed(
        &mut self,
        tokens: u32,
        given_at: Moment,
        now: Moment,
    ) -> Duration {
        self.unreachable.clear();
        self.prefill_tokens = self.prefill_tokens.saturating_sub(tokens);
        let began = given_at.max(self.last_prefill);
        self.last_prefill = now;
        now.since(began)
    }

    /// Removes a granted request that has ended.
    pub(crate) fn grant_ended(&mut self, grant: &Grant, now: Moment) {
        self.touched = true;
        self.prefill_tokens = self.prefill_tokens.saturating_sub(grant.prefill_tokens);
        self.granted = self.granted.saturating_sub(1);
        if let Some(count) = self.grants.get_mut(&grant.weights) {
            *count -= 1;
            if *count == 0 {
                self.grants.remove(&grant.weights);
            }
        }
        if let Some(entry) = self.adapters.get_mut(&grant.weights) {
            entry.last_used = now;
        }
    }

    /// Returns the number of prompt tokens that are prefilled before those of another request.
    pub(crate) fn backlog(&self) -> u32 {
        let waiting = self.adapters.values().map(|entry| entry.waiting_tokens);
        self.prefill_tokens + waiting.sum::<u32>()
    }

    /// Adds the requests that an instance has in flight at this target with some weights.
    pub(crate) fn set_use(&mut self, from: &InstanceId, weights: Option<&Weights>, count: u32) {
        self.touched = true;
        if count == 0 {
            return;
        }
        self.in_flight += count;
        let uses = match weights {
            Some(weights) => self.uses.entry(weights.clone()).or_default(),
            None => &mut self.plain_uses,
        };
        uses.push((from.clone(), count));
    }

    /// Forgets the requests that an instance had in flight at this target.
    pub(crate) fn clear_uses(&mut self, from: &InstanceId) {
        self.touched = true;
        self.uses.retain(|_, uses| {
            uses.retain(|(instance, _)| instance != from);
            !uses.is_empty()
        });
        self.plain_uses.retain(|(instance, _)| instance != from);
        let counts = self.uses.values().flatten().chain(&self.plain_uses);
        self.in_flight = counts.map(|(_, count)| count).sum();
    }

    /// Returns the number of requests in flight with an adapter.
    pub(crate) fn in_use(&self, weights: &Weights) -> u32 {
        let uses = self.uses.get(weights);
        let reported: u32 = uses.into_iter().flatten().map(|(_, count)| count).sum();
        reported + self.grants.get(weights).copied().unwrap_or(0)
    }

    /// Returns the number of requests in flight at this target.
    pub(crate) const fn in_flight(&self) -> u32 {
        self.in_flight + self.granted
    }
}
