//! The time after a takeover in which the permits of the earlier owner are not all known.

use chervilshunt_model::{AdapterVersion, Fencing, InstanceId, Moment};

use super::Owner;
use super::action::OwnerAction;
use super::event::EngineReport;
use super::order::{OrderFailure, OrderId, OrderKind};
use crate::Permit;
use crate::bugs::Bug;

/// What is known of the permits that an earlier owner granted.
#[derive(Debug)]
pub(super) struct Takeover {
    started: Moment,
    complete: bool,
    /// The fewest sequences that the engine reported since the last old permit had to be used.
    reported: Option<usize>,
    barrier: Barrier,
}

/// Whether the engine has seen this owner's fencing number.
///
/// An engine refuses an old number only once it has seen a newer one. An unload that the earlier
/// owner had on its way could otherwise hit an adapter for which this one has granted a permit. So
/// the first order is one that does nothing: the load of an adapter that is already loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Barrier {
    /// Not known yet whether one is needed.
    Undecided,
    /// The order is on its way.
    Ordered(OrderId),
    /// The engine knows the number, or can't be told.
    Passed,
}

impl Takeover {
    /// Starts with nothing known.
    pub(super) fn new(now: Moment) -> Self {
        Self {
            started: now,
            complete: false,
            reported: None,
            barrier: Barrier::Undecided,
        }
    }

    /// Whether no order of an earlier owner can hit an adapter any more.
    pub(super) fn barrier_passed(&self) -> bool {
        self.barrier == Barrier::Passed
    }

    /// Whether all permits of earlier owners are known or have ended.
    pub(super) fn complete(&self) -> bool {
        self.complete
    }
}

impl Owner {
    /// Takes in the permits that an instance holds for the target.
    ///
    /// The list of an instance that has left meanwhile counts as well, as its calls may be open
    /// yet, but nobody will release them: they end by themselves.
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

    /// Notes that evictions are safe from now on.
    pub(super) fn takeover_complete(&mut self) {
        self.takeover.complete = true;
    }

    /// Takes an engine's report for what it tells of permits that are not known.
    ///
    /// A report taken before the last old permit had to be used may miss a call that was opened
    /// after it, and counts for nothing.
    pub(super) fn report_in_takeover(&mut self, report: &EngineReport, now: Moment) {
        let settled = self.takeover.started + self.cfg.permit_window;
        if self.takeover.complete || now - report.age < settled {
            return;
        }
        let sequences = report.running as usize + report.waiting as usize;
        let fewest = self.takeover.reported.unwrap_or(usize::MAX);
        self.takeover.reported = Some(fewest.min(sequences));
    }

    /// Returns the sequences that may be running under permits that are not known.
    ///
    /// They take seats in the batch and power: a new owner that granted the full batch beside
    /// them would pass the site's cap. Nothing but completion or a report bounds them.
    pub(super) fn unknown_sequences(&self) -> usize {
        if self.takeover.complete {
            return 0;
        }
        self.takeover.reported.unwrap_or(usize::MAX)
    }

    /// Orders a load that does nothing, so that the engine learns the fencing number.
    ///
    /// An engine that holds nothing has nothing to lose; one that ignores fencing numbers is
    /// protected by the time that the taker of a role waits.
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

    /// Takes the end of the first order.
    ///
    /// What was listed before may have been unloaded by an order of the earlier owner meanwhile,
    /// so the engine is asked once more.
    ///
    /// Returns whether it was the one.
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

    /// Asks for the engine's adapters if they are in doubt.
    pub(super) fn request_inventory_if_due(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        if self.engine.begin_inventory_request(now) {
            out.push(OwnerAction::RequestInventory);
        }
    }
}
