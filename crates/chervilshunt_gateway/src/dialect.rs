//! Interface to one platform: its names, formats and calls as plain values and functions.
//!
//! A dialect makes no decisions, and never waits or retries. It decodes each message once, into
//! types whose fields name their contents.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_coord::{ExclusiveLeaseRecord, VersionedLeaseRecord};
use chervilshunt_core::{
    BegunStreams, Fingerprint, LoadReport, Order, OrderAnswer, PartId, RequestRate, RequestSize,
    RouteTable, StoredCrashes, TargetFacts, TargetReport, Weights,
};
use chervilshunt_engine::IdHeader;
use chervilshunt_model::{InstanceId, StoreRevision, TargetName};
use chervilshunt_platform::Call;
use http::{HeaderMap, HeaderName, Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A message that can't be decoded.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("{what}: {problem}"))]
#[snafu(visibility(pub))]
pub struct Malformed {
    /// What was decoded.
    pub what: Arc<str>,
    /// What is wrong with it.
    pub problem: String,
}

/// Interface to one platform.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Headers of requests and answers.
    pub headers: Headers,
    /// Path of the platform's readiness probe.
    pub readiness_path: &'static str,
    /// The platform's object service.
    pub store: StoreDialect,
    /// The targets' own interface.
    pub targets: TargetDialect,
}

/// Header names by their contents.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The id of one attempt by a caller; a target returns it in its answer.
    pub request_id: HeaderName,
    /// The time that the sender waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The seal that a target puts on its answers.
    pub seal: HeaderName,
    /// The target that a request is meant for; any other target refuses it.
    pub expected_target: HeaderName,
    /// The target that answers.
    pub target: HeaderName,
    /// The load of the target that answers.
    pub load: HeaderName,
    /// Present if the target that answers is leaving.
    pub leaving: HeaderName,
    /// Present if the target has not run the request.
    pub not_run: HeaderName,
    /// The weights that a request needs.
    pub weights: HeaderName,
    /// The number of tokens that a request reads and generates.
    pub size: HeaderName,
    /// The parts of a request's prompt.
    pub prompt_parts: HeaderName,
    /// The priority of a request among those at a target.
    pub priority: HeaderName,
    /// The version that the weights must have.
    pub expected_version: HeaderName,
    /// The last event of a stream that the reader has received.
    pub last_event: HeaderName,
    /// The id of the attempt that brought the first event of a stream, on an attempt that continues it.
    pub resumes: HeaderName,
    /// The team that sent a request.
    pub team: HeaderName,
    /// Headers that only this system may set; they are dropped from callers' requests.
    pub reserved: Vec<HeaderName>,
}

impl Headers {
    /// Returns the header by which an answer is recognised as the one to its request.
    pub(crate) fn id_header(&self) -> IdHeader {
        IdHeader {
            name: self.request_id.clone(),
            is_always_repeated: true,
        }
    }

    /// Returns whether an answer names another target than the expected one, whose address it has
    /// now. Such an answer shows nothing about the expected target.
    pub(crate) fn name_other_target(&self, answer: &HeaderMap, expected: &TargetName) -> bool {
        let mut named = answer.get_all(&self.target).iter();
        named.any(|it| it.as_bytes() != expected.as_str().as_bytes())
    }
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
    /// Crash records: requests that crash targets.
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

    /// Returns the name used in logs.
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

/// How recent a list has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// As recent as the call.
    Latest,
    /// Possibly seconds old, where that is cheaper; later changes follow from the list's revision.
    MayBeOld,
}

/// The contents of an object.
#[derive(Clone, Debug)]
pub enum Content {
    /// A complete configuration.
    Configuration(RouteTable),
    /// A target.
    Target(TargetFacts),
    /// The newest version of some weights.
    Version(Weights, u64),
    /// A crash record of a request.
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
    /// Its contents.
    pub content: Content,
}

/// One page of the objects of a kind.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects.
    pub entries: Vec<Entry>,
    /// The objects that can't be decoded; the others are not affected by them.
    pub malformed: Vec<Malformed>,
    /// The name after which the next page begins; `None` on the last page.
    pub next_after: Option<String>,
    /// The revision of the service that the page shows.
    pub revision: StoreRevision,
}

/// A record of streams that have begun.
#[derive(Clone, Debug)]
pub struct StreamRecord {
    /// Its name.
    pub name: Arc<str>,
    /// The service's revision at its last change.
    pub revision: StoreRevision,
    /// The streams.
    pub begun: Vec<BegunStreams>,
}

/// One page of the records of streams.
#[derive(Clone, Debug)]
pub struct StreamRecordPage {
    /// The records.
    pub records: Vec<StreamRecord>,
    /// The records that can't be decoded; the others are not affected by them.
    pub malformed: Vec<Malformed>,
    /// The name after which the next page begins; `None` on the last page.
    pub next_after: Option<String>,
}

/// One change of an object.
#[derive(Clone, Debug)]
pub enum Change {
    /// The object was created or replaced.
    Put(Box<Entry>),
    /// The object of this name was removed.
    Removed(Arc<str>),
    /// The object of this name was replaced by one that can't be decoded.
    Unreadable(Arc<str>),
}

/// Changes of the objects of a kind, in order.
#[derive(Clone, Debug)]
pub struct Changes {
    /// The changes.
    pub changes: Vec<Change>,
    /// The changes that can't be decoded.
    pub malformed: Vec<Malformed>,
    /// The revision from which to continue.
    pub revision: StoreRevision,
}

/// Encodes calls to the platform's object service and decodes their answers.
#[derive(Clone, Debug)]
pub struct StoreDialect {
    /// Makes the call for one page of a kind, starting after a name if one is given.
    pub list: fn(Kind, Option<&str>, Freshness) -> Call,
    /// Makes the call that waits for changes after a revision, for at most the given time.
    pub watch: fn(Kind, StoreRevision, Duration) -> Call,
    /// Makes the call that writes the lease if it still has the given version, or creates it.
    pub write_lease: fn(&ExclusiveLeaseRecord, Option<StoreRevision>) -> Call,
    /// Makes the call that reads the lease, linearizably.
    pub read_lease: fn() -> Call,
    /// Makes the call that writes a crash record if it still has its revision, or creates it.
    pub write_crashes: fn(&StoredCrashes) -> Call,
    /// Makes the call that removes a crash record.
    pub remove_crashes: fn(Fingerprint) -> Call,
    /// Reads the era of the service from the headers of any of its answers.
    pub era: fn(&HeaderMap) -> u64,
    /// Replaces the API keys in the answer to a read by their digests, for another instance. The
    /// result can be decoded like the answer itself. Fails if the answer can't be decoded.
    pub without_keys: fn(&[u8]) -> Result<Bytes, Malformed>,
    /// Decodes a page from an answer given in an era.
    pub decode_page: fn(Kind, u64, &[u8]) -> Result<Page, Malformed>,
    /// Decodes changes from an answer given in an era.
    pub decode_changes: fn(Kind, u64, &[u8]) -> Result<Changes, Malformed>,
    /// Decodes the lease from the answer to a read or write of it.
    pub decode_lease: fn(u64, &[u8]) -> Result<VersionedLeaseRecord, Malformed>,
    /// Decodes a crash record from the answer to a write of it.
    pub decode_crashes: fn(u64, &[u8]) -> Result<StoredCrashes, Malformed>,
    /// Decodes the name of a crash record.
    pub decode_crashes_name: fn(&str) -> Result<Fingerprint, Malformed>,
    /// Makes the call for one page of the records of streams, linearizably, starting after a name if
    /// one is given.
    pub list_streams: fn(Option<&str>) -> Call,
    /// Makes the call that writes a record of streams if it still has the given revision, or creates it.
    pub write_streams: fn(&str, Option<StoreRevision>, &[BegunStreams]) -> Call,
    /// Makes the call that removes a record of streams if it still has the given revision.
    pub remove_streams: fn(&str, StoreRevision) -> Call,
    /// Decodes a page of the records of streams from an answer given in an era.
    pub decode_streams_page: fn(u64, &[u8]) -> Result<StreamRecordPage, Malformed>,
    /// Decodes the revision of a record of streams from the answer to a write of it.
    pub decode_streams_revision: fn(u64, &[u8]) -> Result<StoreRevision, Malformed>,
}

/// The rate limit that an answer of a target names.
#[derive(Clone, Debug, Default)]
pub struct NamedLimit {
    /// The limit; `None` if the answer names none that can be read.
    pub limit: Option<RequestRate>,
    /// What is wrong with the field, if it is there and is not one proper number.
    pub malformed: Option<Malformed>,
}

/// Encodes calls to targets other than callers' requests, and decodes what targets answer.
#[derive(Clone, Debug)]
pub struct TargetDialect {
    /// Makes the request for an order, with the lease holder and its fencing token.
    pub order: fn(&Order, &InstanceId, u64) -> Request<Full<Bytes>>,
    /// Decodes the answer to an order that was meant for the given target.
    pub decode_order_answer: fn(StatusCode, &HeaderMap, &TargetName) -> OrderAnswer,
    /// Makes the request for a target's report of what it holds.
    pub report_query: fn(&TargetName) -> Request<Full<Bytes>>,
    /// Makes the request for a target's health check at a path; `None` if the path is not valid.
    pub health_query: fn(&TargetName, &str) -> Option<Request<Full<Bytes>>>,
    /// Decodes a target's report of what it holds.
    pub decode_report: fn(&[u8]) -> Result<TargetReport, Malformed>,
    /// Decodes the weights that a request names.
    pub weights: fn(&str) -> Weights,
    /// Decodes the size of a request.
    pub size: fn(&str) -> Option<RequestSize>,
    /// Decodes the parts of a prompt that other requests may share.
    pub shared_parts: fn(&str) -> Vec<PartId>,
    /// Decodes a target's load.
    pub load: fn(&str) -> Option<LoadReport>,
    /// Decodes the rate limit that an answer names.
    pub limit: fn(&HeaderMap) -> NamedLimit,
    /// Decodes how many requests a brittle target may turn away in a second; `None` if the answer
    /// does not say that the target is brittle.
    pub brittle: fn(&HeaderMap) -> Option<f64>,
}
