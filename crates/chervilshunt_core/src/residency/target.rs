//! One target as the placer sees it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment};
use indexmap::IndexMap;

use super::config::ResidencyConfig;
use super::grants::Grant;
use super::hold::{Hold, HoldState};
use super::memory::Remembered;
use super::models::{LoadedFor, ModelOrder};
use super::order::Order;
use super::restart::LostLoads;
use crate::dispatch::{HeldAdapters, TargetFacts, Weights};

/// What is known of the orders that a target has accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// It has to be asked, at that moment at the earliest.
    Unknown(Moment),
    /// It has been asked.
    Asked,
    /// It has accepted so many, and none is on its way.
    Free(u64),
    /// An order is on its way.
    Out(Order),
}

/// How long a count of room stands where no time is known at which it changes; late orders to earlier
/// starts of a target grow old meanwhile.
const LONGEST_COUNT: Duration = Duration::from_secs(1);

/// One target as the placer sees it.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub(crate) facts: TargetFacts,
    pub(crate) turn: Turn,
    /// When it was last given an order.
    pub(crate) ordered_at: Moment,
    /// Its adapters, those on their way included.
    pub(crate) holds: IndexMap<Weights, Hold>,
    /// Adapters that it had of late, some of which it has in memory.
    pub(crate) remembered: Remembered,
    /// The order for a base model that it was given and that has not ended, as far as is known.
    pub(crate) model_order: Option<ModelOrder>,
    /// The base model that it was last ordered to give up or load, and is to hold.
    pub(crate) reloads: Option<Weights>,
    /// The version for which a base model was last loaded here, and when.
    pub(crate) loaded_for: Option<LoadedFor>,
    /// Until when its base models are those that it reported, whatever the platform lists.
    pub(crate) models_reported_until: Moment,
    /// What instances have under way here, by weights.
    ///
    /// It is kept beside the holds: an order that was carried out late brings an adapter of which
    /// the planner learns only afterwards, and which may be in use by then.
    uses: HashMap<Weights, Vec<(InstanceId, u32)>>,
    /// What instances have under way here without weights.
    plain_uses: Vec<(InstanceId, u32)>,
    /// All requests under way here that are not granted.
    in_flight: u32,
    /// Granted requests under way here, by weights.
    grants: HashMap<Weights, u32>,
    granted: u32,
    /// The prompt tokens of granted requests that have still to be read.
    reading: u32,
    /// When a prompt was last read here.
    last_read: Moment,
    /// Orders to load adapters that got no answer.
    pub(crate) lost: LostLoads,
    /// Whether it has been asked what it holds, and has said so or could not be asked.
    pub(crate) was_asked: bool,
    /// Whether something has changed here since the planner last looked.
    pub(crate) touched: bool,
    pub(crate) summary: Summary,
}

/// What the planner saw of a target when it last looked.
///
/// It looks only at targets that an event touched or for which something is due: looking at all of them
/// with each event would be most of its work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Summary {
    /// When something is due here next, if nothing changes before.
    pub(crate) wake_at: Option<Moment>,
    /// The loads that wait here to be ordered.
    pub(crate) planned: usize,
    /// Those of them that the weight store is to serve.
    pub(crate) planned_fetches: usize,
    /// The loads that the weight store serves.
    pub(crate) fetching: usize,
    /// Whether it holds an older version of a base model than the newest.
    pub(crate) outdated: bool,
    /// Whether what is due here depends on other targets, so that it is looked at with each event.
    pub(crate) depends_on_others: bool,
    /// How many adapters more find a place.
    pub(crate) room: Room,
}

/// How many adapters more find a place at a target, as counted when the planner last looked.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Room {
    /// The slots of which it was counted.
    slots: usize,
    adapters: usize,
    /// From when on time alone may have changed it.
    until: Moment,
}

impl TargetState {
    pub(crate) fn new(facts: TargetFacts, ask_at: Moment) -> Self {
        Self {
            facts,
            turn: Turn::Unknown(ask_at),
            ordered_at: Moment::ZERO,
            holds: IndexMap::new(),
            remembered: Remembered::default(),
            model_order: None,
            reloads: None,
            loaded_for: None,
            models_reported_until: Moment::ZERO,
            uses: HashMap::new(),
            plain_uses: Vec::new(),
            in_flight: 0,
            grants: HashMap::new(),
            granted: 0,
            reading: 0,
            last_read: Moment::ZERO,
            lost: LostLoads::default(),
            was_asked: false,
            touched: true,
            summary: Summary::default(),
        }
    }

    /// Says whether new work may be prepared here.
    pub(crate) fn takes_work(&self) -> bool {
        self.facts.leaving.is_none()
    }

    /// Says whether it holds a base model, as it lists it itself.
    pub(crate) fn lists_model(&self, model: &str) -> bool {
        self.facts.version_of(model).is_some()
    }

    /// Returns the adapters that requests can use, by base model.
    pub(crate) fn serving_adapters(&self) -> Vec<HeldAdapters> {
        let mut by_model: IndexMap<Arc<str>, Vec<(Arc<str>, u64)>> = IndexMap::new();
        for (weights, hold) in self.holds.iter().filter(|(_, hold)| hold.serves()) {
            if let Some(adapter) = &weights.adapter {
                let adapters = by_model.entry(Arc::clone(&weights.model)).or_default();
                adapters.push((Arc::clone(adapter), hold.version));
            }
        }
        let by_model = by_model.into_iter();
        by_model
            .map(|(model, adapters)| HeldAdapters { model, adapters })
            .collect()
    }

    /// Returns the adapters that are being loaded.
    pub(crate) fn loading(&self) -> usize {
        let loading = |hold: &&Hold| hold.is_coming() && hold.state != HoldState::Planned;
        self.holds.values().filter(loading).count()
    }

    /// Returns the loads that the weight store serves, as far as is known.
    ///
    /// One whose last order got no answer has not begun, or has ended, or begins seconds later;
    /// counted, a few lost answers would keep the loads of all other targets waiting.
    pub(crate) fn fetching(&self) -> usize {
        let answers = matches!(self.turn, Turn::Out(_) | Turn::Free(_));
        let fetching = |hold: &&Hold| match hold.state {
            HoldState::Loading(_) => hold.from_store,
            HoldState::Ordered | HoldState::Confirming => answers && hold.from_store,
            HoldState::Planned | HoldState::Ready | HoldState::Ending | HoldState::Unloading => {
                false
            }
        };
        self.holds.values().filter(fetching).count()
    }

    /// Returns the loads that are planned or under way.
    pub(crate) fn coming(&self) -> usize {
        self.holds.values().filter(|hold| hold.is_coming()).count()
    }

    /// Says whether it waits for requests to end before it gives an adapter up, and takes no other
    /// order until then.
    pub(crate) fn gives_up(&self) -> bool {
        let mut states = self.holds.values().map(|hold| hold.state);
        let ordered = matches!(self.turn, Turn::Out(_));
        !ordered && states.any(|state| state == HoldState::Unloading)
    }

    /// Returns the slots that are taken, those that orders without an answer may take included.
    pub(crate) fn slots_taken(&self) -> usize {
        let taken = |hold: &&Hold| hold.state != HoldState::Planned;
        self.holds.values().filter(taken).count() + self.slots_of_late_orders()
    }

    /// Returns the slots that orders to an earlier start of the target may take.
    fn slots_of_late_orders(&self) -> usize {
        let accepted = match &self.turn {
            Turn::Free(accepted) => Some(*accepted),
            Turn::Out(order) => Some(order.accepted_before),
            Turn::Unknown(_) | Turn::Asked => None,
        };
        self.lost.slots(accepted)
    }

    /// Says whether an adapter may be given up at once.
    fn is_free(&self, weights: &Weights, hold: &Hold, now: Moment) -> bool {
        hold.serves() && hold.free_from <= now && self.in_use(weights) == 0
    }

    /// Returns the adapter that is missed least of those that nobody uses: the one unused for longest.
    pub(crate) fn victim(&self, now: Moment) -> Option<&Weights> {
        let free = self.holds.iter();
        let free = free.filter(|(weights, hold)| self.is_free(weights, hold, now));
        let first = free.min_by_key(|(_, hold)| hold.last_used);
        first.map(|(weights, _)| weights)
    }

    /// Returns an adapter that is no longer told of and that nobody uses any more.
    pub(crate) fn unused_ending(&self, cfg: &ResidencyConfig, now: Moment) -> Option<&Weights> {
        let mut holds = self.holds.iter();
        let due = holds.find(|(weights, hold)| {
            hold.state == HoldState::Ending
                && now.since(hold.since) >= cfg.uses_settle
                && self.in_use(weights) == 0
        });
        due.map(|(weights, _)| weights)
    }

    /// Counts the room, for the requests that come until something changes here.
    pub(crate) fn count_room(&self, slots: usize, now: Moment) -> Room {
        let coming_free = self.holds.values().map(|hold| hold.free_from);
        let until = coming_free.filter(|at| *at > now).min();
        Room {
            slots,
            adapters: self.counted_room(slots, now),
            until: until.unwrap_or(now + LONGEST_COUNT),
        }
    }

    /// Returns how many adapters more find a place, that of one that nobody uses included.
    ///
    /// Each request asks this of all targets: counted anew for each, it would be most of what a request
    /// costs before thousands of them.
    pub(crate) fn room(&self, slots: usize, now: Moment) -> usize {
        let room = &self.summary.room;
        if !self.touched && room.slots == slots && now < room.until {
            return room.adapters;
        }
        self.counted_room(slots, now)
    }

    fn counted_room(&self, slots: usize, now: Moment) -> usize {
        let stays = self
            .holds
            .iter()
            .filter(|(weights, hold)| !hold.is_going() && !self.is_free(weights, hold, now));
        slots.saturating_sub(stays.count() + self.slots_of_late_orders())
    }

    /// Says whether a load finds a place without another adapter being given up.
    pub(crate) fn has_free_slot(&self, slots: usize) -> bool {
        self.holds.len() + self.slots_of_late_orders() < slots
    }

    /// Says whether an adapter has to be given up for a load that is planned.
    pub(crate) fn lacks_slot(&self, slots: usize) -> bool {
        let mut states = self.holds.values().map(|hold| hold.state);
        let planned = states.clone().any(|state| state == HoldState::Planned);
        let going = states.any(|state| state == HoldState::Unloading);
        planned && !going && self.slots_taken() >= slots
    }

    /// Forgets an adapter that the target no longer holds but may have in memory.
    pub(crate) fn gave_up(&mut self, weights: &Weights) {
        self.holds.shift_remove(weights);
        self.remembered.note(weights.clone());
    }

    /// Counts a request that was granted.
    pub(crate) fn grant_given(&mut self, weights: &Weights, tokens: u32) {
        self.touched = true;
        *self.grants.entry(weights.clone()).or_default() += 1;
        self.granted += 1;
        self.reading += tokens;
    }

    /// Takes in that a granted request's prompt has been read, and returns for how long the target has
    /// read since it began with it.
    pub(crate) fn has_read(&mut self, tokens: u32, given_at: Moment, now: Moment) -> Duration {
        self.reading = self.reading.saturating_sub(tokens);
        let began = given_at.max(self.last_read);
        self.last_read = now;
        now.since(began)
    }

    /// Counts off a granted request that has ended.
    pub(crate) fn grant_ended(&mut self, grant: &Grant, now: Moment) {
        self.touched = true;
        self.reading = self.reading.saturating_sub(grant.reading);
        self.granted = self.granted.saturating_sub(1);
        if let Some(count) = self.grants.get_mut(&grant.weights) {
            *count -= 1;
            if *count == 0 {
                self.grants.remove(&grant.weights);
            }
        }
        if let Some(hold) = self.holds.get_mut(&grant.weights) {
            hold.last_used = now;
        }
    }

    /// Returns the prompt tokens that are read here before those of another request.
    pub(crate) fn backlog(&self) -> u32 {
        let waiting = self.holds.values().map(|hold| hold.waiting_tokens);
        self.reading + waiting.sum::<u32>()
    }

    /// Takes in how many requests an instance has under way here with some weights.
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

    /// Forgets what an instance had under way here.
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

    /// Returns the requests under way here with an adapter.
    pub(crate) fn in_use(&self, weights: &Weights) -> u32 {
        let uses = self.uses.get(weights);
        let told: u32 = uses.into_iter().flatten().map(|(_, count)| count).sum();
        told + self.grants.get(weights).copied().unwrap_or(0)
    }

    /// Returns the requests under way here.
    pub(crate) const fn in_flight(&self) -> u32 {
        self.in_flight + self.granted
    }
}
