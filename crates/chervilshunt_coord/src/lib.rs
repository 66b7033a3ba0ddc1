//! Leases, membership, roles, configuration changes and idempotency claims, as state machines.
//!
//! This crate does no input or output. Each state machine takes an event and the current time and
//! returns the actions to carry out. Calls to the platform, messages to other instances and timers
//! are the job of the driver, the program that embeds the state machines. The design decisions are
//! described in `docs/design/`; `docs/design/embedding.md` shows how programs other than
//! `chervilshuntd` use the crate.
//!
//! # Choosing a state machine
//!
//! | purpose | types | example |
//! | --- | --- | --- |
//! | one lease with fencing between a few processes | [`LeaseKeeper`], [`LeaseObserver`] | `lease.rs` |
//! | one duty with one holder, for targets that check no fencing token | [`ExclusiveLeaseKeeper`] | |
//! | roles, each with one holder, over many instances | [`Coordinator`] with [`no_configuration`] | `roles.rs` |
//! | a configuration that takes effect on all instances or on none | [`Coordinator`] with a [`ConfigModel`] | `configuration.rs` |
//! | idempotency keys that are claimed once | [`ClaimKeeper`], under a role of its own | |
//!
//! `cargo run -p chervilshunt_coord --example NAME` runs an example in virtual time, on a
//! [`MemoryPlatform`].
//!
//! # Driving a [`Coordinator`]
//!
//! 1. Draw a random [`Incarnation`] at each start: it distinguishes a restarted process from the
//!    previous one. Pass in [`CoordEvent::Tick`] once, and again whenever
//!    [`Coordinator::next_wakeup`] is due on a monotonic clock.
//! 2. Carry out each [`CoordAction::Platform`] and report its result exactly once. Use
//!    [`PlatformResult::Unknown`] if, and only if, a write may have been carried out. Reads must
//!    return the last write, and updates must be conditional on the version.
//! 3. Send each [`CoordAction::Send`] to its instance, at most once; the receiver passes it to its
//!    coordinator as [`CoordEvent::PeerMessage`]. Messages may be lost, duplicated or late.
//! 4. Pass in what the watches of assignments and of the head report, as
//!    [`CoordEvent::ObjectSeen`], and the instance list, as [`CoordEvent::InstanceListChanged`].
//!    Both may be late.
//! 5. After [`CoordAction::ConfigInForce`], pass in the roles that this revision needs with
//!    [`CoordEvent::RolesWanted`]. A program's own roles are [`Role::Other`].
//! 6. On [`CoordAction::RoleEnding`], finish the work under the role, then pass in
//!    [`CoordEvent::RoleReleased`].
//! 7. Immediately before each order call [`Coordinator::may_order`] and send the returned epoch
//!    with the order as the fencing number. Immediately before taking new work call
//!    [`Coordinator::may_take_work`]. Pass the current time to both, as the process may have been
//!    paused since its last event.

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

// The types in the state machines' events and actions are re-exported, so that a program with a
// configuration of its own needs no other crate of this workspace.
pub use chervilshunt_model::{
    ChangeId, Epoch, InstanceId, Moment, RegionName, Revision, SiteName, StoreName, TargetName,
    ZoneName,
};
pub use claims::{
    ClaimAction, ClaimAnswer, ClaimConfig, ClaimEntry, ClaimEvent, ClaimKeeper, ClaimKey,
    ClaimOutcome, ClaimPage, ClaimPageName, ClaimRequest, ClaimsInOutage,
};
pub use config::{
    AppliedChange, ChangeRefusal, ChangeTicket, ConfigFollower, ConfigInForce, ConfigMessage,
    ConfigModel, Elector, Electorate, FollowerAction, FollowerConfig, FollowerEvent, HeadRecord,
    PageKey, PageStamp, PageStampError, PendingChange, Prepare, Proposer, ProposerAction,
    ProposerConfig, ProposerEvent, deployment_model, no_configuration,
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
    CallEffect, CallId, CallPurpose, MemoryPlatform, Object, ObjectKind, ObjectName, ObjectVersion,
    PageName, PlatformCall, PlatformOp, PlatformResult, StoredObject,
};
pub use roles::{
    AssignmentRecord, AssignmentShard, Candidate, Role, RoleAction, RoleConfig, RoleEntry,
    RoleError, RoleEvent, RoleTable, WantedRole, choose_holder,
};
pub use takeover::Takeovers;
