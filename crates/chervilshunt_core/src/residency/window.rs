//! Limits the number of concurrent adapter loads over all targets.
//!
//! The weight store serves a certain number of loads at full speed. Beyond it, each load takes
//! longer in proportion, so that starting more makes all of them late and none earlier. Neither
//! that number nor the duration of a load at full speed is reported anywhere. The duration is
//! estimated from the first loads, which are so few at a time that any store keeps up. The number
//! is found the way TCP congestion control finds the capacity of a link: the window doubles with
//! each round until most loads of a round are late. Their lateness gives an estimate of the number,
//! and from then on the window grows by one per round.
//!
//! Some loads are late for reasons other than the store: targets execute orders late, or report
//! late that they did. A round is therefore judged by its median load, so that a few late loads do
//! not shrink the window.

use std::time::Duration;

use chervilshunt_model::Moment;

/// The smallest window, which the smallest store serves at full speed. It is also the initial
/// window, so that the loads from which the usual duration is estimated do not slow each other
/// down.
const MIN_SIZE: f64 = 8.0;
/// The largest window, far above the capacity of any store, as a guard against unbounded growth.
const MAX_SIZE: f64 = 256.0;
/// How much the window grows with each load in the initial doubling phase, in loads.
const SEARCH_STEP: f64 = 2.0;
/// The smallest factor by which one round can shrink the window.
const MIN_CUT_FACTOR: f64 = 0.5;
/// The number of loads from which the usual duration is estimated, by their median: up to three may
/// have come from a target's memory, in a tenth of the time, without the planner knowing. They fit
/// into the first round.
const SAMPLES: usize = 7;
/// The minimum number of loads by which a round is judged.
const MIN_ROUND_LOADS: usize = 5;
/// How much longer than usual a load may take before it counts as late: loads are checked every 30
/// ms, and the order and its answer take some milliseconds each.
const TOLERANCE: Duration = Duration::from_millis(45);

/// The limit on concurrent loads.
#[derive(Clone, Debug)]
pub(crate) struct LoadWindow {
    size: f64,
    /// Whether the window is in the initial phase, in which it doubles with each round.
    doubles: bool,
    samples: Vec<Duration>,
    /// The duration of a load at full speed, once known.
    usual: Option<Duration>,
    /// The loads that ended in this round, each as the number of concurrent loads that the store
    /// would have served at full speed; infinite for loads that were not late.
    round: Vec<f64>,
    /// When the loads that count for this round began at the earliest.
    round_began: Moment,
}

impl LoadWindow {
    pub(crate) const fn new() -> Self {
        Self {
            size: MIN_SIZE,
            doubles: true,
            samples: Vec::new(),
            usual: None,
            round: Vec::new(),
            round_began: Moment::ZERO,
        }
    }

    /// Returns the duration of a load at full speed and the number of loads that the store serves
    /// at that speed, once known.
    pub(crate) fn estimates(&self) -> Option<(Duration, u32)> {
        let load_time = self.usual?;
        (!self.doubles).then_some((load_time, self.size as u32))
    }

    /// Starts with the estimates of another placer.
    pub(crate) fn start_with(&mut self, load_time: Duration, loads_at_once: u32) {
        self.usual = Some(load_time);
        self.size = f64::from(loads_at_once).clamp(MIN_SIZE, MAX_SIZE);
        self.doubles = false;
    }

    /// Returns how many loads may be in progress.
    pub(crate) const fn size(&self) -> usize {
        self.size as usize
    }

    /// Returns the duration of a load at full speed, or `guess` until it is known.
    pub(crate) fn usual(&self, guess: Duration) -> Duration {
        self.usual.unwrap_or(guess)
    }

    /// Records that a load from the weight store has ended while `in_progress` loads were in
    /// progress.
    pub(crate) fn ended(&mut self, took: Duration, in_progress: usize, now: Moment) {
        let Some(usual) = self.usual else {
            return self.add_sample(took);
        };
        // A load that began before the window was last cut was slowed down by loads that no longer
        // run.
        if now - took < self.round_began {
            return;
        }
        let is_late = took > usual + TOLERANCE;
        if !is_late && in_progress >= self.size() {
            let step = if self.doubles {
                SEARCH_STEP
            } else {
                1.0 / self.size
            };
            self.size = (self.size + step).min(MAX_SIZE);
        }
        let served = if is_late {
            in_progress as f64 * usual.as_secs_f64() / took.as_secs_f64()
        } else {
            f64::INFINITY
        };
        self.round.push(served);
        if self.round.len() >= MIN_ROUND_LOADS.max(self.size() / 2) {
            self.judge_round(now);
        }
    }

    /// Shrinks the window if most loads of a round were late.
    fn judge_round(&mut self, now: Moment) {
        let mut round = std::mem::take(&mut self.round);
        round.sort_unstable_by(f64::total_cmp);
        let middle = round.get(round.len() / 2).copied();
        if let Some(served) = middle.filter(|served| served.is_finite()) {
            let least = (self.size * MIN_CUT_FACTOR).max(MIN_SIZE);
            self.size = served.clamp(least, self.size.max(least));
            self.doubles = false;
            self.round_began = now;
        }
    }

    fn add_sample(&mut self, took: Duration) {
        self.samples.push(took);
        if self.samples.len() == SAMPLES {
            self.samples.sort_unstable();
            self.usual = self.samples.get(SAMPLES / 2).copied();
        }
    }
}
