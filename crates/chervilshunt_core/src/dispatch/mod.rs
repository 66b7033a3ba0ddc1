//! Selects the target of a request, in the instance that received it.
//!
//! No coordination is needed: a target refuses requests for weights that it does not hold or that
//! it has no room for, and both refusals guarantee that nothing was executed. An instance can
//! therefore always decide on its own, based on the platform's list of targets, the load that
//! targets report with their responses, and the notifications of the placer. See
//! `docs/design/on-the-platform.md`.

mod brittle;
mod choose;
mod congestion;
mod facts;
mod guide;
mod health;
mod holders;
mod lanes;
mod life;
mod limits;
mod links;
mod load;
mod pace;
mod plain;
mod routes;
mod self_reports;
mod software;
mod state;
mod teams;
mod uses;

pub(crate) use brittle::BRITTLE_FILL;
pub use brittle::BrittleChange;
pub use choose::{Choice, DispatchConfig, TargetRequirements, WaitReason};
pub use congestion::SecondAttempt;
pub use facts::{
    Leaving, LoadReport, LoadedAdapter, LoadedModel, ModelSpec, PlacementLimits, RequestSize,
    SoftwareVersion, TargetFacts, TargetStart, Weights,
};
pub use guide::{Continuity, PollGuide, PollMode};
pub use health::{HealthConfig, HealthSignal, TargetPath};
pub(crate) use holders::AnnouncedVersions;
pub use holders::{AdapterHolding, HeldAdapters, TargetSnapshot};
pub use lanes::{Lane, long_prompt_targets};
pub use links::LinkChange;
pub use routes::{CallerBounds, Repeat, Route, RouteTable, ServiceSpec};
pub(crate) use software::has_software;
pub use state::{Dispatch, EntryChange};
pub use teams::{KeyDigest, Quota, QuotaUnit, Team, Teams, TeamsError};
