//! Tests of what an instance learns from the paces that targets state, and of the targets that it
//! selects without a placer.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_core::{
    Choice, Dispatch, DispatchConfig, HealthSignal, Lane, LoadReport, PaceFigures, TargetFacts,
    TargetPath, TargetRequirements, TargetSnapshot, TargetStart,
};
use chervilshunt_model::{Moment, ServiceName, TargetName, ZoneName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SLOTS: u32 = 6;
/// The target that differs from three others; the first of these is reserved for long prompts.
const ODD: usize = 1;

fn at(millis: u64) -> Moment {
    Moment::from_millis(50_000 + millis)
}

fn name(index: usize) -> TargetName {
    TargetName::new(format!("t{index}"))
}

fn facts(index: usize, started: Option<u64>) -> TargetFacts {
    TargetFacts {
        started: started.map(TargetStart),
        name: name(index),
        service: ServiceName::from("quotes"),
        address: ([10, 0, 0, 1], 8000).into(),
        zone: ZoneName::from("zone"),
        slots: SLOTS,
        leaving: None,
        software: None,
        models: Vec::new(),
    }
}

fn instance(targets: usize) -> Dispatch {
    let mut dispatch = Dispatch::new(DispatchConfig::default(), ZoneName::from("zone"));
    for index in 0..targets {
        dispatch.target_listed(facts(index, None), at(0));
    }
    dispatch
}

fn choose(dispatch: &Dispatch, rng: &mut ChaCha8Rng, now: u64) -> (usize, Option<PaceFigures>) {
    let requirements = TargetRequirements {
        service: &ServiceName::from("quotes"),
        weights: None,
        lane: Lane::General,
        software: None,
        avoid: &[],
        has_transit: false,
    };
    match dispatch.choose(&requirements, || rng.random(), at(now)) {
        Choice::Send { target, pace, .. } => {
            let index = (0..64).find(|it| name(*it) == target);
            (index.expect("a known target"), pace)
        }
        Choice::Wait(wait) => panic!("{wait:?}"),
    }
}

/// Reports a pace, and returns the lasting figure after it.
fn state(dispatch: &mut Dispatch, index: usize, pace: u16, now: u64) -> Option<u16> {
    dispatch.pace_reported(&name(index), None, Some(pace), at(now));
    lasting(dispatch, index, now)
}

/// Returns the figures of a target as an instance logs them.
fn figures(dispatch: &Dispatch, index: usize, now: u64) -> Option<PaceFigures> {
    let choice = dispatch.choose_named(&name(index), None, None, false, at(now));
    let Choice::Send { pace, .. } = choice else {
        panic!("{choice:?}");
    };
    pace
}

fn lasting(dispatch: &Dispatch, index: usize, now: u64) -> Option<u16> {
    figures(dispatch, index, now).map(|it| it.lasting)
}

/// A speed that flips is learnt with the tenth reading, and not before half of the readings show it.
#[rstest]
#[case::slower(100, 250)]
#[case::faster(170, 70)]
fn a_lasting_change_is_learnt_within_ten_readings(#[case] before: u16, #[case] after: u16) {
    let mut dispatch = instance(1);
    for reading in 0..30 {
        assert_eq!(state(&mut dispatch, 0, before, reading * 300), Some(before));
    }
    let learnt = (1..30).find(|reading| {
        let now = 9_000 + reading * 300;
        state(&mut dispatch, 0, after, now) == Some(after)
    });
    assert_eq!(learnt, Some(10));
}

/// Guards against a lasting figure that follows episodes: readings come every 20 ms, so that an
/// episode of a second gives fifty of them.
#[rstest]
#[case::short(100, 600)]
#[case::middle(400, 2_300)]
#[case::long(1_000, 5_700)]
fn episodes_do_not_move_the_lasting_figure(
    #[case] episode_ms: u64,
    #[case] every_ms: u64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut dispatch = instance(1);
    let start = rng.random_range(episode_ms..every_ms);
    for now in (0..60_000).step_by(20) {
        let slow = (now + start) % every_ms < episode_ms;
        let pace = if slow { 425 } else { 170 };
        let lasting = state(&mut dispatch, 0, pace, now);
        // At first there are too few readings.
        assert!(lasting == Some(170) || now < 2_500, "{lasting:?} at {now}");
        let figures = figures(&dispatch, 0, now).expect("a pace");
        assert_eq!((figures.momentary, figures.age), (pace, Duration::ZERO));
    }
}

/// Returns the share of requests that an instance sends to a target.
fn share_of(index: usize, dispatch: &Dispatch, now: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let sent = (0..400).filter(|_| choose(dispatch, &mut rng, now).0 == index);
    sent.count() as f64 / 400.0
}

fn share_of_first(dispatch: &Dispatch, now: u64) -> f64 {
    share_of(0, dispatch, now)
}

/// An episode is avoided while its reading is recent, and forgotten after 0.4 s.
#[test]
fn an_episode_counts_for_as_long_as_it_persists() {
    let mut dispatch = instance(2);
    for now in (0..6_000).step_by(300) {
        state(&mut dispatch, 0, 100, now);
        state(&mut dispatch, 1, 100, now);
    }
    state(&mut dispatch, 0, 250, 6_000);
    for now in [6_000, 6_100, 6_399] {
        assert!(share_of_first(&dispatch, now) < 0.05, "at {now}");
    }
    assert!(share_of_first(&dispatch, 6_401) > 0.4);
}

/// Reports that are lost or late leave the lasting figures in use.
#[test]
fn lasting_figures_stay_without_reports() {
    let mut dispatch = instance(2);
    for now in (0..6_000).step_by(300) {
        state(&mut dispatch, 0, 250, now);
        state(&mut dispatch, 1, 100, now);
    }
    assert!(share_of_first(&dispatch, 15_000) < 0.05);
    assert_eq!(lasting(&dispatch, 0, 15_000), Some(250));
}

/// Guards against a target that is never used again because of one old figure: it is avoided while
/// the figure is new, and tried again within tens of seconds. If it has become fast, the first
/// reading shows that.
#[test]
fn a_target_without_requests_is_tried_again() {
    let mut dispatch = instance(4);
    for now in (0..6_000).step_by(300) {
        for index in 0..4 {
            state(
                &mut dispatch,
                index,
                if index == ODD { 400 } else { 100 },
                now,
            );
        }
    }
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let tried = (6_000..80_000).step_by(50).find(|now| {
        // A target in use has requests in flight and states its pace.
        for index in (0..4).filter(|it| *it != ODD) {
            let busy = LoadReport {
                running: 2,
                waiting: 0,
                slots: SLOTS,
                pace: Some(100),
                is_pace_malformed: false,
            };
            dispatch.load_reported(&name(index), busy, at(*now));
            state(&mut dispatch, index, 100, *now);
        }
        choose(&dispatch, &mut rng, *now).0 == ODD
    });
    let tried = tried.expect("the target is tried again");
    assert!((16_000..50_000).contains(&tried), "{tried}");
    assert_eq!(state(&mut dispatch, ODD, 90, tried + 100), Some(90));
}

/// Guards against figures of an earlier run: a restarted target starts at the mean of its service,
/// and an answer of the earlier run that arrives late does not count.
#[test]
fn a_restarted_target_starts_at_the_mean() {
    let mut dispatch = instance(2);
    dispatch.target_listed(facts(0, Some(1)), at(0));
    for now in (0..6_000).step_by(300) {
        state(&mut dispatch, 0, 250, now);
        state(&mut dispatch, 1, 100, now);
    }
    assert!(share_of_first(&dispatch, 5_900) < 0.05);
    dispatch.target_listed(facts(0, Some(2)), at(6_000));
    let late = dispatch.pace_reported(&name(0), Some(TargetStart(1)), Some(250), at(6_010));
    assert_eq!(late, None);
    assert_eq!(figures(&dispatch, 0, 6_010), None);
    assert!(share_of_first(&dispatch, 6_010) > 0.4);
}

/// Targets that state no pace count as usual beside others that do, and as before where none does.
#[test]
fn a_target_that_states_no_pace_counts_as_usual() {
    let mut dispatch = instance(2);
    for now in (0..6_000).step_by(300) {
        dispatch.pace_reported(&name(0), None, None, at(now));
        state(&mut dispatch, 1, 250, now);
    }
    // Two requests at 100 are sooner done than one at 250, and two at the mean are not.
    dispatch.sent(&name(0), None);
    assert!(share_of_first(&dispatch, 6_000) > 0.95);
    assert_eq!(figures(&dispatch, 0, 6_000), None);
}

/// Guards against prompts that are sent behind others to a target which reads them slowly: a few
/// more requests at the fast target delay them less.
#[rstest]
#[case::no_prompts(0, 0)]
#[case::prompts(3_000, 1)]
fn prompts_count_at_the_pace_of_their_target(#[case] tokens: u32, #[case] chosen: usize) {
    let mut dispatch = instance(2);
    for (index, pace) in [(0, 170), (1, 70)] {
        state(&mut dispatch, index, pace, 0);
        dispatch.add_prefill(&name(index), tokens);
    }
    for _ in 0..2 {
        dispatch.sent(&name(1), None);
    }
    assert!(share_of(chosen, &dispatch, 0) > 0.99);
}

/// Guards against two drawn targets that both fail while others do not.
#[test]
fn failing_targets_are_not_drawn() {
    let mut dispatch = instance(4);
    for (index, pace) in [(1, 70), (2, 70), (3, 170)] {
        state(&mut dispatch, index, pace, 0);
    }
    for index in [1, 2] {
        for _ in 0..20 {
            let failed = HealthSignal::Failed;
            dispatch.record_signal(&name(index), TargetPath::Direct, failed, at(0));
        }
    }
    assert_eq!(share_of(3, &dispatch, 10), 1.0);
}

/// Guards against requests that cross zones because both drawn targets happen to be in another one.
#[test]
fn a_near_target_is_among_the_drawn_ones() {
    let mut dispatch = instance(4);
    for (index, pace) in [(1, 100), (2, 100), (3, 130)] {
        let mut facts = facts(index, None);
        if index != 1 {
            facts.zone = ZoneName::from("far");
        }
        dispatch.target_listed(facts, at(0));
        state(&mut dispatch, index, pace, 0);
    }
    assert_eq!(share_of(1, &dispatch, 10), 1.0);
}

/// Guards against a single implausible figure that makes a target the only one used: ratios are
/// bounded, so that the requests in flight there outweigh it.
#[rstest]
#[case::idle(0, true)]
#[case::busy(7, false)]
fn ratios_are_bounded(#[case] running: u32, #[case] is_chosen: bool) {
    let mut dispatch = instance(4);
    for now in (0..6_000).step_by(300) {
        for index in 0..4 {
            state(
                &mut dispatch,
                index,
                if index == ODD { 10 } else { 100 },
                now,
            );
        }
    }
    let report = LoadReport {
        running,
        waiting: 0,
        slots: SLOTS,
        pace: Some(10),
        is_pace_malformed: false,
    };
    dispatch.load_reported(&name(ODD), report, at(6_000));
    assert_eq!(share_of(ODD, &dispatch, 6_000) > 0.0, is_chosen);
}

/// A change of a quarter or more is shown to operators once.
#[rstest]
#[case::first(&[(100, None), (110, None), (170, Some((100, 170))), (170, None)])]
#[case::small(&[(120, None), (80, None), (100, None)])]
fn large_changes_are_shown(#[case] steps: &[(u16, Option<(u16, u16)>)]) {
    let mut dispatch = instance(1);
    let mut now = 0;
    for (pace, expected) in steps {
        let shown = (0..20).filter_map(|_| {
            now += 300;
            let update = dispatch.pace_reported(&name(0), None, Some(*pace), at(now));
            update.map(|it| (it.before, it.now))
        });
        let shown: Vec<(u16, u16)> = shown.collect();
        assert_eq!(shown, Vec::from_iter(*expected), "{pace}");
    }
}

/// Instances that do not hear of a placer start with the lasting figures of the last one; what they
/// have learnt themselves counts more.
#[test]
fn snapshots_carry_lasting_figures() {
    let snapshot = |index, pace| TargetSnapshot {
        target: name(index),
        started: None,
        in_flight: 0,
        models: Vec::new(),
        pace,
    };
    let mut dispatch = instance(3);
    for now in (0..6_000).step_by(300) {
        state(&mut dispatch, 0, 100, now);
    }
    let snapshots = vec![
        snapshot(0, Some(170)),
        snapshot(1, Some(170)),
        snapshot(2, None),
    ];
    dispatch.apply_snapshots(snapshots, at(6_000));
    let figures: Vec<_> = (0..3).map(|it| lasting(&dispatch, it, 6_000)).collect();
    assert_eq!(figures, [Some(100), Some(170), None]);
    // One reading during an episode does not replace what another instance has learnt over seconds.
    assert_eq!(state(&mut dispatch, 1, 425, 6_100), Some(170));
}

/// Sixty instances before the same targets, of which a third is slow.
struct Instances {
    all: Vec<Dispatch>,
    rng: ChaCha8Rng,
    /// The end times of requests, by target.
    running: Vec<Vec<(u64, usize)>>,
    sent: Vec<usize>,
    /// The requests sent to each target in each tenth of a second.
    sent_in: BTreeMap<(u64, usize), usize>,
}

const CHOOSERS: usize = 60;
const PLAIN_TARGETS: usize = 12;

fn lasting_pace(index: usize) -> u16 {
    [170, 100, 70][index % 3]
}

impl Instances {
    fn new(seed: u64) -> Self {
        Self {
            all: (0..CHOOSERS).map(|_| instance(PLAIN_TARGETS)).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            running: vec![Vec::new(); PLAIN_TARGETS],
            sent: vec![0; PLAIN_TARGETS],
            sent_in: BTreeMap::new(),
        }
    }

    /// Lets time pass, in which each instance sends the given number of requests per second.
    fn run(&mut self, millis: u64, per_second: f64, states: bool) {
        for now in 0..millis {
            for chooser in 0..CHOOSERS {
                if self.rng.random::<f64>() < per_second / 1e3 {
                    self.send(chooser, now);
                }
            }
            for index in 0..PLAIN_TARGETS {
                let (ended, running) = std::mem::take(&mut self.running[index])
                    .into_iter()
                    .partition(|(until, _)| *until <= now);
                self.running[index] = running;
                self.answer(index, ended, states, now);
            }
        }
    }

    fn send(&mut self, chooser: usize, now: u64) {
        let (index, _) = choose(&self.all[chooser], &mut self.rng, now);
        self.all[chooser].sent(&name(index), None);
        self.sent[index] += 1;
        *self.sent_in.entry((now / 100, index)).or_default() += 1;
        let usual = self.rng.random_range(30.0..60.0);
        let takes = usual * f64::from(lasting_pace(index)) / 100.0;
        self.running[index].push((now + takes as u64, chooser));
    }

    fn answer(&mut self, index: usize, ended: Vec<(u64, usize)>, states: bool, now: u64) {
        let running = u32::try_from(self.running[index].len()).expect("few requests");
        for (_, chooser) in ended {
            let pace = states.then(|| lasting_pace(index));
            let report = LoadReport {
                running: running.min(SLOTS),
                waiting: running.saturating_sub(SLOTS),
                slots: SLOTS,
                pace,
                is_pace_malformed: false,
            };
            let dispatch = &mut self.all[chooser];
            dispatch.load_reported(&name(index), report, at(now));
            dispatch.pace_reported(&name(index), None, pace, at(now));
            dispatch.ended(&name(index), None, None);
        }
    }

    /// Returns the most requests that a slow target got and the fewest that another one got.
    fn extremes(&self) -> (usize, usize) {
        let of = |slow: bool| {
            let sent = self.sent.iter().enumerate();
            sent.filter(move |(index, _)| (lasting_pace(*index) > 100) == slow)
                .map(|(_, count)| *count)
        };
        (of(true).max().unwrap_or(0), of(false).min().unwrap_or(0))
    }
}

/// Guards against slow targets that get as many requests as the others; without stated paces the
/// same replay exceeds the bound.
#[rstest]
fn slow_targets_get_fewer_requests_without_a_placer(#[values(1, 2, 3, 4)] seed: u64) {
    let run = |states| {
        let mut instances = Instances::new(seed);
        instances.run(8_000, 12.0, states);
        instances.extremes()
    };
    let (slow, other) = run(true);
    assert!(slow * 3 <= other * 2, "{slow} {other}");
    let (slow, other) = run(false);
    assert!(slow * 3 > other * 2, "{slow} {other}");
}

/// Guards against instances that all select the same target in the same tenth of a second, because
/// it is the fastest or because all others have just slowed down.
#[rstest]
#[case::one_fast(100, 70)]
#[case::all_others_slow(250, 100)]
fn choosers_do_not_herd(#[case] others: u16, #[case] one: u16, #[values(1, 2, 3, 4)] seed: u64) {
    let mut instances = Instances::new(seed);
    let mut chosen = [0; PLAIN_TARGETS];
    for dispatch in &mut instances.all {
        for index in 0..PLAIN_TARGETS {
            let pace = if index == ODD { one } else { others };
            state(dispatch, index, pace, 0);
        }
        chosen[choose(dispatch, &mut instances.rng, 10).0] += 1;
    }
    // It has slots for 13 requests in that time.
    assert!(chosen[ODD] > 0 && chosen[ODD] <= 20, "{chosen:?}");
}

/// A target gets at most as many requests in any tenth of a second as its slots and queue hold.
#[rstest]
fn bursts_to_one_target_are_bounded(#[values(1, 2, 3, 4)] seed: u64) {
    let mut instances = Instances::new(seed);
    instances.run(8_000, 12.0, true);
    let most = instances.sent_in.values().max().copied().unwrap_or(0);
    // Of 72 requests in each tenth of a second.
    assert!(most <= 24, "{most}");
}

/// The metric shows the distribution over targets rather than each of them, and nothing where no
/// target states its pace.
#[test]
fn paces_are_published_as_quantiles() {
    let mut dispatch = instance(21);
    assert_eq!(dispatch.pace_quantiles(), Vec::new());
    for index in 0..20 {
        state(&mut dispatch, index, 100 + 10 * index as u16, 0);
    }
    let quantiles = dispatch.pace_quantiles();
    let [of_service] = &*quantiles else {
        panic!("{quantiles:?}");
    };
    assert_eq!(of_service.service, ServiceName::from("quotes"));
    let expected = [("0.1", 110), ("0.5", 190), ("0.9", 280)];
    assert_eq!(of_service.quantiles, expected);
}
