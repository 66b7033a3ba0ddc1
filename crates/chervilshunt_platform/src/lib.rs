//! Client of the platform's object API and instance list.
//!
//! All calls of a process go through one [`Platform`], which counts them, limits their rate and
//! duration, and retries them only where that is safe. Durable state is kept in objects of the
//! platform; this crate does not interpret their content. See `docs/design/platform-client.md` and
//! `docs/operators/platform.md`.

mod accounting;
mod answer;
mod call;
mod client;
mod clock;
mod config;
mod error;
mod exchange;
mod instance_list;
mod item;
mod object;
mod pacer;
mod resource;
mod selector;
mod table;
mod transport;
mod watch;
mod wire;

pub use accounting::Verb;
pub use answer::{FailureReader, retry_after};
pub use call::Call;
pub use client::Platform;
pub use config::{PlatformConfig, RateLimit, Timeouts, WatchTiming};
pub use error::PlatformError;
pub use exchange::Exchange;
pub use instance_list::{
    Endpoint, EndpointConditions, EndpointPort, EndpointProblem, EndpointSlice, InstanceChange,
    InstanceList, ListedInstance, SERVICE_LABEL, TargetRef,
};
pub use object::{MalformedObject, Object, ObjectList, ResourceVersion, VersionList};
pub use resource::{
    ASSIGNMENTS, CLAIM_PAGES, CONFIG_HEADS, CONFIG_PAGES, ENDPOINT_SLICES, LEASES, Layout, Resource,
};
pub use selector::Selector;
pub use watch::{StallReason, WatchEvent};
