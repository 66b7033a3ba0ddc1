//! The adapter slots of an engine.
//!
//! An adapter that serves a permit is a [`PinnedSlot`], one that serves none an [`IdleSlot`], and
//! only an [`Evictable`], which is made from nothing but an idle slot, can be unloaded. That an
//! adapter serving a request is never evicted is therefore checked by the compiler.

use chervilshunt_model::{AdapterVersion, Moment};
use indexmap::IndexMap;

use super::order::OrderId;

/// A loaded adapter that serves at least one permit.
#[derive(Clone, Copy, Debug)]
pub(super) struct PinnedSlot {
    pins: u32,
    since: Moment,
    /// Whether it takes no further permits, to make room once it is idle.
    pub(super) retiring: bool,
}

impl PinnedSlot {
    /// Returns the permits that it serves.
    pub(super) fn pins(&self) -> u32 {
        self.pins
    }
}

/// A loaded adapter that serves no permit.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleSlot {
    since: Moment,
    /// When it last served a permit, or was loaded.
    pub(super) last_used: Moment,
    /// Whether it takes no further permits, to make room.
    pub(super) retiring: bool,
}

/// Leave to unload one adapter: it was idle, and is out of reach for permits from now on.
#[derive(Debug)]
pub(super) struct Evictable {
    model: AdapterVersion,
}

/// What is happening to a slot that is neither pinned nor idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotTransition {
    /// A load is on its way.
    Loading(OrderId),
    /// An unload is on its way.
    Unloading(OrderId),
    /// A load went unanswered.
    MaybeLoaded,
    /// An unload went unanswered.
    MaybeUnloaded,
}

#[derive(Clone, Copy, Debug)]
struct TransitionSlot {
    what: SlotTransition,
    since: Moment,
}

/// What a listing of the engine changed.
#[derive(Debug, Default)]
pub(super) struct InventoryChange {
    /// Adapters that were thought to be loaded and are not.
    pub(super) missing: Vec<AdapterVersion>,
    /// Adapters that turned out to be loaded.
    pub(super) found: Vec<AdapterVersion>,
    /// Adapters that an unanswered unload left loaded.
    pub(super) not_unloaded: Vec<AdapterVersion>,
    /// Whether something changed after the question, so that it has to be asked again.
    pub(super) incomplete: bool,
}

/// All adapter slots of one engine.
#[derive(Debug)]
pub(super) struct Slots {
    capacity: usize,
    pinned: IndexMap<AdapterVersion, PinnedSlot>,
    idle: IndexMap<AdapterVersion, IdleSlot>,
    transition: IndexMap<AdapterVersion, TransitionSlot>,
    /// Permits for adapters that the engine does not hold, by all that is known.
    orphans: IndexMap<AdapterVersion, u32>,
    /// Adapters that were unloaded, with the time until which a late order may yet hit them.
    recent_unloads: IndexMap<AdapterVersion, UnloadRecord>,
}

#[derive(Clone, Copy, Debug)]
struct UnloadRecord {
    at: Moment,
    barred_until: Moment,
}

impl Slots {
    /// Starts with all slots free, as far as is known.
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

    /// Whether the engine has slots at all; a plain service has none.
    pub(super) fn exist(&self) -> bool {
        self.capacity > 0
    }

    /// Returns the slots that hold nothing and are promised to nothing.
    pub(super) fn free(&self) -> usize {
        let taken = self.pinned.len() + self.idle.len() + self.transition.len();
        self.capacity.saturating_sub(taken)
    }

    /// Whether the adapter is loaded and takes permits.
    pub(super) fn serves(&self, model: &AdapterVersion) -> bool {
        self.pinned.get(model).is_some_and(|slot| !slot.retiring)
            || self.idle.get(model).is_some_and(|slot| !slot.retiring)
    }

    /// Whether the adapter is loaded, also if it takes no permits.
    pub(super) fn holds(&self, model: &AdapterVersion) -> bool {
        self.pinned.contains_key(model) || self.idle.contains_key(model)
    }

    /// Returns what is happening to the adapter, if it is on its way in or out.
    pub(super) fn transition(&self, model: &AdapterVersion) -> Option<SlotTransition> {
        self.transition.get(model).map(|slot| slot.what)
    }

    /// Returns the number of slots that an unload will free.
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

    /// Returns until when a late order may yet unload the adapter, if that lies ahead.
    pub(super) fn barred_until(&self, model: &AdapterVersion, now: Moment) -> Option<Moment> {
        let until = self.recent_unloads.get(model)?.barred_until;
        (until > now).then_some(until)
    }

    /// Pins a loaded adapter for one more permit.
    ///
    /// Returns whether it was loaded.
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

    /// Notes a permit whose adapter may or may not be loaded, as learnt after a takeover.
    pub(super) fn pin_reported(&mut self, model: &AdapterVersion, now: Moment) {
        if !self.pin(model, now) {
            *self.orphans.entry(model.clone()).or_insert(0) += 1;
        }
    }

    /// Takes one permit's pin off.
    ///
    /// Returns whether the adapter is idle from now on.
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

    /// Returns the adapters that may be evicted.
    pub(super) fn idle(&self) -> impl Iterator<Item = (&AdapterVersion, &IdleSlot)> {
        self.idle.iter()
    }

    /// Returns the adapters that serve permits.
    pub(super) fn pinned(&self) -> impl Iterator<Item = (&AdapterVersion, &PinnedSlot)> {
        self.pinned.iter()
    }

    /// Whether an adapter serves permits.
    pub(super) fn is_pinned(&self, model: &AdapterVersion) -> bool {
        self.pinned.contains_key(model)
    }

    /// Returns the adapters on their way in or out.
    pub(super) fn transitions(&self) -> impl Iterator<Item = (&AdapterVersion, SlotTransition)> {
        self.transition
            .iter()
            .map(|(model, slot)| (model, slot.what))
    }

    /// Lets a pinned adapter take no further permits.
    pub(super) fn retire(&mut self, model: &AdapterVersion) {
        if let Some(slot) = self.pinned.get_mut(model) {
            slot.retiring = true;
        }
    }

    /// Whether an adapter is to make room once it is idle.
    pub(super) fn any_retiring(&self) -> bool {
        self.pinned.values().any(|slot| slot.retiring)
            || self.idle.values().any(|slot| slot.retiring)
    }

    /// Lets retiring adapters take permits again, when nobody wants their slots any more.
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

    /// Takes an idle adapter out of reach for permits, so that it can be unloaded.
    pub(super) fn take_evictable(&mut self, model: &AdapterVersion) -> Option<Evictable> {
        let (model, _) = self.idle.swap_remove_entry(model)?;
        Some(Evictable { model })
    }

    /// Notes that an unload is on its way, and returns the adapter that it concerns.
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

    /// Notes that the unload of an adapter is ordered once more.
    pub(super) fn restart_unload(&mut self, model: &AdapterVersion, order: OrderId, now: Moment) {
        if self.transition(model) == Some(SlotTransition::MaybeUnloaded) {
            self.set_transition(model.clone(), SlotTransition::Unloading(order), now);
        }
    }

    /// Notes that a load is on its way into a free slot.
    pub(super) fn start_load(&mut self, model: AdapterVersion, order: OrderId, now: Moment) {
        self.recent_unloads.swap_remove(&model);
        self.set_transition(model, SlotTransition::Loading(order), now);
    }

    /// Notes that an adapter is loaded.
    pub(super) fn mark_loaded(&mut self, model: &AdapterVersion, now: Moment) {
        self.transition.swap_remove(model);
        if self.holds(model) {
            return;
        }
        self.insert_loaded(model.clone(), now);
    }

    /// Notes that a load did not happen.
    pub(super) fn mark_load_failed(&mut self, model: &AdapterVersion) {
        self.transition.swap_remove(model);
    }

    /// Notes that an adapter is unloaded.
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

    /// Notes that an order went unanswered.
    pub(super) fn mark_unanswered(
        &mut self,
        model: &AdapterVersion,
        what: SlotTransition,
        now: Moment,
    ) {
        self.set_transition(model.clone(), what, now);
    }

    /// Notes that the engine does not hold an adapter that it was thought to hold.
    ///
    /// `known_at` is when the engine said so at the latest; an adapter loaded since then stays.
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

    /// Brings the slots in line with the engine's own listing, which was asked for at `asked`.
    ///
    /// Adapters that an order has moved since then are left alone: the listing may be older.
    pub(super) fn reconcile(
        &mut self,
        listed: &[AdapterVersion],
        asked: Moment,
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
            if self.mark_missing(&model, asked) {
                change.missing.push(model);
            }
        }
        self.resolve_unanswered(listed, asked, now, &mut change);
        for model in listed {
            let unknown = !self.holds(model) && !self.transition.contains_key(model);
            let unloaded_since = self
                .recent_unloads
                .get(model)
                .is_some_and(|it| it.at >= asked);
            if unknown && !unloaded_since {
                self.insert_loaded(model.clone(), asked);
                change.found.push(model.clone());
            }
        }
        change
    }

    /// Forgets unloads that no late order or listing can concern any more.
    pub(super) fn prune_recent_unloads(&mut self, before: Moment, now: Moment) {
        self.recent_unloads
            .retain(|_, it| it.at >= before || it.barred_until > now);
    }

    fn resolve_unanswered(
        &mut self,
        listed: &[AdapterVersion],
        asked: Moment,
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
            if slot.since > asked {
                change.incomplete = true;
                continue;
            }
            match (slot.what, listed.contains(&model)) {
                (SlotTransition::MaybeLoaded, true) => {
                    self.mark_loaded(&model, asked);
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
