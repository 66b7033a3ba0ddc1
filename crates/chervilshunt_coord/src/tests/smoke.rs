//! A fleet without network or platform faults works as intended.

use std::time::Duration;

use chervilshunt_model::{ChangeId, Revision};
use rstest::rstest;

use super::fleet::Fleet;
use super::table::SetCell;
use crate::{ChangeTicket, Role, WantedRole};

pub(super) const ZONES: [&str; 3] = ["a", "b", "c"];

pub(super) fn some_roles(count: usize) -> Vec<WantedRole> {
    (0..count)
        .map(|number| WantedRole {
            role: Role::Target(format!("t{number}").as_str().into()),
            zone: Some(ZONES[number % 3].into()),
            fenced: number % 2 == 0,
        })
        .collect()
}

pub(super) fn fleet_of(count: usize, roles: usize) -> Fleet {
    let mut fleet = Fleet::new(7, some_roles(roles));
    for number in 0..count {
        fleet.start(&format!("i{number}"), ZONES[number % 3]);
    }
    fleet
}

pub(super) fn set_cell(id: u128, page: &str, value: u64) -> SetCell {
    SetCell {
        id: ChangeId::from_u128(id),
        page: page.to_owned(),
        value,
    }
}

#[test]
fn all_instances_take_work_and_share_the_roles() {
    let mut fleet = fleet_of(7, 35);
    fleet.run(Duration::from_secs(40));
    for (id, node, now) in fleet.awake() {
        assert!(node.coordinator.may_take_work(now), "{id} takes no work");
        let held = node.epochs.len();
        assert!((3..=7).contains(&held), "{id} holds {held} roles");
    }
}

#[test]
fn a_change_comes_into_force_everywhere() {
    let mut fleet = fleet_of(7, 5);
    fleet.run(Duration::from_secs(20));
    fleet.propose("i3", 1, set_cell(1, "x", 42));
    fleet.run(Duration::from_millis(500));
    let revision = fleet.accepted.get(&ChangeTicket(1));
    assert_eq!(revision, Some(&Revision::new(1)), "{:?}", fleet.refused);
    for (id, node, _) in fleet.awake() {
        let cell = node
            .in_force
            .as_ref()
            .and_then(|table| table.cells.get("x"));
        assert_eq!(cell, Some(&42), "at {id}");
    }
}

/// Guards against requests to the targets of a crashed instance that are never served again.
///
/// The crashed instance leaves the instance list long before its lease has run out. The instances
/// that watch the lease have to continue although the list no longer shows its zone; otherwise its
/// roles would never be taken over.
#[rstest]
#[case::fewer_others_than_watchers(3, 6)]
#[case::more_others_in_each_zone_than_watchers(12, 24)]
#[case::as_many_as_run_today(7, 15)]
fn the_roles_of_a_crashed_instance_go_to_others(#[case] instances: usize, #[case] roles: usize) {
    let mut fleet = fleet_of(instances, roles);
    fleet.run(Duration::from_secs(20));
    let lost: Vec<_> = fleet.nodes["i1"].epochs.clone().into_iter().collect();
    assert!(!lost.is_empty(), "i1 holds no roles");
    fleet.crash("i1");
    fleet.run(Duration::from_secs(30));
    for (role, epoch) in lost {
        let holder = fleet.awake().find(|(_, node, now)| {
            node.coordinator
                .may_order(&role, *now)
                .is_some_and(|new| new > epoch)
        });
        assert!(holder.is_some(), "{role} has no holder");
    }
}

/// Guards against a fleet that accepts no more configuration changes after a crash.
///
/// The crashed instance holds no role, so nobody watches its lease, as nothing has to be taken
/// over. Once it fails to acknowledge a change, the proposer watches the lease until it can be
/// marked lapsed, and the next change is accepted without that instance.
#[test]
fn changes_are_accepted_again_after_an_instance_without_roles_crashed() {
    let mut fleet = fleet_of(4, 1);
    fleet.run(Duration::from_secs(20));
    let idle = |fleet: &Fleet| {
        let idle = fleet.nodes.iter().find(|(_, node)| node.epochs.is_empty());
        idle.map(|(id, _)| id.to_string())
    };
    let crashed = idle(&fleet).expect("one role leaves three instances without any");
    let proposer = if crashed == "i0" { "i1" } else { "i0" };
    fleet.crash(&crashed);
    fleet.run(Duration::from_secs(1));
    fleet.propose(proposer, 1, set_cell(1, "x", 1));
    fleet.run(Duration::from_secs(45));
    fleet.propose(proposer, 2, set_cell(2, "x", 2));
    fleet.run(Duration::from_secs(10));
    let accepted = fleet.accepted.contains_key(&ChangeTicket(2));
    assert!(accepted, "{:?}", fleet.refused);
}

#[test]
fn a_graceful_shutdown_hands_all_roles_over_at_once() {
    let mut fleet = fleet_of(3, 6);
    fleet.run(Duration::from_secs(20));
    fleet.shut_down("i1");
    fleet.run(Duration::from_secs(2));
    assert!(fleet.nodes["i1"].left, "i1 has not left");
    let held: usize = fleet.awake().map(|(_, node, _)| node.epochs.len()).sum();
    assert_eq!(held, 6);
}
