//! Generates the trace of a run: all requests with their times, adapters and lengths.
//!
//! The trace is the same for all policies.

use std::time::Duration;

use chervilshunt_model::{Class, Moment};
use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

use super::deployment::Sizes;
use super::scenario::{Scenario, Schedule};

/// Zipf exponent of the popularity of live adapters.
const LIVE_SKEW: f64 = 1.1;
/// Zipf exponent of the popularity of deferrable adapters.
const DEFERRABLE_SKEW: f64 = 0.9;
/// Sigma of the log-normal distributions of lengths and of plain call times.
const LOG_NORMAL_SIGMA: f64 = 0.6;
/// Maximum answer tokens of a live request.
const MAX_LIVE_TOKENS: u32 = 512;
/// Maximum answer tokens of a deferrable request.
const MAX_DEFERRABLE_TOKENS: u32 = 1_024;
/// Prompt tokens that a request shares with others of its prefix.
const SHARED_TOKENS: u32 = 480;
/// Mean number of prompt tokens that a request does not share.
const OWN_TOKENS: f64 = 160.0;
/// Number of distinct prompt prefixes per adapter.
const PREFIXES_PER_ADAPTER: u64 = 4;
/// Number of callers. Live requests per caller follow a Zipf distribution.
const CALLERS: u32 = 240;
/// Mean duration of a call to the plain service, in microseconds.
const PLAIN_CALL_MICROS: f64 = 15_000.0;
/// Duration of the change of popularity in scenario `shift`.
const SHIFT_TIME: Duration = Duration::from_secs(120);
/// Adapters that become active or idle in scenario `wake`, as a fraction of the live adapters.
const WAKE_FRACTION: f64 = 0.32;
/// Factor on the rate of live work during the peak of scenario `cap-cut`.
const PEAK_FACTOR: f64 = 1.25;
/// Factor on the rate of deferrable work in scenario `deferrable-flood`.
const DEFERRABLE_FLOOD_FACTOR: f64 = 8.0;
/// Rate of the additional live work in scenario `adapter-flood`, as a fraction of the other live
/// work.
const ADAPTER_FLOOD_FRACTION: f64 = 0.5;
/// The fraction of the additional work in scenario `adapter-flood` that comes from one caller.
const FLOOD_CALLER_FRACTION: f64 = 0.8;
/// The index of the caller that causes a flood.
pub(crate) const FLOOD_CALLER: u32 = CALLERS;

/// One request of a trace.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TraceRequest {
    /// Arrival time.
    pub(crate) at: Moment,
    /// The adapter; `None` for a call to the plain service.
    pub(crate) adapter: Option<u32>,
    /// Whether the request is live or deferrable.
    pub(crate) class: Class,
    /// The caller that sent it.
    pub(crate) caller: u32,
    /// The entry instance that receives it.
    pub(crate) entry: u32,
    /// Prompt tokens that it shares with others of its prefix.
    pub(crate) shared_tokens: u32,
    /// Prompt tokens that it shares with no other request.
    pub(crate) own_tokens: u32,
    /// Tokens of the answer; for a call to the plain service, its duration in microseconds.
    pub(crate) output: u32,
    /// Hash of the prompt prefix.
    pub(crate) prefix: u64,
    /// Popularity rank of the adapter at the arrival, starting at 0 for the most popular one; `None`
    /// if the adapter was not drawn by popularity.
    pub(crate) rank: Option<u32>,
}

/// All requests of one run, ordered by arrival time.
#[derive(Debug)]
pub(crate) struct Trace {
    /// The requests.
    pub(crate) requests: Vec<TraceRequest>,
}

impl Trace {
    /// Generates the requests of one run from a seed.
    pub(crate) fn generate(
        sizes: &Sizes,
        scenario: Scenario,
        schedule: &Schedule,
        seed: u64,
    ) -> Self {
        let mut generator = Generator {
            sizes,
            schedule,
            rng: ChaCha8Rng::seed_from_u64(seed),
            requests: Vec::new(),
        };
        let mut popularity = generator.popularity(scenario);
        generator.live(scenario, &mut popularity);
        generator.deferrable(scenario);
        generator.plain();
        if scenario == Scenario::AdapterFlood {
            generator.adapter_flood();
        }
        let mut requests = generator.requests;
        requests.sort_by_key(|req| req.at);
        Self { requests }
    }
}

/// The live adapter at each popularity rank, and the scheduled changes of these ranks.
struct Popularity {
    zipf: Zipf<f64>,
    adapters_by_rank: Vec<u32>,
    /// Scheduled changes, each with its time, the rank and the rank's new adapter; the next change
    /// is the last element.
    changes: Vec<(Moment, usize, u32)>,
}

impl Popularity {
    /// Applies the changes that are due, then draws an adapter by popularity and returns it with its
    /// rank.
    fn draw(&mut self, now: Moment, rng: &mut ChaCha8Rng) -> (u32, u32) {
        while let Some((_, rank, adapter)) = self.changes.pop_if(|(at, _, _)| *at <= now) {
            self.adapters_by_rank[rank] = adapter;
        }
        let rank = self.zipf.sample(rng) as u32 - 1;
        (self.adapters_by_rank[rank as usize], rank)
    }
}

struct Generator<'a> {
    sizes: &'a Sizes,
    schedule: &'a Schedule,
    rng: ChaCha8Rng,
    requests: Vec<TraceRequest>,
}

impl Generator<'_> {
    fn popularity(&mut self, scenario: Scenario) -> Popularity {
        let mut adapters_by_rank: Vec<u32> = (0..self.sizes.live_adapters).collect();
        adapters_by_rank.shuffle(&mut self.rng);
        let mut changes = match scenario {
            Scenario::Shift => self.shift_changes(adapters_by_rank.len()),
            Scenario::Wake => self.wake_changes(&mut adapters_by_rank),
            Scenario::Steady
            | Scenario::Restart
            | Scenario::LoadFailures
            | Scenario::CapCut
            | Scenario::DeferrableFlood
            | Scenario::AdapterFlood => Vec::new(),
        };
        changes.sort_by_key(|change| std::cmp::Reverse(change.0));
        Popularity {
            zipf: zipf(adapters_by_rank.len(), LIVE_SKEW),
            adapters_by_rank,
            changes,
        }
    }

    fn shift_changes(&mut self, ranks: usize) -> Vec<(Moment, usize, u32)> {
        let mut new_adapters_by_rank: Vec<u32> = (0..self.sizes.live_adapters).collect();
        new_adapters_by_rank.shuffle(&mut self.rng);
        let until = SHIFT_TIME.as_micros() as u64;
        (0..ranks)
            .map(|rank| {
                let delay = Duration::from_micros(self.rng.random_range(0..until));
                (
                    self.schedule.start + delay,
                    rank,
                    new_adapters_by_rank[rank],
                )
            })
            .collect()
    }

    /// Schedules, at random times, that an active adapter becomes idle and an idle one takes over its
    /// popularity rank.
    fn wake_changes(&mut self, adapters_by_rank: &mut Vec<u32>) -> Vec<(Moment, usize, u32)> {
        let swaps = (f64::from(self.sizes.live_adapters) * WAKE_FRACTION / 2.0) as usize;
        let idle = adapters_by_rank.split_off(adapters_by_rank.len() - swaps);
        let span = self.schedule.warm_up_end.as_micros()..self.schedule.stop.as_micros();
        idle.into_iter()
            .map(|adapter| {
                let at = Moment::from_micros(self.rng.random_range(span.clone()));
                (
                    at,
                    self.rng.random_range(0..adapters_by_rank.len()),
                    adapter,
                )
            })
            .collect()
    }

    fn live(&mut self, scenario: Scenario, popularity: &mut Popularity) {
        let base_rate = self.sizes.live_per_second;
        let peak = (self.schedule.start.as_micros() * 3 / 4, self.schedule.end);
        let rate = move |now: Moment| match scenario {
            Scenario::CapCut if now.as_micros() >= peak.0 && now < peak.1 => {
                base_rate * PEAK_FACTOR
            }
            _ => base_rate,
        };
        let callers = zipf(CALLERS as usize, 1.0);
        for at in self.arrivals(rate) {
            let (adapter, rank) = popularity.draw(at, &mut self.rng);
            let caller = callers.sample(&mut self.rng) as u32 - 1;
            self.push_live(at, adapter, Some(rank), caller);
        }
    }

    fn push_live(&mut self, at: Moment, adapter: u32, rank: Option<u32>, caller: u32) {
        let output = self.length(self.sizes.live_tokens, max_tokens(Class::Live));
        self.push(at, adapter, Class::Live, caller, output);
        if let Some(req) = self.requests.last_mut() {
            req.rank = rank;
        }
    }

    fn deferrable(&mut self, scenario: Scenario) {
        let base_rate = self.sizes.deferrable_per_second / f64::from(self.sizes.burst);
        let (start, end) = (self.schedule.start, self.schedule.end);
        let flooded =
            move |now: Moment| scenario == Scenario::DeferrableFlood && now >= start && now < end;
        let rate = move |now: Moment| {
            base_rate
                * if flooded(now) {
                    DEFERRABLE_FLOOD_FACTOR
                } else {
                    1.0
                }
        };
        let adapters = zipf(self.sizes.deferrable_adapters as usize, DEFERRABLE_SKEW);
        let flood_part = 1.0 - 1.0 / DEFERRABLE_FLOOD_FACTOR;
        for at in self.arrivals(rate) {
            let adapter = self.sizes.live_adapters + adapters.sample(&mut self.rng) as u32 - 1;
            let caller = if flooded(at) && self.rng.random_bool(flood_part) {
                FLOOD_CALLER
            } else {
                self.rng.random_range(0..CALLERS)
            };
            for _ in 0..self.sizes.burst {
                let output =
                    self.length(self.sizes.deferrable_tokens, max_tokens(Class::Deferrable));
                self.push(at, adapter, Class::Deferrable, caller, output);
            }
        }
    }

    /// Generates additional live work for one adapter, most of it from one caller.
    fn adapter_flood(&mut self) {
        let base_rate = self.sizes.live_per_second * ADAPTER_FLOOD_FRACTION;
        let (start, end) = (self.schedule.start, self.schedule.end);
        let rate = move |now: Moment| {
            if now >= start && now < end {
                base_rate
            } else {
                0.0
            }
        };
        let adapter = self.rng.random_range(0..self.sizes.live_adapters);
        for at in self.arrivals(rate) {
            let caller = if self.rng.random_bool(FLOOD_CALLER_FRACTION) {
                FLOOD_CALLER
            } else {
                self.rng.random_range(0..CALLERS)
            };
            self.push_live(at, adapter, None, caller);
        }
    }

    fn plain(&mut self) {
        let rate = self.sizes.plain_per_second;
        for at in self.arrivals(move |_| rate) {
            let caller = self.rng.random_range(0..CALLERS);
            let entry = self.rng.random_range(0..self.sizes.entries);
            let time = log_normal(PLAIN_CALL_MICROS).sample(&mut self.rng);
            self.requests.push(TraceRequest {
                at,
                adapter: None,
                class: Class::Live,
                caller,
                entry,
                shared_tokens: 0,
                own_tokens: 0,
                output: time as u32,
                prefix: 0,
                rank: None,
            });
        }
    }

    /// Draws the arrivals of a Poisson process with a varying rate, by thinning a process with the
    /// highest rate.
    fn arrivals(&mut self, rate: impl Fn(Moment) -> f64) -> Vec<Moment> {
        let (warm, start, end) = (
            self.schedule.warm_up_end,
            self.schedule.start,
            self.schedule.end,
        );
        let highest = [Moment::ZERO, warm, start, end]
            .into_iter()
            .map(&rate)
            .fold(0.0, f64::max);
        let gap = Exp::new(highest).expect("the rate is positive");
        let mut arrivals = Vec::new();
        let mut now = Moment::ZERO;
        loop {
            now = now + Duration::from_secs_f64(gap.sample(&mut self.rng));
            if now >= self.schedule.stop {
                return arrivals;
            }
            if self.rng.random::<f64>() * highest < rate(now) {
                arrivals.push(now);
            }
        }
    }

    fn length(&mut self, mean: f64, most: u32) -> u32 {
        (log_normal(mean).sample(&mut self.rng) as u32).clamp(1, most)
    }

    fn push(&mut self, at: Moment, adapter: u32, class: Class, caller: u32, output: u32) {
        let variant = self.rng.random_range(0..PREFIXES_PER_ADAPTER);
        let own = log_normal(OWN_TOKENS).sample(&mut self.rng) as u32;
        let entry = self.rng.random_range(0..self.sizes.entries);
        self.requests.push(TraceRequest {
            at,
            adapter: Some(adapter),
            class,
            caller,
            entry,
            shared_tokens: SHARED_TOKENS,
            own_tokens: own.clamp(1, MAX_LIVE_TOKENS),
            output,
            prefix: (u64::from(adapter) + 1) * PREFIXES_PER_ADAPTER + variant,
            rank: None,
        });
    }
}

/// Returns the maximum answer tokens of a class, which is the limit that its callers state.
pub(crate) const fn max_tokens(class: Class) -> u32 {
    match class {
        Class::Live => MAX_LIVE_TOKENS,
        Class::Deferrable => MAX_DEFERRABLE_TOKENS,
    }
}

fn zipf(count: usize, skew: f64) -> Zipf<f64> {
    Zipf::new(count as f64, skew).expect("count and exponent are positive")
}

fn log_normal(mean: f64) -> LogNormal<f64> {
    let mu = mean.ln() - LOG_NORMAL_SIGMA * LOG_NORMAL_SIGMA / 2.0;
    LogNormal::new(mu, LOG_NORMAL_SIGMA).expect("the sigma is finite")
}
