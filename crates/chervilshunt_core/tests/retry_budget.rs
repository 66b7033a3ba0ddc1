//! The bound on retries that all instances together make for a service.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use chervilshunt_core::{
    EarnedRetries, RetryBoundConfig, RetryGrant, RetryLedger, RetryPermit, SettledRetries,
};
use chervilshunt_model::{Moment, RetryCounts, ServiceName, SpentRetries};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const ALLOWANCE: f64 = 54.0;
/// Longest time for which the targets of a random play leave requests unread.
const MAX_LATENESS_MS: u64 = 4_000;

fn cfg(allowance: f64) -> RetryBoundConfig {
    RetryBoundConfig {
        window: WINDOW,
        ratio: RATIO,
        allowance,
    }
}

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

/// Requests that callers send and retries that arrive at targets, over all instances.
#[derive(Debug, Default)]
struct Arrivals {
    requests: Vec<Moment>,
    retries: Vec<Moment>,
}

impl Arrivals {
    /// Returns by how much the retries of some window exceed what operators allow, and its end.
    fn worst_excess(&mut self, allowance: f64) -> (f64, Moment) {
        self.requests.sort_unstable();
        self.retries.sort_unstable();
        let events = self.requests.iter().chain(&self.retries);
        let ends = events.flat_map(|at| {
            let halves = [0, 1, 2, 3, 4].map(|halves| *at + WINDOW / 2 * halves);
            halves
                .into_iter()
                .flat_map(|end| [end, end - Duration::from_micros(1)])
        });
        let excess = ends.map(|end| {
            let allowed = [Duration::ZERO, WINDOW / 2, WINDOW]
                .map(|shift| count(&self.requests, end - shift))
                .into_iter()
                .max();
            let allowed = RATIO * allowed.unwrap_or(0) as f64 + allowance;
            (count(&self.retries, end) as f64 - allowed, end)
        });
        let worst = excess.max_by(|(a, _), (b, _)| a.total_cmp(b));
        worst.unwrap_or((0.0, Moment::ZERO))
    }
}

/// Returns how many of the sorted times lie in the window that ends at a moment.
fn count(times: &[Moment], end: Moment) -> usize {
    let from = times.partition_point(|it| *it < end - WINDOW);
    let to = times.partition_point(|it| *it <= end);
    to.saturating_sub(from)
}

/// Returns how many retries are made at a moment if as many as possible are.
fn spend(earned: &mut EarnedRetries, now: Moment) -> usize {
    (0..1_000).filter(|_| earned.try_retry(now)).count()
}

#[rstest]
#[case::none(0, 0)]
#[case::too_few(9, 0)]
#[case::one(10, 1)]
#[case::half_the_ratio_of_two_windows(200, 20)]
fn requests_earn_retries(#[case] requests: u64, #[case] expected: usize) {
    let mut earned = EarnedRetries::new(cfg(0.0));
    for number in 0..requests {
        earned.record_request(at(1_000 + number));
    }
    assert_eq!(spend(&mut earned, at(1_300)), expected);
    assert_eq!(spend(&mut earned, at(9_000)), 0, "they are spent once");
    assert_eq!(
        spend(&mut earned, at(11_500)),
        0,
        "the requests are too old"
    );
}

/// Guards against requests that earn retries for longer because they were read late.
#[rstest]
#[case::sent_lately(9_000, 10)]
#[case::sent_long_before(1_000, 1)]
fn a_request_earns_from_its_sending_on(#[case] sent: u64, #[case] expected: usize) {
    let mut earned = EarnedRetries::new(cfg(0.0));
    for number in 0..10 {
        earned.record_request(at(9_000 + number));
    }
    for number in 0..90 {
        earned.record_request(at(sent + number));
    }
    assert_eq!(
        spend(&mut earned, at(11_500)),
        expected,
        "ten were sent lately in any case"
    );
}

/// Guards against a bound that leaves half of the ratio unused while requests come evenly.
#[test]
fn the_whole_ratio_is_used_by_even_requests() {
    let mut earned = EarnedRetries::new(cfg(0.0));
    let (mut requests, mut retries) = (0, 0);
    for step in 0..6_000 {
        let now = at(step * 10);
        earned.record_request(now);
        let is_made = step >= 3_000 && earned.try_retry(now);
        earned.settle(u32::from(is_made), now);
        requests += u32::from(step >= 3_000);
        retries += u32::from(is_made);
    }
    let used = f64::from(retries) / f64::from(requests);
    assert!((0.17..=RATIO).contains(&used), "{used}");
}

fn plain() -> ServiceName {
    ServiceName::new("plain")
}

const LEDGER: u64 = 3;

fn ledger(inherited: SpentRetries, now: Moment) -> RetryLedger {
    RetryLedger::new(cfg(ALLOWANCE), LEDGER, inherited, now, now)
}

fn settled(ledger: u64, count: u32) -> SettledRetries {
    SettledRetries {
        ledger,
        by_service: vec![(plain(), count)],
    }
}

/// Returns how many retries a ledger grants at a moment.
fn unanswered_grants(ledger: &mut RetryLedger, now: Moment) -> u32 {
    let granted = (0..1_000).filter(|_| ledger.grant(&plain(), now) == RetryGrant::Granted);
    granted.count() as u32
}

/// Returns how many retries a ledger grants at a moment, which are answered at once.
fn grants(ledger: &mut RetryLedger, now: Moment) -> u32 {
    let granted = unanswered_grants(ledger, now);
    ledger.settle(&settled(LEDGER, granted), now);
    granted
}

/// Guards against an allowance that is granted twice in a window, and against one that is not granted
/// again after it.
#[test]
fn the_allowance_is_granted_once_in_a_window() {
    let mut ledger = ledger(SpentRetries::default(), at(0));
    assert_eq!(
        grants(&mut ledger, at(1_000)),
        16,
        "what the first record covers"
    );
    ledger.record(at(1_900));
    assert_eq!(grants(&mut ledger, at(1_950)), 0, "not written yet");
    ledger.recorded(at(1_900));
    assert_eq!(grants(&mut ledger, at(2_000)), 16);
    ledger.recorded(at(2_800));
    assert_eq!(grants(&mut ledger, at(3_000)), 16);
    ledger.recorded(at(3_700));
    assert_eq!(grants(&mut ledger, at(4_000)), 0, "the allowance is spent");
    assert_eq!(
        ledger.grant(&plain(), at(4_000)),
        RetryGrant::Spent {
            retry_in: Duration::from_millis(7_100)
        }
    );
    assert_eq!(grants(&mut ledger, at(11_100)), 0, "the window is closed");
    assert_eq!(grants(&mut ledger, at(11_101)), 16);
}

/// Guards against an allowance that is granted again while the retries of the window before may still arrive.
#[rstest]
#[case::answered_late(Some(6_000), 16_101)]
#[case::answered_after_its_place_was_free(Some(12_500), 21_101)]
#[case::never_answered(None, 21_101)]
fn a_retry_counts_until_a_window_after_its_answer(
    #[case] answered_at: Option<u64>,
    #[case] expires: u64,
) {
    let mut ledger = ledger(SpentRetries::default(), at(0));
    let mut granted = 0;
    for second in 1..=3 {
        granted += unanswered_grants(&mut ledger, at(second * 300));
        ledger.recorded(at(second * 300 + 1));
    }
    assert_eq!(granted, 48);
    if let Some(answered_at) = answered_at {
        ledger.settle(&settled(LEDGER, 48), at(answered_at));
    }
    assert_eq!(unanswered_grants(&mut ledger, at(expires - 1_300)), 0);
    assert_eq!(unanswered_grants(&mut ledger, at(expires)), 16);
}

/// Guards against retries of two windows that arrive in one because the first ones are read late.
#[rstest]
fn retries_of_two_windows_do_not_arrive_in_one(
    #[values(0, 500, 1_500, 2_500, 4_000, 9_900)] lateness_ms: u64,
) {
    let lateness = Duration::from_millis(lateness_ms);
    let mut ledger = ledger(SpentRetries::default(), at(0));
    let mut arrivals = Arrivals::default();
    let mut unread = VecDeque::new();
    for ms in (0..30_000).step_by(20) {
        let now = at(ms);
        if ms % 900 == 0 {
            ledger.recorded(now);
        }
        while unread.front().is_some_and(|arrives| *arrives <= now) {
            unread.pop_front();
            ledger.settle(&settled(LEDGER, 1), now);
        }
        let is_first_burst = ms < 3_000;
        let is_granted = ledger.grant(&plain(), now) == RetryGrant::Granted;
        if is_granted && is_first_burst {
            arrivals.retries.push(now + lateness);
            unread.push_back(now + lateness);
        } else if is_granted {
            arrivals.retries.push(now);
            ledger.settle(&settled(LEDGER, 1), now);
        }
    }
    let (excess, end) = arrivals.worst_excess(ALLOWANCE);
    assert!(excess <= 0.0, "{excess} too many up to {end}");
    assert!(arrivals.retries.len() > 48, "{}", arrivals.retries.len());
}

/// Guards against reports that settle the retries of another ledger, or more than were granted.
#[test]
fn only_the_ledgers_own_retries_are_settled() {
    let mut ledger = ledger(SpentRetries::default(), at(0));
    assert_eq!(unanswered_grants(&mut ledger, at(100)), 16);
    ledger.settle(&settled(LEDGER - 1, 16), at(200));
    assert_eq!(ledger.usage(&plain(), at(200)).unanswered, 16);
    ledger.settle(&settled(LEDGER, 100), at(300));
    let usage = ledger.usage(&plain(), at(300));
    assert_eq!((usage.granted, usage.unanswered), (16, 0));
}

/// Guards against an allowance that a new placer grants although the one before it has.
#[rstest]
#[case::calm(0, 32)]
#[case::a_part_was_granted(10, 22)]
#[case::all_was_granted(48, 0)]
fn a_ledger_inherits_what_was_granted(#[case] granted_before: u32, #[case] left: u32) {
    let mut before = ledger(SpentRetries::default(), at(0));
    let mut granted = 0;
    for second in 0..3 {
        let now = at(second * 900);
        for _ in 0..(granted_before - granted).min(16) {
            assert_eq!(before.grant(&plain(), now), RetryGrant::Granted);
            before.settle(&settled(LEDGER, 1), now);
            granted += 1;
        }
        before.recorded(at(second * 900 + 1));
    }
    let record = before.record(at(2_701));
    let mut after = ledger(record, at(3_000));
    let mut granted = 0;
    for second in 0..4 {
        let now = at(3_000 + second * 900);
        granted += grants(&mut after, now);
        after.recorded(now + Duration::from_millis(1));
    }
    assert_eq!(granted, left);
    if granted_before > 32 {
        assert_eq!(
            grants(&mut after, at(13_000)),
            0,
            "the window has not passed"
        );
    }
    assert_eq!(grants(&mut after, at(16_501)), 16, "the window has passed");
}

/// Guards against a new placer that grants the places of retries which have not arrived yet.
#[rstest]
#[case::all_had_arrived(Some(0), 32)]
#[case::some_had_not_arrived(Some(20), 12)]
#[case::record_of_an_earlier_version(None, 0)]
fn a_ledger_inherits_what_may_still_arrive(#[case] unanswered: Option<u32>, #[case] left: u32) {
    let counts = |count| RetryCounts {
        by_service: vec![(plain(), count)],
        others: 0,
    };
    let record = SpentRetries {
        counts: counts(48),
        unanswered: unanswered.map(counts),
    };
    let mut ledger = ledger(record.with_more(16), at(0));
    assert_eq!(grants(&mut ledger, at(10_000)), 0);
    let mut granted = 0;
    for step in 1..=3 {
        granted += grants(&mut ledger, at(10_000 + step * 300));
        ledger.recorded(at(10_000 + step * 300 + 1));
    }
    assert_eq!(granted, left);
    assert_eq!(grants(&mut ledger, at(21_100)), 16);
}

/// Guards against an allowance that is granted again after the record of the placers is lost.
#[test]
fn a_ledger_without_a_record_waits_for_the_last_arrivals_and_a_window() {
    let mut ledger = ledger(SpentRetries::unknown(), at(0));
    assert_eq!(grants(&mut ledger, at(20_000)), 0);
    assert_eq!(grants(&mut ledger, at(20_001)), 16);
}

/// The placers of a random play, one after the other, and the record that they leave.
struct Placers {
    ledger: Option<RetryLedger>,
    terms: u64,
    stored: SpentRetries,
    next_write: Moment,
    next_placer: Moment,
}

impl Placers {
    fn first() -> Self {
        Self {
            ledger: None,
            terms: 0,
            stored: SpentRetries::default(),
            next_write: Moment::ZERO,
            next_placer: Moment::ZERO,
        }
    }

    /// Loses placers and writes at random, and at times the whole record.
    fn advance(&mut self, rng: &mut ChaCha8Rng, now: Moment) {
        if self.ledger.is_some() && rng.random_bool(0.004) {
            self.ledger = None;
            self.next_placer = now + Duration::from_millis(rng.random_range(0..4_000));
        }
        match &mut self.ledger {
            None if now >= self.next_placer => {
                let is_lost = rng.random_bool(0.1);
                let stored = std::mem::take(&mut self.stored);
                let inherited = if is_lost {
                    SpentRetries::unknown()
                } else {
                    stored
                };
                let cfg = cfg(ALLOWANCE);
                self.terms += 1;
                self.stored = inherited.clone().with_more(cfg.grants_per_record());
                self.ledger = Some(RetryLedger::new(cfg, self.terms, inherited, now, now));
                self.next_write = now + Duration::from_millis(900);
            }
            Some(ledger) if now >= self.next_write => {
                self.next_write = now + Duration::from_millis(900);
                let record = ledger.record(now);
                if rng.random_bool(0.9) {
                    self.stored = record;
                    if rng.random_bool(0.9) {
                        ledger.recorded(now);
                    }
                }
            }
            Some(_) | None => {}
        }
    }

    /// Returns the ledger that grants a retry.
    fn grant(&mut self, now: Moment) -> Option<u64> {
        let ledger = self.ledger.as_mut()?;
        (ledger.grant(&plain(), now) == RetryGrant::Granted).then(|| ledger.number())
    }
}

/// An instance of a random play.
struct Process {
    earned: EarnedRetries,
    /// The part of the callers that come here.
    weight: f64,
}

/// A retry on its way to a target.
struct SentRetry {
    process: u32,
    /// The ledger that granted it, unless it was earned.
    ledger: Option<u64>,
    /// When its instance, or the placer, learns that it has arrived.
    settled_at: Moment,
}

/// The state of a random play.
struct Play {
    rng: ChaCha8Rng,
    arrivals: Arrivals,
    placers: Placers,
    processes: BTreeMap<u32, Process>,
    sent: Vec<SentRetry>,
    /// How long all targets leave requests unread now.
    lateness_ms: u64,
}

impl Play {
    /// Settles the retries whose answers have come. Those of instances that have ended stay unanswered, and some
    /// reports are lost.
    fn settle(&mut self, now: Moment) {
        for sent in self.sent.extract_if(.., |it| it.settled_at <= now) {
            let Some(process) = self.processes.get_mut(&sent.process) else {
                continue;
            };
            match (sent.ledger, &mut self.placers.ledger) {
                (None, _) => process.earned.settle(1, now),
                (Some(number), Some(ledger)) if self.rng.random_bool(0.95) => {
                    ledger.settle(&settled(number, 1), now);
                }
                (Some(_), _) => {}
            }
        }
    }

    fn retry(&mut self, number: u32, now: Moment) {
        let process = self.processes.get_mut(&number).expect("a process");
        let is_earned = process.earned.try_retry(now);
        let ledger = if is_earned {
            None
        } else {
            self.placers.grant(now)
        };
        if !is_earned && ledger.is_none() {
            return;
        }
        let delay = self.lateness_ms + self.rng.random_range(0..200);
        let arrives = now + Duration::from_millis(delay);
        let report = if is_earned { 0 } else { 400 };
        let settled_at = arrives + Duration::from_millis(report);
        self.arrivals.retries.push(arrives);
        self.sent.push(SentRetry {
            process: number,
            ledger,
            settled_at,
        });
    }
}

/// Plays callers that move between instances which start and end at random, as placers do, while targets fail
/// and leave requests unread now and then.
fn play(seed: u64) -> Arrivals {
    let mut play = Play {
        rng: ChaCha8Rng::seed_from_u64(seed),
        arrivals: Arrivals::default(),
        placers: Placers::first(),
        processes: BTreeMap::new(),
        sent: Vec::new(),
        lateness_ms: 0,
    };
    let mut next = 0;
    let mut fails = true;
    // With few requests that nearly all fail, most retries are of the allowance.
    let (load, failing) = if seed.is_multiple_of(2) {
        (0.0..3.0, 0.6)
    } else {
        (0.3..0.8, 0.95)
    };
    let mut per_step = 1.0;
    for step in 0..4_000 {
        let now = at(step * 20);
        play.placers.advance(&mut play.rng, now);
        play.settle(now);
        let rng = &mut play.rng;
        if play.processes.is_empty() || (play.processes.len() < 8 && rng.random_bool(0.01)) {
            let earned = EarnedRetries::new(cfg(0.0));
            let weight = rng.random_range(0.0..1.0);
            play.processes.insert(next, Process { earned, weight });
            next += 1;
        }
        if rng.random_bool(0.008) {
            play.processes.retain(|_, _| rng.random_bool(0.6));
        }
        if rng.random_bool(0.02) {
            for process in play.processes.values_mut() {
                let is_busy = rng.random_bool(0.3);
                process.weight = if is_busy {
                    rng.random_range(0.0..1.0)
                } else {
                    0.0
                };
            }
            per_step = rng.random_range(load.clone());
        }
        if rng.random_bool(0.01) {
            fails = rng.random_bool(failing);
        }
        if rng.random_bool(0.01) {
            let is_late = rng.random_bool(0.5);
            play.lateness_ms = if is_late {
                rng.random_range(0..MAX_LATENESS_MS)
            } else {
                0
            };
        }
        let processes: Vec<u32> = play.processes.keys().copied().collect();
        for number in processes {
            let mut expected = per_step * play.processes[&number].weight;
            while play.rng.random_bool(expected.clamp(0.0, 1.0)) {
                expected -= 1.0;
                // Requests come a little after callers have sent them.
                let sent = now - Duration::from_millis(play.rng.random_range(0..500));
                play.arrivals.requests.push(sent);
                let process = play.processes.get_mut(&number).expect("a process");
                process.earned.record_request(now);
                for _ in 0..3 {
                    if fails {
                        play.retry(number, now);
                    }
                }
            }
        }
    }
    play.arrivals
}

/// Guards against instances and placers that start, end and lose their callers to others, and that
/// together make more retries than allowed.
#[test]
fn instances_together_stay_within_the_bound() {
    let seeds = std::env::var("RETRY_SEEDS").ok();
    let seeds = seeds.and_then(|it| it.parse().ok()).unwrap_or(100);
    for seed in 0..seeds {
        let mut arrivals = play(seed);
        let (excess, end) = arrivals.worst_excess(ALLOWANCE);
        assert!(excess <= 0.0, "seed {seed}: {excess} too many up to {end}");
        assert!(arrivals.retries.len() > 50, "seed {seed}: too few retries");
    }
}

#[rstest]
#[case::at_once(0, 450)]
#[case::after_a_wait(200, 250)]
#[case::just_in_time(449, 1)]
#[case::too_late(450, 0)]
#[case::much_too_late(20_000, 0)]
fn a_permit_expires_before_the_accounts_forget_its_retry(#[case] waited: u64, #[case] left: u64) {
    let permit = RetryPermit::new(at(5_000));
    let left = Duration::from_millis(left);
    assert_eq!(permit.time_left(at(5_000 + waited)), left);
}
