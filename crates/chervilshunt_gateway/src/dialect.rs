//! How one platform speaks: its names, formats and calls as plain values and functions.
//!
//! Nothing in a dialect decides, waits or repeats; what a message holds is decoded once, into types
//! whose fields say what they hold.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_coord::{ExclusiveLeaseRecord, VersionedLeaseRecord};
use chervilshunt_core::{
    Fingerprint, LoadReport, Order, OrderAnswer, RequestSize, RouteTable, StoredCrashes,
    TargetFacts, TargetReport, Weights,
};
use chervilshunt_model::{InstanceId, StoreRevision, TargetName};
use chervilshunt_platform::Call;
use http::{HeaderMap, HeaderName, Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A message that can't be read.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("{what}: {problem}"))]
#[snafu(visibility(pub))]
pub struct Malformed {
    /// What was to be read.
    pub what: Arc<str>,
    /// What is wrong with it.
    pub problem: String,
}

/// How one platform speaks.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Headers of requests and answers.
    pub headers: Headers,
    /// The path at which the platform asks whether an instance takes callers.
    pub readiness_path: &'static str,
    /// The platform's object service.
    pub store: StoreDialect,
    /// The targets' own interface.
    pub targets: TargetDialect,
}

/// Headers by what they hold.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The id of one try of a caller, which a target repeats in its answer.
    pub request_id: HeaderName,
    /// How long the sender waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// What a target signs its answers with.
    pub seal: HeaderName,
    /// The target that a request is meant for; any other one refuses it.
    pub expected_target: HeaderName,
    /// The target that answers.
    pub target: HeaderName,
    /// The load of the target that answers.
    pub load: HeaderName,
    /// Says that the target that answers leaves.
    pub leaving: HeaderName,
    /// Says that the target has not run the request.
    pub not_run: HeaderName,
    /// The weights that a request wants.
    pub weights: HeaderName,
    /// How many tokens a request reads and generates.
    pub size: HeaderName,
    /// The urgency of a request among those at a target.
    pub urgency: HeaderName,
    /// The version that the weights have to have.
    pub expected_version: HeaderName,
    /// The last event of a stream that its reader has.
    pub last_event: HeaderName,
    /// Headers that only this system may set: a caller's are dropped.
    pub reserved: Vec<HeaderName>,
}

/// The kinds of objects that an instance follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The operators' configuration.
    Configuration,
    /// The targets' own entries.
    Targets,
    /// The newest versions of weights.
    Versions,
    /// Records of requests that crash targets.
    Crashes,
    /// The placer's lease.
    Lease,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Configuration,
        Self::Targets,
        Self::Versions,
        Self::Crashes,
        Self::Lease,
    ];

    /// Returns the name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
            Self::Versions => "versions",
            Self::Crashes => "crashes",
            Self::Lease => "lease",
        }
    }
}

/// How new a list has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// As new as the call.
    Latest,
    /// It may be seconds old, where that is cheaper: the changes since then follow from its revision.
    MayBeOld,
}

/// What an object holds.
#[derive(Clone, Debug)]
pub enum Content {
    /// A configuration, whole.
    Configuration(RouteTable),
    /// A target.
    Target(TargetFacts),
    /// The newest version of some weights.
    Version(Weights, u64),
    /// A record of a request that crashes targets.
    Crashes(StoredCrashes),
    /// The placer's lease.
    Lease(VersionedLeaseRecord),
}

/// An object.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name.
    pub name: Arc<str>,
    /// The service's revision at its last change.
    pub revision: StoreRevision,
    /// What it holds.
    pub content: Content,
}

/// One page of the objects of a kind.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects.
    pub entries: Vec<Entry>,
    /// The objects that can't be read; the others are no worse for them.
    pub malformed: Vec<Malformed>,
    /// The name after which the next page begins; none if this is the last one.
    pub next_after: Option<String>,
    /// The revision of the service that the page shows.
    pub revision: StoreRevision,
}

/// One change of an object.
#[derive(Clone, Debug)]
pub enum Change {
    /// It was made or replaced.
    Put(Box<Entry>),
    /// The object of this name was removed.
    Removed(Arc<str>),
    /// The object of this name was replaced by one that can't be read.
    Unreadable(Arc<str>),
}

/// Changes of the objects of a kind, in their order.
#[derive(Clone, Debug)]
pub struct Changes {
    /// The changes.
    pub changes: Vec<Change>,
    /// The changes that can't be read.
    pub malformed: Vec<Malformed>,
    /// The revision to go on from.
    pub revision: StoreRevision,
}

/// How the platform's object service is spoken to.
#[derive(Clone, Debug)]
pub struct StoreDialect {
    /// Makes the call for one page of a kind, after a name if one is given.
    pub list: fn(Kind, Option<&str>, Freshness) -> Call,
    /// Makes the call that waits for changes after a revision, at most for a time.
    pub watch: fn(Kind, StoreRevision, Duration) -> Call,
    /// Makes the call that writes the lease if it still has a version, or creates it.
    pub write_lease: fn(&ExclusiveLeaseRecord, Option<StoreRevision>) -> Call,
    /// Makes the call that reads the lease, linearizably.
    pub read_lease: fn() -> Call,
    /// Makes the call that writes a record of crashes if it still has its revision, or creates it.
    pub write_crashes: fn(&StoredCrashes) -> Call,
    /// Makes the call that removes a record of crashes.
    pub remove_crashes: fn(Fingerprint) -> Call,
    /// Reads the era of the service from the headers of any of its answers.
    pub era: fn(&HeaderMap) -> u64,
    /// Reads a page that was given in an era.
    pub read_page: fn(Kind, u64, &[u8]) -> Result<Page, Malformed>,
    /// Reads changes that were told in an era.
    pub read_changes: fn(Kind, u64, &[u8]) -> Result<Changes, Malformed>,
    /// Reads the lease, as a read or write of it is answered.
    pub read_seen_lease: fn(u64, &[u8]) -> Result<VersionedLeaseRecord, Malformed>,
    /// Reads a record of crashes, as a write of it is answered.
    pub read_written_crashes: fn(u64, &[u8]) -> Result<StoredCrashes, Malformed>,
    /// Reads the name of a record of crashes.
    pub read_crashes_name: fn(&str) -> Result<Fingerprint, Malformed>,
}

/// How targets are spoken to beside callers' requests.
#[derive(Clone, Debug)]
pub struct TargetDialect {
    /// Makes an order of a holder with its fencing token.
    pub order: fn(&Order, &InstanceId, u64) -> Request<Full<Bytes>>,
    /// Reads the answer to an order that was meant for a target.
    pub read_order_answer: fn(StatusCode, &HeaderMap, &TargetName) -> OrderAnswer,
    /// Makes the question what a target holds.
    pub ask: fn(&TargetName) -> Request<Full<Bytes>>,
    /// Reads what a target holds.
    pub read_report: fn(&[u8]) -> Result<TargetReport, Malformed>,
    /// Reads the weights that a request names.
    pub weights: fn(&str) -> Weights,
    /// Reads how large a request is.
    pub size: fn(&str) -> Option<RequestSize>,
    /// Reads a target's load.
    pub load: fn(&str) -> Option<LoadReport>,
}
