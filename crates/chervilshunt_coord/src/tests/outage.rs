//! Tests of what instances may do while the platform is unreachable for all or some of them.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_model::Epoch;
use rstest::rstest;

use super::fleet::Fleet;
use super::smoke::fleet_of;
use crate::{CoordEvent, PeerState, Role};

const SETTLED: Duration = Duration::from_secs(40);

/// Longer than a lease and any promise.
const LONG: Duration = Duration::from_secs(300);

fn cut_from_platform(fleet: &mut Fleet, ids: &[&str]) {
    let ids = ids.iter().map(|id| (*id).into());
    fleet.faults.cut_from_platform.extend(ids);
}

fn cut_from_peers(fleet: &mut Fleet, id: &str) {
    let others: Vec<_> = fleet.nodes.keys().cloned().collect();
    for other in others.iter().filter(|other| other.as_str() != id) {
        let (one, two) = (id.into(), other.clone());
        let link = if one < two { (one, two) } else { (two, one) };
        fleet.faults.cut_links.insert(link);
    }
}

fn orders(fleet: &Fleet, id: &str) -> BTreeMap<Role, Epoch> {
    let node = &fleet.nodes[id];
    let now = fleet.clock_of(node);
    let held = node.epochs.keys();
    held.filter_map(|role| Some((role.clone(), node.coordinator.may_order(role, now)?)))
        .collect()
}

fn takes_work(fleet: &Fleet, id: &str) -> bool {
    let node = &fleet.nodes[id];
    node.coordinator.may_take_work(fleet.clock_of(node))
}

/// The platform is unreachable for all instances for longer than a lease. The electors cannot reach
/// it either, so no instance can have been superseded: all must continue to serve, and holders of
/// fenced targets must keep their epochs. When the platform is available again, all leases are
/// renewed and no role has moved.
#[rstest]
#[case::seven(7)]
#[case::three(3)]
#[case::many_through_relays(27)]
fn all_continue_in_a_total_outage(#[case] count: usize) {
    let mut fleet = fleet_of(count, 3 * count);
    fleet.run(SETTLED);
    let ids: Vec<_> = fleet.nodes.keys().cloned().collect();
    let before: Vec<_> = ids.iter().map(|id| orders(&fleet, id.as_str())).collect();
    cut_from_platform(
        &mut fleet,
        &ids.iter().map(|id| id.as_str()).collect::<Vec<_>>(),
    );
    let stopped = std::cell::Cell::new(0);
    fleet.run_checked(LONG, |fleet| {
        let stops = fleet
            .awake()
            .filter(|(_, node, now)| !node.coordinator.may_take_work(*now));
        stopped.set(stopped.get().max(stops.count()));
    });
    assert_eq!(stopped.get(), 0, "some instances stopped taking work");
    for (id, before) in ids.iter().zip(&before) {
        let fenced = before.keys().filter(|role| {
            let number = role.to_string();
            let number: usize = number["target/t".len()..].parse().expect("a number");
            number.is_multiple_of(2)
        });
        let now = orders(&fleet, id.as_str());
        assert!(now.keys().eq(fenced), "{id}: {now:?} of {before:?}");
    }
    fleet.faults.cut_from_platform.clear();
    fleet.run(Duration::from_secs(30));
    let after: Vec<_> = ids.iter().map(|id| orders(&fleet, id.as_str())).collect();
    assert_eq!(before, after, "roles moved although nobody had failed");
}

/// During a total outage three of the seven electors crash. The other instances must continue,
/// because a majority of the electors still answers.
#[test]
fn the_others_continue_if_some_crash_in_a_total_outage() {
    let mut fleet = fleet_of(7, 21);
    fleet.run(SETTLED);
    let ids: Vec<_> = fleet.nodes.keys().cloned().collect();
    cut_from_platform(
        &mut fleet,
        &ids.iter().map(|id| id.as_str()).collect::<Vec<_>>(),
    );
    fleet.run(Duration::from_secs(60));
    for crashed in ["i1", "i2", "i3"] {
        fleet.crash(crashed);
    }
    fleet.run(LONG);
    let working = fleet
        .awake()
        .filter(|(_, node, now)| node.coordinator.may_take_work(*now));
    assert_eq!(working.count(), 4);
}

/// One instance cannot reach the platform, or neither the platform nor its peers, while the
/// electors still reach the platform. It must stop taking work before its lease expires, its roles
/// must be taken over, and it must rejoin when the platform is reachable again.
#[rstest]
#[case::platform_only(7, false)]
#[case::one_of_three(3, false)]
#[case::platform_and_peers(7, true)]
#[case::one_of_three_and_peers(3, true)]
fn one_that_is_cut_off_stops_and_is_superseded(#[case] count: usize, #[case] from_peers: bool) {
    let mut fleet = fleet_of(count, 21);
    fleet.run(SETTLED);
    let lost: Vec<_> = orders(&fleet, "i2").into_iter().collect();
    assert!(!lost.is_empty(), "i2 holds no roles");
    cut_from_platform(&mut fleet, &["i2"]);
    if from_peers {
        cut_from_peers(&mut fleet, "i2");
    }
    fleet.run(Duration::from_secs(16));
    assert!(!takes_work(&fleet, "i2"), "i2 still takes work");
    assert_eq!(orders(&fleet, "i2"), BTreeMap::new());
    fleet.run(Duration::from_secs(24));
    for (role, epoch) in lost {
        let taken = fleet
            .awake()
            .any(|(_, node, now)| node.coordinator.may_order(&role, now) > Some(epoch));
        assert!(taken, "{role} has no holder");
    }
    fleet.faults.cut_from_platform.clear();
    fleet.faults.cut_links.clear();
    fleet.run(Duration::from_secs(30));
    assert!(takes_work(&fleet, "i2"), "i2 has not come back");
}

/// One instance loses its peers but not the platform. It must continue, and receive changes of the
/// configuration through the platform.
#[test]
fn one_that_is_cut_off_from_its_peers_continues() {
    let mut fleet = fleet_of(7, 21);
    fleet.run(SETTLED);
    let before = orders(&fleet, "i2");
    cut_from_peers(&mut fleet, "i2");
    fleet.run(Duration::from_secs(60));
    assert!(takes_work(&fleet, "i2"), "i2 takes no work");
    fleet.propose("i0", 1, super::smoke::set_cell(1, "x", 42));
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.accepted.len(), 1, "{:?}", fleet.refused);
    let in_force = fleet.nodes["i2"].in_force.as_ref();
    assert_eq!(in_force.and_then(|table| table.cells.get("x")), Some(&42));
    assert_eq!(before, orders(&fleet, "i2"));
}

/// All instances but one lose the platform. That one must not supersede the others, which are most
/// of the fleet; all must continue.
#[test]
fn one_that_alone_reaches_the_platform_supersedes_nobody() {
    let mut fleet = fleet_of(7, 21);
    fleet.run(SETTLED);
    let ids: Vec<_> = fleet.nodes.keys().cloned().collect();
    let before: Vec<_> = ids.iter().map(|id| orders(&fleet, id.as_str())).collect();
    let others = ids.iter().map(|id| id.as_str()).filter(|id| *id != "i4");
    cut_from_platform(&mut fleet, &others.collect::<Vec<_>>());
    fleet.run(LONG);
    for id in &ids {
        assert!(takes_work(&fleet, id.as_str()), "{id} takes no work");
    }
    fleet.faults.cut_from_platform.clear();
    fleet.run(Duration::from_secs(30));
    let after: Vec<_> = ids.iter().map(|id| orders(&fleet, id.as_str())).collect();
    assert_eq!(before, after);
}

/// Shortly after the fleet starts, one of three instances is paused, or loses the platform, for
/// longer than its lease. The other two must take over its roles, whichever instance it is. If the
/// instance that created the head were still the only elector, nobody could vouch while that one is
/// away.
#[rstest]
fn a_new_fleet_takes_over_from_any_of_three(
    #[values("i0", "i1", "i2")] away: &str,
    #[values(true, false)] paused: bool,
) {
    let mut fleet = fleet_of(3, 6);
    fleet.run(Duration::from_secs(10));
    let lost: Vec<_> = orders(&fleet, away).into_iter().collect();
    assert!(!lost.is_empty(), "{away} holds no roles");
    if paused {
        fleet.pause(away);
    } else {
        cut_from_platform(&mut fleet, &[away]);
    }
    fleet.run(Duration::from_secs(35));
    for (role, epoch) in lost {
        let taken = fleet
            .awake()
            .any(|(_, node, now)| node.coordinator.may_order(&role, now) > Some(epoch));
        assert!(taken, "{role} has no holder");
    }
}

/// The platform hangs: calls get no answer, and time out only when a short lease has almost
/// expired. All must continue to serve, because a call that has been unanswered for long already
/// counts as a failure of the platform.
#[test]
fn all_continue_when_calls_time_out_later_than_the_lease() {
    let mut fleet = Fleet::new(7, super::smoke::some_roles(9));
    fleet.set_lease(Duration::from_secs(3));
    for (number, zone) in super::smoke::ZONES.into_iter().enumerate() {
        fleet.start(&format!("i{number}"), zone);
    }
    fleet.run(SETTLED);
    cut_from_platform(&mut fleet, &["i0", "i1", "i2"]);
    let stopped = std::cell::Cell::new(0);
    fleet.run_checked(LONG, |fleet| {
        let stops = fleet
            .awake()
            .filter(|(_, node, now)| !node.coordinator.may_take_work(*now));
        stopped.set(stopped.get().max(stops.count()));
    });
    assert_eq!(stopped.get(), 0, "some instances stopped taking work");
}

/// A connection breaks, so the peer becomes suspect; then the peer sends a message over a new
/// connection. The view must show it as live again even if the message does not concern leases.
#[test]
fn a_peer_that_is_reachable_again_is_not_suspect() {
    let mut fleet = fleet_of(3, 6);
    fleet.run(SETTLED);
    let now = fleet.clock_of(&fleet.nodes["i1"]);
    let node = fleet.nodes.get_mut("i1").expect("it runs");
    let mut state_after = |event| {
        node.coordinator.handle(event, now);
        node.coordinator.view().peers["i0"].state
    };
    let lost = state_after(CoordEvent::PeerLost("i0".into()));
    assert_eq!(lost, PeerState::Suspect);
    let reachable = state_after(CoordEvent::PeerReachable("i0".into()));
    assert_eq!(reachable, PeerState::Live);
}
