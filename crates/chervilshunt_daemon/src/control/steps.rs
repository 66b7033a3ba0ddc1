//! Events for the state machines of this instance's roles, worked off in order.
//!
//! One event can cause others, at a role of this instance or of another. A queue rather than
//! recursion keeps each machine's `handle` from being entered twice.

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

/// The events that wait.
pub(super) type Steps = VecDeque<Step>;
