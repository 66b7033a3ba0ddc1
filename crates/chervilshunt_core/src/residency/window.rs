//! How many adapters are loaded at a time, over all targets.
//!
//! The weight store serves a number of loads at full speed; beyond it each takes longer in
//! proportion, so that starting more makes all of them late and none sooner. The number is nowhere
//! told. It is found as a sender finds the room of a link: a little more is tried while loads end in
//! their time, and less once they don't.

use std::time::Duration;

use chervilshunt_model::Moment;

/// Loads at a time to begin with: between what a small weight store serves at full speed and what
/// a large one does.
const FIRST: f64 = 16.0;
/// The fewest: what the smallest store serves at full speed.
const FEWEST: f64 = 8.0;
/// The most; far above any store's number, against growth without end.
const MOST: f64 = 256.0;
/// What is left of the window after loads that did not end in their time.
const CUT: f64 = 0.75;
/// The time between two cuts: loads that are late together are one sign, not many.
const CUT_EVERY: Duration = Duration::from_millis(250);

/// The bound on loads at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadWindow {
    size: f64,
    cut_at: Moment,
}

impl LoadWindow {
    pub(crate) const fn new() -> Self {
        Self {
            size: FIRST,
            cut_at: Moment::ZERO,
        }
    }

    /// Returns how many loads may be under way.
    pub(crate) const fn size(self) -> usize {
        self.size as usize
    }

    /// Takes in that a load had ended when it was first looked at, with so many under way.
    pub(crate) fn ended_in_time(&mut self, under_way: usize) {
        if under_way >= self.size() {
            self.size = (self.size + 1.0).min(MOST);
        }
    }

    /// Takes in that a load had not ended by then.
    pub(crate) fn overran(&mut self, now: Moment) {
        if now.since(self.cut_at) >= CUT_EVERY {
            self.size = (self.size * CUT).max(FEWEST);
            self.cut_at = now;
        }
    }
}
