//! New versions of a base model, while requests for its adapters go on.

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

/// The second in which a replay's caller asks for the base model, and for an adapter.
const ASKS_EVERY_MS: u64 = 100;
/// Until when the targets have to be updated: nine targets, a quarter of them at a time, and each waits
/// for requests of 3 s, then loads for 0.6 s; twice that is enough for the reports and listings between.
const UPDATED_BY_MS: u64 = ANNOUNCED_AT + 36_000;
/// The operators want no request to begin on an older version later than this after its naming.
const VERSION_BOUND_MS: u64 = 5_000;

/// Plays an update while an adapter is asked for, and checks that all targets end with the newest version,
/// a quarter of them out of use at a time at the most.
fn updated(fates: &[Fate]) -> Replay {
    let mut replay = Replay::new();
    replay.fates = fates.to_vec();
    replay.run_until(UPDATED_BY_MS, ASKS_EVERY_MS, &adapter("a1"));
    assert_eq!(replay.versions(), vec![Some(SECOND); TARGETS]);
    assert!(
        replay.max_out_of_service <= TARGETS.div_ceil(4),
        "{}",
        replay.max_out_of_service
    );
    replay
}

/// Callers of all models are refused for as long as the process runs, 2.5 s after it has started, with
/// all targets there. A newer version of the base model has been named that no target has loaded; the
/// instance, which hears no placer and chooses by itself, took every target for unfit, whatever adapter
/// was asked for. The log had `no_target` 677 times between two starts of the placer, and 6,415 times
/// where all instances chose by themselves, with nine targets listed.
#[test]
fn an_adapter_is_served_where_the_base_model_is_older_than_the_newest() {
    let mut dispatch = Dispatch::new(DispatchConfig::default(), ZoneName::from("zone"));
    dispatch.target_listed(facts(0, Some(FIRST), &["a1"]), at(0));
    dispatch.version_announced(base(), SECOND, at(0));
    let choose = |weights: &Weights, now_ms| {
        let service = service();
        let ask = TargetRequirements {
            service: &service,
            weights: Some(weights),
            lane: Lane::General,
            avoid: &[],
        };
        dispatch.choose(&ask, || 0.5, at(now_ms))
    };
    let chosen = choose(&adapter("a1"), 10_000);
    assert!(
        matches!(&chosen, Choice::Send { target: it, expect_version: None, .. } if *it == target(0)),
        "{chosen:?}"
    );
    // The base model itself was named: its older version would be a wrong answer.
    assert_eq!(choose(&base(), 10_000), Choice::Wait(WaitReason::NotHeld));
}

/// Two of nine targets get no request any more, and the others keep the old version for good. A load of
/// a base model that is there, in whatever version, holds already and is answered so; the planner took
/// it for under way until the target would list the newest version. The log had two `order` lines of the
/// model, both `Done`, and after them none until the next placer.
#[test]
fn all_targets_come_to_hold_the_newest_version() {
    let replay = updated(&[]);
    assert!(replay.refused.is_empty(), "{:?}", replay.refused);
}

/// A request for the base model is sent from one target to the next and refused by five of them, until
/// the share of repeated sendings is used up that all instances have together. The placer named targets
/// whose version was older than the one that instances ask for. The log had five `placed` and five
/// `not passed on` within 20 ms, then `budget_spent`.
#[test]
fn a_request_for_the_base_model_is_never_sent_where_an_older_version_is() {
    let mut replay = Replay::new();
    replay.run_until(UPDATED_BY_MS, ASKS_EVERY_MS, &base());
    let bound = at(ANNOUNCED_AT) + Duration::from_millis(VERSION_BOUND_MS);
    let late = replay.placed.iter().filter(|it| it.at >= bound);
    let outdated = late.clone().filter(|it| it.version != Some(SECOND)).count();
    assert_eq!((outdated, late.count() > 0), (0, true));
    let refused = |placed: &PlacementResult| matches!(placed, PlacementResult::Later { .. });
    assert!(replay.refused.iter().all(|(_, placed)| refused(placed)));
}

/// Targets stay as they are, or out of use, for want of the answers to their orders. Each way in which an
/// answer can be lost leaves the target in a state that its next report shows.
#[rstest]
#[case::giving_up_has_no_answer(&[Fate::AnswerLost, Fate::AnswerLost])]
#[case::giving_up_is_lost(&[Fate::Lost, Fate::Lost])]
#[case::giving_up_comes_late(&[Fate::Late, Fate::Late])]
#[case::loading_has_no_answer(&[Fate::Answered, Fate::Answered, Fate::AnswerLost])]
#[case::loading_is_lost(&[Fate::Answered, Fate::Answered, Fate::Lost, Fate::Lost])]
#[case::loading_comes_late(&[Fate::Answered, Fate::Answered, Fate::Late, Fate::Late])]
#[case::all_of_it(&[Fate::Lost, Fate::Late, Fate::AnswerLost, Fate::Lost, Fate::Late, Fate::AnswerLost])]
fn lost_answers_keep_no_target_from_its_newest_version(#[case] fates: &[Fate]) {
    updated(fates);
}

/// Adapters are loaded over and over for nothing. A version is named that the weight store does not have,
/// so that each load brings the old one again; taken for outdated at once, every target would give its
/// model up every few seconds, with all its adapters.
#[test]
fn a_version_that_no_load_brings_is_not_loaded_over_and_over() {
    let mut replay = Replay::new();
    replay.loads_announced_version = false;
    replay.run_until(UPDATED_BY_MS, ASKS_EVERY_MS, &adapter("a1"));
    assert_eq!(replay.versions(), vec![Some(FIRST); TARGETS]);
    assert!(replay.unload_orders <= TARGETS, "{}", replay.unload_orders);
}
