//! Replays of peak load: long prompts and bursts of prompts among streams.
//!
//! The simulated engines work in steps. Each step prefills up to 2,048 prompt tokens and generates
//! a token for every stream, and is delayed by the prefill. A stream counts as late if one of its
//! events comes more than 250 ms after the previous one. The same arrivals are placed with and
//! without the mechanism under test, and the late streams are counted.

use std::time::Duration;

use chervilshunt_core::{
    Choice, Dispatch, DispatchConfig, Lane, LoadedModel, RequestSize, TargetFacts,
    TargetRequirements, Weights,
};
use chervilshunt_model::{Moment, ServiceName, TargetName, ZoneName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TARGETS: usize = 9;
const SLOTS: u32 = 64;
const CHUNK_TOKENS: f64 = 2_048.0;
const TOKENS_READ_A_MS: f64 = 38.7;
const STEP_MS: f64 = 5.47;
const STEP_MS_A_STREAM: f64 = 0.0121;
const TOKENS_AN_EVENT: u32 = 5;
const LONGEST_PAUSE_MS: f64 = 250.0;
const SECONDS: u64 = 60;

#[derive(Clone, Debug)]
struct Stream {
    target: usize,
    to_read: f64,
    prompt: u32,
    to_generate: u32,
    since_event: u32,
    last_event: Option<f64>,
    longest_pause: f64,
}

/// The arrival time and size of one request.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at_ms: f64,
    size: RequestSize,
}

/// Returns drafts, which have short prompts and generate for seconds, in groups of three, mixed
/// with reconciliations, which have prompts of 600 to 7,500 tokens and generate little.
fn arrivals(seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut all = Vec::new();
    let mut at_ms = 0.0;
    while at_ms < SECONDS as f64 * 1e3 {
        at_ms += -57.0 * (1.0 - rng.random::<f64>()).ln();
        for _ in 0..3 {
            let draft = rng.random::<f64>() < 0.85;
            let (prompt_tokens, output_tokens) = if draft {
                (rng.random_range(200..1_500), rng.random_range(100..600))
            } else {
                (rng.random_range(600..7_500), rng.random_range(5..60))
            };
            let size = RequestSize {
                prompt_tokens,
                output_tokens,
            };
            all.push(Arrival { at_ms, size });
        }
    }
    all
}

/// Returns a steady flow of drafts, and every half second a simultaneous burst of prompts of 1,000
/// to 3,000 tokens.
fn bursts(seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut all = Vec::new();
    for half in 0..SECONDS * 2 {
        let start = half as f64 * 500.0;
        for _ in 0..20 {
            let size = RequestSize {
                prompt_tokens: rng.random_range(200..800),
                output_tokens: rng.random_range(100..600),
            };
            let at_ms = start + 500.0 * rng.random::<f64>();
            all.push(Arrival { at_ms, size });
        }
        for _ in 0..20 {
            let size = RequestSize {
                prompt_tokens: rng.random_range(1_000..3_000),
                output_tokens: 200,
            };
            let at_ms = start + 250.0;
            all.push(Arrival { at_ms, size });
        }
    }
    all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    all
}

struct Fleet {
    dispatch: Dispatch,
    rng: ChaCha8Rng,
    running: Vec<Vec<Stream>>,
    busy_until: Vec<f64>,
    late: usize,
    streams: usize,
}

impl Fleet {
    fn new(cfg: DispatchConfig) -> Self {
        let mut dispatch = Dispatch::new(cfg, ZoneName::from("zone"));
        for target in 0..TARGETS {
            let facts = TargetFacts {
                started: None,
                name: name(target),
                service: ServiceName::from("drafts"),
                address: ([10, 0, 0, 1], 8000).into(),
                zone: ZoneName::from("zone"),
                slots: SLOTS,
                leaving: None,
                software: None,
                models: vec![LoadedModel {
                    name: "base".into(),
                    version: 1,
                    adapters: Vec::new(),
                }],
            };
            dispatch.target_listed(facts, Moment::ZERO);
        }
        Self {
            dispatch,
            rng: ChaCha8Rng::seed_from_u64(1),
            running: vec![Vec::new(); TARGETS],
            busy_until: vec![0.0; TARGETS],
            late: 0,
            streams: 0,
        }
    }

    fn place(&mut self, arrival: Arrival, lane: Lane) {
        let service = ServiceName::from("drafts");
        let weights = Weights {
            model: "base".into(),
            adapter: None,
        };
        let requirements = TargetRequirements {
            software: None,
            service: &service,
            weights: Some(&weights),
            lane,
            avoid: &[],
            has_transit: false,
        };
        let now = Moment::ZERO + Duration::from_secs_f64(arrival.at_ms / 1e3);
        let rng = &mut self.rng;
        let Choice::Send { target, .. } = self.dispatch.choose(&requirements, || rng.random(), now)
        else {
            panic!("a target has room");
        };
        let index = (0..TARGETS)
            .find(|it| name(*it) == target)
            .expect("a known target");
        self.dispatch.sent(&target, Some(&weights));
        self.dispatch
            .add_prefill(&target, arrival.size.prompt_tokens);
        self.running[index].push(Stream {
            target: index,
            to_read: f64::from(arrival.size.prompt_tokens),
            prompt: arrival.size.prompt_tokens,
            to_generate: arrival.size.output_tokens,
            since_event: 0,
            last_event: None,
            longest_pause: 0.0,
        });
    }

    /// Runs each engine until the given time.
    fn work_until(&mut self, end_ms: f64) {
        for target in 0..TARGETS {
            while self.busy_until[target] < end_ms {
                if self.running[target].is_empty() {
                    self.busy_until[target] = end_ms;
                } else {
                    self.step(target);
                }
            }
        }
    }

    fn step(&mut self, target: usize) {
        let running = &mut self.running[target];
        let mut chunk = CHUNK_TOKENS;
        for stream in running.iter_mut() {
            let read = stream.to_read.min(chunk);
            stream.to_read -= read;
            chunk -= read;
        }
        let reading = (CHUNK_TOKENS - chunk) / TOKENS_READ_A_MS;
        let took = STEP_MS + STEP_MS_A_STREAM * running.len() as f64 + reading;
        let now = self.busy_until[target] + took;
        self.busy_until[target] = now;
        let dispatch = &mut self.dispatch;
        for stream in running.iter_mut().filter(|it| it.to_read <= 0.0) {
            if stream.last_event.is_none() {
                dispatch.remove_prefill(&name(target), stream.prompt);
            }
            stream.token(now);
        }
        let (ended, going): (Vec<_>, Vec<_>) =
            running.drain(..).partition(|it| it.to_generate == 0);
        *running = going;
        for stream in ended {
            self.dispatch.ended(&name(stream.target), None, None);
            self.streams += 1;
            self.late += usize::from(stream.longest_pause > LONGEST_PAUSE_MS);
        }
    }
}

impl Stream {
    fn token(&mut self, now: f64) {
        self.to_generate -= 1;
        self.since_event += 1;
        let first = self.last_event.is_none();
        if !first && self.since_event < TOKENS_AN_EVENT && self.to_generate > 0 {
            return;
        }
        if let Some(last) = self.last_event {
            self.longest_pause = self.longest_pause.max(now - last);
        }
        self.last_event = Some(now);
        self.since_event = 0;
    }
}

fn name(target: usize) -> TargetName {
    TargetName::new(format!("t{target}"))
}

/// Returns the share of streams that were late.
fn late_share(
    cfg: DispatchConfig,
    arrivals: Vec<Arrival>,
    lane_of: impl Fn(RequestSize) -> Lane,
) -> f64 {
    let mut fleet = Fleet::new(cfg);
    for arrival in arrivals {
        fleet.work_until(arrival.at_ms);
        fleet.place(arrival, lane_of(arrival.size));
    }
    fleet.work_until((SECONDS + 30) as f64 * 1e3);
    assert!(fleet.streams > 2_000, "{} streams", fleet.streams);
    fleet.late as f64 / fleet.streams as f64
}

#[test]
fn reserving_targets_for_long_prompts_reduces_late_streams() {
    let together = late_share(DispatchConfig::default(), arrivals(7), |_| Lane::General);
    let apart = late_share(DispatchConfig::default(), arrivals(7), Lane::of);
    assert!(
        apart < together * 0.6,
        "late: {together:.3} together, {apart:.3} apart"
    );
}

#[test]
fn pending_prefill_tokens_spread_a_burst() {
    let unseen = DispatchConfig {
        prefill_token_capacity: f64::MAX,
        ..DispatchConfig::default()
    };
    let by_requests = late_share(unseen, bursts(7), Lane::of);
    let by_tokens = late_share(DispatchConfig::default(), bursts(7), Lane::of);
    assert!(
        by_tokens < by_requests * 0.9,
        "late: {by_requests:.3} by requests, {by_tokens:.3} by tokens"
    );
}
