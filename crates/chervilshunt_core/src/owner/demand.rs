//! The recorded demand for each adapter.

use chervilshunt_model::{AdapterVersion, Class, Moment};
use indexmap::IndexMap;

use super::tuning::{
    DEFERRABLE_DEMAND_WEIGHT, HIT_HALF_LIFE, IDLE_TRANSITION_PER_S, LONG_TERM_HALF_LIFE,
    MAX_TRACKED_ADAPTERS, SHORT_TERM_HALF_LIFE,
};
use crate::decay::DecayedRate;

/// Number of entries compared when the table is full and one of them has to be removed.
const EVICTION_SAMPLE: usize = 8;

/// Demand for one adapter.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    long_term: DecayedRate,
    short_term: DecayedRate,
}

impl Demand {
    /// Returns the request rate as of the last request, multiplied by the probability that more
    /// requests follow.
    ///
    /// A rate that only decays would rank an adapter that was busy until a moment ago above one
    /// that has just become busy. If requests arrive at rate `r` and an adapter becomes idle at
    /// rate `s`, then after `t` without a request the odds that it is idle are `s / (r + s) *
    /// (e^((r + s) t) - 1)`. An adapter that was busy is therefore recognised as idle within a few
    /// of its usual gaps.
    fn long_term_rate(&self, now: Moment) -> f64 {
        let (rate, idle) = self.long_term.last(LONG_TERM_HALF_LIFE, now);
        let ends = rate + IDLE_TRANSITION_PER_S;
        let active = (-ends * idle.as_secs_f64()).exp();
        rate * active / (active + IDLE_TRANSITION_PER_S / ends * (1.0 - active))
    }
}

/// The demand for each recently requested adapter, bounded in number.
///
/// The counters decay only when they are read. A full table removes the entry with the least demand
/// among a few at a moving position, as a clock cache does, so that the cost of a request does not
/// depend on the number of known adapters.
#[derive(Debug, Default)]
pub(super) struct DemandTable {
    known: IndexMap<AdapterVersion, Demand>,
    /// When counting started.
    counting_since: Moment,
    /// Rate of recent requests whose adapter was loaded, weighted as in the demand.
    hits: DecayedRate,
    clock_hand: usize,
}

impl DemandTable {
    /// Creates an empty table that counts from `now` on.
    pub(super) fn new(now: Moment) -> Self {
        Self {
            counting_since: now,
            ..Self::default()
        }
    }

    /// Counts a request; `loaded` is whether its adapter served permits at that time.
    pub(super) fn count(
        &mut self,
        model: &AdapterVersion,
        class: Class,
        loaded: bool,
        now: Moment,
    ) {
        if !self.known.contains_key(model) {
            self.evict_if_full(now);
            self.known.insert(model.clone(), Demand::default());
        }
        let Some(demand) = self.known.get_mut(model) else {
            return;
        };
        let weight = match class {
            Class::Live => 1.0,
            Class::Deferrable => DEFERRABLE_DEMAND_WEIGHT,
        };
        demand.long_term.add(weight, LONG_TERM_HALF_LIFE, now);
        if loaded {
            self.hits.add(weight, HIT_HALF_LIFE, now);
        }
        demand.short_term.add(1.0, SHORT_TERM_HALF_LIFE, now);
    }

    /// Returns the long-term demand, which determines the worth of the adapter's slot: requests per
    /// second, with deferrable requests counted in part.
    pub(super) fn long_term(&self, model: &AdapterVersion, now: Moment) -> f64 {
        let demand = self.known.get(model);
        demand.map_or(0.0, |it| it.long_term_rate(now))
    }

    /// Returns the ratio of the recent hit rate to the rate that the long-term demand for the
    /// `loaded` adapters predicts.
    ///
    /// A ratio well below 1 means that popularity has shifted to adapters that are not loaded.
    pub(super) fn hit_ratio<'a>(
        &self,
        loaded: impl Iterator<Item = &'a AdapterVersion>,
        now: Moment,
    ) -> f64 {
        let rates = loaded.filter_map(|model| self.known.get(model));
        let predicted: f64 = rates
            .map(|it| it.long_term.per_second(LONG_TERM_HALF_LIFE, now))
            .sum();
        // A rate that has been counted for less than a few half-lives is too low; this corrects it
        // for the time before counting started.
        let counted =
            now.since(self.counting_since).as_secs_f64() / LONG_TERM_HALF_LIFE.as_secs_f64();
        let predicted = predicted / (1.0 - (-counted).exp2()).max(f64::MIN_POSITIVE);
        if predicted <= 0.0 {
            return 1.0;
        }
        self.hits.per_second(HIT_HALF_LIFE, now) / predicted
    }

    /// Returns the requests per second over the last few seconds.
    pub(super) fn short_term(&self, model: &AdapterVersion, now: Moment) -> f64 {
        let demand = self.known.get(model);
        demand.map_or(0.0, |it| {
            it.short_term.per_second(SHORT_TERM_HALF_LIFE, now)
        })
    }

    /// Returns the number of adapters in the table.
    pub(super) fn len(&self) -> usize {
        self.known.len()
    }

    fn evict_if_full(&mut self, now: Moment) {
        if self.known.len() < MAX_TRACKED_ADAPTERS {
            return;
        }
        let len = self.known.len();
        let sample = (0..EVICTION_SAMPLE).map(|offset| (self.clock_hand + offset) % len);
        let demand = |index: &usize| {
            let demand = self.known.get_index(*index).map(|(_, demand)| demand);
            demand.map_or(0.0, |it| it.long_term_rate(now))
        };
        let weakest = sample.min_by(|left, right| demand(left).total_cmp(&demand(right)));
        if let Some(index) = weakest {
            self.known.swap_remove_index(index);
        }
        self.clock_hand = (self.clock_hand + EVICTION_SAMPLE) % len;
    }
}
