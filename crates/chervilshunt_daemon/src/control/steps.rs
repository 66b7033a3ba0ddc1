//! The queue of events for the state machines of this instance's roles.
//!
//! An event can cause further events for roles of this or another instance. They are queued rather
//! than handled recursively, so that the `handle` method of a state machine is never reentered.

use std::collections::VecDeque;

use chervilshunt_coord::ClaimEvent;
use chervilshunt_core::{OwnerEvent, PowerEvent, SchedulerEvent};
use chervilshunt_model::{SiteName, StoreName, TargetName};

/// An event for one role of this instance.
#[derive(Debug)]
pub(super) enum Step {
    /// For the owner of a target.
    Owner(TargetName, OwnerEvent),
    /// For the load scheduler of a weight store.
    Scheduler(StoreName, SchedulerEvent),
    /// For the claim keeper of a shard.
    Claims(u32, ClaimEvent),
    /// For the power allocator of a site.
    Power(SiteName, PowerEvent),
}

/// The queue of pending events.
pub(super) type Steps = VecDeque<Step>;
