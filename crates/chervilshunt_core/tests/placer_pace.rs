//! Replays of placers that answer slowly, in turns, or not at all.
//!
//! An instance sends requests that a known target could take. Each asks the simulated placer if
//! the decision says so, and waits for the answer at most for the time that a request has.

use std::time::Duration;

use chervilshunt_core::{PlacerPace, PlacerPaceChange, PlacerUse};
use chervilshunt_model::Moment;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// The time between two requests of one instance, on average.
const ARRIVAL_MS: f64 = 30.0;
/// The time after which a request is late, and stops waiting for the placer.
const OBJECTIVE_MS: f64 = 300.0;
/// The answer time of a placer that is not slow.
const QUICK_MS: std::ops::Range<f64> = 2.0..5.0;
/// The slowdown of the placer in the replays.
const SLOWDOWN: f64 = 20.0;

/// A request, with what became of it.
#[derive(Clone, Copy, Debug)]
struct Request {
    at_ms: f64,
    waited_ms: f64,
    is_bypass: bool,
}

struct Replay {
    requests: Vec<Request>,
    changes: Vec<(f64, PlacerPaceChange)>,
}

impl Replay {
    fn within(&self, from_ms: f64, to_ms: f64) -> Vec<Request> {
        let requests = self.requests.iter().copied();
        requests
            .filter(|it| (from_ms..to_ms).contains(&it.at_ms))
            .collect()
    }
}

fn at(ms: f64) -> Moment {
    Moment::from_micros(10_000_000 + (ms * 1e3) as u64)
}

/// Plays `until_ms` of requests; `answer_ms` returns how long the placer takes to answer a request
/// sent at a time, or `None` if it does not answer.
fn play(
    seed: u64,
    until_ms: f64,
    mut answer_ms: impl FnMut(f64, &mut ChaCha8Rng) -> Option<f64>,
) -> Replay {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut pace = PlacerPace::default();
    let mut replay = Replay {
        requests: Vec::new(),
        changes: Vec::new(),
    };
    // Answers on their way, with the time at which they arrive.
    let mut open: Vec<(f64, Option<f64>)> = Vec::new();
    let mut now = 0.0;
    while now < until_ms {
        now += -ARRIVAL_MS * (1.0 - rng.random::<f64>()).ln();
        open.sort_by(|a, b| a.0.total_cmp(&b.0));
        let arrived = open.partition_point(|(ends, _)| *ends <= now);
        for (ends, took) in open.drain(..arrived) {
            let change = match took {
                Some(ms) => pace.answered(Duration::from_secs_f64(ms / 1e3), at(ends)),
                None => pace.unanswered(at(ends)),
            };
            replay.changes.extend(change.map(|it| (ends, it)));
        }
        let (longest_wait, is_bypass) = match pace.next_use(at(now)) {
            PlacerUse::Ask => (OBJECTIVE_MS, false),
            PlacerUse::Probe => (PlacerPace::PROBE_WAIT.as_secs_f64() * 1e3, false),
            PlacerUse::Bypass => (0.0, true),
        };
        let mut waited_ms = 0.0;
        if !is_bypass {
            let took = answer_ms(now, &mut rng).filter(|it| *it <= OBJECTIVE_MS);
            open.push((now + took.unwrap_or(OBJECTIVE_MS), took));
            waited_ms = took.unwrap_or(OBJECTIVE_MS).min(longest_wait);
        }
        replay.requests.push(Request {
            at_ms: now,
            waited_ms,
            is_bypass,
        });
    }
    replay
}

fn quick(rng: &mut ChaCha8Rng) -> f64 {
    rng.random_range(QUICK_MS)
}

fn share(requests: &[Request], test: impl Fn(&Request) -> bool) -> f64 {
    requests.iter().filter(|it| test(it)).count() as f64 / requests.len().max(1) as f64
}

/// Guards against requests that lose most of their time waiting for a slow placer, and against an
/// instance that goes on without the placer after that has recovered.
#[rstest]
fn requests_do_not_wait_for_a_slow_placer(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let replay = play(seed, 10_000.0, |now, rng| {
        let is_slow = (2_000.0..6_000.0).contains(&now);
        Some(quick(rng) * if is_slow { SLOWDOWN } else { 1.0 })
    });
    assert!(replay.within(0.0, 2_000.0).iter().all(|it| !it.is_bypass));
    let slow = replay.within(2_700.0, 6_000.0);
    assert!(share(&slow, |it| it.waited_ms <= 20.0) == 1.0);
    assert!(share(&slow, |it| it.is_bypass) > 0.9);
    let recovered = replay.within(8_000.0, 10_000.0);
    assert!(recovered.iter().all(|it| !it.is_bypass));
    let [
        (_, PlacerPaceChange::Slow { .. }),
        (_, PlacerPaceChange::Recovered { .. }),
    ] = replay.changes.as_slice()
    else {
        panic!("{:?}", replay.changes);
    };
}

/// Guards against requests that wait for a placer which is gone, each until its time is over.
#[rstest]
fn requests_do_not_wait_for_a_lost_placer(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let replay = play(seed, 6_000.0, |now, rng| {
        (now < 2_000.0).then(|| quick(rng))
    });
    let lost = replay.within(3_000.0, 6_000.0);
    assert!(share(&lost, |it| it.waited_ms <= 20.0) == 1.0);
    let probes = lost.iter().filter(|it| !it.is_bypass).count();
    assert!((2..=8).contains(&probes), "{probes} probes in 3 s");
}

/// Guards against a state that flips with each quick answer of a placer that has processor time
/// only at the start of each period.
#[rstest]
fn a_flapping_placer_stays_slow(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let replay = play(seed, 12_000.0, |now, rng| {
        let has_time = now.rem_euclid(300.0) < 120.0;
        Some(if has_time {
            quick(rng)
        } else {
            300.0 - now.rem_euclid(300.0) + quick(rng)
        })
    });
    assert!(replay.changes.len() <= 6, "{:?}", replay.changes);
    let waits: Vec<f64> = replay.requests.iter().map(|it| it.waited_ms).collect();
    let mean = waits.iter().sum::<f64>() / waits.len() as f64;
    assert!(mean < 30.0, "requests wait for {mean:.0} ms on average");
}

/// Guards against instances that do without a sound placer, which chooses better than they do.
#[rstest]
fn a_placer_that_pauses_once_in_a_while_is_asked(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let replay = play(seed, 20_000.0, |now, rng| {
        let in_period = now.rem_euclid(1_000.0);
        let pause = (100.0 - in_period).max(0.0);
        Some(pause + quick(rng))
    });
    assert!(replay.requests.iter().all(|it| !it.is_bypass));
    assert!(replay.changes.is_empty(), "{:?}", replay.changes);
}

/// Guards against an instance with few requests that never notices the recovery.
#[test]
fn an_instance_with_few_requests_notices_the_recovery() {
    let mut pace = PlacerPace::default();
    for number in 0..4 {
        pace.unanswered(at(f64::from(number)));
    }
    assert!(pace.is_slow());
    let mut asked = 0;
    for second in 1..=12 {
        let now = at(f64::from(second) * 1_000.0);
        if pace.next_use(now) != PlacerUse::Bypass {
            asked += 1;
            pace.answered(Duration::from_millis(3), now);
        }
    }
    assert!(!pace.is_slow(), "{asked} requests asked the placer");
}

/// Guards against a placer that is taken for slow because the one before it was.
#[test]
fn a_new_placer_is_asked() {
    let mut pace = PlacerPace::default();
    for number in 0..4 {
        pace.unanswered(at(f64::from(number)));
    }
    assert!(pace.is_slow());
    pace.reset();
    assert_eq!(pace.next_use(at(5.0)), PlacerUse::Ask);
}
