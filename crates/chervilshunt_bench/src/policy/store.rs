//! A simulated weight store with a total load rate that concurrent loads share.

use std::time::Duration;

use chervilshunt_model::Moment;

/// Identifies a load in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadKey {
    /// The engine that loads the adapter.
    pub(crate) engine: usize,
    /// The adapter.
    pub(crate) adapter: u32,
    /// The engine's generation at the start of the load; a restart invalidates the load.
    pub(crate) generation: u64,
}

/// A simulated weight store.
///
/// Up to `concurrency` loads run at full speed, each with an equal part of the total rate. With
/// more loads the total rate stays the same and each load gets slower.
#[derive(Debug)]
pub(crate) struct WeightStore {
    loads_per_second: f64,
    concurrency: u32,
    loads: Vec<Load>,
    advanced: Moment,
    generation: u64,
}

#[derive(Debug)]
struct Load {
    key: LoadKey,
    /// The part that is still to be read, as a fraction of one adapter.
    remaining: f64,
    fails: bool,
}

/// Remaining fraction below which a load counts as finished, to absorb floating-point rounding.
const FINISHED_TOLERANCE: f64 = 1e-6;
/// The fraction of an adapter that a failing load reads before it fails.
const FAILED_LOAD_FRACTION: f64 = 0.5;

impl WeightStore {
    pub(crate) const fn new(loads_per_second: f64, concurrency: u32) -> Self {
        Self {
            loads_per_second,
            concurrency,
            loads: Vec::new(),
            advanced: Moment::ZERO,
            generation: 0,
        }
    }

    /// Begins a load, which is going to fail if `fails` is set.
    pub(crate) fn begin(&mut self, key: LoadKey, fails: bool, now: Moment) {
        self.advance(now);
        let remaining = if fails { FAILED_LOAD_FRACTION } else { 1.0 };
        self.loads.push(Load {
            key,
            remaining,
            fails,
        });
    }

    /// Cancels the loads of an engine that went down.
    pub(crate) fn drop_engine(&mut self, engine: usize, now: Moment) {
        self.advance(now);
        self.loads.retain(|load| load.key.engine != engine);
    }

    /// Removes and returns the finished loads, each with whether it succeeded.
    pub(crate) fn take_ended(&mut self, now: Moment) -> Vec<(LoadKey, bool)> {
        self.advance(now);
        let mut ended = Vec::new();
        self.loads.retain(|load| {
            let over = load.remaining <= FINISHED_TOLERANCE;
            if over {
                ended.push((load.key, !load.fails));
            }
            !over
        });
        ended
    }

    /// Returns the time at which the next load ends, with a generation number that tells whether this
    /// prediction is still current.
    pub(crate) fn next_end(&mut self) -> Option<(Moment, u64)> {
        self.generation += 1;
        let least = self
            .loads
            .iter()
            .map(|load| load.remaining)
            .reduce(f64::min)?;
        let wait = Duration::from_secs_f64(least / self.speed()) + Duration::from_micros(1);
        Some((self.advanced + wait, self.generation))
    }

    /// Returns whether `generation` is that of the latest prediction of [`Self::next_end`].
    pub(crate) const fn is_current(&self, generation: u64) -> bool {
        self.generation == generation
    }

    fn advance(&mut self, now: Moment) {
        let done = now.since(self.advanced).as_secs_f64() * self.speed();
        self.advanced = now;
        for load in &mut self.loads {
            load.remaining -= done;
        }
    }

    fn speed(&self) -> f64 {
        let sharing = (self.loads.len() as u32).max(self.concurrency);
        self.loads_per_second / f64::from(sharing)
    }
}
