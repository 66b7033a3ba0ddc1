//! The spread of adapters over targets, and the targets to which requests are redirected.

use chervilshunt_model::{AdapterVersion, Moment, TargetName};
use indexmap::IndexMap;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Owner;
use super::tuning::{MAX_SPREAD, SPREAD_FILL, SPREAD_SHRINK_DELAY};
use crate::PermitRequest;
use crate::rank::TargetTable;

/// Maximum number of targets in a redirect.
const MAX_REDIRECT_TARGETS: usize = 3;

/// Time within which a wider spread must save the waiting time that its load costs, in seconds.
const PAYBACK_S: f64 = 60.0;

/// The targets of the service, and the adapters spread over several of them.
#[derive(Debug)]
pub(super) struct Spread {
    table: TargetTable,
    by_adapter: IndexMap<AdapterVersion, AdapterSpread>,
    rotation: usize,
}

/// An adapter that is spread over several targets.
#[derive(Clone, Debug)]
struct AdapterSpread {
    /// The targets in order of rank.
    targets: SmallVec<[TargetName; 4]>,
    /// Since when fewer targets would be enough.
    unneeded_since: Option<Moment>,
}

impl Spread {
    /// Starts with no adapter on more than one target.
    pub(super) fn new(target: &TargetName, peers: &[TargetName]) -> Self {
        Self {
            table: table(target, peers),
            by_adapter: IndexMap::new(),
            rotation: 0,
        }
    }

    /// Replaces the targets of the service. All spreads are reset and grow again with demand.
    pub(super) fn set_peers(&mut self, target: &TargetName, peers: &[TargetName]) {
        self.table = table(target, peers);
        self.by_adapter.clear();
    }
}

impl Owner {
    /// Returns whether an adapter is spread over several targets.
    pub(super) fn is_spread(&self, model: &AdapterVersion) -> bool {
        self.spread.by_adapter.contains_key(model)
    }

    /// Returns the targets over which this owner spreads an adapter, or its own target alone.
    pub(super) fn spread_of(&self, model: Option<&AdapterVersion>) -> SmallVec<[TargetName; 4]> {
        let wide = model.and_then(|model| self.spread.by_adapter.get(model));
        match wide {
            Some(wide) => wide.targets.clone(),
            None => std::iter::once(self.cfg.target.clone()).collect(),
        }
    }

    /// Adapts the spread of an adapter to its demand.
    ///
    /// All requests go first to the first-ranked target that can serve, so its owner sees the whole
    /// demand; a target that receives redirects sees the part that the others can't take. By
    /// Little's law the number of targets needed is the number of sequences that run at the same
    /// time divided by the part of a batch that one adapter may fill. The spread grows at once. It
    /// shrinks by one target after it has been too wide for a while, so that fluctuating demand
    /// does not cause repeated loads and evictions.
    pub(super) fn update_spread(&mut self, model: &AdapterVersion, now: Moment) {
        if !self.cfg.mechanisms.spread {
            return;
        }
        let width = self
            .spread
            .by_adapter
            .get(model)
            .map_or(1, |it| it.targets.len());
        let needed = self.needed_width(model, now);
        if needed > width {
            self.widen(model, needed);
            return;
        }
        let Some(wide) = self.spread.by_adapter.get_mut(model) else {
            return;
        };
        if needed == width {
            wide.unneeded_since = None;
            return;
        }
        let since = *wide.unneeded_since.get_or_insert(now);
        if now.since(since) < SPREAD_SHRINK_DELAY {
            return;
        }
        wide.unneeded_since = Some(now);
        wide.targets.pop();
        if wide.targets.len() == 1 {
            self.spread.by_adapter.swap_remove(model);
        }
    }

    /// Spreads an adapter over two targets if requests wait here so long that a second load pays
    /// off.
    pub(super) fn widen_for_wait(&mut self, model: &AdapterVersion, wait: f64, now: Moment) {
        if !self.cfg.mechanisms.spread || self.spread.by_adapter.contains_key(model) {
            return;
        }
        let saved = self.demand.short_term(model, now) * PAYBACK_S * wait;
        let load = self.loads.expected_time(now).as_secs_f64() * self.stall_weight();
        if saved > load && wait > load {
            self.widen(model, 2);
        }
    }

    /// Returns the other targets for a request that finds no batch capacity here, best first.
    ///
    /// Requests with the same prefix go to the same target; without prefix affinity the targets are
    /// used in rotation.
    pub(super) fn other_targets(&mut self, req: &PermitRequest) -> SmallVec<[TargetName; 4]> {
        let Some(model) = &req.model else {
            return SmallVec::new();
        };
        let Some(wide) = self.spread.by_adapter.get(model) else {
            return SmallVec::new();
        };
        let own = &self.cfg.target;
        let mut others: SmallVec<[TargetName; 4]> = wide
            .targets
            .iter()
            .filter(|it| *it != own && !req.avoid.contains(it))
            .cloned()
            .collect();
        if others.is_empty() {
            return others;
        }
        if self.cfg.mechanisms.prefix {
            let by_prefix = |it: &TargetName| xxh3_64_with_seed(it.as_str().as_bytes(), req.prefix);
            others.sort_by_key(by_prefix);
        } else {
            self.spread.rotation += 1;
            let turn = self.spread.rotation % others.len();
            others.rotate_left(turn);
        }
        others
    }

    /// Returns the targets ranked next after this one, for a request that can't stay here.
    ///
    /// Each target redirects to the next ones in the adapter's ranking, so a request that meets
    /// several closed targets visits each at most once. Targets that have failed the request are
    /// left out: an owner short of power would otherwise redirect a retry back to the target that
    /// failed it until its attempts are used up, and the caller would see the failure of one target
    /// although another one is healthy.
    pub(super) fn next_ranked(
        &self,
        req: &PermitRequest,
        max_hops: u8,
    ) -> SmallVec<[TargetName; 4]> {
        if req.hops >= max_hops {
            return SmallVec::new();
        }
        let Some(model) = &req.model else {
            return SmallVec::new();
        };
        let ranked = self.ranked_from_here(model, MAX_REDIRECT_TARGETS + 1 + req.avoid.len());
        let others = ranked.into_iter().skip(1);
        others
            .filter(|it| !req.avoid.contains(it))
            .take(MAX_REDIRECT_TARGETS)
            .collect()
    }

    fn needed_width(&self, model: &AdapterVersion, now: Moment) -> usize {
        let running = self.demand.short_term(model, now) * self.service_time.get().as_secs_f64();
        let batch_slots = self.power.batch_bound().max(1) as f64 * SPREAD_FILL;
        let needed = (running / batch_slots).ceil() as usize;
        needed.clamp(1, MAX_SPREAD)
    }

    /// Returns this target and the next ones in the adapter's ranking, which wraps around.
    fn ranked_from_here(&self, model: &AdapterVersion, count: usize) -> SmallVec<[TargetName; 4]> {
        let ranked = self.spread.table.rank_from(model, &self.cfg.target, count);
        ranked.into_iter().cloned().collect()
    }

    fn widen(&mut self, model: &AdapterVersion, width: usize) {
        let targets = self.ranked_from_here(model, width);
        if targets.len() < 2 {
            return;
        }
        let wide = AdapterSpread {
            targets,
            unneeded_since: None,
        };
        self.spread.by_adapter.insert(model.clone(), wide);
    }
}

fn table(target: &TargetName, peers: &[TargetName]) -> TargetTable {
    let others = peers.iter().filter(|it| *it != target);
    TargetTable::new(std::iter::once(target).chain(others).cloned())
}
