//! How a role table behaves, what it reacts to, and what it wants done.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_model::{Epoch, InstanceId, Revision, ZoneName};

use crate::holder::Holder;
use crate::platform::{CallId, ObjectVersion, PlatformCall, PlatformResult};
use crate::roles::assignment::{AssignmentRecord, AssignmentShard};
use crate::roles::role::{Role, WantedRole};

/// How roles are assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RoleConfig {
    /// How much later each further instance steps in, when several could write a change.
    pub rank_delay: Duration,
    /// How long after a failed call the next try follows.
    pub retry_every: Duration,
    /// How often a run with too few roles asks for more.
    pub ask_every: Duration,
    /// The most roles that a run asks for at a time.
    pub ask_at_most: usize,
    /// How often all assignments are listed anew, in case a watch has missed something.
    pub list_every: Duration,
    /// How much later that is for each role, to bound the bytes a second.
    pub list_later_by_role: Duration,
    /// How long a list of leases serves to choose holders.
    pub list_counts_for: Duration,
    /// The longest time that an order can be on its way to a target.
    ///
    /// Who takes a role over from a holder that did not hand it over itself waits this long before
    /// its first order, if those who take the orders don't refuse old epochs.
    pub order_flight: Duration,
}

impl Default for RoleConfig {
    fn default() -> Self {
        Self {
            rank_delay: Duration::from_millis(400),
            retry_every: Duration::from_secs(1),
            ask_every: Duration::from_secs(2),
            ask_at_most: 4,
            list_every: Duration::from_secs(30),
            list_later_by_role: Duration::from_millis(350),
            list_counts_for: Duration::from_secs(2),
            order_flight: Duration::from_secs(5),
        }
    }
}

/// What a role table has to react to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleEvent {
    /// A watch showed an assignment; it may be stale.
    Seen(AssignmentRecord, ObjectVersion),
    /// Another instance says that it wrote this generation of an assignment.
    Told(AssignmentShard, u64),
    /// A call to the platform has ended.
    Reply(CallId, PlatformResult),
    /// These roles need holders at this revision of the configuration.
    Wanted(Revision, Vec<WantedRole>),
    /// These instances are believed to be live, this one included.
    Instances(BTreeMap<InstanceId, ZoneName>),
    /// Whether this run's lease says that it holds roles.
    MayHold(bool),
    /// This run gives all its roles away.
    Leave,
    /// The program has handed the role over: it gives no order under it any more, none is on its
    /// way, and whoever is next knows what it has to.
    Released(Role),
    /// The lease of this holder has ended, and whether this instance was the one to mark it.
    Ended(Holder, bool),
    /// The lease was lost: what was held is lost, and this is the run from now on.
    BeginAnew(Holder),
    /// Time has passed.
    Tick,
}

/// What a role table wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleAction {
    /// Call the platform.
    Call(PlatformCall),
    /// Tell an instance that this generation of an assignment concerns it: a watch may be late.
    Tell(InstanceId, AssignmentShard, u64),
    /// This run holds the role from now on.
    Gained {
        /// The role.
        role: Role,
        /// The fencing number for its orders.
        epoch: Epoch,
        /// Who held it before.
        previous: Option<Holder>,
        /// Whether that one handed it over itself.
        handed_over: bool,
    },
    /// This run is to hand the role over, and to say so with [`RoleEvent::Released`].
    Ending {
        /// The role.
        role: Role,
        /// To whom; `None` if nobody needs it any more or nobody is there to take it.
        to: Option<InstanceId>,
    },
    /// This run holds the role no longer.
    Lost(Role),
    /// The role has another holder, or none.
    HolderChanged {
        /// The role.
        role: Role,
        /// Its holder with the epoch.
        holder: Option<(InstanceId, Epoch)>,
    },
}
