//! Configuration, events and actions of a role table.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_model::{Epoch, InstanceId, Revision, ZoneName};

use crate::holder::Holder;
use crate::platform::{CallId, ObjectVersion, PlatformCall, PlatformResult};
use crate::roles::assignment::{AssignmentRecord, AssignmentShard};
use crate::roles::role::{Role, WantedRole};

/// Configuration of a [`RoleTable`](super::RoleTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RoleConfig {
    /// The additional delay per rank, when several instances could write the same change.
    pub rank_delay: Duration,
    /// The delay before a failed call is retried.
    pub retry_every: Duration,
    /// The interval at which a run with less than its fair share requests more roles.
    pub ask_every: Duration,
    /// The maximum number of roles that a run requests at a time.
    pub ask_at_most: usize,
    /// The base interval at which all assignments are listed again, in case a watch missed a
    /// change.
    pub list_every: Duration,
    /// Added to the list interval for each required role, to limit the bytes per second that lists
    /// transfer.
    pub list_interval_per_role: Duration,
    /// The maximum age of a list of the leases from which holders are selected.
    pub member_list_max_age: Duration,
    /// The longest time for which an order can be in flight to a target.
    ///
    /// A run that takes a role over from a holder that did not hand it over waits this long before
    /// its first order if the receivers do not refuse old epochs.
    pub max_order_latency: Duration,
}

impl Default for RoleConfig {
    fn default() -> Self {
        Self {
            rank_delay: Duration::from_millis(400),
            retry_every: Duration::from_secs(1),
            ask_every: Duration::from_secs(2),
            ask_at_most: 4,
            list_every: Duration::from_secs(30),
            list_interval_per_role: Duration::from_millis(350),
            member_list_max_age: Duration::from_secs(2),
            max_order_latency: Duration::from_secs(5),
        }
    }
}

/// An input of a [`RoleTable`](super::RoleTable).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleEvent {
    /// A watch reported an assignment, which may be stale.
    Seen(AssignmentRecord, ObjectVersion),
    /// Another instance reported that it wrote this generation of an assignment.
    AssignmentReported(AssignmentShard, u64),
    /// A call to the platform has ended.
    Reply(CallId, PlatformResult),
    /// The configuration at this revision requires these roles.
    Wanted(Revision, Vec<WantedRole>),
    /// The instances that are believed to be live, including this one.
    Instances(BTreeMap<InstanceId, ZoneName>),
    /// Whether the platform stores this run's lease as active, so that it may hold roles.
    MayHold(bool),
    /// This run must hand over all of its roles.
    Leave,
    /// The program has finished handing over the role: it gives no more orders under it, none is in
    /// flight, and the next holder has all the state that it needs.
    Released(Role),
    /// The lease of this holder has ended. The flag is true if this instance marked it lapsed.
    Ended(Holder, bool),
    /// The lease was lost, and with it all held roles. The instance rejoins as this holder.
    Rejoin(Holder),
    /// Time has passed.
    Tick,
}

/// An output of a [`RoleTable`](super::RoleTable).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleAction {
    /// Call the platform.
    Call(PlatformCall),
    /// Notify an instance that this generation of an assignment concerns it, because its watch may
    /// lag.
    NotifyAssignment(InstanceId, AssignmentShard, u64),
    /// This run holds the role from now on.
    Gained {
        /// The role.
        role: Role,
        /// The fencing token for orders under the role.
        epoch: Epoch,
        /// The previous holder.
        previous: Option<Holder>,
        /// Whether the previous holder handed it over, as opposed to losing it.
        handed_over: bool,
    },
    /// This run must hand over the role and confirm with [`RoleEvent::Released`].
    Ending {
        /// The role.
        role: Role,
        /// The next holder; `None` if the role is no longer required or no other run can take it.
        to: Option<InstanceId>,
    },
    /// This run no longer holds the role.
    Lost(Role),
    /// The role has a different holder, or none.
    HolderChanged {
        /// The role.
        role: Role,
        /// Its holder and epoch.
        holder: Option<(InstanceId, Epoch)>,
    },
}
