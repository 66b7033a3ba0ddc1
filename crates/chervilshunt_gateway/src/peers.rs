//! Messages between instances: all of them go to the placer or come from it.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_coord::{
    ExclusiveLeaseRecord, HeldLease, LeaseWriteOutcome, VersionedLeaseRecord,
};
use chervilshunt_core::{
    Fingerprint, GrantNumber, GrantProgress, LoadEstimates, PlacementRequest, PlacementResult,
    StoredCrashes, TargetFacts, TargetSnapshot, TargetStart, TargetUse, Weights,
};
use chervilshunt_mesh::Purpose;
use chervilshunt_model::{InstanceId, StoreRevision, TargetName};
use serde::{Deserialize, Serialize};

use crate::dialect::{Freshness, Kind};

/// A message between instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// To the placer: where this instance takes messages, and what it has under way, whole.
    #[serde(rename = "u")]
    Using {
        /// Where the sender takes messages.
        #[serde(rename = "a")]
        address: SocketAddr,
        /// Whether the platform answered the sender's last call.
        #[serde(rename = "r")]
        reaches_platform: bool,
        /// The sender's share of a processor core; instances of before this field leave it out.
        #[serde(rename = "p", default)]
        processor_share: f32,
        /// What it has under way.
        #[serde(rename = "u")]
        uses: Vec<TargetUse>,
        /// The grants that are part of it.
        #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
        grants: Vec<GrantNumber>,
    },
    /// To the placer: a request needs a target, and waits for it for a time. Answered by `Placed`.
    #[serde(rename = "w")]
    Want(PlacementRequest, Duration),
    /// From the placer: where the request may be sent, as a grant of that number.
    #[serde(rename = "p")]
    Placed(PlacementResult, GrantNumber),
    /// To the placer: how far the sender has come with its grants.
    #[serde(rename = "g")]
    Progress(GrantProgress),
    /// To the placer: a target said that it does not hold an adapter.
    #[serde(rename = "n")]
    NotHeld(TargetName, Weights),
    /// To the placer, and from it to all others: a target's answer said that it leaves.
    #[serde(rename = "d")]
    Leaving(TargetName, Option<TargetStart>),
    /// From a placer whose lease has ended, directly or passed on: what targets hold and do.
    #[serde(rename = "h")]
    Snapshots(Snapshots),
    /// From the placer, regularly: whether it places, and what it sees of the platform. Every instance
    /// is told, so that it is short: what an instance needs only when there is no placer has no place here.
    #[serde(rename = "l")]
    Placing {
        /// Whether it knows what targets hold, and is to be asked.
        #[serde(rename = "k")]
        knows_targets: bool,
        /// What it has learnt by trying, for the next placer.
        #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
        learnt: Option<LoadEstimates>,
        /// Instances that the placer hears of.
        #[serde(rename = "i")]
        instances: u32,
        /// What it sees of the platform; none if it has not seen the targets' entries yet.
        #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
        platform: Option<PlatformView>,
        /// Its lease; none if it does not hold it any more.
        #[serde(rename = "h")]
        lease: Option<HeldLease>,
    },
    /// From the placer: what has just changed at the platform.
    #[serde(rename = "e")]
    Changed(ChangeBatch),
    /// From the placer, which can't reach the platform: a call about its lease to make in its place.
    /// Answered by `LeaseCalled`.
    #[serde(rename = "c")]
    CallLease(LeaseCall),
    /// To the placer: what came of that call.
    #[serde(rename = "C")]
    LeaseCalled(LeaseAnswer),
    /// From the placer, which can't reach the platform: a read to make in its place. Answered by
    /// `StoreShows`.
    #[serde(rename = "s")]
    ReadStore(StoreRead),
    /// To the placer: what the platform answered, as text, and in which era.
    #[serde(rename = "S")]
    StoreShows(String, u64),
}

/// What a placer knew of all targets when its lease ended.
///
/// It goes to a few instances, each of which passes it on to some others, so that nobody has to send it
/// to all: for hundreds of instances it would take a small machine's link for seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Snapshots {
    /// The term of the placer.
    #[serde(rename = "t")]
    pub(crate) term: u64,
    /// The targets.
    #[serde(rename = "p")]
    pub(crate) targets: Vec<TargetSnapshot>,
    /// The instances to which the receiver passes it on.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) pass_on: Vec<(InstanceId, SocketAddr)>,
}

/// A read of objects.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum StoreRead {
    /// One page of a kind, after a name if one is given.
    List(Kind, Option<String>, Freshness),
    /// The changes of a kind after a revision; they are waited for at most for a time.
    Watch(Kind, StoreRevision, Duration),
}

impl StoreRead {
    /// Returns how long the platform may wait before it answers.
    pub(crate) const fn wait(&self) -> Duration {
        match self {
            Self::List(..) => Duration::ZERO,
            Self::Watch(_, _, wait) => *wait,
        }
    }

    /// Returns what it is about.
    pub(crate) const fn kind(&self) -> Kind {
        match self {
            Self::List(kind, ..) | Self::Watch(kind, ..) => *kind,
        }
    }

    /// Returns the same read with a bound on its wait.
    pub(crate) fn waiting_at_most(&self, longest: Duration) -> Self {
        match self {
            Self::List(kind, after, freshness) => Self::List(*kind, after.clone(), *freshness),
            Self::Watch(kind, from, wait) => Self::Watch(*kind, *from, (*wait).min(longest)),
        }
    }
}

/// A call about the lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum LeaseCall {
    /// Writes the record if the object still has a version, or creates it.
    Write(ExclusiveLeaseRecord, Option<StoreRevision>),
    /// Reads the record, linearizably.
    Read,
}

/// What came of a call about the lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum LeaseAnswer {
    /// A write has ended.
    Written(LeaseWriteOutcome),
    /// A read has ended; none if there is no object.
    Read(Option<VersionedLeaseRecord>),
    /// A read has failed.
    ReadFailed,
}

impl LeaseAnswer {
    /// Says whether somebody else may get further with the call: a write is carried out at one
    /// version of the object only, so that the same write by two does no harm.
    pub(crate) const fn is_failure(&self) -> bool {
        matches!(
            self,
            Self::Written(LeaseWriteOutcome::Failed | LeaseWriteOutcome::Unknown)
                | Self::ReadFailed
        )
    }
}

/// Up to which of the service's revisions everybody has to know each kind of objects.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct PlatformView {
    /// How long ago the placer saw that nothing has changed since.
    #[serde(rename = "a")]
    pub(crate) age: Duration,
    /// The last change of a target's entry that concerns every instance.
    #[serde(rename = "t")]
    pub(crate) targets: StoreRevision,
    /// The last change of the configuration; none if the placer can't follow it now.
    #[serde(rename = "c")]
    pub(crate) configuration: Option<StoreRevision>,
    /// The last naming of a version; none if the placer can't follow them now.
    #[serde(rename = "v")]
    pub(crate) versions: Option<StoreRevision>,
    /// The last change of a record of crashes; none if the placer can't follow them now.
    #[serde(rename = "q", default)]
    pub(crate) crashes: Option<StoreRevision>,
}

/// Changes of one kind of objects, told so that instances need not look for themselves.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ChangeBatch {
    /// The revision of the last change before these.
    #[serde(rename = "a")]
    pub(crate) after: StoreRevision,
    /// The revision of the last of these.
    #[serde(rename = "u")]
    pub(crate) up_to: StoreRevision,
    /// What has changed.
    #[serde(rename = "w")]
    pub(crate) what: KindChanges,
}

/// What has changed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum KindChanges {
    /// Targets' entries: those that every instance has to know, and those that are gone.
    #[serde(rename = "t")]
    Targets(Vec<TargetFacts>, Vec<TargetName>),
    /// The newest versions of weights.
    #[serde(rename = "v")]
    Versions(Vec<(Weights, u64)>),
    /// The configuration, which instances read themselves: it may be far longer than what one instance
    /// can send to all others in time.
    #[serde(rename = "c")]
    Configuration,
    /// Records of requests that crash targets: those that were written, and those that are gone.
    #[serde(rename = "q")]
    Crashes(Vec<StoredCrashes>, Vec<Fingerprint>),
}

impl Purpose for PeerMessage {
    fn purpose(&self) -> &'static str {
        match self {
            Self::Using { .. } => "using",
            Self::Want(..) => "want",
            Self::Placed(..) => "placed",
            Self::Progress(_) => "progress",
            Self::NotHeld(..) => "not_held",
            Self::Leaving(..) => "leaving",
            Self::Snapshots(_) => "snapshots",
            Self::Placing { .. } => "placing",
            Self::Changed(_) => "changed",
            Self::CallLease(_) => "call_lease",
            Self::LeaseCalled(_) => "lease_called",
            Self::ReadStore(_) => "read_store",
            Self::StoreShows(..) => "store_shows",
        }
    }
}
