//! Calls that fail at a target, as its owner hears of them.

mod support;

use chervilshunt_core::{
    Owner, OwnerAction, OwnerEvent, Permit, PermitAnswer, RefusalReason, ReleaseOutcome,
};
use chervilshunt_model::{AttemptId, Class, TargetName};
use rstest::rstest;
use support::{answers, at, config, finished, granted, model, owner_with, release, request};

/// Later than the first pause of a breaker, jitter included.
const PAUSE_OVER: u64 = 760;

fn ask(owner: &mut Owner, attempt: u128, class: Class, millis: u64) -> Vec<OwnerAction> {
    let req = request(attempt, Some(model(1)), class);
    owner.handle(OwnerEvent::PermitRequested(req), at(millis))
}

fn owner_with_peers(peers: &[&str]) -> Owner {
    let mut cfg = config(2, 16);
    cfg.peers = peers.iter().map(|it| TargetName::from(*it)).collect();
    owner_with(cfg, &[model(1)])
}

/// Makes calls one after the other, each of which is held for `held` ms and ends in the same way;
/// returns when the last one ended.
fn calls(owner: &mut Owner, count: u128, outcome: ReleaseOutcome, held: u64) -> u64 {
    let mut now = 10;
    for attempt in 1..=count {
        ask(owner, attempt, Class::Live, now);
        now += held;
        owner.handle(release(attempt, outcome), at(now));
    }
    now
}

fn attempts(permits: &[Permit]) -> Vec<AttemptId> {
    permits.iter().map(|permit| permit.attempt).collect()
}

/// Whether one more request is refused because calls fail here.
fn is_closed_to_calls(owner: &mut Owner, now: u64) -> bool {
    let attempt = u128::from(now) << 64;
    let answers = answers(&ask(owner, attempt, Class::Live, now));
    answers.iter().any(|(_, answer)| match answer {
        PermitAnswer::Refused { reason, .. } => *reason == RefusalReason::TargetFailing,
        PermitAnswer::Granted { .. } | PermitAnswer::Redirect { .. } => false,
    })
}

/// What the caller sees: an answer from a sound target.
/// A target passes its health checks and fails the calls that it is sent. Its owner sends the next
/// requests on, instead of letting each of them fail there first.
#[test]
fn sends_requests_on_while_calls_fail() {
    let mut owner = owner_with_peers(&["t1"]);
    let now = calls(&mut owner, 5, ReleaseOutcome::TargetFailed, 10);
    let actions = ask(&mut owner, 100, Class::Live, now + 1);
    let answers = answers(&actions);
    let [(_, PermitAnswer::Redirect { targets })] = &*answers else {
        panic!("one redirect: {answers:?}");
    };
    assert_eq!(targets.as_slice(), [TargetName::from("t1")]);
}

/// What the caller sees: a refusal at once, with the time at which the target is tried again.
/// The only target fails all calls. Live requests are refused and not run; deferrable ones wait, as
/// they may not fail.
#[test]
fn refuses_live_requests_at_once_and_keeps_deferrable_ones() {
    let mut owner = owner_with_peers(&[]);
    let now = calls(&mut owner, 5, ReleaseOutcome::TargetFailed, 10);
    let live = answers(&ask(&mut owner, 100, Class::Live, now + 1));
    let [
        (
            _,
            PermitAnswer::Refused {
                reason,
                retry_after_ms,
            },
        ),
    ] = &*live
    else {
        panic!("one refusal: {live:?}");
    };
    assert_eq!(*reason, RefusalReason::TargetFailing);
    assert!((400..=750).contains(retry_after_ms), "{retry_after_ms} ms");
    let deferrable = answers(&ask(&mut owner, 101, Class::Deferrable, now + 2));
    assert!(deferrable.is_empty(), "it waits: {deferrable:?}");
    let wakeup = owner.next_wakeup().expect("a request waits");
    assert!(wakeup <= at(now + PAUSE_OVER), "{wakeup:?}");
}

/// What callers see: one request at a time until two have been answered, then all at once.
/// The target is sound again. Were all that wait let through together, one that is not would fail
/// them all.
#[test]
fn lets_single_calls_through_until_two_have_succeeded() {
    let mut owner = owner_with_peers(&[]);
    let failed = calls(&mut owner, 5, ReleaseOutcome::TargetFailed, 10);
    for attempt in 100..110 {
        ask(&mut owner, attempt, Class::Deferrable, failed + 1);
    }
    let mut now = failed + PAUSE_OVER;
    let mut running = granted(&owner.handle(OwnerEvent::Tick, at(now)));
    for probe in 0..2 {
        let [permit] = &*running else {
            panic!("one call shows whether the target is back ({probe}): {running:?}");
        };
        let attempt = permit.attempt.as_u128();
        now += 10;
        running = granted(&owner.handle(release(attempt, finished()), at(now)));
    }
    assert_eq!(
        running.len(),
        8,
        "the rest together: {:?}",
        attempts(&running)
    );
}

/// The first call after the pause fails as well: the pause begins anew, and is longer.
#[test]
fn stops_calls_again_when_the_first_one_fails() {
    let mut owner = owner_with_peers(&[]);
    let failed = calls(&mut owner, 5, ReleaseOutcome::TargetFailed, 10);
    let now = failed + PAUSE_OVER;
    let probe = granted(&ask(&mut owner, 100, Class::Live, now));
    assert_eq!(attempts(&probe), [AttemptId::from_u128(100)]);
    owner.handle(release(100, ReleaseOutcome::TargetFailed), at(now + 10));
    let refused = answers(&ask(&mut owner, 101, Class::Live, now + 11));
    let [(_, PermitAnswer::Refused { retry_after_ms, .. })] = &*refused else {
        panic!("one refusal: {refused:?}");
    };
    assert!(
        (900..=1_500).contains(retry_after_ms),
        "{retry_after_ms} ms"
    );
}

/// What the caller sees: no refusals for the length of somebody's long answer.
/// The call that shows whether the target is back streams for minutes. A target that fails does so at
/// the start, so that the stream counts as a success once it has run for several times the usual time
/// to the first piece.
#[test]
fn a_long_answer_does_not_hold_the_others_up() {
    let mut owner = owner_with_peers(&[]);
    let failed = calls(&mut owner, 5, ReleaseOutcome::TargetFailed, 10);
    let mut now = failed + PAUSE_OVER;
    for stream in 100..102 {
        let probe = granted(&ask(&mut owner, stream, Class::Live, now));
        assert_eq!(attempts(&probe), [AttemptId::from_u128(stream)]);
        assert!(is_closed_to_calls(&mut owner, now + 1));
        let passes = owner.next_wakeup().expect("the probe is looked at");
        now = passes.as_millis().max(now + 10_000);
        owner.handle(OwnerEvent::Tick, at(now));
    }
    assert!(!is_closed_to_calls(&mut owner, now + 1));
}

/// How the ends of ten calls in a row count. Each release arrives twice, and counts once.
#[rstest]
#[case::failed(ReleaseOutcome::TargetFailed, 10, true)]
#[case::finished(finished(), 10, false)]
#[case::callers_went_away(ReleaseOutcome::Cancelled, 10, false)]
#[case::adapter_missing(ReleaseOutcome::AdapterMissing, 10, false)]
#[case::short_deadlines_of_callers(ReleaseOutcome::TimedOut, 50, false)]
#[case::a_target_that_hangs(ReleaseOutcome::TimedOut, 4_500, true)]
fn which_ends_speak_against_the_target(
    #[case] outcome: ReleaseOutcome,
    #[case] held: u64,
    #[case] closed: bool,
) {
    let mut owner = owner_with_peers(&[]);
    let mut now = 10;
    for round in 0..3 {
        for attempt in 0..4 {
            let attempt = 10 * round + attempt + 1;
            ask(&mut owner, attempt, Class::Live, now);
        }
        now += held;
        for attempt in 0..4 {
            let attempt = 10 * round + attempt + 1;
            owner.handle(release(attempt, outcome), at(now));
            owner.handle(release(attempt, outcome), at(now));
        }
        if closed && round == 1 {
            break;
        }
    }
    assert_eq!(is_closed_to_calls(&mut owner, now + 1), closed);
}

/// Fewer calls than it takes to tell, counted twice by a release that arrives twice, would be enough.
#[test]
fn a_doubled_release_counts_once() {
    let mut owner = owner_with_peers(&[]);
    let mut now = 10;
    for attempt in 1..=4 {
        ask(&mut owner, attempt, Class::Live, now);
        now += 10;
        owner.handle(release(attempt, ReleaseOutcome::TargetFailed), at(now));
        owner.handle(release(attempt, ReleaseOutcome::TargetFailed), at(now));
    }
    assert!(!is_closed_to_calls(&mut owner, now + 1));
}
