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
    inventory_wanted: bool,
    /// When the listing that is awaited was first asked for: it is at least as new as that.
    asked: Option<Moment>,
    asked_last: Moment,
    counts: VecDeque<(Moment, usize)>,
    excess: [usize; 2],
    cached: IndexSet<u64>,
}

impl EngineView {
    /// Starts with an engine that is taken to be reachable and of which nothing is known.
    pub(super) fn new(has_slots: bool) -> Self {
        Self {
            reachable: true,
            inventory_known: !has_slots,
            inventory_wanted: has_slots,
            asked: None,
            asked_last: Moment::ZERO,
            counts: VecDeque::new(),
            excess: [0; 2],
            cached: IndexSet::new(),
        }
    }

    /// Wants the adapters listed, as something about them is in doubt.
    pub(super) fn want_inventory(&mut self) {
        self.inventory_wanted = true;
    }

    /// Takes nothing about the adapters for granted until they have been listed anew.
    pub(super) fn doubt_inventory(&mut self) {
        self.inventory_known = false;
        self.inventory_wanted = true;
        self.asked = None;
    }

    /// Whether the inventory is to be asked for now; if so it counts as asked.
    pub(super) fn ask_inventory(&mut self, now: Moment) -> bool {
        if !self.reachable {
            return false;
        }
        let due = match self.asked {
            Some(_) => now.since(self.asked_last) >= INVENTORY_TIMEOUT,
            None => self.inventory_wanted,
        };
        if due {
            self.inventory_wanted = false;
            self.asked = self.asked.or(Some(now));
            self.asked_last = now;
        }
        due
    }

    /// Takes an answer to the question for the inventory, and returns when that was first asked.
    ///
    /// Listings that nobody asked for are late doubles and count for nothing.
    pub(super) fn inventory_answered(&mut self) -> Option<Moment> {
        let asked = self.asked.take()?;
        self.inventory_known = true;
        Some(asked)
    }

    /// Returns when an unanswered question is asked again.
    pub(super) fn next_ask(&self) -> Option<Moment> {
        if !self.reachable {
            return None;
        }
        self.asked.map(|_| self.asked_last + INVENTORY_TIMEOUT)
    }

    /// Notes how many permits are out from now on.
    pub(super) fn count_permits(&mut self, permits: usize, now: Moment) {
        if self.counts.len() >= MAX_PERMIT_COUNTS {
            self.counts.pop_front();
        }
        self.counts.push_back((now, permits));
    }

    /// Sets a report against the permits that were out when it was taken.
    ///
    /// Sequences beyond them are not the owner's: calls that a caller gave up and that the engine
    /// has yet to drop, or somebody else's. Only what two reports in a row show is counted, since
    /// the moment at which a report was taken is known roughly.
    pub(super) fn reported(&mut self, report: &EngineReport, now: Moment) {
        let taken = now - report.age;
        let since_taken = self.counts.iter().rev().take_while(|(at, _)| *at >= taken);
        let mut most = since_taken.map(|(_, permits)| *permits).max().unwrap_or(0);
        let before = self.counts.iter().rev().find(|(at, _)| *at < taken);
        most = most.max(before.map_or(0, |(_, permits)| *permits));
        let sequences = report.running as usize + report.waiting as usize;
        self.excess = [sequences.saturating_sub(most), self.excess[0]];
    }

    /// Returns the sequences that take room in the batch without a permit.
    pub(super) fn foreign(&self) -> usize {
        self.excess[0].min(self.excess[1])
    }

    /// Forgets what an engine that went away had running and cached.
    pub(super) fn forget_work(&mut self) {
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
