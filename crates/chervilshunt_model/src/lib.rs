//! Data types shared by the chervilshunt crates.
//!
//! This crate contains identifiers, the objects that operators create and their changes, and the
//! clock and time types. It performs no network or file I/O, so that the decision logic can be
//! tested without sockets: decision functions take the current time as a [`Moment`] argument. See
//! `docs/ARCHITECTURE.md`.

mod adapter_map;
mod apply;
mod change_error;
mod changes;
mod class;
mod clock;
mod deployment;
mod final_status;
mod ids;
mod moment;
mod object;
mod pages;
mod patches;
mod prefix;
mod references;
mod spent_retries;
mod store_revision;
mod version_map;

pub use adapter_map::AdapterMap;
pub use change_error::ChangeError;
pub use changes::{Change, ChangeSet, Edit, NoPatch};
pub use class::Class;
pub use clock::Clock;
pub use deployment::{
    Adapter, Deployment, Fencing, Lifecycle, Priority, Service, ServiceKind, Site, Target, Version,
    WeightStore,
};
pub use final_status::is_final_status;
pub use ids::{
    AdapterName, AdapterVersion, AttemptId, CallerName, ChangeId, Epoch, InstanceId,
    ModelNameError, PriorityName, RegionName, RequestId, Revision, ServiceName, SiteName,
    StoreName, TargetName, VersionName, ZoneName,
};
pub use moment::Moment;
pub use object::{ObjectKind, ObjectRef};
pub use pages::{AdapterPage, CommonPage, Page, PageError, PageId};
pub use patches::{
    AdapterPatch, PriorityChoice, PriorityPatch, ServicePatch, SitePatch, TargetPatch,
    WeightStorePatch,
};
pub use prefix::prefix_hash;
pub use spent_retries::{RetryCounts, SpentRetries};
pub use store_revision::StoreRevision;
pub use version_map::VersionMap;
