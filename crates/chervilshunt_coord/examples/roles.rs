//! Three instances share four roles: one joins late, one hands its roles over, and one fails.
//!
//! Run it with `cargo run -p chervilshunt_coord --example roles`. Time is virtual.
//!
//! After each step of each instance the example checks that at most one instance may send orders
//! under each role and that the epoch of a role never decreases. See `docs/design/roles.md`.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_coord::{CoordAction, CoordEvent, Epoch, Role, WantedRole, no_configuration};

use self::support::{Fleet, Reaction};

const ROLES: [&str; 4] = ["billing", "index", "mail", "search"];

fn main() {
    print!("{}", run());
}

/// Runs the scenario, checks it, and returns a transcript.
pub(crate) fn run() -> String {
    let mut fleet = Fleet::new(no_configuration(), program);
    let mut epochs = BTreeMap::new();
    fleet.log("a and b start");
    fleet.start("a");
    fleet.start("b");
    pass(&mut fleet, 20, &mut epochs);
    show_holders(&mut fleet);

    fleet.log("c joins");
    fleet.start("c");
    pass(&mut fleet, 20, &mut epochs);
    show_holders(&mut fleet);

    fleet.log("a is shut down");
    fleet.deliver(&"a".into(), CoordEvent::ShutdownRequested);
    fleet.deliver(&"a".into(), CoordEvent::Drained);
    pass(&mut fleet, 5, &mut epochs);
    assert!(!fleet.nodes.contains_key("a"), "a has left");
    show_holders(&mut fleet);

    fleet.log("b fails");
    fleet.crash("b");
    pass(&mut fleet, 60, &mut epochs);
    show_holders(&mut fleet);
    fleet.transcript
}

/// Returns the program's reaction to an action of its coordinator.
fn program(action: &CoordAction<(), ()>) -> Reaction<()> {
    let (line, events) = match action {
        CoordAction::ConfigInForce { revision, .. } => {
            let (revision, roles) = (*revision, wanted());
            (None, vec![CoordEvent::RolesWanted { revision, roles }])
        }
        CoordAction::RoleGained {
            role,
            epoch,
            handed_over,
            previous,
            ..
        } => {
            let how = match previous {
                None => "is the first to hold".to_owned(),
                Some(from) if *handed_over => format!("received by handover from {from}:"),
                Some(from) => format!("takes over from {from}, which failed:"),
            };
            (Some(format!("{how} {role}, epoch {epoch}")), Vec::new())
        }
        // A real program first finishes its work under the role and passes its state on to the next
        // holder.
        CoordAction::RoleEnding { role, .. } => {
            (None, vec![CoordEvent::RoleReleased(role.clone())])
        }
        CoordAction::RoleLost { role } => (Some(format!("no longer holds {role}")), Vec::new()),
        CoordAction::Left => (Some("has left".to_owned()), Vec::new()),
        _ => (None, Vec::new()),
    };
    Reaction { line, events }
}

fn wanted() -> Vec<WantedRole> {
    let roles = ROLES.map(|name| WantedRole {
        role: Role::Other(name.into()),
        zone: None,
        fenced: true,
    });
    roles.into()
}

/// Lets time pass and checks the invariants after each step.
fn pass(fleet: &mut Fleet<(), ()>, seconds: u64, epochs: &mut BTreeMap<Role, Epoch>) {
    fleet.run(Duration::from_secs(seconds), |fleet| {
        for WantedRole { role, .. } in wanted() {
            let holders = holders(fleet, &role);
            assert!(holders.len() <= 1, "{role} has two holders: {holders:?}");
            let highest = epochs.entry(role).or_default();
            for (_, epoch) in holders {
                assert!(
                    epoch >= *highest,
                    "the epoch fell from {highest} to {epoch}"
                );
                *highest = epoch;
            }
        }
    });
}

/// Returns the instances that may currently send orders under a role. Each instance is asked, as it
/// would ask its coordinator before each order.
fn holders<'a>(fleet: &'a Fleet<(), ()>, role: &Role) -> Vec<(&'a str, Epoch)> {
    let nodes = fleet.nodes.iter();
    let holders = nodes.filter_map(|(id, node)| Some((id, node.may_order(role, fleet.now)?)));
    holders.map(|(id, epoch)| (id.as_str(), epoch)).collect()
}

fn show_holders(fleet: &mut Fleet<(), ()>) {
    for WantedRole { role, .. } in wanted() {
        let holders = holders(fleet, &role);
        let [(holder, epoch)] = holders.as_slice() else {
            panic!("{role} is held by {holders:?}");
        };
        let line = format!("  {role}: {holder}, epoch {epoch}");
        fleet.log(&line);
    }
}
