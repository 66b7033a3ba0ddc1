//! Tests of the circuit breaker that an owner keeps for its target.

mod support;

use chervilshunt_core::{
    Owner, OwnerAction, OwnerEvent, Permit, PermitAnswer, RefusalReason, ReleaseOutcome,
};
use chervilshunt_model::{AttemptId, Class, TargetName};
use rstest::rstest;
use support::{answers, at, config, finished, granted, model, owner_with, release, request};

/// A time after the breaker's first open period, including jitter, in milliseconds.
const AFTER_FIRST_OPEN_MS: u64 = 760;

fn ask(owner: &mut Owner, attempt: u128, class: Class, millis: u64) -> Vec<OwnerAction> {
    let req = request(attempt, Some(model(1)), class);
    owner.handle(OwnerEvent::PermitRequested(req), at(millis))
}

fn owner_with_peers(peers: &[&str]) -> Owner {
    let mut cfg = config(2, 16);
    cfg.peers = peers.iter().map(|it| TargetName::from(*it)).collect();
    owner_with(cfg, &[model(1)])
}

/// Makes calls one after the other, each of which takes `held_ms` milliseconds and ends with
/// `outcome`. Returns when the last one ended, in milliseconds.
fn make_calls(owner: &mut Owner, count: u128, outcome: ReleaseOutcome, held_ms: u64) -> u64 {
    let mut now = 10;
    for attempt in 1..=count {
        ask(owner, attempt, Class::Live, now);
        now += held_ms;
        owner.handle(release(attempt, outcome), at(now));
    }
    now
}

fn attempts(permits: &[Permit]) -> Vec<AttemptId> {
    permits.iter().map(|permit| permit.attempt).collect()
}

/// Returns whether another request is refused because calls to the target fail.
fn refuses_calls(owner: &mut Owner, now: u64) -> bool {
    let attempt = u128::from(now) << 64;
    let answers = answers(&ask(owner, attempt, Class::Live, now));
    answers.iter().any(|(_, answer)| match answer {
        PermitAnswer::Refused { reason, .. } => *reason == RefusalReason::TargetFailing,
        PermitAnswer::Granted { .. } | PermitAnswer::Redirect { .. } => false,
    })
}

/// Guards against requests that each fail first at a target that passes its health checks but fails
/// calls. The owner redirects the next requests, so that callers get answers from a healthy target.
#[test]
fn redirects_requests_while_calls_fail() {
    let mut owner = owner_with_peers(&["t1"]);
    let now = make_calls(&mut owner, 5, ReleaseOutcome::TargetFailed, 10);
    let actions = ask(&mut owner, 100, Class::Live, now + 1);
    let answers = answers(&actions);
    let [(_, PermitAnswer::Redirect { targets })] = &*answers else {
        panic!("expected one redirect, got: {answers:?}");
    };
    assert_eq!(targets.as_slice(), [TargetName::from("t1")]);
}

/// The only target fails all calls. Live requests are refused at once without being run, with the
/// time at which the target is tried again. Deferrable requests stay queued, because they must not
/// fail.
#[test]
fn refuses_live_requests_at_once_and_queues_deferrable_ones() {
    let mut owner = owner_with_peers(&[]);
    let now = make_calls(&mut owner, 5, ReleaseOutcome::TargetFailed, 10);
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
        panic!("expected one refusal, got: {live:?}");
    };
    assert_eq!(*reason, RefusalReason::TargetFailing);
    assert!((400..=750).contains(retry_after_ms), "{retry_after_ms} ms");
    let deferrable = answers(&ask(&mut owner, 101, Class::Deferrable, now + 2));
    assert!(
        deferrable.is_empty(),
        "the deferrable request is not queued: {deferrable:?}"
    );
    let wakeup = owner.next_wakeup().expect("a request waits");
    assert!(wakeup <= at(now + AFTER_FIRST_OPEN_MS), "{wakeup:?}");
}

/// The target may have recovered. If all queued requests were let through together, a target that
/// still fails would fail all of them, so single probes go first until two have succeeded.
#[test]
fn admits_single_probes_until_two_have_succeeded() {
    let mut owner = owner_with_peers(&[]);
    let failed = make_calls(&mut owner, 5, ReleaseOutcome::TargetFailed, 10);
    for attempt in 100..110 {
        ask(&mut owner, attempt, Class::Deferrable, failed + 1);
    }
    let mut now = failed + AFTER_FIRST_OPEN_MS;
    let mut running = granted(&owner.handle(OwnerEvent::Tick, at(now)));
    for probe in 0..2 {
        let [permit] = &*running else {
            panic!("probe {probe} is not a single call: {running:?}");
        };
        let attempt = permit.attempt.as_u128();
        now += 10;
        running = granted(&owner.handle(release(attempt, finished()), at(now)));
    }
    assert_eq!(
        running.len(),
        8,
        "the remaining requests are not granted together: {:?}",
        attempts(&running)
    );
}

/// The first probe fails too, so the breaker opens again, for longer.
#[test]
fn opens_again_when_the_first_probe_fails() {
    let mut owner = owner_with_peers(&[]);
    let failed = make_calls(&mut owner, 5, ReleaseOutcome::TargetFailed, 10);
    let now = failed + AFTER_FIRST_OPEN_MS;
    let probe = granted(&ask(&mut owner, 100, Class::Live, now));
    assert_eq!(attempts(&probe), [AttemptId::from_u128(100)]);
    owner.handle(release(100, ReleaseOutcome::TargetFailed), at(now + 10));
    let refused = answers(&ask(&mut owner, 101, Class::Live, now + 11));
    let [(_, PermitAnswer::Refused { retry_after_ms, .. })] = &*refused else {
        panic!("expected one refusal, got: {refused:?}");
    };
    assert!(
        (900..=1_500).contains(retry_after_ms),
        "{retry_after_ms} ms"
    );
}

/// The probe is a stream that runs for minutes, during which other requests would be refused.
/// Targets that fail do so at the start, so a stream counts as a success once it has run for
/// several times the usual time to the first byte.
#[test]
fn a_long_stream_does_not_block_other_requests() {
    let mut owner = owner_with_peers(&[]);
    let failed = make_calls(&mut owner, 5, ReleaseOutcome::TargetFailed, 10);
    let mut now = failed + AFTER_FIRST_OPEN_MS;
    for stream in 100..102 {
        let probe = granted(&ask(&mut owner, stream, Class::Live, now));
        assert_eq!(attempts(&probe), [AttemptId::from_u128(stream)]);
        assert!(refuses_calls(&mut owner, now + 1));
        let reviewed_at = owner.next_wakeup().expect("the probe is reviewed");
        now = reviewed_at.as_millis().max(now + 10_000);
        owner.handle(OwnerEvent::Tick, at(now));
    }
    assert!(!refuses_calls(&mut owner, now + 1));
}

/// Checks which outcomes of consecutive calls count as failures of the target. Each release arrives
/// twice and counts once.
#[rstest]
#[case::failed(ReleaseOutcome::TargetFailed, 10, true)]
#[case::finished(finished(), 10, false)]
#[case::callers_disconnected(ReleaseOutcome::Cancelled, 10, false)]
#[case::adapter_missing(ReleaseOutcome::AdapterMissing, 10, false)]
#[case::short_caller_deadlines(ReleaseOutcome::TimedOut, 50, false)]
#[case::target_does_not_answer(ReleaseOutcome::TimedOut, 4_500, true)]
fn which_outcomes_count_as_failures(
    #[case] outcome: ReleaseOutcome,
    #[case] held_ms: u64,
    #[case] refused: bool,
) {
    let mut owner = owner_with_peers(&[]);
    let mut now = 10;
    for round in 0..3 {
        for attempt in 0..4 {
            let attempt = 10 * round + attempt + 1;
            ask(&mut owner, attempt, Class::Live, now);
        }
        now += held_ms;
        for attempt in 0..4 {
            let attempt = 10 * round + attempt + 1;
            owner.handle(release(attempt, outcome), at(now));
            owner.handle(release(attempt, outcome), at(now));
        }
        if refused && round == 1 {
            break;
        }
    }
    assert_eq!(refuses_calls(&mut owner, now + 1), refused);
}

/// Four failed calls are too few to open the breaker. Counting duplicate releases twice would open
/// it.
#[test]
fn a_duplicate_release_counts_once() {
    let mut owner = owner_with_peers(&[]);
    let mut now = 10;
    for attempt in 1..=4 {
        ask(&mut owner, attempt, Class::Live, now);
        now += 10;
        owner.handle(release(attempt, ReleaseOutcome::TargetFailed), at(now));
        owner.handle(release(attempt, ReleaseOutcome::TargetFailed), at(now));
    }
    assert!(!refuses_calls(&mut owner, now + 1));
}
