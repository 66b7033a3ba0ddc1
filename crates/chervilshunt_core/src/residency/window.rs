//! How many adapters are loaded at a time, over all targets.
//!
//! The weight store serves a number of loads at full speed; beyond it each takes longer in
//! proportion, so that starting more makes all of them late and none sooner. Neither that number
//! nor the time of a load at full speed is told anywhere. The time is learnt from the first loads,
//! of which there are so few at a time that any store keeps up. The number is found as a sender
//! finds the room of a link: the window doubles with each round until most loads of a round end late.
//! How late they end then tells the number, and from there the window grows by one a round.
//!
//! Some loads end late whatever the store does: targets carry orders out late, or say late that they
//! have. So a round counts by its middle load, and a few of them cut nothing.

use std::time::Duration;

use chervilshunt_model::Moment;

/// The fewest loads at a time: what the smallest store serves at full speed. Begun with, so that the
/// loads from which the usual time is learnt are not slowed down by each other.
const FEWEST: f64 = 8.0;
/// The most; far above any store's number, against growth without end.
const MOST: f64 = 256.0;
/// How much the window grows with each load of a round while the number is looked for.
const SEARCH_STEP: f64 = 2.0;
/// The least that is left of the window by one cut.
const DEEPEST_CUT: f64 = 0.5;
/// Loads from which the usual time is learnt. Their median counts: up to three may come from a
/// target's memory, in a tenth of the time, without the planner knowing. They fit into the first round.
const SAMPLES: usize = 7;
/// The fewest loads by which a round is judged.
const FEWEST_IN_ROUND: usize = 5;
/// How much longer than usual a load may take: a load is looked at every 30 ms, and the order and its
/// answer are on their way for some milliseconds each.
const TOLERANCE: Duration = Duration::from_millis(45);

/// The bound on loads at a time.
#[derive(Clone, Debug)]
pub(crate) struct LoadWindow {
    size: f64,
    /// Whether it doubles with each round.
    doubles: bool,
    samples: Vec<Duration>,
    /// How long a load takes at full speed, once that is known.
    usual: Option<Duration>,
    /// The loads that have ended in this round: how many the store would have served at full speed, as
    /// far as each of them shows.
    round: Vec<f64>,
    /// When the loads began that this round counts.
    round_began: Moment,
}

impl LoadWindow {
    pub(crate) const fn new() -> Self {
        Self {
            size: FEWEST,
            doubles: true,
            samples: Vec::new(),
            usual: None,
            round: Vec::new(),
            round_began: Moment::ZERO,
        }
    }

    /// Returns how long a load takes at full speed and how many loads the store serves, once that is
    /// known.
    pub(crate) fn learnt(&self) -> Option<(Duration, u32)> {
        let load_time = self.usual?;
        (!self.doubles).then_some((load_time, self.size as u32))
    }

    /// Begins with what another placer has learnt.
    pub(crate) fn begin_with(&mut self, load_time: Duration, loads_at_once: u32) {
        self.usual = Some(load_time);
        self.size = f64::from(loads_at_once).clamp(FEWEST, MOST);
        self.doubles = false;
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
    pub(crate) fn ended(&mut self, took: Duration, under_way: usize, now: Moment) {
        let Some(usual) = self.usual else {
            return self.learn(took);
        };
        // One that began before the last cut was slowed down by loads of which there are fewer now.
        if now - took < self.round_began {
            return;
        }
        let is_late = took > usual + TOLERANCE;
        if !is_late && under_way >= self.size() {
            let step = if self.doubles {
                SEARCH_STEP
            } else {
                1.0 / self.size
            };
            self.size = (self.size + step).min(MOST);
        }
        let served = if is_late {
            under_way as f64 * usual.as_secs_f64() / took.as_secs_f64()
        } else {
            f64::INFINITY
        };
        self.round.push(served);
        if self.round.len() >= FEWEST_IN_ROUND.max(self.size() / 2) {
            self.judge_round(now);
        }
    }

    /// Cuts the window if most loads of a round were late.
    fn judge_round(&mut self, now: Moment) {
        let mut round = std::mem::take(&mut self.round);
        round.sort_unstable_by(f64::total_cmp);
        let middle = round.get(round.len() / 2).copied();
        if let Some(served) = middle.filter(|served| served.is_finite()) {
            let least = (self.size * DEEPEST_CUT).max(FEWEST);
            self.size = served.clamp(least, self.size.max(least));
            self.doubles = false;
            self.round_began = now;
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
