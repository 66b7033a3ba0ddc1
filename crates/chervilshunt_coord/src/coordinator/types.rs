//! What a coordinator reacts to, wants done, and says to others.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{Epoch, InstanceId, Revision};
use serde::{Deserialize, Serialize};

use crate::config::{ChangeRefusal, ChangeTicket, ConfigMessage};
use crate::membership::{InstanceEntry, PeerView};
use crate::outage::HoldMessage;
use crate::platform::{CallId, PlatformCall, PlatformResult, StoredObject};
use crate::roles::{AssignmentShard, Role, WantedRole};

/// What a coordinator has to react to.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordEvent<C> {
    /// A call to the platform has ended.
    PlatformReply {
        /// The call.
        call: CallId,
        /// How it ended.
        result: PlatformResult,
    },
    /// A watch showed the head or an assignment; it may be stale.
    ObjectSeen(StoredObject),
    /// The platform's instance list, whole.
    InstanceListChanged(Vec<InstanceEntry>),
    /// Another instance said something.
    PeerMessage {
        /// Who.
        from: InstanceId,
        /// What.
        message: CoordMessage<C>,
    },
    /// The connection to another instance broke and can't be made again.
    PeerLost(InstanceId),
    /// An instance whose connection was lost has sent something again.
    PeerHeard(InstanceId),
    /// These roles need holders by the configuration of this revision.
    RolesWanted {
        /// The revision.
        revision: Revision,
        /// All roles.
        roles: Vec<WantedRole>,
    },
    /// An operator wants a change of configuration.
    ProposeChange {
        /// Under which number the outcome comes back.
        ticket: ChangeTicket,
        /// The change.
        change: C,
    },
    /// The program has handed the role over: it gives no order under it any more, none is on its
    /// way, and whoever is next knows what it has to.
    RoleReleased(Role),
    /// An instance has listed the permits that it holds for a role taken over.
    PermitsAnswered {
        /// The role.
        role: Role,
        /// The instance.
        instance: InstanceId,
    },
    /// The process is to shut down.
    ShutdownRequested,
    /// The process that shuts down has finished its last request.
    Drained,
    /// Time has passed.
    Tick,
}

/// What a coordinator wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordAction<S, C> {
    /// Call the platform.
    Platform(PlatformCall),
    /// Send a message to another instance.
    Send {
        /// To whom.
        to: InstanceId,
        /// What.
        message: CoordMessage<C>,
    },
    /// This run holds the role from now on.
    RoleGained {
        /// The role.
        role: Role,
        /// The fencing number for its orders.
        epoch: Epoch,
        /// The instance that held it before.
        previous: Option<InstanceId>,
        /// Whether that one handed it over itself.
        handed_over: bool,
        /// Whom to ask for the permits that they hold; each answer is to be told by
        /// [`CoordEvent::PermitsAnswered`].
        ask: Vec<InstanceId>,
    },
    /// This run is to hand the role over, and to say so with [`CoordEvent::RoleReleased`].
    RoleEnding {
        /// The role.
        role: Role,
        /// To whom, if anybody.
        to: Option<InstanceId>,
    },
    /// This run holds the role no longer.
    RoleLost {
        /// The role.
        role: Role,
    },
    /// All that could hold permits of a role taken over have listed them or are gone.
    TakeoverComplete {
        /// The role.
        role: Role,
    },
    /// The role has another holder, or none.
    HolderChanged {
        /// The role.
        role: Role,
        /// Its holder with the epoch.
        holder: Option<(InstanceId, Epoch)>,
    },
    /// The instances that are known have changed.
    PeersChanged(PeerView),
    /// This configuration is in force from now on.
    ConfigInForce {
        /// Its revision.
        revision: Revision,
        /// The configuration.
        state: Arc<S>,
    },
    /// A proposed change is accepted.
    ChangeAccepted {
        /// The number of the proposal.
        ticket: ChangeTicket,
        /// The revision that it made.
        revision: Revision,
    },
    /// A proposed change is not accepted, or that isn't known; see [`ChangeRefusal::is_unknown`].
    ChangeRefused {
        /// The number of the proposal.
        ticket: ChangeTicket,
        /// Why.
        refusal: ChangeRefusal,
        /// When it may be tried again.
        retry_after: Option<Duration>,
    },
    /// Whether this instance may take new work from now on.
    TakeWork(bool),
    /// This run that shuts down holds no role any more.
    RolesGivenAway,
    /// This run has left: the process may exit.
    Left,
    /// A decision for the log.
    Log(CoordDecision),
}

/// What coordinators say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CoordMessage<C> {
    /// About a change of configuration.
    #[serde(rename = "c")]
    Config(ConfigMessage<C>),
    /// About the platform's failure.
    #[serde(rename = "h")]
    Hold(HoldMessage),
    /// An assignment that concerns the receiver was written.
    #[serde(rename = "r")]
    Assigned {
        /// The assignment.
        shard: AssignmentShard,
        /// Its generation.
        generation: u64,
    },
}

/// A decision with its reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CoordDecision {
    /// What was decided.
    pub kind: DecisionKind,
    /// The role that it concerns.
    pub role: Option<Role>,
    /// The instance that it concerns.
    pub instance: Option<InstanceId>,
    /// Why, as a short fixed text.
    pub reason: &'static str,
}

/// What was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// The lease exists.
    LeaseCreated,
    /// The lease was lost; the run begins anew.
    LeaseLost,
    /// The lease is extended by promises of the electors, or no longer.
    HoldChanged,
    /// Other electors were chosen.
    ElectorsChanged,
    /// The lease of another was found to have run out.
    LeaseExpired,
    /// The lease of another has ended.
    LeaseEnded,
    /// A role was gained.
    RoleGained,
    /// A role is to be handed over.
    RoleEnding,
    /// A role was lost.
    RoleLost,
    /// A change of configuration was accepted.
    ChangeAccepted,
    /// A change of configuration was refused.
    ChangeRefused,
    /// A live instance did not acknowledge a change.
    InstanceSilent,
}
