//! One target as the placer sees it.

use std::collections::HashMap;

use chervilshunt_model::{InstanceId, Moment};
use indexmap::{IndexMap, IndexSet};

use super::config::ResidencyConfig;
use super::hold::{Hold, HoldState};
use super::order::Order;
use super::restart::LostLoads;
use crate::dispatch::{TargetFacts, Weights};

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

/// One target as the placer sees it.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub(crate) facts: TargetFacts,
    pub(crate) turn: Turn,
    /// Its adapters, those on their way included.
    pub(crate) holds: IndexMap<Weights, Hold>,
    /// Adapters that it gave up of late, the last one at the end; it has them in memory.
    remembered: IndexSet<Weights>,
    /// The base model that it is loading, and since when.
    pub(crate) base_load: Option<(Weights, Moment)>,
    /// What instances have under way here, by weights.
    ///
    /// It is kept beside the holds: an order that was carried out late brings an adapter of which
    /// the planner learns only afterwards, and which may be in use by then.
    uses: HashMap<Weights, Vec<(InstanceId, u32)>>,
    /// What instances have under way here without weights.
    plain_uses: Vec<(InstanceId, u32)>,
    /// All requests under way here.
    in_flight: u32,
    /// Orders to load adapters that got no answer.
    pub(crate) lost: LostLoads,
    /// Whether something has changed here since the planner last looked.
    pub(crate) touched: bool,
    pub(crate) summary: Summary,
}

/// What the planner saw of a target when it last looked.
///
/// It looks only at targets that an event touched or for which something is due. Looking at all of
/// 112 targets with each event took 0.87 s of processor for 20 s of load where this takes 0.27 s.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Summary {
    /// When something is due here next, if nothing changes before.
    pub(crate) wake_at: Option<Moment>,
    /// Whether loads wait here to be ordered.
    pub(crate) has_planned: bool,
    /// The loads that the weight store serves.
    pub(crate) fetching: usize,
    /// Whether what is due here depends on other targets, so that it is looked at with each event.
    pub(crate) depends_on_others: bool,
}

impl TargetState {
    pub(crate) fn new(facts: TargetFacts, ask_at: Moment) -> Self {
        Self {
            facts,
            turn: Turn::Unknown(ask_at),
            holds: IndexMap::new(),
            remembered: IndexSet::new(),
            base_load: None,
            uses: HashMap::new(),
            plain_uses: Vec::new(),
            in_flight: 0,
            lost: LostLoads::default(),
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
        self.facts.models.iter().any(|it| &*it.name == model)
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
            HoldState::Loading(_) => true,
            HoldState::Ordered | HoldState::Confirming => answers,
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

    /// Returns the adapter that is missed least of those that nobody uses: the one unused for longest.
    pub(crate) fn victim(&self, cfg: &ResidencyConfig, now: Moment) -> Option<&Weights> {
        let holds = self.holds.iter();
        let unused = holds.filter(|(weights, hold)| {
            hold.serves() && self.in_use(weights) == 0 && now.since(hold.last_used) > cfg.keep_used
        });
        let first = unused.min_by_key(|(_, hold)| hold.last_used);
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

    /// Returns the slots that are free or will be soon.
    pub(crate) fn slots_coming_free(&self, slots: usize) -> usize {
        let leaving = self
            .holds
            .values()
            .filter(|hold| matches!(hold.state, HoldState::Ending | HoldState::Unloading));
        let taken = self.holds.len() + self.slots_of_late_orders();
        (slots + leaving.count()).saturating_sub(taken)
    }

    /// Says whether one more adapter finds a slot, if need be that of one that nobody uses.
    pub(crate) fn can_load(&self, cfg: &ResidencyConfig, slots: usize, now: Moment) -> bool {
        self.slots_coming_free(slots) > 0 || self.victim(cfg, now).is_some()
    }

    /// Forgets an adapter that the target no longer holds but has in memory.
    pub(crate) fn gave_up(&mut self, weights: &Weights, cfg: &ResidencyConfig) {
        self.holds.shift_remove(weights);
        self.remember(weights.clone(), cfg);
    }

    /// Takes note that the target has an adapter in memory.
    pub(crate) fn remember(&mut self, weights: Weights, cfg: &ResidencyConfig) {
        self.remembered.shift_remove(&weights);
        self.remembered.insert(weights);
        if self.remembered.len() > cfg.remembered_adapters {
            self.remembered.shift_remove_index(0);
        }
    }

    /// Says whether a load of an adapter comes from memory.
    pub(crate) fn remembers(&self, weights: &Weights) -> bool {
        self.remembered.contains(weights)
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
        uses.into_iter().flatten().map(|(_, count)| count).sum()
    }

    /// Returns the requests under way here.
    pub(crate) const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns what the target counts against it when weights are to be placed.
    pub(crate) fn burden(&self, cfg: &ResidencyConfig, weights: &Weights, room: usize) -> f64 {
        let slots = f64::from(self.facts.slots.max(1));
        let load = f64::from(self.in_flight()) / slots;
        let cold = if self.remembers(weights) {
            0.0
        } else {
            cfg.cold_penalty
        };
        let no_slot = if self.holds.len() < room {
            0.0
        } else {
            cfg.no_slot_penalty
        };
        let unanswered = match self.turn {
            Turn::Unknown(_) | Turn::Asked => cfg.unanswered_penalty,
            Turn::Free(_) | Turn::Out(_) => 0.0,
        };
        load + cold + no_slot + unanswered + cfg.loading_penalty * self.coming() as f64
    }
}
