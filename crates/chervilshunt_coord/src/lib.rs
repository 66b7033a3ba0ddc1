//! Membership, leases, roles, acceptance of configuration and claims, as state machines.
//!
//! Nothing here does input or output. Each machine takes an event and the present time and gives
//! back what is to be done; calls to the platform, messages to other instances and timers belong
//! to whoever drives it. [`Coordinator`] puts the machines together for a daemon; each can be
//! used by itself as well (see `examples/`). What was weighed is in `docs/design/`.

mod bugs;
mod claims;
mod config;
mod coordinator;
mod hashing;
mod holder;
mod lease;
mod membership;
mod outage;
mod platform;
mod roles;
mod takeover;
#[cfg(test)]
mod tests;

pub use claims::{
    ClaimAction, ClaimAnswer, ClaimConfig, ClaimEntry, ClaimEvent, ClaimKeeper, ClaimKey,
    ClaimOutcome, ClaimPage, ClaimPageName, ClaimRequest, ClaimsInOutage,
};
pub use config::{
    Applied, ChangeRefusal, ChangeTicket, ConfigMessage, ConfigModel, Elector, Electorate,
    Follower, FollowerAction, FollowerConfig, FollowerEvent, HeadRecord, InForce, PageKey,
    PageStamp, PendingChange, Prepare, Proposer, ProposerAction, ProposerConfig, ProposerEvent,
    deployment_model,
};
pub use coordinator::{
    CoordAction, CoordDecision, CoordEvent, CoordMessage, Coordinator, CoordinatorConfig,
    DecisionKind,
};
pub use holder::{Holder, HolderError, Incarnation};
pub use lease::{
    LeaseAction, LeaseConfig, LeaseEvent, LeaseKeeper, LeaseObserver, LeaseRecord, LeaseState,
    ObserverAction, ObserverConfig, ObserverEvent,
};
pub use membership::{InstanceEntry, Peer, PeerState, PeerView};
pub use outage::{
    ElectorConfig, ElectorDesk, Hold, HoldAction, HoldConfig, HoldMessage, VouchAction, Vouching,
};
pub use platform::{
    CallId, Object, ObjectKind, ObjectName, ObjectVersion, PageName, PlatformCall, PlatformOp,
    PlatformResult, Purpose, Stored,
};
pub use roles::{
    AssignmentRecord, AssignmentShard, Candidate, Role, RoleAction, RoleConfig, RoleEntry,
    RoleError, RoleEvent, RoleTable, WantedRole, choose_holder,
};
pub use takeover::Takeovers;
