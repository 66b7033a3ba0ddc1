//! A busy adapter gets more targets, and gets them before adapters that one request waits for.
//!
//! At the start of a calm day the two busiest adapters came to be on one target. It had more requests
//! than slots within a second, and their next holders waited behind 40 loads for one request each: 25
//! of the 70 requests that were late in the first two seconds were late there.

#[path = "support/placing.rs"]
mod placing;

use std::time::Duration;

use chervilshunt_core::{
    Lane, OrderAnswer, OrderNumber, Residency, ResidencyAction, ResidencyEvent, Use, Weights,
};
use placing::{adapter, at, before_asking, reported, service, target};
use rstest::rstest;

const TARGETS: usize = 12;

/// A planner before targets with 10 slots for requests and 20 for adapters, of which the first holds
/// the busy adapter and the others nothing.
fn planner() -> Residency {
    let mut residency = before_asking(TARGETS, 10, 20);
    residency.handle(ResidencyEvent::Tick, at(450));
    for index in 0..TARGETS {
        let held = (index == 0).then(|| (adapter("busy"), 1));
        residency.handle(reported(index, held.into_iter().collect()), at(451));
    }
    residency
}

fn used(in_flight: u32) -> ResidencyEvent {
    let used = Use {
        target: target(0),
        weights: Some(adapter("busy")),
        in_flight,
    };
    ResidencyEvent::Used("i1".into(), vec![used])
}

fn loads(actions: &[ResidencyAction]) -> Vec<(OrderNumber, Weights)> {
    let orders = actions.iter().filter_map(|action| match action {
        ResidencyAction::Order(order) => Some((order.number, order.weights.clone())),
        _ => None,
    });
    orders.collect()
}

#[rstest]
#[case::not_busy(3, 0)]
#[case::a_little(5, 1)]
#[case::more(9, 2)]
#[case::far_too_many(40, 3)]
fn a_crowded_adapter_gets_as_many_targets_as_its_requests_need(
    #[case] in_flight: u32,
    #[case] more: usize,
) {
    let mut residency = planner();
    let actions = residency.handle(used(in_flight), at(600));
    assert_eq!(loads(&actions).len(), more, "{actions:?}");
    let actions = residency.handle(used(in_flight), at(800));
    assert_eq!(loads(&actions).len(), 0, "those are on their way");
}

#[test]
fn a_crowded_adapter_goes_before_loads_for_one_request_each() {
    let mut residency = planner();
    let mut under_way = Vec::new();
    for number in 0..30_u64 {
        let wanted = ResidencyEvent::Wanted {
            question: number,
            service: service(),
            weights: adapter(&format!("rare{number}")),
            within: Duration::from_secs(2),
            lane: Lane::General,
            avoid: Vec::new(),
        };
        under_way.extend(loads(&residency.handle(wanted, at(500))));
    }
    assert_eq!(
        residency.handle(used(5), at(600)).len(),
        0,
        "the window is full"
    );
    let mut next = Vec::new();
    for (number, _) in under_way {
        let accepted = ResidencyEvent::Answered(number, OrderAnswer::Accepted);
        next.extend(loads(&residency.handle(accepted, at(610))));
    }
    assert!(next.is_empty(), "{next:?}");
    let looks = loads(&residency.handle(ResidencyEvent::Tick, at(900)));
    let (look, _) = looks.first().expect("a look at a load");
    let actions = residency.handle(ResidencyEvent::Answered(*look, OrderAnswer::Done), at(903));
    let begun: Vec<Weights> = loads(&actions).into_iter().map(|(_, it)| it).collect();
    assert_eq!(begun, [adapter("busy")]);
}

fn instance_used(instance: &str, at_target: usize, in_flight: u32) -> ResidencyEvent {
    let used = Use {
        target: target(at_target),
        weights: None,
        in_flight,
    };
    ResidencyEvent::Used(instance.into(), vec![used])
}

/// What others have under way is told where there is anything, and once more where there no longer is:
/// left out, an instance would go on counting requests that have ended.
#[test]
fn instances_are_told_of_targets_that_others_use_or_have_just_used() {
    let mut residency = planner();
    residency.handle(instance_used("i1", 1, 4), at(600));
    residency.handle(instance_used("i2", 1, 3), at(600));
    assert_eq!(residency.load_beside(&"i1".into(), false), [(target(1), 3)]);
    assert_eq!(residency.load_beside(&"i2".into(), false), [(target(1), 4)]);
    residency.handle(instance_used("i2", 2, 5), at(1_000));
    assert_eq!(
        residency.load_beside(&"i1".into(), false),
        [(target(1), 0), (target(2), 5)]
    );
    assert_eq!(residency.load_beside(&"i1".into(), false), [(target(2), 5)]);
    residency.handle(ResidencyEvent::InstanceGone("i2".into()), at(1_100));
    assert_eq!(residency.load_beside(&"i1".into(), false), [(target(2), 0)]);
    assert_eq!(residency.load_beside(&"i1".into(), false), []);
    let all = residency.load_beside(&"i1".into(), true);
    assert_eq!(
        all.len(),
        TARGETS,
        "an instance that may have missed a telling"
    );
}
