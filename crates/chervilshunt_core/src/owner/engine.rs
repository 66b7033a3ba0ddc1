//! The state of the engine apart from its slots.

use std::collections::VecDeque;

use chervilshunt_model::Moment;
use indexmap::IndexSet;

use super::event::EngineReport;
use super::tuning::{INVENTORY_TIMEOUT, MAX_CACHED_PREFIXES};

/// Number of past permit counts kept, to compare with an engine report that arrives late.
const MAX_PERMIT_COUNTS: usize = 512;

/// The state of the engine apart from its slots.
#[derive(Debug)]
pub(super) struct EngineView {
    /// Whether the engine is reachable.
    pub(super) reachable: bool,
    /// Whether the engine's adapters are known.
    pub(super) inventory_known: bool,
    inventory_required: bool,
    /// When the pending listing was first requested; the listing is at least as recent as that.
    inventory_requested: Option<Moment>,
    inventory_last_requested: Moment,
    permit_counts: VecDeque<(Moment, usize)>,
    excess: [usize; 2],
    cached: IndexSet<u64>,
}

impl EngineView {
    /// Starts with an engine that is assumed to be reachable and about which nothing else is known.
    pub(super) fn new(has_slots: bool) -> Self {
        Self {
            reachable: true,
            inventory_known: !has_slots,
            inventory_required: has_slots,
            inventory_requested: None,
            inventory_last_requested: Moment::ZERO,
            permit_counts: VecDeque::new(),
            excess: [0; 2],
            cached: IndexSet::new(),
        }
    }

    /// Schedules a request for the inventory because something about the adapters is uncertain.
    pub(super) fn require_inventory(&mut self) {
        self.inventory_required = true;
    }

    /// Treats the adapters as unknown until a new listing has arrived.
    pub(super) fn invalidate_inventory(&mut self) {
        self.inventory_known = false;
        self.inventory_required = true;
        self.inventory_requested = None;
    }

    /// Returns whether the inventory is to be requested now, and if so records the request.
    pub(super) fn begin_inventory_request(&mut self, now: Moment) -> bool {
        if !self.reachable {
            return false;
        }
        let due = match self.inventory_requested {
            Some(_) => now.since(self.inventory_last_requested) >= INVENTORY_TIMEOUT,
            None => self.inventory_required,
        };
        if due {
            self.inventory_required = false;
            self.inventory_requested = self.inventory_requested.or(Some(now));
            self.inventory_last_requested = now;
        }
        due
    }

    /// Accepts a listing of the inventory and returns when it was first requested.
    ///
    /// A listing that was not requested is a late duplicate and is ignored.
    pub(super) fn inventory_answered(&mut self) -> Option<Moment> {
        let requested_at = self.inventory_requested.take()?;
        self.inventory_known = true;
        Some(requested_at)
    }

    /// Returns when an unanswered request for the inventory is repeated.
    pub(super) fn next_inventory_request(&self) -> Option<Moment> {
        if !self.reachable {
            return None;
        }
        self.inventory_requested
            .map(|_| self.inventory_last_requested + INVENTORY_TIMEOUT)
    }

    /// Records the number of outstanding permits from now on.
    pub(super) fn count_permits(&mut self, permits: usize, now: Moment) {
        if self.permit_counts.len() >= MAX_PERMIT_COUNTS {
            self.permit_counts.pop_front();
        }
        self.permit_counts.push_back((now, permits));
    }

    /// Compares a report with the permits that were outstanding when it was taken.
    ///
    /// Sequences in excess of them don't belong to permits of this owner: their callers gave up and
    /// the engine has yet to abort them, or somebody else started them. Only an excess that two
    /// successive reports show is counted, because the time at which a report was taken is known
    /// only roughly.
    pub(super) fn reported(&mut self, report: &EngineReport, now: Moment) {
        let taken = now - report.age;
        let since_taken = self
            .permit_counts
            .iter()
            .rev()
            .take_while(|(at, _)| *at >= taken);
        let mut most = since_taken.map(|(_, permits)| *permits).max().unwrap_or(0);
        let before = self.permit_counts.iter().rev().find(|(at, _)| *at < taken);
        most = most.max(before.map_or(0, |(_, permits)| *permits));
        let sequences = report.running as usize + report.waiting as usize;
        self.excess = [sequences.saturating_sub(most), self.excess[0]];
    }

    /// Returns the number of sequences that occupy the batch without a permit.
    pub(super) fn external_sequences(&self) -> usize {
        self.excess[0].min(self.excess[1])
    }

    /// Clears the running work and the cached prefixes of an engine that became unreachable.
    pub(super) fn clear_work(&mut self) {
        self.excess = [0; 2];
        self.cached.clear();
    }

    /// Replaces the set of prefixes that the engine has cached.
    pub(super) fn set_cached(&mut self, prefixes: Vec<u64>) {
        self.cached = prefixes.into_iter().take(MAX_CACHED_PREFIXES).collect();
    }

    /// Returns whether the engine probably has a prefix cached.
    pub(super) fn is_cached(&self, prefix: u64) -> bool {
        self.cached.contains(&prefix)
    }
}
