//! The guarantees to callers and targets hold under any sequence of faults.
//!
//! A fleet of coordinators runs while instances crash, freeze, leave and return, lose the platform,
//! their peers or both, while answers and messages are lost, late and duplicated, and while
//! operators propose changes. The guarantees are checked after every event. At the end all faults
//! are removed, and every instance has to take work again.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_model::{Epoch, InstanceId, Moment, Revision};
use proptest::prelude::*;
use rstest::rstest;

use super::fleet::Fleet;
use super::runs::{assert_caught, assert_holds, cases};
use super::smoke::{ZONES, set_cell, some_roles};
use super::table::Table;
use crate::bugs::{Bug, Bugs};
use crate::{ChangeRefusal, ChangeTicket, Object, ObjectKind, Role};

const INSTANCES: usize = 5;
const ROLES: usize = 6;

/// The time after its acceptance within which a revision must be in force on every instance that
/// takes work.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// The time after the end of all faults within which all instances must take work again.
const RECOVERED_WITHIN: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
enum Step {
    Crash(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Leave(usize),
    CutFromPlatform(usize),
    CutAllFromPlatform,
    HealPlatform,
    CutLink(usize, usize),
    CutFromPeers(usize),
    HealLinks,
    Propose(usize),
    Disturb {
        lost_answers: u64,
        late_calls: u64,
        slow_ms: u64,
        missed_watches: u64,
    },
    DisturbMessages {
        lost: u64,
        doubled: u64,
    },
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let who = 0..INSTANCES;
    prop_oneof![
        2 => who.clone().prop_map(Step::Crash),
        3 => who.clone().prop_map(Step::Start),
        3 => who.clone().prop_map(Step::Pause),
        3 => who.clone().prop_map(Step::Resume),
        1 => who.clone().prop_map(Step::Leave),
        2 => who.clone().prop_map(Step::CutFromPlatform),
        1 => Just(Step::CutAllFromPlatform),
        2 => Just(Step::HealPlatform),
        1 => (who.clone(), who.clone()).prop_map(|(one, two)| Step::CutLink(one, two)),
        2 => who.clone().prop_map(Step::CutFromPeers),
        1 => Just(Step::HealLinks),
        6 => who.prop_map(Step::Propose),
        2 => (0..30_u64, 0..20_u64, 0..400_u64, 0..60_u64).prop_map(
            |(lost_answers, late_calls, slow_ms, missed_watches)| Step::Disturb {
                lost_answers, late_calls, slow_ms, missed_watches,
            }
        ),
        2 => (0..40_u64, 0..40_u64).prop_map(|(lost, doubled)| Step::DisturbMessages { lost, doubled }),
        10 => prop_oneof![1..100_u64, 1..3_000_u64, 1..25_000_u64].prop_map(Step::Wait),
    ]
}

/// The observations so far, to which later ones are compared.
#[derive(Default)]
struct Observations {
    holders: BTreeMap<(Role, Epoch), (InstanceId, u64)>,
    /// When the head was first seen at each revision.
    revisions: BTreeMap<Revision, Moment>,
    contents: BTreeMap<Revision, Table>,
    in_force: BTreeMap<(InstanceId, u64), Revision>,
    violation: Option<String>,
}

impl Observations {
    fn check(&mut self, fleet: &Fleet) {
        let violation = self
            .check_orders(fleet)
            .and_then(|()| self.check_configuration(fleet));
        if let Err(violation) = violation {
            self.violation.get_or_insert(violation);
        }
    }

    /// Checks that no two instances may order under one role and that no epoch is used by two
    /// processes.
    fn check_orders(&mut self, fleet: &Fleet) -> Result<(), String> {
        let mut ordering: BTreeMap<&Role, &InstanceId> = BTreeMap::new();
        for (id, node, now) in fleet.awake() {
            for role in node.epochs.keys() {
                let Some(epoch) = node.coordinator.may_order(role, now) else {
                    continue;
                };
                if let Some(other) = ordering.insert(role, id) {
                    return Err(format!(
                        "{id} and {other} may both send orders under {role}"
                    ));
                }
                let holder = (id.clone(), node.process());
                let first = self.holders.entry((role.clone(), epoch));
                let first = first.or_insert_with(|| holder.clone());
                if *first != holder {
                    return Err(format!(
                        "{holder:?} and {first:?} used epoch {epoch} of {role}"
                    ));
                }
            }
        }
        Ok(())
    }

    /// Checks that a configuration never reverts, is the same everywhere, and is in force on every
    /// instance that takes work soon after its acceptance.
    fn check_configuration(&mut self, fleet: &Fleet) -> Result<(), String> {
        if let Some(Object::Head(head)) = fleet
            .platform
            .list(ObjectKind::Head)
            .pop()
            .map(|stored| stored.object)
        {
            self.revisions.entry(head.revision).or_insert(fleet.now);
        }
        for (id, node, now) in fleet.awake() {
            let Some(table) = &node.in_force else {
                continue;
            };
            let known = self.contents.entry(table.revision);
            let known = known.or_insert_with(|| table.clone());
            if known != table {
                return Err(format!("{id} has {table:?} in force, others {known:?}"));
            }
            let before = self.in_force.entry((id.clone(), node.process()));
            let before = before.or_insert(table.revision);
            if table.revision < *before {
                return Err(format!(
                    "{id} reverted from revision {before} to {}",
                    table.revision
                ));
            }
            *before = table.revision;
            let newer = self.revisions.range(table.revision.next()..).next();
            let overdue = newer.filter(|(_, at)| fleet.now > **at + IN_FORCE_WITHIN);
            if let Some((revision, _)) = overdue
                && node.coordinator.may_take_work(now)
            {
                let own = table.revision;
                return Err(format!(
                    "{id} takes work under revision {own} too long after revision {revision}"
                ));
            }
        }
        Ok(())
    }

    /// Checks that after the end of all faults all instances use the same configuration, that it
    /// contains exactly the accepted changes, and that every role has a holder.
    fn check_end(&self, fleet: &Fleet) -> Result<(), String> {
        for (id, node, now) in fleet.awake() {
            if !node.coordinator.may_take_work(now) {
                return Err(format!("{id} takes no work after recovery"));
            }
            let Some(table) = &node.in_force else {
                return Err(format!("{id} has no configuration"));
            };
            if self.revisions.keys().next_back() != Some(&table.revision) {
                return Err(format!("{id} does not have the latest revision"));
            }
            let own = |ticket: &&ChangeTicket| has_own_page(**ticket);
            for (ticket, refusal) in fleet.refused.iter().filter(|(ticket, _)| own(ticket)) {
                if *refusal != ChangeRefusal::Unknown && table.cells.contains_key(&page(*ticket)) {
                    return Err(format!(
                        "{ticket:?} is in force although it was refused: {refusal:?}"
                    ));
                }
            }
            for ticket in fleet.accepted.keys().filter(own) {
                if !table.cells.contains_key(&page(*ticket)) {
                    return Err(format!("{ticket:?} was accepted and is not in force"));
                }
            }
        }
        for wanted in some_roles(ROLES) {
            let held = fleet
                .awake()
                .any(|(_, node, now)| node.coordinator.may_order(&wanted.role, now).is_some());
            if !held {
                return Err(format!("{} has no holder", wanted.role));
            }
        }
        Ok(())
    }
}

/// Returns the page that a change sets.
///
/// Most changes set a page of their own, which shows whether the change is in force. Every third
/// sets a shared page, so that an older configuration can be loaded completely if a stale head is
/// accepted.
fn page(ticket: ChangeTicket) -> String {
    if has_own_page(ticket) {
        format!("page{}", ticket.0)
    } else {
        "page".to_owned()
    }
}

fn has_own_page(ticket: ChangeTicket) -> bool {
    !ticket.0.is_multiple_of(3)
}

fn id(number: usize) -> String {
    format!("i{number}")
}

fn link(one: usize, two: usize) -> (InstanceId, InstanceId) {
    let (low, high) = (one.min(two), one.max(two));
    (id(low).as_str().into(), id(high).as_str().into())
}

fn apply(fleet: &mut Fleet, step: &Step, tickets: &mut u64, observed: &mut Observations) {
    match *step {
        Step::Crash(who) => fleet.crash(&id(who)),
        Step::Start(who) => {
            if fleet
                .nodes
                .get(id(who).as_str())
                .is_none_or(|node| !node.running)
            {
                fleet.start(&id(who), ZONES[who % 3]);
            }
        }
        Step::Pause(who) => fleet.pause(&id(who)),
        Step::Resume(who) => fleet.resume(&id(who)),
        Step::Leave(who) => fleet.shut_down(&id(who)),
        Step::CutFromPlatform(who) => {
            fleet
                .faults
                .cut_from_platform
                .insert(id(who).as_str().into());
        }
        Step::CutAllFromPlatform => {
            let all = (0..INSTANCES).map(|who| id(who).as_str().into());
            fleet.faults.cut_from_platform.extend(all);
        }
        Step::HealPlatform => fleet.faults.cut_from_platform.clear(),
        Step::CutLink(one, two) => {
            fleet.faults.cut_links.insert(link(one, two));
        }
        Step::CutFromPeers(who) => {
            let links = (0..INSTANCES).map(|other| link(who, other));
            fleet.faults.cut_links.extend(links);
        }
        Step::HealLinks => fleet.faults.cut_links.clear(),
        Step::Propose(who) => {
            *tickets += 1;
            let change = set_cell(
                u128::from(*tickets),
                &page(ChangeTicket(*tickets)),
                *tickets,
            );
            fleet.propose(&id(who), *tickets, change);
        }
        Step::Disturb {
            lost_answers,
            late_calls,
            slow_ms,
            missed_watches,
        } => {
            fleet.faults.lost_answers = lost_answers;
            fleet.faults.late_calls = late_calls;
            fleet.faults.slow_ms = slow_ms;
            fleet.faults.missed_watches = missed_watches;
        }
        Step::DisturbMessages { lost, doubled } => {
            fleet.faults.lost_messages = lost;
            fleet.faults.doubled_messages = doubled;
        }
        Step::Wait(millis) => {
            fleet.run_checked(Duration::from_millis(millis), |fleet| observed.check(fleet));
        }
    }
}

fn run(seed: u64, steps: &[Step], bugs: Bugs) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(seed, some_roles(ROLES));
    fleet.seed_bugs(bugs);
    let mut observed = Observations::default();
    for who in 0..INSTANCES {
        fleet.start(&id(who), ZONES[who % 3]);
    }
    fleet.run_checked(Duration::from_secs(15), |fleet| observed.check(fleet));
    let mut tickets = 0;
    for step in steps {
        apply(&mut fleet, step, &mut tickets, &mut observed);
        if let Some(violation) = observed.violation {
            return Err(TestCaseError::fail(violation));
        }
    }
    fleet.faults = super::fleet::Faults::default();
    for who in 0..INSTANCES {
        fleet.resume(&id(who));
        apply(&mut fleet, &Step::Start(who), &mut tickets, &mut observed);
    }
    fleet.run_checked(RECOVERED_WITHIN, |fleet| observed.check(fleet));
    let end = observed.violation.take().map_or(Ok(()), Err);
    end.and_then(|()| observed.check_end(&fleet))
        .map_err(TestCaseError::fail)
}

fn runs() -> impl Strategy<Value = (u64, Vec<Step>)> {
    (0..1_000_000_u64, prop::collection::vec(step(), 1..50))
}

#[test]
fn guarantees_hold_under_faults() {
    assert_holds(cases(60), &runs(), |(seed, steps)| {
        run(seed, &steps, Bugs::NONE)
    });
}

#[rstest]
#[case::lease_not_checked_before_an_order(Bug::LeaseNotChecked)]
#[case::lapse_not_marked(Bug::LapseNotMarked)]
#[case::epoch_not_raised(Bug::EpochNotRaised)]
#[case::head_moved_before_acknowledgements(Bug::HeadMovedBeforeAcks)]
#[case::stale_head_accepted(Bug::StaleHeadAccepted)]
fn a_seeded_bug_is_caught(#[case] bug: Bug) {
    assert_caught(cases(600), &runs(), |(seed, steps)| {
        run(seed, &steps, Bugs::seeded(bug))
    });
}
