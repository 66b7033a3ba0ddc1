//! The phase after a takeover in which the permits of the earlier owner are not all known.

use std::collections::HashSet;
use std::time::Duration;

use chervilshunt_model::{AdapterVersion, Fencing, InstanceId, Moment};

use super::Owner;
use super::action::OwnerAction;
use super::event::{AdapterReport, EngineReport};
use super::order::{OrderFailure, OrderId, OrderKind};
use crate::Permit;
use crate::bugs::Bug;

/// Time by which the clocks of an engine and of this instance may differ. The age of a report rests on
/// both, and an adapter that a report shows as idle must have been idle after the last old permit
/// could be used.
const REPORT_CLOCK_MARGIN: Duration = Duration::from_secs(5);

/// What is known of the permits that an earlier owner granted.
#[derive(Debug)]
pub(super) struct Takeover {
    started: Moment,
    complete: bool,
    /// The lowest number of sequences that the engine reported after the last moment at which an
    /// earlier owner's permit could be used.
    fewest_reported: Option<usize>,
    /// Adapters for which no unknown permit is in use: the engine reported them idle after the last
    /// moment at which one could be.
    unused: HashSet<AdapterVersion>,
    barrier: Barrier,
}

/// Whether the engine has seen this owner's fencing number.
///
/// An engine refuses an old number only after it has seen a newer one. Without a barrier, an unload
/// that the earlier owner had in transit could remove an adapter for which this owner has granted a
/// permit. The first order is therefore one without effect: the load of an adapter that is already
/// loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Barrier {
    /// It is not known yet whether a barrier is needed.
    Undecided,
    /// The order is in progress.
    Ordered(OrderId),
    /// The engine knows the number, or needs no barrier.
    Passed,
}

impl Takeover {
    /// Starts with no permits reported.
    pub(super) fn new(now: Moment) -> Self {
        Self {
            started: now,
            complete: false,
            fewest_reported: None,
            unused: HashSet::new(),
            barrier: Barrier::Undecided,
        }
    }

    /// Returns whether orders of earlier owners can no longer affect any adapter.
    pub(super) fn barrier_passed(&self) -> bool {
        self.barrier == Barrier::Passed
    }

    /// Returns whether all permits of earlier owners are known or have ended.
    pub(super) fn complete(&self) -> bool {
        self.complete
    }

    /// Returns whether all permits of earlier owners for an adapter are known or have ended.
    pub(super) fn complete_for(&self, model: &AdapterVersion) -> bool {
        self.complete || self.unused.contains(model)
    }
}

impl Owner {
    /// Adds the permits that an instance holds for the target.
    ///
    /// The list of an instance that has left in the meantime counts as well, since its calls may
    /// still be running. Nobody will release these permits, so they are set to end without a
    /// release.
    pub(super) fn permits_held(&mut self, entry: &InstanceId, permits: Vec<Permit>, now: Moment) {
        for permit in permits {
            let ours = permit.target == self.cfg.target && permit.epoch <= self.cfg.epoch;
            let left_out = self.bugs.has(Bug::TakeoverForgetsPermits);
            if !ours || left_out || self.settled.released(permit.attempt) {
                continue;
            }
            let model = permit.model.clone();
            if !self.permits.insert(permit, None, now) {
                continue;
            }
            if let (true, Some(model)) = (self.slots.exist(), model) {
                self.slots.pin_reported(&model, now);
            }
        }
        if self.left_entries.contains_key(entry) {
            self.end_permits_of(entry, now);
        }
        self.permits_changed(now);
    }

    /// Records that evictions are safe from now on.
    pub(super) fn takeover_complete(&mut self) {
        self.takeover.complete = true;
    }

    /// Uses an engine's report as a bound on the permits that are not known.
    ///
    /// A report that was taken while an earlier owner's permit could still be used may miss a call
    /// that started later, and is ignored.
    pub(super) fn report_in_takeover(&mut self, report: &EngineReport, now: Moment) {
        let settled = self.takeover.started + self.cfg.permit_window;
        if self.takeover.complete || now - report.age < settled {
            return;
        }
        let sequences = report.running as usize + report.waiting as usize;
        let fewest = self.takeover.fewest_reported.unwrap_or(usize::MAX);
        self.takeover.fewest_reported = Some(fewest.min(sequences));
    }

    /// Records which adapters are not in use under permits that are not known.
    ///
    /// An instance that is cut off neither answers nor leaves the instance list, for hours if need be.
    /// If nothing could be evicted until it does, adapters that are not loaded would not be served.
    /// The engine shows calls under old permits as any others, and no new ones can begin once
    /// the permits' window is over. A sequence that waits inside the engine may be for any adapter.
    pub(super) fn adapters_reported(&mut self, report: &AdapterReport, now: Moment) {
        let settled = self.takeover.started + self.cfg.permit_window + REPORT_CLOCK_MARGIN;
        let too_early = now - report.age < settled && !self.bugs.has(Bug::TrustsEarlyReports);
        if self.takeover.complete || too_early || report.waiting > 0 {
            return;
        }
        let held = self.slots.idle().map(|(model, _)| model);
        let held = held.chain(self.slots.pinned().map(|(model, _)| model));
        let unused = held.filter(|model| !report.running.contains(model));
        let unused: Vec<AdapterVersion> = unused.cloned().collect();
        if unused
            .iter()
            .any(|model| !self.takeover.unused.contains(model))
        {
            self.takeover.unused.extend(unused);
            self.loads.review_due = true;
        }
    }

    /// Returns the maximum number of sequences that may run under permits that are not known.
    ///
    /// They occupy batch slots and draw power: a new owner that granted a full batch in addition
    /// would exceed the site's power cap. Only the end of the takeover or a report bounds their
    /// number.
    pub(super) fn unknown_sequences(&self) -> usize {
        if self.takeover.complete {
            return 0;
        }
        self.takeover.fewest_reported.unwrap_or(usize::MAX)
    }

    /// Orders a load without effect, from which the engine learns the fencing number.
    ///
    /// An engine that holds no adapters needs no barrier. For one that ignores fencing numbers, the
    /// time that a new owner waits before it takes the role over protects the adapters.
    pub(super) fn start_barrier(&mut self, listed: &[AdapterVersion], out: &mut Vec<OwnerAction>) {
        if self.takeover.barrier != Barrier::Undecided {
            return;
        }
        self.takeover.barrier = match (self.cfg.fencing, listed.first()) {
            (Fencing::Ignores, _) | (Fencing::Checks, None) => Barrier::Passed,
            (Fencing::Checks, Some(model)) => {
                let order = self.loads.new_order();
                self.send_order(order, OrderKind::Load, model, out);
                Barrier::Ordered(order)
            }
        };
    }

    /// Handles the end of the barrier order.
    ///
    /// Adapters that were listed before may have been unloaded by an order of the earlier owner in
    /// the meantime, so the inventory is requested again.
    ///
    /// Returns whether `order` was the barrier order.
    pub(super) fn barrier_ended(
        &mut self,
        order: OrderId,
        result: Result<(), OrderFailure>,
    ) -> bool {
        if self.takeover.barrier != Barrier::Ordered(order) {
            return false;
        }
        self.takeover.barrier = match result {
            Ok(()) | Err(OrderFailure::Refused) => Barrier::Passed,
            Err(OrderFailure::Unknown | OrderFailure::Fenced) => Barrier::Undecided,
        };
        self.engine.invalidate_inventory();
        true
    }

    /// Requests the engine's inventory if it is required and due.
    pub(super) fn request_inventory_if_due(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        if self.engine.begin_inventory_request(now) {
            out.push(OwnerAction::RequestInventory);
        }
    }
}
