//! Tests for targets that restart under the same name, and for entries that arrive late.

#[path = "support/placing.rs"]
mod placing;

use std::time::Duration;

use chervilshunt_core::{
    AdapterHolding, Choice, Dispatch, DispatchConfig, EntryChange, HealthSignal, Lane,
    LoadedAdapter, LoadedModel, Order, OrderAnswer, OrderKind, PlacementRequest, PlacementResult,
    ResidencyAction, ResidencyEvent, ResidencyPlanner, TargetFacts, TargetPath, TargetReport,
    TargetRequirements, TargetStart, TargetUse, Weights,
};
use chervilshunt_model::{InstanceId, TargetName, ZoneName};
use placing::{adapter, at, service, target};
use rstest::rstest;

const SLOTS: usize = 4;

fn started(at: u64) -> Option<TargetStart> {
    Some(TargetStart(at))
}

/// The entry of target 0 as written by the given start.
fn entry(start: u64, adapters: &[&str]) -> TargetFacts {
    let adapters = adapters.iter().map(|name| LoadedAdapter {
        name: (*name).into(),
        version: 1,
    });
    TargetFacts {
        name: target(0),
        started: started(start),
        service: service(),
        address: ([10, 0, 0, 1], 8000).into(),
        zone: ZoneName::from("zone"),
        slots: 2,
        leaving: None,
        software: None,
        models: vec![LoadedModel {
            name: "base".into(),
            version: 1,
            adapters: adapters.collect(),
        }],
    }
}

fn dispatch(start: u64, adapters: &[&str]) -> Dispatch {
    let mut dispatch = Dispatch::new(DispatchConfig::default(), ZoneName::from("zone"));
    dispatch.target_listed(entry(start, adapters), at(0));
    dispatch
}

fn choice(dispatch: &Dispatch, weights: Option<&Weights>, now: u64) -> Choice {
    let service = service();
    let requirements = TargetRequirements {
        software: None,
        service: &service,
        weights,
        lane: Lane::General,
        avoid: &[],
        has_transit: false,
    };
    dispatch.choose(&requirements, || 0.5, at(now))
}

fn is_sent(choice: &Choice) -> bool {
    matches!(choice, Choice::Send { .. })
}

/// Guards against state that survives a restart. A target is full, unreachable and holds an
/// adapter, and then restarts under its name. If it were considered unchanged, it would get no
/// requests, since its previous ones never end, and would be sent requests for an adapter that it
/// no longer holds.
#[test]
fn a_restart_discards_the_earlier_state() {
    let mut dispatch = dispatch(100, &["a1"]);
    for _ in 0..3 {
        dispatch.sent(&target(0), Some(&adapter("a1")));
    }
    dispatch.record_signal(
        &target(0),
        TargetPath::Direct,
        HealthSignal::Unreachable,
        at(10),
    );
    assert!(!is_sent(&choice(&dispatch, None, 20)), "it is full");
    let change = dispatch.target_listed(entry(200, &[]), at(30));
    assert_eq!(change, EntryChange::Restarted);
    assert!(is_sent(&choice(&dispatch, None, 40)));
    assert!(!is_sent(&choice(&dispatch, Some(&adapter("a1")), 40)));
    assert_eq!(dispatch.report_uses(), []);
}

/// Guards against an overloaded target after a restart. Requests to the previous start end one by
/// one as their connections break; if they were subtracted from the load of the new start, its own
/// requests would not be counted.
#[test]
fn the_end_of_an_earlier_request_does_not_count_for_the_new_start() {
    let mut dispatch = dispatch(100, &[]);
    dispatch.sent(&target(0), None);
    dispatch.target_listed(entry(200, &[]), at(30));
    for _ in 0..3 {
        dispatch.sent(&target(0), None);
    }
    dispatch.ended(&target(0), None, started(100));
    assert!(!is_sent(&choice(&dispatch, None, 40)), "three are too many");
    dispatch.ended(&target(0), None, started(200));
    assert!(is_sent(&choice(&dispatch, None, 50)));
}

/// A heartbeat of the previous start is written late, after the entry of the new one, or after the
/// target was removed.
#[rstest]
#[case::after_the_new_one(false)]
#[case::after_its_end(true)]
fn an_entry_of_an_earlier_start_is_ignored(#[case] gone: bool) {
    let mut dispatch = dispatch(200, &[]);
    if gone {
        dispatch.target_gone(&target(0));
    }
    let change = dispatch.target_listed(entry(100, &["a1"]), at(30));
    assert_eq!(change, EntryChange::Outdated);
    assert!(!is_sent(&choice(&dispatch, Some(&adapter("a1")), 40)));
    assert_eq!(dispatch.target(&target(0)).is_none(), gone);
}

#[test]
fn a_holding_of_an_earlier_start_is_ignored() {
    let mut dispatch = dispatch(200, &[]);
    let holding = |start| AdapterHolding {
        target: target(0),
        started: started(start),
        weights: adapter("a1"),
        version: Some(1),
    };
    dispatch.holding_changed(holding(100));
    assert!(!is_sent(&choice(&dispatch, Some(&adapter("a1")), 20)));
    dispatch.holding_changed(holding(200));
    assert!(is_sent(&choice(&dispatch, Some(&adapter("a1")), 40)));
}

/// A planner and one target, whose answers are given by the test.
struct Planning {
    residency: ResidencyPlanner,
    now: u64,
    orders: Vec<Order>,
    answers: Vec<PlacementResult>,
    queried: bool,
}

impl Planning {
    fn begin() -> Self {
        let mut residency = placing::unqueried_planner(0, 16, SLOTS);
        residency.handle(ResidencyEvent::TargetListed(entry(100, &[])), at(0));
        let mut it = Self {
            residency,
            now: 0,
            orders: Vec::new(),
            answers: Vec::new(),
            queried: false,
        };
        it.pass(500);
        it.reports(100, 0, &[]);
        it
    }

    /// Begins as a placer that follows another one, with a target that has started at a time.
    ///
    /// Starts since 80,000 are recent.
    fn follow_predecessor(start: u64) -> Self {
        let mut residency = placing::unqueried_planner(0, 16, SLOTS);
        residency.follow_predecessor(TargetStart(80_000), at(0));
        residency.handle(ResidencyEvent::TargetListed(entry(start, &[])), at(0));
        let mut it = Self {
            residency,
            now: 0,
            orders: Vec::new(),
            answers: Vec::new(),
            queried: false,
        };
        it.pass(500);
        it.reports(start, 0, &[]);
        it
    }

    /// Loads adapters and keeps them in use until no slot is free. Returns how many were loaded.
    fn fill(&mut self, prefix: &str) -> usize {
        let mut loaded = 0;
        while self.load(&format!("{prefix}{loaded}")) {
            let orders = self.orders.iter();
            let uses = orders.map(|order| TargetUse {
                target: target(0),
                weights: Some(order.weights.clone()),
                in_flight: 1,
            });
            let uses = uses.collect();
            self.handle(ResidencyEvent::UsageReported(
                InstanceId::from("i"),
                uses,
                Vec::new(),
            ));
            loaded += 1;
        }
        loaded
    }

    fn handle(&mut self, event: ResidencyEvent) {
        for action in self.residency.handle(event, at(self.now)) {
            match action {
                ResidencyAction::Order(order) => self.orders.push(order),
                ResidencyAction::Answer(_, placed) => self.answers.push(placed),
                ResidencyAction::QueryTarget(_) => self.queried = true,
                ResidencyAction::Notify(_) => {}
            }
        }
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now += 10;
            self.handle(ResidencyEvent::Tick);
        }
    }

    fn request_placement(&mut self, name: &str) {
        self.handle(ResidencyEvent::PlacementRequested {
            request_id: self.now,
            from: InstanceId::from("i"),
            request: PlacementRequest {
                software: None,
                service: service(),
                weights: adapter(name),
                prompt_tokens: 1_000,
                lane: Lane::General,
                zone: ZoneName::from("zone"),
                avoid: Vec::new(),
            },
            within: Duration::from_secs(30),
        });
    }

    fn reports(&mut self, start: u64, accepted: u64, adapters: &[&str]) {
        let report = TargetReport {
            started: started(start),
            accepted,
            busy: false,
            models: vec![(Weights::base(&"base".into()), 1)],
            adapters: adapters.iter().map(|it| (adapter(it), 1)).collect(),
            loading: Vec::new(),
        };
        self.queried = false;
        self.handle(ResidencyEvent::TargetReported(
            TargetName::from("t0"),
            report,
        ));
    }

    fn answer(&mut self, answer: OrderAnswer) {
        let number = self.orders.last().expect("an order").number;
        self.handle(ResidencyEvent::OrderAnswered(number, answer));
    }

    /// Requests an adapter and lets the target load it; returns whether the load was ordered.
    fn load(&mut self, name: &str) -> bool {
        let before = self.orders.len();
        self.request_placement(name);
        if self.orders.len() == before {
            return false;
        }
        self.answer(OrderAnswer::Accepted);
        self.pass(300);
        self.answer(OrderAnswer::Done);
        true
    }
}

/// Guards against an order to the previous start that counts for the new one. The target restarts
/// between the order and its answer, while a caller waits for the load; the new start has accepted
/// no orders.
#[rstest]
#[case::seen_in_its_entry(false)]
#[case::seen_in_its_report(true)]
fn an_order_to_the_previous_start_is_ignored(#[case] in_report: bool) {
    let mut planning = Planning::begin();
    planning.request_placement("a1");
    assert_eq!(planning.orders.len(), 1);
    if in_report {
        planning.answer(OrderAnswer::OutOfTurn);
        planning.pass(500);
        assert!(planning.queried);
        planning.reports(200, 0, &[]);
    } else {
        planning.handle(ResidencyEvent::TargetListed(entry(200, &[])));
        planning.answer(OrderAnswer::Accepted);
    }
    assert_eq!(
        planning.answers.len(),
        1,
        "the caller is answered immediately"
    );
    planning.pass(300);
    assert_eq!(
        planning.orders.len(),
        1,
        "no order before the target has been queried"
    );
    planning.pass(500);
    planning.reports(200, 0, &[]);
    planning.request_placement("a2");
    let order = planning.orders.last().expect("an order");
    assert_eq!((order.accepted_before, &order.weights), (0, &adapter("a2")));
}

/// Guards against a report that was sent before a restart and arrives after it. If it were applied,
/// the target would be announced as holding adapters that it lost, and orders would state the order
/// count of the previous start.
#[test]
fn a_report_of_the_previous_start_is_ignored() {
    let mut planning = Planning::begin();
    planning.handle(ResidencyEvent::TargetListed(entry(200, &[])));
    planning.pass(500);
    assert!(planning.queried);
    planning.reports(100, 7, &["a1"]);
    let snapshots = planning.residency.snapshots();
    assert!(snapshots.iter().all(|it| it.models.is_empty()));
    planning.pass(500);
    assert!(planning.queried, "the target is queried again");
    planning.reports(200, 0, &[]);
    planning.request_placement("a1");
    assert_eq!(planning.orders[0].accepted_before, 0);
}

/// Guards against a load for which the target has no slot, which kills it. A load is ordered after
/// three others and not answered. The target restarts and accepts three loads, so the lost order
/// may now be executed; a fourth load must not be ordered in addition.
#[test]
fn an_order_that_may_be_executed_late_reserves_a_slot() {
    let mut planning = Planning::begin();
    for name in ["a1", "a2", "a3"] {
        assert!(planning.load(name));
    }
    planning.request_placement("a4");
    assert_eq!(planning.orders.last().expect("an order").accepted_before, 3);
    planning.answer(OrderAnswer::Unanswered);
    planning.handle(ResidencyEvent::TargetListed(entry(200, &[])));
    planning.pass(500);
    planning.reports(200, 0, &[]);
    for name in ["b1", "b2", "b3"] {
        assert!(planning.load(name), "{name}");
    }
    // While in use, none of them can be evicted.
    let uses = ["b1", "b2", "b3"].map(|name| TargetUse {
        target: target(0),
        weights: Some(adapter(name)),
        in_flight: 1,
    });
    let instance = InstanceId::from("i");
    planning.handle(ResidencyEvent::UsageReported(
        instance,
        uses.to_vec(),
        Vec::new(),
    ));
    let loads = |it: &Planning| {
        let loads = it.orders.iter().filter(|it| it.kind == OrderKind::Load);
        loads.filter(|it| it.weights == adapter("b4")).count()
    };
    planning.request_placement("b4");
    assert_eq!(loads(&planning), 0, "the slot may be taken");
    planning.pass(16_000);
    planning.request_placement("b4");
    assert!(loads(&planning) > 0, "no order is executed that late");
}

/// Guards against a load for which the target has no slot, which an earlier placer ordered and the target
/// executes late. Nobody has told this placer of the order; a target that has not restarted lately can't
/// execute it.
#[rstest]
#[case::restarted_before_the_term(90_000, SLOTS - 2)]
#[case::started_long_ago(50_000, SLOTS)]
fn orders_of_an_earlier_placer_reserve_slots(#[case] start: u64, #[case] free: usize) {
    let mut planning = Planning::follow_predecessor(start);
    assert_eq!(planning.fill("b"), free);
    planning.pass(16_000);
    assert_eq!(
        planning.fill("c"),
        SLOTS - free,
        "no order is executed that late"
    );
}

/// Guards against the same if the target restarts after the term began.
#[test]
fn a_restart_in_a_new_term_reserves_slots_for_orders_of_an_earlier_placer() {
    let mut planning = Planning::follow_predecessor(50_000);
    planning.handle(ResidencyEvent::TargetListed(entry(101_000, &[])));
    planning.pass(500);
    planning.reports(101_000, 0, &[]);
    assert_eq!(planning.fill("b"), SLOTS - 2);
}
