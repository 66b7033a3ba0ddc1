//! Test support: a placer before engines of uneven speed.

#![allow(dead_code, reason = "each test binary uses a part of it")]

#[path = "placing.rs"]
pub(crate) mod placing;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use chervilshunt_core::{
    GrantNumber, GrantProgress, Lane, PlacementRequest, PlacementResult, ResidencyAction,
    ResidencyEvent, ResidencyPlanner, Weights,
};
use chervilshunt_model::{InstanceId, TargetName, ZoneName};
use placing::{at, reported, service, target, unqueried_planner};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) const TARGETS: usize = 9;
pub(crate) const SLOTS: u32 = 16;
/// The lasting paces of slow and other targets.
pub(crate) const SLOW: u16 = 170;
pub(crate) const FAST: u16 = 70;
/// The pace during an episode of slowness.
const EPISODE: u16 = 250;
const TOKENS_A_MS: f64 = 30.0;
const TOKEN_MS: f64 = 5.0;

pub(crate) fn is_slow(target: usize) -> bool {
    target.is_multiple_of(3)
}

/// Draws the sizes of a prompt and its answer, in tokens.
pub(crate) type Sizes = fn(&mut ChaCha8Rng) -> (u32, u32);

/// The paces of the engines over time.
pub(crate) struct Engines {
    /// Whether they state their paces.
    pub(crate) states: bool,
    /// The pace of a target at a time in milliseconds.
    pub(crate) pace: Box<dyn Fn(usize, u64) -> u16>,
}

impl Engines {
    /// Engines that are equal, but for episodes in which one of them is 2.5 times as slow for 100 ms
    /// to a second. These make up 15% of the time.
    pub(crate) fn with_episodes(states: bool, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut episodes = vec![Vec::new(); TARGETS];
        for of_target in &mut episodes {
            let mut now = 0;
            while now < 60_000 {
                let lasts = rng.random_range(100..1_000_u64);
                now += rng.random_range(lasts..lasts * 10);
                of_target.push(now..now + lasts);
                now += lasts;
            }
        }
        let pace = move |target: usize, now| {
            let is_slow = episodes[target].iter().any(|it| it.contains(&now));
            if is_slow { EPISODE } else { 100 }
        };
        Self {
            states,
            pace: Box::new(pace),
        }
    }

    /// Engines of which a third is slow for good.
    pub(crate) fn uneven(states: bool) -> Self {
        let pace = |target, _| if is_slow(target) { SLOW } else { FAST };
        Self {
            states,
            pace: Box::new(pace),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Work {
    number: u64,
    given_at: u64,
    prompt_left: f64,
    to_generate: f64,
    begun: bool,
}

#[derive(Debug, Default)]
struct Engine {
    queue: VecDeque<Work>,
    running: Vec<Work>,
}

/// One replay: requests arrive at random and are granted, and the engines work on them.
pub(crate) struct Replay {
    pub(crate) engines: Engines,
    pub(crate) residency: ResidencyPlanner,
    pub(crate) granted: Vec<usize>,
    /// The number of grants at targets that were in an episode of slowness then.
    pub(crate) granted_in_episodes: usize,
    pub(crate) now: u64,
    pub(crate) rng: ChaCha8Rng,
    /// The sizes of prompts and answers, in tokens.
    pub(crate) sizes: Sizes,
    work: Vec<Engine>,
    sizes_of: HashMap<u64, (u32, u32)>,
    next_number: u64,
    reports: BTreeMap<u64, GrantProgress>,
    first_tokens: Vec<u64>,
    ends: Vec<u64>,
}

/// How long a report of progress takes to the placer.
const REPORT_MS: u64 = 4;

/// The sizes of drafts, which have short prompts and generate for seconds.
pub(crate) fn drafts(rng: &mut ChaCha8Rng) -> (u32, u32) {
    (rng.random_range(200..1_500), rng.random_range(100..400))
}

impl Replay {
    pub(crate) fn new(engines: Engines, seed: u64) -> Self {
        let mut it = Self {
            engines,
            residency: unqueried_planner(TARGETS, SLOTS, 4),
            granted: vec![0; TARGETS],
            granted_in_episodes: 0,
            now: 450,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sizes: drafts,
            work: (0..TARGETS).map(|_| Engine::default()).collect(),
            sizes_of: HashMap::new(),
            next_number: 0,
            reports: BTreeMap::new(),
            first_tokens: Vec::new(),
            ends: Vec::new(),
        };
        it.handle(ResidencyEvent::Tick);
        for index in 0..TARGETS {
            it.handle(reported(index, Vec::new()));
        }
        it
    }

    /// Lets `millis` milliseconds pass, with one request per `interval_ms` on average.
    pub(crate) fn run(&mut self, millis: u64, interval_ms: f64) {
        for _ in 0..millis {
            self.now += 1;
            if self.rng.random::<f64>() < 1.0 / interval_ms {
                self.request();
            }
            self.pass();
        }
    }

    pub(crate) fn handle(&mut self, event: ResidencyEvent) {
        for action in self.residency.handle(event, at(self.now)) {
            if let ResidencyAction::Answer(number, PlacementResult::At { target, .. }) = action {
                self.begin(number, &target);
            }
        }
    }

    fn request(&mut self) {
        let (prompt_tokens, output) = (self.sizes)(&mut self.rng);
        self.next_number += 1;
        self.sizes_of
            .insert(self.next_number, (prompt_tokens, output));
        self.handle(ResidencyEvent::PlacementRequested {
            request_id: self.next_number,
            from: InstanceId::from("i"),
            request: PlacementRequest {
                software: None,
                service: service(),
                weights: Weights::base(&"base".into()),
                prompt_tokens,
                lane: Lane::General,
                zone: ZoneName::from("zone"),
                avoid: Vec::new(),
            },
            within: Duration::from_secs(2),
        });
    }

    fn begin(&mut self, number: u64, name: &TargetName) {
        let index = (0..TARGETS).find(|it| target(*it) == *name);
        let index = index.expect("a known target");
        self.granted[index] += 1;
        if (self.engines.pace)(index, self.now) == EPISODE {
            self.granted_in_episodes += 1;
        }
        let (prompt, output) = self.sizes_of[&number];
        self.work[index].queue.push_back(Work {
            number,
            given_at: self.now,
            prompt_left: f64::from(prompt),
            to_generate: f64::from(output),
            begun: false,
        });
    }

    fn pass(&mut self) {
        for index in 0..TARGETS {
            let pace = (self.engines.pace)(index, self.now);
            let speed = 100.0 / f64::from(pace);
            let progress = self.reports.entry(self.now + REPORT_MS).or_default();
            let engine = &mut self.work[index];
            while engine.running.len() < SLOTS as usize
                && let Some(work) = engine.queue.pop_front()
            {
                if self.engines.states {
                    progress.paces.push((GrantNumber(work.number), pace));
                }
                engine.running.push(work);
            }
            if let Some(work) = engine.running.iter_mut().find(|it| !it.begun) {
                work.prompt_left -= TOKENS_A_MS * speed;
                if work.prompt_left <= 0.0 {
                    work.begun = true;
                    progress.begun.push(GrantNumber(work.number));
                    self.first_tokens.push(self.now - work.given_at);
                }
            }
            for work in engine.running.iter_mut().filter(|it| it.begun) {
                work.to_generate -= speed / TOKEN_MS;
                if work.to_generate <= 0.0 {
                    progress.ended.push(GrantNumber(work.number));
                    self.ends.push(self.now - work.given_at);
                }
            }
            engine.running.retain(|it| it.to_generate > 0.0);
        }
        let later = self.reports.split_off(&(self.now + 1));
        let due = std::mem::replace(&mut self.reports, later);
        for progress in due.into_values().filter(|it| !it.is_empty()) {
            self.handle(ResidencyEvent::GrantsProgressed(progress));
        }
    }

    pub(crate) fn mean_first_token(&self) -> f64 {
        mean(&self.first_tokens)
    }

    pub(crate) fn mean_end(&self) -> f64 {
        mean(&self.ends)
    }
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len().max(1) as f64
}
