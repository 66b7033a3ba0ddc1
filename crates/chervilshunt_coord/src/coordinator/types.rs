//! Events, actions and messages of a coordinator.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{Epoch, InstanceId, Revision};
use serde::{Deserialize, Serialize};

use crate::config::{ChangeRefusal, ChangeTicket, ConfigMessage};
use crate::membership::{InstanceEntry, PeerView};
use crate::outage::ElectorMessage;
use crate::platform::{CallId, PlatformCall, PlatformResult, StoredObject};
use crate::roles::{AssignmentShard, Role, WantedRole};

/// An input of a [`Coordinator`](super::Coordinator).
#[derive(Clone, Debug, PartialEq)]
pub enum CoordEvent<C> {
    /// A call to the platform has ended.
    PlatformReply {
        /// The call.
        call: CallId,
        /// How it ended.
        result: PlatformResult,
    },
    /// A watch reported the head or an assignment, which may be stale.
    ObjectSeen(StoredObject),
    /// The platform's complete instance list.
    InstanceListChanged(Vec<InstanceEntry>),
    /// A message from another instance arrived.
    PeerMessage {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: CoordMessage<C>,
    },
    /// The connection to another instance broke and cannot be re-established.
    PeerLost(InstanceId),
    /// An instance whose connection was lost is sending again.
    PeerReachable(InstanceId),
    /// The configuration at this revision requires these roles.
    RolesWanted {
        /// The revision of the configuration.
        revision: Revision,
        /// All roles that need a holder.
        roles: Vec<WantedRole>,
    },
    /// An operator requests a change of the configuration.
    ProposeChange {
        /// The number under which the outcome is reported.
        ticket: ChangeTicket,
        /// The change.
        change: C,
    },
    /// The program has finished handing over the role: it gives no more orders under it, none is in
    /// flight, and the next holder has all the state that it needs.
    RoleReleased(Role),
    /// An instance has reported the permits that it holds for a role that was taken over.
    PermitsReported {
        /// The role.
        role: Role,
        /// The instance.
        instance: InstanceId,
    },
    /// The process is asked to shut down.
    ShutdownRequested,
    /// The process that is shutting down has finished its last request.
    Drained,
    /// Time has passed; due at [`Coordinator::next_wakeup`](super::Coordinator::next_wakeup).
    Tick,
}

/// An output of a [`Coordinator`](super::Coordinator).
#[derive(Clone, Debug, PartialEq)]
pub enum CoordAction<S, C> {
    /// Call the platform.
    Platform(PlatformCall),
    /// Send a message to another instance.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: CoordMessage<C>,
    },
    /// This run holds the role from now on.
    RoleGained {
        /// The role.
        role: Role,
        /// The fencing token for orders under the role.
        epoch: Epoch,
        /// The instance that held it before.
        previous: Option<InstanceId>,
        /// Whether the previous holder handed it over, as opposed to losing it.
        handed_over: bool,
        /// The instances to ask for the permits that they hold. Each answer must be reported with
        /// [`CoordEvent::PermitsReported`].
        ask: Vec<InstanceId>,
    },
    /// This run must hand over the role and confirm with [`CoordEvent::RoleReleased`].
    RoleEnding {
        /// The role.
        role: Role,
        /// The next holder, if there is one.
        to: Option<InstanceId>,
    },
    /// This run no longer holds the role.
    RoleLost {
        /// The role.
        role: Role,
    },
    /// All instances that could hold permits of a role that was taken over have reported them or
    /// are gone.
    TakeoverComplete {
        /// The role.
        role: Role,
    },
    /// The role has a different holder, or none.
    HolderChanged {
        /// The role.
        role: Role,
        /// Its holder and epoch.
        holder: Option<(InstanceId, Epoch)>,
    },
    /// The view of the known instances has changed.
    PeersChanged(PeerView),
    /// This configuration is in force from now on.
    ConfigInForce {
        /// Its revision.
        revision: Revision,
        /// The configuration.
        state: Arc<S>,
    },
    /// A proposed change was accepted.
    ChangeAccepted {
        /// The ticket of the proposal.
        ticket: ChangeTicket,
        /// The revision that the change created.
        revision: Revision,
    },
    /// A proposed change was not accepted, or its outcome is unknown; see
    /// [`ChangeRefusal::is_unknown`].
    ChangeRefused {
        /// The ticket of the proposal.
        ticket: ChangeTicket,
        /// The reason.
        refusal: ChangeRefusal,
        /// How long to wait before trying again, if that can help.
        retry_after: Option<Duration>,
    },
    /// Whether this instance may take new work from now on.
    TakeWork(bool),
    /// This run is shutting down and no longer holds any role.
    RolesReleased,
    /// This run has left the fleet; the process may exit.
    Left,
    /// A decision to be logged.
    Log(CoordDecision),
}

/// A message between coordinators.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CoordMessage<C> {
    /// Concerns a change of the configuration.
    #[serde(rename = "c")]
    Config(ConfigMessage<C>),
    /// Concerns leases while the platform is unreachable.
    #[serde(rename = "h")]
    Elector(ElectorMessage),
    /// An assignment that concerns the receiver was written.
    #[serde(rename = "r")]
    Assigned {
        /// The shard of the assignment.
        shard: AssignmentShard,
        /// Its generation.
        generation: u64,
    },
}

/// A decision with its reason, for the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CoordDecision {
    /// The kind of decision.
    pub kind: DecisionKind,
    /// The role that the decision concerns.
    pub role: Option<Role>,
    /// The instance that the decision concerns.
    pub instance: Option<InstanceId>,
    /// The reason, as a short fixed text.
    pub reason: &'static str,
}

/// The kind of a [`CoordDecision`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// The lease of this run was created.
    LeaseCreated,
    /// The lease of this run was lost; the instance rejoins under a new incarnation.
    LeaseLost,
    /// The lease is now extended by promises of the electors, or no longer is.
    HoldChanged,
    /// A new set of electors was chosen.
    ElectorsChanged,
    /// The lease of another run was found expired.
    LeaseExpired,
    /// The lease of another run has ended.
    LeaseEnded,
    /// A role was gained.
    RoleGained,
    /// A role is being handed over.
    RoleEnding,
    /// A role was lost.
    RoleLost,
    /// A change of the configuration was accepted.
    ChangeAccepted,
    /// A change of the configuration was refused.
    ChangeRefused,
    /// A live instance did not acknowledge a change in time.
    InstanceSilent,
}
