//! Placing requests that continue a stream, at targets of two software versions.

#[path = "support/placing.rs"]
mod placing;

use chervilshunt_core::{
    Choice, Dispatch, DispatchConfig, Lane, Leaving, PlacementResult, ResidencyAction,
    ResidencyEvent, ResidencyPlanner, SoftwareVersion, TargetFacts, TargetRequirements, WaitReason,
};
use chervilshunt_model::ZoneName;
use placing::{
    adapter, at, facts, placement_request, reported, service, target, unqueried_planner,
};
use rstest::rstest;

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::new(name)
}

/// Returns target 0 and 1 of `v1`, and 2 of `v2`.
fn targets() -> Vec<TargetFacts> {
    let software = ["v1", "v1", "v2"];
    let targets = software.into_iter().enumerate();
    targets
        .map(|(index, software)| TargetFacts {
            software: Some(version(software)),
            ..facts(index, 4)
        })
        .collect()
}

fn dispatch() -> Dispatch {
    let mut dispatch = Dispatch::new(DispatchConfig::default(), ZoneName::from("zone"));
    for facts in targets() {
        dispatch.target_listed(facts, at(0));
    }
    dispatch
}

fn choose(dispatch: &Dispatch, software: &str, draw: f64) -> Choice {
    let software = version(software);
    let requirements = TargetRequirements {
        service: &service(),
        weights: None,
        lane: Lane::General,
        software: Some(&software),
        avoid: &[],
        has_transit: false,
    };
    dispatch.choose(&requirements, || draw, at(0))
}

/// Guards against a choice without a placer that continues a stream at another version.
#[rstest]
fn only_targets_of_the_version_are_chosen(
    #[values("v1", "v2")] software: &str,
    #[values(0.0, 0.3, 0.9)] draw: f64,
) {
    let dispatch = dispatch();
    let Choice::Send { target, .. } = choose(&dispatch, software, draw) else {
        panic!("no target");
    };
    assert_eq!(dispatch.software(&target), Some(version(software)));
}

#[test]
fn a_version_without_targets_is_not_replaced() {
    let choice = choose(&dispatch(), "v3", 0.0);
    assert_eq!(choice, Choice::Wait(WaitReason::NoTarget));
}

/// Guards against a target that the placer has chosen from an older list.
#[test]
fn a_named_target_of_another_version_is_not_used() {
    let dispatch = dispatch();
    let of = |software: &str| {
        let software = version(software);
        dispatch.choose_named(&target(2), None, Some(&software), false, at(0))
    };
    assert!(matches!(of("v2"), Choice::Send { .. }));
    assert_eq!(of("v1"), Choice::Wait(WaitReason::NoTarget));
}

#[test]
fn a_version_serves_while_one_of_its_targets_takes_requests() {
    let mut dispatch = dispatch();
    assert!(dispatch.serves_software(&service(), &version("v2")));
    assert!(!dispatch.serves_software(&service(), &version("v3")));
    let leaving = TargetFacts {
        leaving: Some(Leaving { gone_after: None }),
        ..targets()[2].clone()
    };
    dispatch.target_listed(leaving, at(0));
    assert!(!dispatch.serves_software(&service(), &version("v2")));
}

/// Returns a planner that knows targets of two versions, of which only the one of `v2` holds the adapter.
fn planner() -> ResidencyPlanner {
    let mut residency = unqueried_planner(0, 4, 4);
    for facts in targets() {
        residency.handle(ResidencyEvent::TargetListed(facts), at(0));
    }
    residency.handle(ResidencyEvent::Tick, at(1_000));
    for index in 0..3 {
        let held = if index == 2 {
            vec![(adapter("a1"), 1)]
        } else {
            Vec::new()
        };
        residency.handle(reported(index, held), at(1_001));
    }
    residency
}

fn asked(software: Option<&str>) -> ResidencyEvent {
    let mut event = placement_request(7, adapter("a1"), 2_000);
    if let ResidencyEvent::PlacementRequested { request, .. } = &mut event {
        request.software = software.map(version);
    }
    event
}

/// Guards against a placer that continues a stream where its adapter is instead of where it began.
#[test]
fn the_placer_loads_the_adapter_at_the_version_that_began_the_stream() {
    let mut residency = planner();
    let actions = residency.handle(asked(Some("v1")), at(1_010));
    let ordered = actions.iter().find_map(|it| match it {
        ResidencyAction::Order(order) => Some(order.target.clone()),
        _ => None,
    });
    let ordered = ordered.expect("an order to load");
    assert!([target(0), target(1)].contains(&ordered), "{ordered:?}");
    assert!(
        !actions
            .iter()
            .any(|it| matches!(it, ResidencyAction::Answer(..)))
    );
}

#[test]
fn the_placer_uses_a_holder_of_the_version_that_began_the_stream() {
    let actions = planner().handle(asked(Some("v2")), at(1_010));
    let expected = |it: &ResidencyAction| {
        let ResidencyAction::Answer(7, PlacementResult::At { target: at, .. }) = it else {
            return false;
        };
        *at == target(2)
    };
    assert!(actions.iter().any(expected), "{actions:?}");
}

/// Guards against a request that waits for a version which has no target.
#[test]
fn the_placer_refuses_a_version_without_targets_at_once() {
    let actions = planner().handle(asked(Some("v3")), at(1_010));
    let is_refused = |it: &ResidencyAction| {
        matches!(
            it,
            ResidencyAction::Answer(7, PlacementResult::Later { .. })
        )
    };
    assert!(actions.iter().any(is_refused), "{actions:?}");
}
