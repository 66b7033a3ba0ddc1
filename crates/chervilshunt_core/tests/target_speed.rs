//! Replays of a placer before targets of uneven speed.
//!
//! The simulated engines prefill one prompt at a time and then generate in one of their slots; both
//! take longer in proportion to the pace that they state when they begin on a request.

#[path = "support/uneven.rs"]
mod uneven;

use chervilshunt_core::{
    Dispatch, DispatchConfig, GrantNumber, GrantProgress, PlacementResult, ResidencyAction,
    ResidencyEvent, ResidencyPlanner, TargetSnapshot, TargetStart, Weights,
};
use chervilshunt_model::{TargetName, ZoneName};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use uneven::placing::{adapter, at, facts, placement_request, reported, target, unqueried_planner};
use uneven::{Engines, FAST, Replay, SLOW, Sizes, TARGETS, drafts, is_slow};

/// Returns what each target was granted, by whether it is a slow one.
fn grants_of(replay: &Replay) -> (Vec<usize>, Vec<usize>) {
    let granted = replay.granted.iter().copied().enumerate();
    let (slow, other): (Vec<_>, Vec<_>) = granted.partition(|(target, _)| is_slow(*target));
    let counts = |it: Vec<(usize, usize)>| it.into_iter().map(|(_, count)| count).collect();
    (counts(slow), counts(other))
}

/// The sizes of reconciliations, which have long prompts and short answers.
fn reconciliations(rng: &mut ChaCha8Rng) -> (u32, u32) {
    (rng.random_range(600..7_500), rng.random_range(5..60))
}

/// The sizes of approvals, which are short.
fn approvals(rng: &mut ChaCha8Rng) -> (u32, u32) {
    (rng.random_range(200..1_500), rng.random_range(5..60))
}

fn replay(engines: Engines, sizes: Sizes, interval_ms: f64, seed: u64) -> Replay {
    let mut replay = Replay::new(engines, seed);
    replay.sizes = sizes;
    replay.run(30_000, interval_ms);
    replay
}

/// Guards against slow targets that get as many requests as the others, so that most of their
/// answers are late. Without stated paces, the same replays exceed the bound.
#[rstest]
#[case::light(reconciliations, 90.0)]
#[case::busy(reconciliations, 40.0)]
fn a_slow_third_of_the_targets_gets_less(
    #[case] sizes: Sizes,
    #[case] interval_ms: f64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let run = |states| replay(Engines::uneven(states), sizes, interval_ms, seed);
    let (stated, silent) = (run(true), run(false));
    let share = |replay: &Replay| {
        let (slow, other) = grants_of(replay);
        let most = slow.into_iter().max().unwrap_or(0) as f64;
        most / other.into_iter().min().unwrap_or(0) as f64
    };
    let (stated_share, silent_share) = (share(&stated), share(&silent));
    assert!(stated_share <= 2.0 / 3.0, "{stated_share}");
    assert!(silent_share > 2.0 / 3.0, "{silent_share}");
}

/// Guards against answers of seconds that run at slow targets while faster ones have slots: the
/// stated paces shorten the mean time to the first token and to the end.
#[rstest]
#[case::light(25.0)]
#[case::busy(10.0)]
fn long_answers_run_at_fast_targets(#[case] interval_ms: f64, #[values(1, 2, 3, 4)] seed: u64) {
    let run = |states| replay(Engines::uneven(states), drafts, interval_ms, seed);
    let (stated, silent) = (run(true), run(false));
    let (slow, other) = grants_of(&stated);
    let (most, least) = (slow.into_iter().max(), other.into_iter().min());
    assert!(most.unwrap_or(0) * 3 <= least.unwrap_or(0) * 2);
    assert!(stated.mean_first_token() < silent.mean_first_token() * 0.95);
    assert!(stated.mean_end() < silent.mean_end() * 0.94);
}

/// A speed that flips is learnt within seconds where a target has become slow, and within tens of
/// seconds where it has become fast and got no requests meanwhile.
#[rstest]
fn a_speed_that_flips_is_learnt(#[values(1, 2, 3, 4)] seed: u64) {
    const FLIPS_AT: u64 = 20_000;
    let pace = |target: usize, now| {
        let slow = if now < FLIPS_AT { 0 } else { 1 };
        if target % 3 == slow { SLOW } else { FAST }
    };
    let engines = Engines {
        states: true,
        pace: Box::new(pace),
    };
    let mut replay = replay(engines, reconciliations, 40.0, seed);
    assert!(replay.now > FLIPS_AT + 10_000);
    let of = |replay: &Replay, third: usize| -> usize {
        (third..TARGETS)
            .step_by(3)
            .map(|it| replay.granted[it])
            .sum()
    };
    replay.granted = vec![0; TARGETS];
    replay.run(10_000, 40.0);
    assert!(
        of(&replay, 1) * 3 <= of(&replay, 2) * 2,
        "{:?}",
        replay.granted
    );
    replay.run(40_000, 40.0);
    replay.granted = vec![0; TARGETS];
    replay.run(10_000, 40.0);
    assert!(
        of(&replay, 1) * 3 <= of(&replay, 0) * 2,
        "{:?}",
        replay.granted
    );
}

/// Guards against prompts that are sent to a target which has just slowed down.
#[rstest]
fn episodes_of_slowness_are_avoided(#[values(1, 2, 3, 4)] seed: u64) {
    let run = |states| {
        let engines = Engines::with_episodes(states, seed);
        replay(engines, approvals, 8.0, seed)
    };
    let (stated, silent) = (run(true), run(false));
    let (slow, slow_silent) = (stated.granted_in_episodes, silent.granted_in_episodes);
    assert!(slow * 4 <= slow_silent * 3, "{slow} {slow_silent}");
    assert!(stated.mean_first_token() < silent.mean_first_token() * 0.98);
}

/// Requests pile up at the one target that holds an adapter, after it has served a hundred in 20 ms
/// each. Returns the number of requests after which the adapter is loaded on another target.
fn requests_until_load(paces: fn(usize) -> u16) -> u64 {
    let mut residency = unqueried_planner(12, 64, 20);
    residency.handle(ResidencyEvent::Tick, at(450));
    for index in 0..12 {
        let held = (index == 0).then(|| (adapter("busy"), 1));
        residency.handle(reported(index, held.into_iter().collect()), at(451));
    }
    let mut dispatch = Dispatch::new(DispatchConfig::default(), ZoneName::from("zone"));
    for index in 0..12 {
        dispatch.target_listed(facts(index, 64), at(0));
        dispatch.pace_reported(&target(index), None, Some(paces(index)), at(451));
    }
    residency.start_with_speeds(dispatch.speeds());
    for number in 0..400 {
        let now = 1_000 + number * 20;
        residency.handle(placement_request(number, adapter("busy"), 2_000), at(now));
        let progress = GrantProgress {
            begun: vec![GrantNumber(number)],
            ended: vec![GrantNumber(number)],
            paces: vec![(GrantNumber(number), paces(0))],
            ..GrantProgress::default()
        };
        residency.handle(ResidencyEvent::GrantsProgressed(progress), at(now + 20));
    }
    let mut numbers = 1_000..;
    let loads = |number| {
        let request = placement_request(number, adapter("busy"), 2_000);
        let actions = residency.handle(request, at(9_100));
        actions
            .iter()
            .any(|it| matches!(it, ResidencyAction::Order(_)))
    };
    numbers.position(loads).expect("a load") as u64
}

/// Guards against a prefill rate that counts the speed of fast targets twice: it is measured where
/// most requests are sent, and that is at these. Too few copies of a busy adapter were loaded.
#[test]
fn a_busy_adapter_of_a_fast_target_is_spread_like_any_other() {
    let even = requests_until_load(|_| 100);
    let uneven = requests_until_load(|index| if index == 0 { 70 } else { 170 });
    assert!((even..=even + 8).contains(&uneven), "{even} {uneven}");
}

/// Guards against long prompts that are sent to a somewhat faster target where many streams run,
/// which all stand still during the prefill.
#[rstest]
#[case::few_streams(4, 0)]
#[case::many_streams(12, 1)]
fn a_long_prompt_spares_running_streams(#[case] streams: usize, #[case] expected: usize) {
    let mut pair = Pair::new();
    let mut held = [Vec::new(), Vec::new()];
    while held[0].len() < streams {
        let (number, name) = pair.request(1_000);
        held[usize::from(name == target(1))].push(number);
    }
    let [first, second] = held;
    let paces = [(first[0], 80), (second[0], 120)];
    let progress = GrantProgress {
        paces: paces.to_vec(),
        begun: first,
        ended: second,
        ..GrantProgress::default()
    };
    pair.report(progress, 1_100);
    // The reading is no longer recent, and counts as lasting only.
    assert_eq!(pair.request_with(20_000, 2_000).1, target(expected));
}

/// Two targets and requests for their base model.
struct Pair {
    residency: ResidencyPlanner,
    next: u64,
}

impl Pair {
    fn new() -> Self {
        let mut residency = unqueried_planner(2, 16, 4);
        for index in 0..2 {
            let mut facts = facts(index, 16);
            facts.started = Some(TargetStart(1));
            residency.handle(ResidencyEvent::TargetListed(facts), at(0));
        }
        residency.handle(ResidencyEvent::Tick, at(450));
        for index in 0..2 {
            residency.handle(reported(index, Vec::new()), at(451));
        }
        Self { residency, next: 0 }
    }

    /// Has a request granted, and returns its number and its target.
    fn request(&mut self, now: u64) -> (GrantNumber, TargetName) {
        self.request_with(1_000, now)
    }

    fn request_with(&mut self, tokens: u32, now: u64) -> (GrantNumber, TargetName) {
        self.next += 1;
        let mut request = placement_request(self.next, Weights::base(&"base".into()), 2_000);
        if let ResidencyEvent::PlacementRequested { request, .. } = &mut request {
            request.prompt_tokens = tokens;
        }
        let actions = self.residency.handle(request, at(now));
        let placed = actions.into_iter().find_map(|action| match action {
            ResidencyAction::Answer(number, PlacementResult::At { target, .. }) => {
                Some((GrantNumber(number), target))
            }
            _ => None,
        });
        placed.expect("a target")
    }

    fn report(&mut self, progress: GrantProgress, now: u64) {
        let event = ResidencyEvent::GrantsProgressed(progress);
        self.residency.handle(event, at(now));
    }

    /// Has a request granted that takes some time, and reports its pace as that of its target.
    fn serve(&mut self, takes: u64, pace: fn(&TargetName) -> Option<u16>, now: u64) -> TargetName {
        let (number, name) = self.request(now);
        let paces = pace(&name).map(|it| (number, it));
        let stated = GrantProgress {
            paces: paces.into_iter().collect(),
            ..GrantProgress::default()
        };
        self.report(stated, now + 1);
        let begun = GrantProgress {
            begun: vec![number],
            ..GrantProgress::default()
        };
        self.report(begun, now + takes / 2);
        let ended = GrantProgress {
            ended: vec![number],
            ..GrantProgress::default()
        };
        self.report(ended, now + takes);
        name
    }
}

/// Guards against requests that wait for a slot of a slow target while those of a fast one become
/// free sooner.
#[test]
fn requests_wait_for_slots_of_the_faster_target() {
    let mut pair = Pair::new();
    let granted: Vec<(GrantNumber, TargetName)> = (0..40).map(|_| pair.request(1_000)).collect();
    let first = granted.iter().filter(|(_, name)| *name == target(0));
    assert_eq!(first.count(), 20);
    let paces = granted.iter().map(|(number, name)| {
        let pace = if *name == target(0) { 130 } else { 70 };
        (*number, pace)
    });
    let progress = GrantProgress {
        paces: paces.collect(),
        begun: granted.iter().map(|(number, _)| *number).collect(),
        ..GrantProgress::default()
    };
    pair.report(progress, 1_100);
    assert_eq!(pair.request_with(0, 2_000).1, target(1));
}

/// Guards against an estimate from durations: a target that was given only work of seconds states
/// the same pace as the other one, and is still preferred.
#[test]
fn a_target_with_long_work_only_does_not_appear_slow() {
    let mut pair = Pair::new();
    let pace = |_: &TargetName| Some(100);
    let (first, _) = pair.request(500);
    assert_eq!(pair.serve(50, pace, 500), target(1));
    pair.report(
        GrantProgress {
            ended: vec![first],
            ..GrantProgress::default()
        },
        600,
    );
    for round in 0..20 {
        let now = 1_000 + round * 10_000;
        assert_eq!(pair.serve(9_000, pace, now), target(0));
    }
    assert_eq!(pair.request(300_000).1, target(0));
}

/// A pair of which the first target has stated that it is slow.
fn slow_pair() -> Pair {
    let mut pair = Pair::new();
    let (first, second) = (pair.request(1_000), pair.request(1_000));
    assert_eq!((&first.1, &second.1), (&target(0), &target(1)));
    let progress = GrantProgress {
        paces: vec![(first.0, 400), (second.0, 100)],
        begun: vec![first.0, second.0],
        ended: vec![first.0, second.0],
        ..GrantProgress::default()
    };
    pair.report(progress, 1_100);
    assert_eq!(pair.serve(20, |_| Some(100), 1_200), target(1));
    pair
}

/// Guards against figures of an earlier run: a restarted target starts at the mean of its service,
/// and an answer of the earlier run that is reported late does not count.
#[test]
fn a_restarted_target_starts_at_the_mean() {
    let mut pair = slow_pair();
    // Many requests at the other target make the slow one preferable for one of them.
    let mut held = Vec::new();
    let late = loop {
        let (number, name) = pair.request(1_300);
        held.push(number);
        if name == target(0) {
            break number;
        }
    };
    let ended = GrantProgress {
        ended: held.into_iter().filter(|it| *it != late).collect(),
        ..GrantProgress::default()
    };
    pair.report(ended, 1_400);
    let mut restarted = facts(0, 16);
    restarted.started = Some(TargetStart(2));
    let listed = ResidencyEvent::TargetListed(restarted);
    pair.residency.handle(listed, at(1_500));
    let reported = GrantProgress {
        paces: vec![(late, 400)],
        ..GrantProgress::default()
    };
    pair.report(reported, 1_600);
    let chosen: Vec<TargetName> = (0..6).map(|_| pair.request(1_700).1).collect();
    let first = chosen.iter().filter(|it| **it == target(0)).count();
    assert_eq!(first, 3, "{chosen:?}");
}

/// Guards against a new placer that sends everything to slow targets until it has heard of each of
/// them: it starts with what its instance has learnt.
#[test]
fn a_new_placer_starts_with_the_figures_of_its_instance() {
    let mut dispatch = Dispatch::new(DispatchConfig::default(), ZoneName::from("zone"));
    for index in 0..2 {
        dispatch.target_listed(facts(index, 16), at(0));
        let pace = if index == 0 { 400 } else { 100 };
        dispatch.pace_reported(&target(index), None, Some(pace), at(10));
    }
    let mut pair = Pair::new();
    pair.residency.start_with_speeds(dispatch.speeds());
    assert_eq!(pair.request(1_000).1, target(1));
    assert_eq!(Pair::new().request(1_000).1, target(0));
}

/// The placer hands over its lasting figures with its snapshots, and shows large changes.
#[test]
fn the_placer_hands_over_lasting_figures() {
    let mut pair = slow_pair();
    let snapshots = pair.residency.snapshots();
    let paces: Vec<Option<u16>> = snapshots.iter().map(|it| it.pace).collect();
    assert_eq!(paces, [Some(400), Some(100)]);
    let changes = pair.residency.take_pace_changes();
    let changes = changes.iter().map(|(name, it)| (name.clone(), it.now));
    assert!(changes.eq([(target(0), 400)]));
    assert!(pair.residency.take_pace_changes().is_empty());
}

/// Two versions of the program understand each other: what is absent is not written.
#[test]
fn absent_paces_are_not_written() {
    let progress = GrantProgress {
        paces: vec![(GrantNumber(7), 170)],
        ..GrantProgress::default()
    };
    assert!(!progress.is_empty());
    let text = serde_json::to_string(&progress).expect("text");
    assert_eq!(text, r#"{"w":[[7,170]]}"#);
    let empty: GrantProgress = serde_json::from_str("{}").expect("progress");
    assert_eq!(empty, GrantProgress::default());
    let snapshot: TargetSnapshot =
        serde_json::from_str(r#"{"t":"t0","n":0,"m":[]}"#).expect("a snapshot");
    assert_eq!(snapshot.pace, None);
    assert_eq!(
        serde_json::to_string(&snapshot).expect("text"),
        r#"{"t":"t0","n":0,"m":[]}"#
    );
}
