//! Membership, leases, roles, acceptance of configuration and claims, as state machines.
//!
//! Nothing here does input or output. Each machine takes an event and the present time and gives
//! back what is to be done; calls to the platform, messages to other instances and timers belong
//! to whoever drives it. What was weighed is in `docs/design/`, how programs other than
//! `chervilshuntd` use the parts in `docs/design/embedding.md`.
//!
//! # Which part to take
//!
//! | for | take | example |
//! | --- | --- | --- |
//! | one lease with fencing between a few processes | [`LeaseKeeper`], [`LeaseObserver`] | `lease.rs` |
//! | one duty with one holder, before targets that check no fencing token | [`ExclusiveLeaseKeeper`] | |
//! | roles, each with one holder, over many instances | [`Coordinator`] with [`no_configuration`] | `roles.rs` |
//! | a configuration that is in force everywhere or nowhere | [`Coordinator`] with a [`ConfigModel`] | `configuration.rs` |
//! | idempotency keys that are claimed once | [`ClaimKeeper`], under a role of its own | |
//!
//! `cargo run -p chervilshunt_coord --example NAME` runs them in virtual time, on a
//! [`MemoryPlatform`].
//!
//! # How a [`Coordinator`] is driven
//!
//! 1. Draw an [`Incarnation`] at random at each start: it is what tells a restarted process from
//!    the one before. Give [`CoordEvent::Tick`] once, and again whenever
//!    [`Coordinator::next_wakeup`] says so, by a monotonic clock.
//! 2. Carry out each [`CoordAction::Platform`] and answer it exactly once;
//!    [`PlatformResult::Unknown`] where a write may have been carried out, and only then. Reads
//!    must show the last write, and updates must be conditional on the version.
//! 3. Send each [`CoordAction::Send`] to its instance, once or not at all; the other side gives it
//!    to its coordinator as [`CoordEvent::PeerMessage`]. Messages may be lost, doubled or late.
//! 4. Pass on what watches of assignments and of the head show, and the instance list, as
//!    [`CoordEvent::ObjectSeen`] and [`CoordEvent::InstanceListChanged`]. Both may be late.
//! 5. After [`CoordAction::ConfigInForce`], say with [`CoordEvent::RolesWanted`] which roles that
//!    revision needs. A program's own roles are [`Role::Other`].
//! 6. On [`CoordAction::RoleEnding`], end what goes on under the role, then give
//!    [`CoordEvent::RoleReleased`].
//! 7. Right before each order ask [`Coordinator::may_order`] for the epoch and send that along as
//!    the fencing number; right before new work is taken ask [`Coordinator::may_take_work`]. Both
//!    with the time of that moment, as the process may have been paused since it was last told.

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

// What the machines take and give, so that a program with a configuration of its own needs no other
// crate of this workspace.
pub use chervilshunt_model::{
    ChangeId, Epoch, InstanceId, Moment, RegionName, Revision, SiteName, StoreName, TargetName,
    ZoneName,
};
pub use claims::{
    ClaimAction, ClaimAnswer, ClaimConfig, ClaimEntry, ClaimEvent, ClaimKeeper, ClaimKey,
    ClaimOutcome, ClaimPage, ClaimPageName, ClaimRequest, ClaimsInOutage,
};
pub use config::{
    Applied, ChangeRefusal, ChangeTicket, ConfigMessage, ConfigModel, Elector, Electorate,
    Follower, FollowerAction, FollowerConfig, FollowerEvent, HeadRecord, InForce, PageKey,
    PageStamp, PageStampError, PendingChange, Prepare, Proposer, ProposerAction, ProposerConfig,
    ProposerEvent, deployment_model, no_configuration,
};
pub use coordinator::{
    CoordAction, CoordDecision, CoordEvent, CoordMessage, Coordinator, CoordinatorConfig,
    DecisionKind,
};
pub use holder::{Holder, HolderError, Incarnation};
pub use lease::{
    ExclusiveLeaseAction, ExclusiveLeaseConfig, ExclusiveLeaseEvent, ExclusiveLeaseKeeper,
    ExclusiveLeaseRecord, HeldLease, LeaseAction, LeaseConfig, LeaseEvent, LeaseKeeper,
    LeaseObserver, LeaseRecord, LeaseState, LeaseWriteOutcome, ObserverAction, ObserverConfig,
    ObserverEvent, VersionedLeaseRecord, era_of_term,
};
pub use membership::{InstanceEntry, Peer, PeerState, PeerView};
pub use outage::{
    ElectorConfig, ElectorMessage, ElectorState, LeaseExtension, LeaseExtensionAction,
    LeaseExtensionConfig, VouchAction, VouchCollector,
};
pub use platform::{
    CallId, CarriedOut, MemoryPlatform, Object, ObjectKind, ObjectName, ObjectVersion, PageName,
    PlatformCall, PlatformOp, PlatformResult, Purpose, Stored,
};
pub use roles::{
    AssignmentRecord, AssignmentShard, Candidate, Role, RoleAction, RoleConfig, RoleEntry,
    RoleError, RoleEvent, RoleTable, WantedRole, choose_holder,
};
pub use takeover::Takeovers;
