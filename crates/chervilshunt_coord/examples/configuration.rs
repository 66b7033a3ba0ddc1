//! Three instances share a configuration of rate limits that is changed three times.
//!
//! Run it with `cargo run -p chervilshunt_coord --example configuration`. Time is virtual.
//!
//! The first change is accepted by all instances. The second is refused while one instance is cut
//! off and cannot learn of it, and is accepted after that instance is reachable again. The third is
//! written, but the answer to the write is lost, and the proposer finds the outcome by reading the
//! head.
//!
//! After each step the example checks that no instance returns to an older revision and that the
//! limits at each revision are the same on all instances. See `docs/design/configuration.md`.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_coord::{
    AppliedChange, ChangeId, ChangeRefusal, ChangeTicket, ConfigModel, CoordAction, CoordEvent,
    InstanceId, Object, PageKey, PlatformOp, Revision,
};

use self::support::{Fleet, Reaction};

/// The configuration: the number of requests per second that each caller may make.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Limits {
    revision: Revision,
    by_caller: BTreeMap<String, u64>,
}

/// A change of one caller's limit.
#[derive(Clone, Debug)]
pub(crate) struct SetLimit {
    id: ChangeId,
    caller: String,
    limit: u64,
}

type LimitsFleet = Fleet<Limits, SetLimit>;

/// The configurations observed on the instances so far.
#[derive(Default)]
struct ObservedLimits {
    /// The limits at each revision, as first observed on any instance.
    limits: BTreeMap<Revision, Limits>,
    latest: BTreeMap<InstanceId, Revision>,
}

fn main() {
    print!("{}", run());
}

/// Runs the scenario, checks it, and returns a transcript.
pub(crate) fn run() -> String {
    let mut fleet = Fleet::new(model(), program);
    let mut observed = ObservedLimits::default();
    for id in ["a", "b", "c"] {
        fleet.start(id);
    }
    pass(&mut fleet, 20, &mut observed);

    fleet.log("operator at a: limit(depot) = 40");
    propose(&mut fleet, "a", 1, "depot", 40);
    pass(&mut fleet, 1, &mut observed);
    assert_in_force(&fleet, "depot", Some(40));

    fleet.log("c is cut off; operator at a: limit(depot) = 60");
    fleet.cut_off.insert("c".into());
    propose(&mut fleet, "a", 2, "depot", 60);
    pass(&mut fleet, 4, &mut observed);
    assert_in_force(&fleet, "depot", Some(40));

    fleet.log("c is reachable again; operator at a: limit(depot) = 60");
    fleet.cut_off.clear();
    pass(&mut fleet, 4, &mut observed);
    propose(&mut fleet, "a", 3, "depot", 60);
    pass(&mut fleet, 1, &mut observed);
    assert_in_force(&fleet, "depot", Some(60));

    fleet.log("operator at b: limit(office) = 5");
    fleet.lose_answer = Some(moves_head);
    propose(&mut fleet, "b", 4, "office", 5);
    pass(&mut fleet, 5, &mut observed);
    assert_in_force(&fleet, "office", Some(5));
    fleet.transcript
}

/// Returns the model of the limits, with one page for each caller.
fn model() -> ConfigModel<Limits, SetLimit> {
    ConfigModel {
        empty: Limits::default,
        change_id: |change| change.id,
        apply: set_limit,
        page: |limits, key| {
            let limit = limits.by_caller.get(key.as_str());
            limit.map_or_else(String::new, u64::to_string)
        },
        with_page: with_limit,
        at_revision: |limits, revision| Limits {
            revision,
            ..limits.clone()
        },
    }
}

fn set_limit(limits: &Limits, change: &SetLimit) -> Result<AppliedChange<Limits>, String> {
    let mut next = limits.clone();
    next.revision = limits.revision.next();
    next.by_caller.insert(change.caller.clone(), change.limit);
    Ok((next, vec![PageKey::new(change.caller.as_str())]))
}

fn with_limit(limits: &Limits, key: &PageKey, body: &str) -> Result<Limits, String> {
    let limit = body.parse().map_err(|error| format!("{body}: {error}"))?;
    let mut next = limits.clone();
    next.by_caller.insert(key.as_str().to_owned(), limit);
    Ok(next)
}

/// Returns the program's reaction to an action of its coordinator.
fn program(action: &CoordAction<Limits, SetLimit>) -> Reaction<SetLimit> {
    let line = match action {
        CoordAction::ConfigInForce { revision, state } => Some(format!(
            "revision {revision} in force: {:?}",
            state.by_caller
        )),
        CoordAction::ChangeAccepted { revision, .. } => {
            Some(format!("accepted as revision {revision}"))
        }
        CoordAction::ChangeRefused {
            refusal: ChangeRefusal::Unreachable(instances),
            retry_after,
            ..
        } => {
            let instances: Vec<_> = instances.iter().map(|id| id.as_str()).collect();
            let secs = retry_after.map_or(0, |after| after.as_secs());
            let instances = instances.join(", ");
            Some(format!(
                "refused: {instances} did not acknowledge; retry after {secs} s"
            ))
        }
        CoordAction::ChangeRefused { refusal, .. } => Some(format!("refused: {refusal:?}")),
        CoordAction::TakeWork(takes) => Some(
            if *takes {
                "takes work"
            } else {
                "takes no work"
            }
            .to_owned(),
        ),
        _ => None,
    };
    Reaction {
        line,
        events: Vec::new(),
    }
}

fn propose(fleet: &mut LimitsFleet, at: &str, number: u64, caller: &str, limit: u64) {
    let change = SetLimit {
        id: ChangeId::from_u128(number.into()),
        caller: caller.to_owned(),
        limit,
    };
    let ticket = ChangeTicket(number);
    fleet.deliver(&at.into(), CoordEvent::ProposeChange { ticket, change });
}

/// Returns whether an operation writes the acceptance of a change into the head.
fn moves_head(op: &PlatformOp) -> bool {
    matches!(op, PlatformOp::Update(Object::Head(head), _)
        if head.pending.is_none() && head.revision > Revision::new(0))
}

/// Lets time pass and checks the invariants after each step.
fn pass(fleet: &mut LimitsFleet, seconds: u64, observed: &mut ObservedLimits) {
    fleet.run(Duration::from_secs(seconds), |fleet| {
        for (id, node) in &fleet.nodes {
            let Some(in_force) = node.in_force() else {
                continue;
            };
            let before = observed.latest.insert(id.clone(), in_force.revision);
            assert!(
                before <= Some(in_force.revision),
                "{id} reverted from {before:?}"
            );
            let limits = observed
                .limits
                .entry(in_force.revision)
                .or_insert_with(|| (*in_force.state).clone());
            assert_eq!(*limits, *in_force.state, "{id} differs from another");
        }
    });
}

/// Checks that all instances that take work have this limit.
fn assert_in_force(fleet: &LimitsFleet, caller: &str, limit: Option<u64>) {
    for (id, node) in &fleet.nodes {
        let in_force = node
            .in_force()
            .expect("each instance has loaded a configuration");
        let here = in_force.state.by_caller.get(caller).copied();
        assert!(
            here == limit || !node.may_take_work(fleet.now),
            "{id} has {here:?}"
        );
    }
}
