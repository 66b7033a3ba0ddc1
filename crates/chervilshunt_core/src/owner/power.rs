//! The target's share of the site's power, and the bound on its batch that follows from it.

use std::time::Duration;

use chervilshunt_model::Moment;

use super::config::OwnerConfig;
use super::tuning::{DEMAND_REPORT_INTERVAL, DEMAND_REPORT_RENEWAL};

/// Tolerance for the rounding of sums and quotients of powers, in watts.
const ROUNDING_WATTS: f64 = 1e-6;

/// The share of power that a target holds.
#[derive(Debug)]
pub(super) struct PowerShare {
    idle_watts: f64,
    watts_per_sequence: f64,
    max_batch: usize,
    share_watts: f64,
    sequence: u64,
    confirmed_watts: Option<f64>,
    reported: Option<DemandReport>,
    report_pending: bool,
}

#[derive(Clone, Copy, Debug)]
struct DemandReport {
    live: usize,
    deferrable: usize,
    at: Moment,
}

/// A confirmation to send to the power allocator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Confirmation {
    /// The sequence number of the share.
    pub(super) sequence: u64,
    /// The most power that the target can draw from now on, in watts.
    pub(super) watts: f64,
}

impl PowerShare {
    /// Starts with the share of the configuration.
    pub(super) fn new(cfg: &OwnerConfig) -> Self {
        Self {
            idle_watts: cfg.idle_watts,
            watts_per_sequence: cfg.watts_per_sequence,
            max_batch: cfg.max_batch as usize,
            share_watts: cfg.share_watts,
            sequence: 0,
            confirmed_watts: None,
            reported: None,
            report_pending: false,
        }
    }

    pub(super) fn share_watts(&self) -> f64 {
        self.share_watts
    }

    /// Returns the number of sequences that may run within the share.
    pub(super) fn batch_bound(&self) -> usize {
        let spare = self.share_watts - self.idle_watts + ROUNDING_WATTS;
        if spare < 0.0 {
            return 0;
        }
        if self.watts_per_sequence <= 0.0 {
            return self.max_batch;
        }
        let sequences = (spare / self.watts_per_sequence).floor();
        if sequences >= self.max_batch as f64 {
            return self.max_batch;
        }
        sequences as usize
    }

    /// Returns whether the power allocator has left the target without power for a single sequence.
    pub(super) fn parked(&self) -> bool {
        self.sequence > 0 && self.batch_bound() == 0
    }

    /// Returns the power that `running` sequences draw, in watts. Without sequences no steps run,
    /// and the result is 0.
    pub(super) fn draw(&self, running: usize) -> f64 {
        if running == 0 {
            return 0.0;
        }
        self.idle_watts + self.watts_per_sequence * running as f64
    }

    /// Applies a share unless a newer one is in effect, and returns its confirmation.
    ///
    /// A lowered share applies to new permits at once. Running sequences beyond it are not aborted:
    /// the confirmation states their power, and later confirmations state less as they end.
    pub(super) fn set(
        &mut self,
        sequence: u64,
        watts: f64,
        running: usize,
    ) -> Option<Confirmation> {
        if sequence < self.sequence {
            return None;
        }
        if sequence > self.sequence {
            self.sequence = sequence;
            self.share_watts = watts;
        }
        Some(self.confirm(running))
    }

    /// Returns a confirmation if the power drawn in excess of the share has fallen since the last
    /// confirmation.
    pub(super) fn confirm_less(&mut self, running: usize) -> Option<Confirmation> {
        let confirmed = self.confirmed_watts?;
        let can_draw = self.share_watts.max(self.draw(running));
        let fell = confirmed > self.share_watts && can_draw < confirmed;
        fell.then(|| self.confirm(running))
    }

    /// Returns the live and the deferrable demand in watts if a report is due.
    pub(super) fn report(
        &mut self,
        live: usize,
        deferrable: usize,
        now: Moment,
    ) -> Option<(f64, f64)> {
        let live = live.min(self.max_batch);
        let deferrable = deferrable.min(self.max_batch - live);
        if !self.report_due(live, deferrable, now) {
            return None;
        }
        self.report_pending = false;
        self.reported = Some(DemandReport {
            live,
            deferrable,
            at: now,
        });
        Some((self.draw(live), self.watts_per_sequence * deferrable as f64))
    }

    /// Returns when the next report of demand is due, or `None` if none has been sent yet.
    pub(super) fn next_report(&self) -> Option<Moment> {
        let pause = self.report_pause();
        self.reported.map(|it| it.at + pause)
    }

    fn report_due(&mut self, live: usize, deferrable: usize, now: Moment) -> bool {
        let Some(reported) = self.reported else {
            return true;
        };
        self.report_pending = reported.live != live || reported.deferrable != deferrable;
        now.since(reported.at) >= self.report_pause()
    }

    fn report_pause(&self) -> Duration {
        if self.report_pending {
            DEMAND_REPORT_INTERVAL
        } else {
            DEMAND_REPORT_RENEWAL
        }
    }

    fn confirm(&mut self, running: usize) -> Confirmation {
        let watts = self.share_watts.max(self.draw(running));
        self.confirmed_watts = Some(watts);
        Confirmation {
            sequence: self.sequence,
            watts,
        }
    }
}
