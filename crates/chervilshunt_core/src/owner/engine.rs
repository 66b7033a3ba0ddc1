//! What is known of the engine, apart from its slots.

use std::collections::VecDeque;

use chervilshunt_model::Moment;
use indexmap::IndexSet;

use super::event::EngineReport;
use super::tuning::{INVENTORY_TIMEOUT, MAX_CACHED_PREFIXES};

/// Own permit counts remembered, to set a lagging report against.
const MAX_PERMIT_COUNTS: usize = 512;

/// What is known of the engine, apart from its slots.
#[derive(Debug)]
pub(super) struct EngineView {
    /// Whether it can be reached.
    pub(super) reachable: bool,
    /// Whether its adapters are known.
    pub(super) inventory_known: bool,
    inventory_required: bool,
    /// When the listing that is awaited was first asked for: it is at least as new as that.
    inventory_requested: Option<Moment>,
    inventory_last_requested: Moment,
    permit_counts: VecDeque<(Moment, usize)>,
    excess: [usize; 2],
    cached: IndexSet<u64>,
}

impl EngineView {
    /// Starts with an engine that is taken to be reachable and of which nothing is known.
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

    /// Wants the adapters listed, as something about them is in doubt.
    pub(super) fn require_inventory(&mut self) {
        self.inventory_required = true;
    }

    /// Takes nothing about the adapters for granted until they have been listed anew.
    pub(super) fn invalidate_inventory(&mut self) {
        self.inventory_known = false;
        self.inventory_required = true;
        self.inventory_requested = None;
    }

    /// Whether the inventory is to be asked for now; if so it counts as asked.
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

    /// Takes an answer to the question for the inventory, and returns when that was first asked.
    ///
    /// Listings that nobody asked for are late doubles and count for nothing.
    pub(super) fn inventory_answered(&mut self) -> Option<Moment> {
        let asked = self.inventory_requested.take()?;
        self.inventory_known = true;
        Some(asked)
    }

    /// Returns when an unanswered question is asked again.
    pub(super) fn next_inventory_request(&self) -> Option<Moment> {
        if !self.reachable {
            return None;
        }
        self.inventory_requested
            .map(|_| self.inventory_last_requested + INVENTORY_TIMEOUT)
    }

    /// Notes how many permits are out from now on.
    pub(super) fn count_permits(&mut self, permits: usize, now: Moment) {
        if self.permit_counts.len() >= MAX_PERMIT_COUNTS {
            self.permit_counts.pop_front();
        }
        self.permit_counts.push_back((now, permits));
    }

    /// Sets a report against the permits that were out when it was taken.
    ///
    /// Sequences beyond them are not the owner's: calls that a caller gave up and that the engine
    /// has yet to drop, or somebody else's. Only what two reports in a row show is counted, since
    /// the moment at which a report was taken is known roughly.
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

    /// Returns the sequences that take room in the batch without a permit.
    pub(super) fn external_sequences(&self) -> usize {
        self.excess[0].min(self.excess[1])
    }

    /// Forgets what an engine that went away had running and cached.
    pub(super) fn clear_work(&mut self) {
        self.excess = [0; 2];
        self.cached.clear();
    }

    /// Notes the prefixes that the engine holds cached.
    pub(super) fn set_cached(&mut self, prefixes: Vec<u64>) {
        self.cached = prefixes.into_iter().take(MAX_CACHED_PREFIXES).collect();
    }

    /// Whether the engine is likely to hold a prefix cached.
    pub(super) fn is_cached(&self, prefix: u64) -> bool {
        self.cached.contains(&prefix)
    }
}
