//! Names, objects and messages that the chervilshunt crates share.
//!
//! This crate holds data only: identifiers, the objects that operators create, and the clock type
//! that every deciding function takes as an argument. Nothing here does input or output, so that
//! the decision crates can be tested without sockets. See `docs/ARCHITECTURE.md`.

mod class;
mod deployment;
mod ids;
mod moment;

pub use class::Class;
pub use deployment::{
    Adapter, Deployment, Fencing, Lifecycle, Priority, Service, ServiceKind, Site, Target, Version,
    WeightStore,
};
pub use ids::{
    AdapterName, AdapterVersion, AttemptId, CallerName, ChangeId, Epoch, InstanceId,
    ModelNameError, PriorityName, RegionName, RequestId, Revision, ServiceName, SiteName,
    StoreName, TargetName, VersionName, ZoneName,
};
pub use moment::Moment;
