//! The adapter slots of an engine.
//!
//! An adapter that serves a permit is in a [`PinnedSlot`], one that serves none in an [`IdleSlot`].
//! Only an [`Evictable`] can be unloaded, and it can be created only from an idle slot, so the
//! compiler checks that an adapter that serves a request is never evicted.

use chervilshunt_model::{AdapterVersion, Moment};
use indexmap::IndexMap;

use super::order::OrderId;

/// A loaded adapter that serves at least one permit.
#[derive(Clone, Copy, Debug)]
pub(super) struct PinnedSlot {
    pins: u32,
    since: Moment,
    /// Whether it takes no further permits, so that its slot becomes free once it is idle.
    pub(super) retiring: bool,
}

impl PinnedSlot {
    /// Returns the number of permits that it serves.
    pub(super) fn pins(&self) -> u32 {
        self.pins
    }
}

/// A loaded adapter that serves no permit.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleSlot {
    since: Moment,
    /// When it last served a permit or was loaded.
    pub(super) last_used: Moment,
    /// Whether it takes no further permits, so that its slot becomes free.
    pub(super) retiring: bool,
}

/// Permission to unload one adapter, which was idle and can no longer be pinned.
#[derive(Debug)]
pub(super) struct Evictable {
    model: AdapterVersion,
}

/// The transition of a slot that is neither pinned nor idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotTransition {
    /// A load is in progress.
    Loading(OrderId),
    /// An unload is in progress.
    Unloading(OrderId),
    /// A load got no response.
    MaybeLoaded,
    /// An unload got no response.
    MaybeUnloaded,
}

#[derive(Clone, Copy, Debug)]
struct TransitionSlot {
    what: SlotTransition,
    since: Moment,
}

/// The changes to the slots after a listing by the engine.
#[derive(Debug, Default)]
pub(super) struct InventoryChange {
    /// Adapters that were assumed to be loaded but are not.
    pub(super) missing: Vec<AdapterVersion>,
    /// Adapters that are loaded although they were not assumed to be.
    pub(super) found: Vec<AdapterVersion>,
    /// Adapters that are still loaded after an unload that got no response.
    pub(super) not_unloaded: Vec<AdapterVersion>,
    /// Whether an order got no response after the listing was requested, so that another listing is
    /// needed.
    pub(super) incomplete: bool,
}

/// All adapter slots of one engine.
#[derive(Debug)]
pub(super) struct Slots {
    capacity: usize,
    pinned: IndexMap<AdapterVersion, PinnedSlot>,
    idle: IndexMap<AdapterVersion, IdleSlot>,
    transition: IndexMap<AdapterVersion, TransitionSlot>,
    /// Number of permits for each adapter that the engine does not hold as far as is known.
    orphans: IndexMap<AdapterVersion, u32>,
    /// Recently unloaded adapters, with the time until which a late order may still unload them.
    recent_unloads: IndexMap<AdapterVersion, UnloadRecord>,
}

#[derive(Clone, Copy, Debug)]
struct UnloadRecord {
    at: Moment,
    barred_until: Moment,
}

impl Slots {
    /// Starts with all slots free.
    pub(super) fn new(capacity: u32) -> Self {
        Self {
            capacity: capacity as usize,
            pinned: IndexMap::new(),
            idle: IndexMap::new(),
            transition: IndexMap::new(),
            orphans: IndexMap::new(),
            recent_unloads: IndexMap::new(),
        }
    }

    /// Returns whether the engine has slots; a plain service has none.
    pub(super) fn exist(&self) -> bool {
        self.capacity > 0
    }

    /// Returns the number of slots that hold no adapter and are not reserved by a load in progress.
    pub(super) fn free(&self) -> usize {
        let taken = self.pinned.len() + self.idle.len() + self.transition.len();
        self.capacity.saturating_sub(taken)
    }

    /// Returns whether the adapter is loaded and takes permits.
    pub(super) fn serves(&self, model: &AdapterVersion) -> bool {
        self.pinned.get(model).is_some_and(|slot| !slot.retiring)
            || self.idle.get(model).is_some_and(|slot| !slot.retiring)
    }

    /// Returns whether the adapter is loaded, including one that takes no permits.
    pub(super) fn holds(&self, model: &AdapterVersion) -> bool {
        self.pinned.contains_key(model) || self.idle.contains_key(model)
    }

    /// Returns the transition of the adapter's slot, if there is one.
    pub(super) fn transition(&self, model: &AdapterVersion) -> Option<SlotTransition> {
        self.transition.get(model).map(|slot| slot.what)
    }

    /// Returns the number of slots that an unload in progress will free.
    pub(super) fn unloading(&self) -> usize {
        self.transition
            .values()
            .filter(|slot| {
                matches!(
                    slot.what,
                    SlotTransition::Unloading(_) | SlotTransition::MaybeUnloaded
                )
            })
            .count()
    }

    /// Returns the time until which a late order may still unload the adapter, if it is in the
    /// future.
    pub(super) fn barred_until(&self, model: &AdapterVersion, now: Moment) -> Option<Moment> {
        let until = self.recent_unloads.get(model)?.barred_until;
        (until > now).then_some(until)
    }

    /// Pins a loaded adapter for one more permit.
    ///
    /// Returns whether it is loaded.
    pub(super) fn pin(&mut self, model: &AdapterVersion, now: Moment) -> bool {
        if let Some(slot) = self.pinned.get_mut(model) {
            slot.pins += 1;
            return true;
        }
        let Some((model, slot)) = self.idle.swap_remove_entry(model) else {
            return false;
        };
        self.insert_pinned(model, 1, slot.since.max(Moment::ZERO), slot.retiring);
        debug_assert!(now >= slot.since, "time runs forwards");
        true
    }

    /// Records a permit that was reported after a takeover, whose adapter may or may not be loaded.
    pub(super) fn pin_reported(&mut self, model: &AdapterVersion, now: Moment) {
        if !self.pin(model, now) {
            *self.orphans.entry(model.clone()).or_insert(0) += 1;
        }
    }

    /// Removes the pin of one permit.
    ///
    /// Returns whether the adapter has become idle.
    pub(super) fn unpin(&mut self, model: &AdapterVersion, now: Moment) -> bool {
        if let Some(pins) = self.orphans.get_mut(model) {
            *pins -= 1;
            if *pins == 0 {
                self.orphans.swap_remove(model);
            }
            return false;
        }
        let Some(slot) = self.pinned.get_mut(model) else {
            return false;
        };
        slot.pins -= 1;
        if slot.pins > 0 {
            return false;
        }
        let Some((model, slot)) = self.pinned.swap_remove_entry(model) else {
            return false;
        };
        let idle = IdleSlot {
            since: slot.since,
            last_used: now,
            retiring: slot.retiring,
        };
        self.idle.insert(model, idle);
        true
    }

    /// Returns the idle adapters, which may be evicted.
    pub(super) fn idle(&self) -> impl Iterator<Item = (&AdapterVersion, &IdleSlot)> {
        self.idle.iter()
    }

    /// Returns the adapters that serve permits.
    pub(super) fn pinned(&self) -> impl Iterator<Item = (&AdapterVersion, &PinnedSlot)> {
        self.pinned.iter()
    }

    /// Returns whether an adapter serves permits.
    pub(super) fn is_pinned(&self, model: &AdapterVersion) -> bool {
        self.pinned.contains_key(model)
    }

    /// Returns the adapters whose slots are in transition.
    pub(super) fn transitions(&self) -> impl Iterator<Item = (&AdapterVersion, SlotTransition)> {
        self.transition
            .iter()
            .map(|(model, slot)| (model, slot.what))
    }

    /// Stops a pinned adapter from taking further permits.
    pub(super) fn retire(&mut self, model: &AdapterVersion) {
        if let Some(slot) = self.pinned.get_mut(model) {
            slot.retiring = true;
        }
    }

    /// Returns whether any adapter is retiring.
    pub(super) fn any_retiring(&self) -> bool {
        self.pinned.values().any(|slot| slot.retiring)
            || self.idle.values().any(|slot| slot.retiring)
    }

    /// Lets all retiring adapters take permits again and returns them.
    pub(super) fn unretire_all(&mut self) -> Vec<AdapterVersion> {
        let pinned = self.pinned.iter_mut().filter(|(_, slot)| slot.retiring);
        let mut back: Vec<AdapterVersion> = pinned
            .map(|(model, slot)| {
                slot.retiring = false;
                model.clone()
            })
            .collect();
        let idle = self.idle.iter_mut().filter(|(_, slot)| slot.retiring);
        back.extend(idle.map(|(model, slot)| {
            slot.retiring = false;
            model.clone()
        }));
        back
    }

    /// Removes an idle adapter from the slots that take permits, so that it can be unloaded.
    pub(super) fn take_evictable(&mut self, model: &AdapterVersion) -> Option<Evictable> {
        let (model, _) = self.idle.swap_remove_entry(model)?;
        Some(Evictable { model })
    }

    /// Records that an unload is in progress, and returns its adapter.
    pub(super) fn start_unload(
        &mut self,
        evictable: Evictable,
        order: OrderId,
        now: Moment,
    ) -> AdapterVersion {
        let Evictable { model } = evictable;
        self.set_transition(model.clone(), SlotTransition::Unloading(order), now);
        model
    }

    /// Records that an adapter whose unload got no response is ordered to be unloaded again.
    pub(super) fn restart_unload(&mut self, model: &AdapterVersion, order: OrderId, now: Moment) {
        if self.transition(model) == Some(SlotTransition::MaybeUnloaded) {
            self.set_transition(model.clone(), SlotTransition::Unloading(order), now);
        }
    }

    /// Records that a load into a free slot is in progress.
    pub(super) fn start_load(&mut self, model: AdapterVersion, order: OrderId, now: Moment) {
        self.recent_unloads.swap_remove(&model);
        self.set_transition(model, SlotTransition::Loading(order), now);
    }

    /// Records that an adapter is loaded.
    pub(super) fn mark_loaded(&mut self, model: &AdapterVersion, now: Moment) {
        self.transition.swap_remove(model);
        if self.holds(model) {
            return;
        }
        self.insert_loaded(model.clone(), now);
    }

    /// Records that a load failed, which frees its slot.
    pub(super) fn mark_load_failed(&mut self, model: &AdapterVersion) {
        self.transition.swap_remove(model);
    }

    /// Records that an adapter is unloaded.
    pub(super) fn mark_unloaded(
        &mut self,
        model: &AdapterVersion,
        barred_until: Moment,
        now: Moment,
    ) {
        if self.transition.swap_remove(model).is_some() {
            self.record_unload(model.clone(), barred_until, now);
        }
    }

    /// Records that an order got no response.
    pub(super) fn mark_unanswered(
        &mut self,
        model: &AdapterVersion,
        what: SlotTransition,
        now: Moment,
    ) {
        self.set_transition(model.clone(), what, now);
    }

    /// Records that the engine does not hold an adapter that it was assumed to hold.
    ///
    /// `known_at` is the latest time at which the engine can have reported so; an adapter loaded
    /// after that stays. Returns whether the adapter was removed.
    pub(super) fn mark_missing(&mut self, model: &AdapterVersion, known_at: Moment) -> bool {
        if let Some(slot) = self.pinned.get(model) {
            if slot.since > known_at {
                return false;
            }
            let pins = slot.pins;
            self.pinned.swap_remove(model);
            self.orphans.insert(model.clone(), pins);
            return true;
        }
        let Some(slot) = self.idle.get(model) else {
            return false;
        };
        if slot.since > known_at {
            return false;
        }
        self.idle.swap_remove(model);
        true
    }

    /// Reconciles the slots with the engine's listing, which was requested at `requested_at`.
    ///
    /// Adapters that an order has loaded or unloaded since then are left as they are, because the
    /// listing may be older.
    pub(super) fn reconcile(
        &mut self,
        listed: &[AdapterVersion],
        requested_at: Moment,
        now: Moment,
    ) -> InventoryChange {
        let mut change = InventoryChange::default();
        let missing = |model: &AdapterVersion| !listed.contains(model);
        let held: Vec<AdapterVersion> = self
            .pinned
            .keys()
            .chain(self.idle.keys())
            .cloned()
            .collect();
        for model in held.into_iter().filter(missing) {
            if self.mark_missing(&model, requested_at) {
                change.missing.push(model);
            }
        }
        self.resolve_unanswered(listed, requested_at, now, &mut change);
        for model in listed {
            let unknown = !self.holds(model) && !self.transition.contains_key(model);
            let unloaded_since = self
                .recent_unloads
                .get(model)
                .is_some_and(|it| it.at >= requested_at);
            if unknown && !unloaded_since {
                self.insert_loaded(model.clone(), requested_at);
                change.found.push(model.clone());
            }
        }
        change
    }

    /// Removes the records of unloads that neither a late order nor a late listing can affect any
    /// more.
    pub(super) fn prune_recent_unloads(&mut self, before: Moment, now: Moment) {
        self.recent_unloads
            .retain(|_, it| it.at >= before || it.barred_until > now);
    }

    fn resolve_unanswered(
        &mut self,
        listed: &[AdapterVersion],
        requested_at: Moment,
        now: Moment,
        change: &mut InventoryChange,
    ) {
        let unanswered: Vec<(AdapterVersion, TransitionSlot)> = self
            .transition
            .iter()
            .filter(|(_, slot)| {
                matches!(
                    slot.what,
                    SlotTransition::MaybeLoaded | SlotTransition::MaybeUnloaded
                )
            })
            .map(|(model, slot)| (model.clone(), *slot))
            .collect();
        for (model, slot) in unanswered {
            if slot.since > requested_at {
                change.incomplete = true;
                continue;
            }
            match (slot.what, listed.contains(&model)) {
                (SlotTransition::MaybeLoaded, true) => {
                    self.mark_loaded(&model, requested_at);
                    change.found.push(model);
                }
                (SlotTransition::MaybeUnloaded, true) => change.not_unloaded.push(model),
                (SlotTransition::MaybeUnloaded, false) => {
                    let barred_until = slot.since + super::tuning::MAX_ORDER_DELAY;
                    self.mark_unloaded(&model, barred_until, now);
                }
                (
                    SlotTransition::MaybeLoaded
                    | SlotTransition::Loading(_)
                    | SlotTransition::Unloading(_),
                    _,
                ) => {
                    self.transition.swap_remove(&model);
                }
            }
        }
    }

    fn insert_loaded(&mut self, model: AdapterVersion, now: Moment) {
        if let Some(pins) = self.orphans.swap_remove(&model) {
            self.insert_pinned(model, pins, now, false);
            return;
        }
        let slot = IdleSlot {
            since: now,
            last_used: now,
            retiring: false,
        };
        self.idle.insert(model, slot);
    }

    fn insert_pinned(&mut self, model: AdapterVersion, pins: u32, since: Moment, retiring: bool) {
        let slot = PinnedSlot {
            pins,
            since,
            retiring,
        };
        self.pinned.insert(model, slot);
    }

    fn set_transition(&mut self, model: AdapterVersion, what: SlotTransition, now: Moment) {
        self.transition
            .insert(model, TransitionSlot { what, since: now });
    }

    fn record_unload(&mut self, model: AdapterVersion, barred_until: Moment, now: Moment) {
        let unloaded = UnloadRecord {
            at: now,
            barred_until,
        };
        self.recent_unloads.insert(model, unloaded);
    }
}
