//! Replays of a placer before targets of uneven speed.
//!
//! The simulated engines prefill one prompt at a time and then generate in one of their slots; both
//! take longer in proportion to the pace that they state when they begin on a request.

#[path = "support/uneven.rs"]
mod uneven;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use uneven::{Engines, Replay, Sizes, drafts, is_slow};

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
    assert!(stated.mean_end() < silent.mean_end() * 0.99);
}
