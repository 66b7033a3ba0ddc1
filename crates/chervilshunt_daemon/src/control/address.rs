//! Maps messages between instances to the role that handles them and its event.

use std::time::Duration;

use chervilshunt_coord::Role;
use chervilshunt_core::{OwnerEvent, PowerEvent, SchedulerEvent};
use chervilshunt_model::{SiteName, StoreName, TargetName};

use super::steps::Step;
use crate::wire::{PeerMessage, PowerDemand, Share, TurnAsked, TurnEnded, TurnGranted, TurnHeld};

/// Returns the role that a message is addressed to and the event that it stands for, or `None` if
/// the message is not addressed to a role's state machine.
pub(super) fn role_and_step(message: PeerMessage) -> Option<(Role, Step)> {
    let role_and_step = match message {
        PeerMessage::TurnAsked(TurnAsked {
            store,
            target,
            order,
            model,
            urgency,
        }) => {
            let event = SchedulerEvent::TurnAsked {
                target,
                order,
                model,
                urgency,
            };
            to_scheduler(store, event)
        }
        PeerMessage::TurnEnded(TurnEnded {
            store,
            target,
            order,
            result,
        }) => {
            let event = SchedulerEvent::TurnEnded {
                target,
                order,
                result,
            };
            to_scheduler(store, event)
        }
        PeerMessage::TurnHeld(TurnHeld {
            store,
            target,
            order,
            model,
        }) => {
            let event = SchedulerEvent::TurnHeld {
                target,
                order,
                model,
            };
            to_scheduler(store, event)
        }
        PeerMessage::TurnGranted(TurnGranted {
            target,
            order,
            queue_wait_ms,
        }) => {
            let queue_wait = Duration::from_millis(queue_wait_ms);
            let event = OwnerEvent::TurnGranted { order, queue_wait };
            to_owner(target, event)
        }
        PeerMessage::Demanded(PowerDemand {
            site,
            target,
            live_watts,
            deferrable_watts,
            ..
        }) => {
            let event = PowerEvent::DemandReported {
                target,
                live_watts,
                deferrable_watts,
            };
            to_allocator(site, event)
        }
        PeerMessage::ShareSet(Share {
            target,
            sequence,
            watts,
            ..
        }) => {
            let event = OwnerEvent::ShareSet { sequence, watts };
            to_owner(target, event)
        }
        PeerMessage::ShareConfirmed(Share {
            site,
            target,
            sequence,
            watts,
        }) => {
            let event = PowerEvent::ShareConfirmed {
                target,
                sequence,
                watts,
            };
            to_allocator(site, event)
        }
        PeerMessage::PermitAsked(_)
        | PeerMessage::PermitAnswered(_)
        | PeerMessage::PermitReleased(_)
        | PeerMessage::PermitsAsked(_)
        | PeerMessage::PermitsHeld(_)
        | PeerMessage::FactsAsked(_)
        | PeerMessage::Facts(_)
        | PeerMessage::Coord(_)
        | PeerMessage::InForceAsked(_)
        | PeerMessage::ClaimAsked(_)
        | PeerMessage::ClaimAnswered(_)
        | PeerMessage::ClaimEnded(_)
        | PeerMessage::AttemptAsked(..)
        | PeerMessage::Done
        | PeerMessage::NotHolder => return None,
    };
    Some(role_and_step)
}

fn to_scheduler(store: StoreName, event: SchedulerEvent) -> (Role, Step) {
    (
        Role::LoadScheduler(store.clone()),
        Step::Scheduler(store, event),
    )
}

fn to_owner(target: TargetName, event: OwnerEvent) -> (Role, Step) {
    (Role::Target(target.clone()), Step::Owner(target, event))
}

fn to_allocator(site: SiteName, event: PowerEvent) -> (Role, Step) {
    (Role::PowerAllocator(site.clone()), Step::Power(site, event))
}
