//! A fake weight store: loads share its rate, and few of them at a time run at full speed.

use std::time::Duration;

use chervilshunt_model::Moment;

/// A load in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadKey {
    /// The engine that loads.
    pub(crate) engine: usize,
    /// The adapter.
    pub(crate) adapter: u32,
    /// The engine's generation: a restart makes the load void.
    pub(crate) generation: u64,
}

/// A fake weight store.
///
/// Its total rate stays the same however many loads run; beyond `concurrency` each gets slower.
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
    /// What is left to be read, as a part of one adapter.
    left: f64,
    fails: bool,
}

/// Work that is too small to be told from none; it stands for the rounding of float sums.
const NOTHING_LEFT: f64 = 1e-6;
/// How much of an adapter a load that fails reads.
const FAILED_PART: f64 = 0.5;

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

    /// Begins a load.
    pub(crate) fn begin(&mut self, key: LoadKey, fails: bool, now: Moment) {
        self.advance(now);
        let left = if fails { FAILED_PART } else { 1.0 };
        self.loads.push(Load { key, left, fails });
    }

    /// Drops the loads of an engine that went down.
    pub(crate) fn drop_engine(&mut self, engine: usize, now: Moment) {
        self.advance(now);
        self.loads.retain(|load| load.key.engine != engine);
    }

    /// Takes out the loads that are over, each with whether it succeeded.
    pub(crate) fn ended(&mut self, now: Moment) -> Vec<(LoadKey, bool)> {
        self.advance(now);
        let mut ended = Vec::new();
        self.loads.retain(|load| {
            let over = load.left <= NOTHING_LEFT;
            if over {
                ended.push((load.key, !load.fails));
            }
            !over
        });
        ended
    }

    /// Returns when the next load ends, with a number by which a stale answer is known.
    pub(crate) fn next_end(&mut self) -> Option<(Moment, u64)> {
        self.generation += 1;
        let least = self.loads.iter().map(|load| load.left).reduce(f64::min)?;
        let wait = Duration::from_secs_f64(least / self.speed()) + Duration::from_micros(1);
        Some((self.advanced + wait, self.generation))
    }

    /// Says whether an answer of [`Self::next_end`] is the last one.
    pub(crate) const fn is_current(&self, generation: u64) -> bool {
        self.generation == generation
    }

    fn advance(&mut self, now: Moment) {
        let done = now.since(self.advanced).as_secs_f64() * self.speed();
        self.advanced = now;
        for load in &mut self.loads {
            load.left -= done;
        }
    }

    fn speed(&self) -> f64 {
        let sharing = (self.loads.len() as u32).max(self.concurrency);
        self.loads_per_second / f64::from(sharing)
    }
}
