//! Updates of a base model to a new version while requests for its adapters continue.

#[path = "support/model_updates.rs"]
mod model_updates;

use std::time::Duration;

use chervilshunt_core::{
    Choice, Dispatch, DispatchConfig, Lane, PlacementResult, TargetRequirements, WaitReason,
    Weights,
};
use chervilshunt_model::ZoneName;
use model_updates::{
    ANNOUNCED_AT, FIRST, Fate, Replay, SECOND, TARGETS, adapter, at, base, facts, service, target,
};
use rstest::rstest;

/// Interval between two requests of a replay's caller, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 100;
/// Time by which all targets must have the newest version, in milliseconds. Nine targets are
/// updated, a quarter of them at a time; each waits for requests of 3 s and then loads for 0.6 s.
/// The bound is twice that, which leaves time for the reports and listings in between.
const UPDATE_DEADLINE_MS: u64 = ANNOUNCED_AT + 36_000;
/// The operators require that no request starts on an older version later than this after the new
/// version was named.
const MAX_VERSION_LAG_MS: u64 = 5_000;

/// Runs an update while an adapter is requested, and checks that all targets end with the newest
/// version and that at most a quarter of them are out of service at the same time.
fn run_update(fates: &[Fate]) -> Replay {
    let mut replay = Replay::new();
    replay.fates = fates.to_vec();
    replay.run_until(UPDATE_DEADLINE_MS, REQUEST_INTERVAL_MS, &adapter("a1"));
    assert_eq!(replay.versions(), vec![Some(SECOND); TARGETS]);
    assert!(
        replay.max_out_of_service <= TARGETS.div_ceil(4),
        "{}",
        replay.max_out_of_service
    );
    replay
}

/// Guards against refusals of all requests after a newer version of the base model has been named
/// that no target has loaded yet. An instance that receives nothing from a placer and chooses on
/// its own rejected every target for this reason, whichever adapter was requested, from 2.5 s after
/// its start for as long as it ran. The log had `no_target` 677 times between two starts of the
/// placer, and 6,415 times where all instances chose on their own, although nine targets were
/// listed.
#[test]
fn an_adapter_is_served_where_the_base_model_is_older_than_the_newest() {
    let mut dispatch = Dispatch::new(DispatchConfig::default(), ZoneName::from("zone"));
    dispatch.target_listed(facts(0, Some(FIRST), &["a1"]), at(0));
    dispatch.version_announced(base(), SECOND, at(0));
    let choose = |weights: &Weights, now_ms| {
        let service = service();
        let ask = TargetRequirements {
            software: None,
            service: &service,
            weights: Some(weights),
            lane: Lane::General,
            avoid: &[],
            has_transit: false,
        };
        dispatch.choose(&ask, || 0.5, at(now_ms))
    };
    let chosen = choose(&adapter("a1"), 10_000);
    assert!(
        matches!(&chosen, Choice::Send { target: it, expect_version: None, .. } if *it == target(0)),
        "{chosen:?}"
    );
    // The request names the base model itself, so an older version would give a wrong answer.
    assert_eq!(choose(&base(), 10_000), Choice::Wait(WaitReason::NotHeld));
}

/// Guards against targets that keep the old version and get no more requests. A target answers a
/// load of a base model that it holds in any version as done, but the planner treated the load as
/// in progress until the target would list the newest version. Two of nine targets were affected:
/// the log had two `order` lines for the model, both `Done`, and no further ones until the next
/// placer.
#[test]
fn all_targets_load_the_newest_version() {
    let replay = run_update(&[]);
    assert!(replay.refused.is_empty(), "{:?}", replay.refused);
}

/// Guards against placing a request for the base model on targets whose version is older than the
/// one that instances ask for. Five targets in turn refused such a request, until the retry budget
/// that all instances share was used up. The log had five `placed` and five `not passed on` within
/// 20 ms, then `budget_spent`.
#[test]
fn a_request_for_the_base_model_is_never_sent_to_an_older_version() {
    let mut replay = Replay::new();
    replay.run_until(UPDATE_DEADLINE_MS, REQUEST_INTERVAL_MS, &base());
    let bound = at(ANNOUNCED_AT) + Duration::from_millis(MAX_VERSION_LAG_MS);
    let late = replay.placed.iter().filter(|it| it.at >= bound);
    let outdated = late.clone().filter(|it| it.version != Some(SECOND)).count();
    assert_eq!((outdated, late.count() > 0), (0, true));
    let refused = |placed: &PlacementResult| matches!(placed, PlacementResult::Later { .. });
    assert!(replay.refused.iter().all(|(_, placed)| refused(placed)));
}

/// Guards against targets that keep the old version or stay out of service because the answers to
/// their orders are missing. Each way in which an answer can be lost leaves the target in a state
/// that its next report shows.
#[rstest]
#[case::unload_has_no_answer(&[Fate::AnswerLost, Fate::AnswerLost])]
#[case::unload_is_lost(&[Fate::Lost, Fate::Lost])]
#[case::unload_comes_late(&[Fate::Late, Fate::Late])]
#[case::load_has_no_answer(&[Fate::Answered, Fate::Answered, Fate::AnswerLost])]
#[case::load_is_lost(&[Fate::Answered, Fate::Answered, Fate::Lost, Fate::Lost])]
#[case::load_comes_late(&[Fate::Answered, Fate::Answered, Fate::Late, Fate::Late])]
#[case::all_of_these(&[Fate::Lost, Fate::Late, Fate::AnswerLost, Fate::Lost, Fate::Late, Fate::AnswerLost])]
fn lost_answers_do_not_keep_targets_from_the_newest_version(#[case] fates: &[Fate]) {
    run_update(fates);
}

/// Guards against loading adapters repeatedly without effect. The named version is missing from the
/// weight store, so each load brings the old version again. If a target were treated as outdated at
/// once, it would unload its model with all adapters every few seconds.
#[test]
fn a_version_that_the_store_lacks_is_not_loaded_repeatedly() {
    let mut replay = Replay::new();
    replay.loads_announced_version = false;
    replay.run_until(UPDATE_DEADLINE_MS, REQUEST_INTERVAL_MS, &adapter("a1"));
    assert_eq!(replay.versions(), vec![Some(FIRST); TARGETS]);
    assert!(replay.unload_orders <= TARGETS, "{}", replay.unload_orders);
}
