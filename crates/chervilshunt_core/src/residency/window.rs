//! How many adapters are loaded at a time, over all targets.
//!
//! The weight store serves a number of loads at full speed; beyond it each takes longer in
//! proportion, so that starting more makes all of them late and none sooner. Neither that number
//! nor the time of a load at full speed is told anywhere. The time is learnt from the first loads,
//! of which there are so few at a time that any store keeps up. The number is found as a sender
//! finds the room of a link: the window doubles with each round until loads end late, and grows by
//! one a round from three quarters of that on.

use std::time::Duration;

use chervilshunt_model::Moment;

/// The fewest loads at a time: what the smallest store serves at full speed. Begun with, so that the
/// loads from which the usual time is learnt are not slowed down by each other.
const FEWEST: f64 = 8.0;
/// The most; far above any store's number, against growth without end.
const MOST: f64 = 256.0;
/// What is left of the window after loads that did not end in their time.
const CUT: f64 = 0.75;
/// The time between two cuts: loads that are late together are one sign, not many.
const CUT_EVERY: Duration = Duration::from_millis(250);
/// Loads from which the usual time is learnt. Their median counts: up to three may come from a
/// target's memory, in a tenth of the time, without the planner knowing. They fit into the first round.
const SAMPLES: usize = 7;
/// How much longer than usual a load may take: a load is looked at every 30 ms, and the order and its
/// answer are on their way for some milliseconds each.
const TOLERANCE: Duration = Duration::from_millis(45);

/// The bound on loads at a time.
#[derive(Clone, Debug)]
pub(crate) struct LoadWindow {
    size: f64,
    /// The size up to which the window doubles with each round.
    doubles_to: f64,
    cut_at: Moment,
    samples: Vec<Duration>,
    /// How long a load takes at full speed, once that is known.
    usual: Option<Duration>,
}

impl LoadWindow {
    pub(crate) const fn new() -> Self {
        Self {
            size: FEWEST,
            doubles_to: MOST,
            cut_at: Moment::ZERO,
            samples: Vec::new(),
            usual: None,
        }
    }

    /// Returns how many loads may be under way.
    pub(crate) const fn size(&self) -> usize {
        self.size as usize
    }

    /// Returns how long a load takes at full speed; `guess` is what is taken until that is known.
    pub(crate) fn usual(&self, guess: Duration) -> Duration {
        self.usual.unwrap_or(guess)
    }

    /// Takes in that a load from the weight store has ended, with so many under way.
    pub(crate) fn ended(&mut self, took: Duration, under_way: usize) {
        let Some(usual) = self.usual else {
            return self.learn(took);
        };
        if took <= usual + TOLERANCE && under_way >= self.size() {
            let step = if self.size < self.doubles_to {
                1.0
            } else {
                1.0 / self.size
            };
            self.size = (self.size + step).min(MOST);
        }
    }

    /// Takes in that a load from the weight store has not ended `after` it began.
    pub(crate) fn goes_on(&mut self, after: Duration, now: Moment) {
        let late = self.usual.is_some_and(|usual| after > usual + TOLERANCE);
        if late && now.since(self.cut_at) >= CUT_EVERY {
            self.size = (self.size * CUT).max(FEWEST);
            self.doubles_to = self.size;
            self.cut_at = now;
        }
    }

    fn learn(&mut self, took: Duration) {
        self.samples.push(took);
        if self.samples.len() == SAMPLES {
            self.samples.sort_unstable();
            self.usual = self.samples.get(SAMPLES / 2).copied();
        }
    }
}
