//! Requests that wait for an adapter never get an older version of it than the newest one named.

use std::time::Duration;

use chervilshunt_core::{
    Lane, LoadedModel, ModelSpec, OrderAnswer, OrderNumber, Placed, PlacementLimits, Residency,
    ResidencyAction, ResidencyConfig, ResidencyEvent, TargetFacts, TargetReport, Weights,
};
use chervilshunt_model::{Moment, ServiceName, TargetName, ZoneName};

const QUESTION: u64 = 7;

fn at(millis: u64) -> Moment {
    Moment::from_millis(50_000 + millis)
}

fn service() -> ServiceName {
    ServiceName::from("drafts")
}

fn adapter() -> Weights {
    Weights {
        model: "base".into(),
        adapter: Some("a1".into()),
    }
}

/// A planner that has just begun, before one target that it has asked what it holds.
fn begun() -> Residency {
    let mut residency = Residency::new(ResidencyConfig::default());
    let limits = PlacementLimits {
        models: vec![ModelSpec {
            name: "base".into(),
            megabytes: 100.0,
            load_time: Duration::from_millis(600),
            adapter_megabytes: 1.0,
        }],
        megabytes: 200.0,
        adapter_slots: 4,
        loads_per_second: 4.0,
    };
    residency.handle(ResidencyEvent::Limits(service(), limits), at(0));
    let facts = TargetFacts {
        name: TargetName::from("t1"),
        service: service(),
        address: ([10, 0, 0, 1], 8000).into(),
        zone: ZoneName::from("zone"),
        slots: 16,
        leaving: None,
        models: vec![LoadedModel {
            name: "base".into(),
            version: 1,
            adapters: Vec::new(),
        }],
    };
    residency.handle(ResidencyEvent::TargetSeen(facts), at(0));
    residency
}

fn wanted() -> ResidencyEvent {
    ResidencyEvent::Wanted {
        question: QUESTION,
        service: service(),
        weights: adapter(),
        within: Duration::from_secs(1),
        lane: Lane::General,
        avoid: Vec::new(),
    }
}

fn reported(adapters: Vec<(Weights, u64)>) -> ResidencyEvent {
    let report = TargetReport {
        accepted: 0,
        busy: false,
        adapters,
        loading: Vec::new(),
    };
    ResidencyEvent::Reported(TargetName::from("t1"), report)
}

fn answer(actions: &[ResidencyAction]) -> Option<&Placed> {
    actions.iter().find_map(|action| match action {
        ResidencyAction::Answer(QUESTION, placed) => Some(placed),
        _ => None,
    })
}

fn ordered(actions: &[ResidencyAction]) -> OrderNumber {
    let order = actions.iter().find_map(|action| match action {
        ResidencyAction::Order(order) => Some(order.number),
        _ => None,
    });
    order.expect("an order")
}

/// The caller gets an answer of an adapter's older version, long after a newer one was named. A new
/// placer knows of the newer one, and plans its load at a target that it has asked what it holds;
/// then the target lists the older version, and the load is taken to have ended.
#[test]
fn an_older_version_that_a_target_lists_does_not_end_a_planned_load() {
    let mut residency = begun();
    residency.handle(ResidencyEvent::VersionNamed(adapter(), 2), at(0));
    let actions = residency.handle(wanted(), at(10));
    assert_eq!(answer(&actions), None);
    let actions = residency.handle(reported(vec![(adapter(), 1)]), at(20));
    assert!(
        !matches!(answer(&actions), Some(Placed::At { .. })),
        "{actions:?}"
    );
}

/// The same, where the newer version is named while the older one is being loaded.
#[test]
fn a_load_that_was_ordered_before_a_newer_version_was_named_serves_nobody_who_waits() {
    let mut residency = begun();
    residency.handle(reported(Vec::new()), at(5));
    let actions = residency.handle(wanted(), at(10));
    let accepted = ResidencyEvent::Answered(ordered(&actions), OrderAnswer::Accepted);
    residency.handle(accepted, at(13));
    residency.handle(ResidencyEvent::VersionNamed(adapter(), 2), at(100));
    let look = residency.next_wakeup().expect("a look at the load");
    let actions = residency.handle(ResidencyEvent::Tick, look);
    let done = ResidencyEvent::Answered(ordered(&actions), OrderAnswer::Done);
    let actions = residency.handle(done, look);
    assert!(
        matches!(answer(&actions), Some(Placed::Later { .. })),
        "{actions:?}"
    );
}
