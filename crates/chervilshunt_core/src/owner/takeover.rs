//! The time after a takeover in which the permits of the earlier owner are not all known.

use chervilshunt_model::Moment;

use super::Owner;
use super::action::OwnerAction;
use super::event::EngineReport;
use crate::Permit;

/// What is known of the permits that an earlier owner granted.
#[derive(Debug)]
pub(super) struct Takeover {
    started: Moment,
    complete: bool,
    /// The fewest sequences that the engine reported since the last old permit had to be used.
    reported: Option<usize>,
}

impl Takeover {
    /// Starts with nothing known.
    pub(super) fn new(now: Moment) -> Self {
        Self {
            started: now,
            complete: false,
            reported: None,
        }
    }

    /// Whether all permits of earlier owners are known or have ended.
    pub(super) fn complete(&self) -> bool {
        self.complete
    }
}

impl Owner {
    /// Takes in the permits that an instance holds for the target.
    pub(super) fn permits_held(&mut self, permits: Vec<Permit>, now: Moment) {
        for permit in permits {
            let ours = permit.target == self.cfg.target && permit.epoch <= self.cfg.epoch;
            if !ours || self.settled.released(permit.attempt) {
                continue;
            }
            let model = permit.model.clone();
            if !self.permits.insert(permit, now) {
                continue;
            }
            if let (true, Some(model)) = (self.slots.exist(), model) {
                self.slots.pin_learnt(&model, now);
            }
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

    /// Asks for the engine's adapters if they are in doubt.
    pub(super) fn ask_inventory(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        if self.engine.ask_inventory(now) {
            out.push(OwnerAction::AskInventory);
        }
    }
}
