//! Messages between instances. The placer is the sender or the receiver of all of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_coord::{
    ExclusiveLeaseRecord, HeldLease, LeaseWriteOutcome, VersionedLeaseRecord,
};
use chervilshunt_core::{
    BegunStreams, ChargeNumber, ChargeResult, Fingerprint, GrantNumber, GrantProgress, LimitReport,
    LoadEstimates, PlacementRequest, PlacementResult, RetryGrant, SendPermit, SettledRetries,
    StoredCrashes, StreamKey, StreamOrigin, TargetFacts, TargetSnapshot, TargetStart, TargetUse,
    Weights,
};
use chervilshunt_mesh::Purpose;
use chervilshunt_model::{InstanceId, ServiceName, StoreRevision, TargetName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::admit::{AdmitAnswer, AdmitRequest};
use crate::dialect::{Freshness, Kind};
use crate::transit::Ticket;

/// A message between instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// To the placer: the sender's address and all of its open requests.
    #[serde(rename = "u")]
    UsageReport {
        /// The sender's address for messages from peers.
        #[serde(rename = "a")]
        address: SocketAddr,
        /// Whether the platform answered the sender's last call.
        #[serde(rename = "r")]
        reaches_platform: bool,
        /// The sender's share of a processor core; instances older than this field omit it.
        #[serde(rename = "p", default)]
        processor_share: f32,
        /// The sender's open requests.
        #[serde(rename = "u")]
        uses: Vec<TargetUse>,
        /// The grants that these requests use.
        #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
        grants: Vec<GrantNumber>,
        /// What the sender has admitted without the placer since its last report, by team.
        #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
        spent: Vec<(Arc<str>, f64)>,
        /// The sender's availability zone; instances older than this field omit it.
        #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
        zone: Option<ZoneName>,
        /// The services whose targets the sender does not reach.
        #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
        cut_off: Vec<ServiceName>,
        /// Whether the sender needs other instances to pass on its requests.
        #[serde(rename = "t", default, skip_serializing_if = "is_false")]
        needs_transit: bool,
        /// Retries that have arrived since the sender's last report, or will not arrive any more.
        #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
        settled_retries: Option<SettledRetries>,
    },
    /// To the placer: a request needs a target and waits for it for the given time. Answered by
    /// `PlacementAnswer`.
    #[serde(rename = "w")]
    PlacementRequest(PlacementRequest, Duration),
    /// From the placer: where the request may be sent, and the number of its grant.
    #[serde(rename = "p")]
    PlacementAnswer(PlacementResult, GrantNumber),
    /// To the placer: the same as `PlacementRequest` for a request that is charged to a team's
    /// quota. Answered by `ChargedPlacementAnswer`, or by `ChargeAnswer` if it can't be charged.
    #[serde(rename = "W")]
    ChargedPlacementRequest(PlacementRequest, Duration, ChargeRequest),
    /// From the placer: a `PlacementAnswer` for a charged request, with the result of charging it.
    /// The charge has the number of the grant.
    #[serde(rename = "P")]
    ChargedPlacementAnswer(PlacementResult, GrantNumber, ChargeResult),
    /// To the placer: a request for a plain service that needs a place and a charge. Answered by
    /// `AdmitAnswer`.
    #[serde(rename = "a")]
    AdmitRequest(AdmitRequest),
    /// From the placer: whether and where the request may run.
    #[serde(rename = "A")]
    AdmitAnswer(AdmitAnswer),
    /// To the placer or the deputy: a request that is charged to a team's quota. Answered by
    /// `ChargeAnswer`.
    #[serde(rename = "b")]
    Charge(ChargeRequest),
    /// From the placer: whether a request may run.
    #[serde(rename = "B")]
    ChargeAnswer(ChargeResult, ChargeNumber),
    /// To the deputy, at regular intervals: the sender does not reach a placer, and has admitted this
    /// on its own since its last report, by team.
    #[serde(rename = "D")]
    WithoutPlacer(Vec<(Arc<str>, f64)>),
    /// To the placer or the deputy: a charged request that has not run and will not run.
    #[serde(rename = "r")]
    Uncharge(ChargeNumber),
    /// To the placer: the progress of the sender's grants.
    #[serde(rename = "g")]
    Progress(GrantProgress),
    /// To the placer and its deputy: streams that have begun.
    #[serde(rename = "o")]
    StreamsBegan(Vec<BegunStreams>),
    /// To the placer and its deputy, also earlier ones: where did a stream begin? Answered by
    /// `StreamOriginAnswer`.
    #[serde(rename = "k")]
    StreamOriginRequest(StreamKey),
    /// Where the stream began; `None` if the sender does not know.
    #[serde(rename = "K")]
    StreamOriginAnswer(Option<StreamOrigin>),
    /// To the placer: a target reported that it does not hold an adapter.
    #[serde(rename = "n")]
    NotHeld(TargetName, Weights),
    /// To the placer: the sender could not connect to a target.
    #[serde(rename = "f")]
    Unreachable(TargetName),
    /// To the placer, and from it to all others: a target's answer showed that it is leaving.
    #[serde(rename = "d")]
    Leaving(TargetName, Option<TargetStart>),
    /// To the placer: what an answer of a target showed of its rate limit.
    #[serde(rename = "m")]
    RateLimit(LimitReport),
    /// To the placer: the sender has chosen a target that has named a rate limit, and its request
    /// waits there for at most the given time. Answered by `SendPermitAnswer`.
    #[serde(rename = "y")]
    SendPermitRequest(TargetName, Duration),
    /// From the placer: whether and when the request may be sent.
    #[serde(rename = "Y")]
    SendPermitAnswer(SendPermit),
    /// To the placer: a request for a service has failed and may be sent once more, which the sender's own
    /// requests have not earned. Answered by `RetryAnswer`.
    #[serde(rename = "v")]
    RetryRequest(ServiceName),
    /// From the placer: whether the request may be sent once more, at once.
    #[serde(rename = "V")]
    RetryAnswer(RetryGrant),
    /// From a placer whose lease has ended, directly or forwarded: what targets hold and do.
    #[serde(rename = "h")]
    Snapshots(Snapshots),
    /// From the placer, at regular intervals: whether it is placing, and its view of the platform.
    /// Every instance receives it, so it is short and omits what an instance needs only when there
    /// is no placer.
    #[serde(rename = "l")]
    PlacerStatus {
        /// Whether the placer knows what targets hold and answers placement requests.
        #[serde(rename = "k")]
        knows_targets: bool,
        /// Its load estimates, for the next placer.
        #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
        estimates: Option<LoadEstimates>,
        /// Number of instances that report to the placer.
        #[serde(rename = "i")]
        instances: u32,
        /// Its view of the platform; `None` until it has seen the targets' entries.
        #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
        platform: Option<PlatformView>,
        /// Its lease; `None` if it does not hold it any more.
        #[serde(rename = "h")]
        lease: Option<HeldLease>,
        /// The instance that keeps the account of teams' quotas while there is no placer.
        #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
        deputy: Option<(InstanceId, SocketAddr)>,
        /// The rate limits that targets have named, and those that were lifted lately.
        #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
        limits: Vec<LimitReport>,
        /// Instances that may pass on the receiver's requests: several if it needs any now, or else
        /// one to know of if there is no placer when it does.
        #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
        transit: Vec<TransitOffer>,
        /// Whether the sender answers `AdmitRequest`; instances older than this field omit it.
        #[serde(rename = "a", default, skip_serializing_if = "is_false")]
        admits: bool,
        /// Whether the sender answers `RetryRequest`; instances older than this field omit it.
        #[serde(rename = "r", default, skip_serializing_if = "is_false")]
        grants_retries: bool,
        /// Whether the sender writes the streams that it is told of to the platform; instances older
        /// than this field omit it.
        #[serde(rename = "s", default, skip_serializing_if = "is_false")]
        records_streams: bool,
    },
    /// To an instance that may pass on the sender's requests, which does not reach the targets of
    /// these services. Answered by `TransitTicket` if the receiver reaches them.
    #[serde(rename = "t")]
    TransitRequest(Vec<ServiceName>),
    /// From an instance that passes on requests: the address for them, and the receiver's ticket.
    #[serde(rename = "T")]
    TransitTicket(SocketAddr, Ticket),
    /// From the placer: recent changes at the platform.
    #[serde(rename = "e")]
    Changed(ChangeBatch),
    /// From a placer that can't reach the platform: a call about its lease to make on its behalf.
    /// Answered by `LeaseCallResult`.
    #[serde(rename = "c")]
    RelayLeaseCall(LeaseCall),
    /// To the placer: the result of that call.
    #[serde(rename = "C")]
    LeaseCallResult(LeaseAnswer),
    /// From a placer that can't reach the platform: a read to make on its behalf. Answered by
    /// `ReadResult`.
    #[serde(rename = "s")]
    RelayRead(StoreRead),
    /// To the placer: the platform's answer as text, and its era.
    #[serde(rename = "S")]
    ReadResult(String, u64),
}

/// An instance that may pass on requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TransitOffer {
    /// The instance.
    #[serde(rename = "i")]
    pub(crate) instance: InstanceId,
    /// Its address for messages from peers.
    #[serde(rename = "a")]
    pub(crate) address: SocketAddr,
    /// Whether it is in the receiver's availability zone.
    #[serde(rename = "n")]
    pub(crate) is_near: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
pub(crate) const fn is_false(flag: &bool) -> bool {
    !*flag
}

/// What a request counts as against its team's quota.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ChargeRequest {
    /// The team.
    #[serde(rename = "t")]
    pub(crate) team: Arc<str>,
    /// The cost, in the units of the quota.
    #[serde(rename = "c")]
    pub(crate) cost: f64,
}

/// What a placer knew of all targets when its lease ended.
///
/// It goes to a few instances, each of which forwards it to some others. Sent by one instance to
/// hundreds of others, it would occupy a small machine's link for seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Snapshots {
    /// The term of the placer.
    #[serde(rename = "t")]
    pub(crate) term: u64,
    /// The targets.
    #[serde(rename = "p")]
    pub(crate) targets: Vec<TargetSnapshot>,
    /// The instances to which the receiver forwards it.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) forward_to: Vec<(InstanceId, SocketAddr)>,
}

/// A read of objects.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum StoreRead {
    /// One page of a kind, starting after a name if one is given.
    List(Kind, Option<String>, Freshness),
    /// The changes of a kind after a revision; the platform waits for them at most for the given
    /// time.
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

    /// Returns the kind that is read.
    pub(crate) const fn kind(&self) -> Kind {
        match self {
            Self::List(kind, ..) | Self::Watch(kind, ..) => *kind,
        }
    }

    /// Returns the same read with an upper bound on its wait.
    pub(crate) fn with_max_wait(&self, longest: Duration) -> Self {
        match self {
            Self::List(kind, after, freshness) => Self::List(*kind, after.clone(), *freshness),
            Self::Watch(kind, from, wait) => Self::Watch(*kind, *from, (*wait).min(longest)),
        }
    }
}

/// A call about the lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum LeaseCall {
    /// Writes the record if the object still has the given version, or creates it.
    Write(ExclusiveLeaseRecord, Option<StoreRevision>),
    /// Reads the record, linearizably.
    Read,
}

/// The result of a call about the lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum LeaseAnswer {
    /// A write has ended.
    Written(LeaseWriteOutcome),
    /// A read has ended; `None` if there is no object.
    Read(Option<VersionedLeaseRecord>),
    /// A read has failed.
    ReadFailed,
}

impl LeaseAnswer {
    /// Returns whether another instance may succeed with the same call. A write applies to one
    /// version of the object only, so it is harmless if two instances make it.
    pub(crate) const fn is_failure(&self) -> bool {
        matches!(
            self,
            Self::Written(LeaseWriteOutcome::Failed | LeaseWriteOutcome::Unknown)
                | Self::ReadFailed
        )
    }
}

/// The revisions up to which every instance has to know each kind of objects.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct PlatformView {
    /// How long ago the placer saw that no target's entry has changed since.
    #[serde(rename = "a")]
    pub(crate) age: Duration,
    /// The last change of a target's entry that affects every instance.
    #[serde(rename = "t")]
    pub(crate) targets: StoreRevision,
    /// The last change of the configuration; `None` if the placer can't follow it now.
    #[serde(rename = "c")]
    pub(crate) configuration: Option<StoreRevision>,
    /// How long ago the placer saw that the configuration has not changed since; instances older than
    /// this field omit it.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub(crate) configuration_age: Option<Duration>,
    /// The last announcement of a version; `None` if the placer can't follow them now.
    #[serde(rename = "v")]
    pub(crate) versions: Option<StoreRevision>,
    /// The same for versions.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub(crate) versions_age: Option<Duration>,
    /// The last change of a crash record; `None` if the placer can't follow them now.
    #[serde(rename = "q", default)]
    pub(crate) crashes: Option<StoreRevision>,
}

/// Changes of one kind of objects, sent so that instances need not poll for them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ChangeBatch {
    /// The revision of the last change before these.
    #[serde(rename = "a")]
    pub(crate) after: StoreRevision,
    /// The revision of the last of these.
    #[serde(rename = "u")]
    pub(crate) up_to: StoreRevision,
    /// The changes.
    #[serde(rename = "w")]
    pub(crate) what: KindChanges,
}

/// Changes of one kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum KindChanges {
    /// Targets' entries: those with changes that affect every instance, and those that are gone.
    #[serde(rename = "t")]
    Targets(Vec<TargetFacts>, Vec<TargetName>),
    /// The newest versions of weights.
    #[serde(rename = "v")]
    Versions(Vec<(Weights, u64)>),
    /// The configuration. Instances read it themselves, because it may be far longer than what one
    /// instance can send to all others in time.
    #[serde(rename = "c")]
    Configuration,
    /// Crash records: those that were written, and those that are gone.
    #[serde(rename = "q")]
    Crashes(Vec<StoredCrashes>, Vec<Fingerprint>),
}

impl Purpose for PeerMessage {
    fn purpose(&self) -> &'static str {
        match self {
            Self::UsageReport { .. } => "using",
            Self::PlacementRequest(..) => "want",
            Self::PlacementAnswer(..) => "placed",
            Self::ChargedPlacementRequest(..) => "want_charged",
            Self::ChargedPlacementAnswer(..) => "placed_charged",
            Self::AdmitRequest(_) => "admit",
            Self::AdmitAnswer(_) => "admit_answer",
            Self::Charge(_) => "charge",
            Self::ChargeAnswer(..) => "charge_answer",
            Self::WithoutPlacer(_) => "without_placer",
            Self::Uncharge(_) => "uncharge",
            Self::Progress(_) => "progress",
            Self::StreamsBegan(_) => "streams_began",
            Self::StreamOriginRequest(_) => "stream_origin",
            Self::StreamOriginAnswer(_) => "stream_origin_answer",
            Self::NotHeld(..) => "not_held",
            Self::Unreachable(_) => "unreachable",
            Self::Leaving(..) => "leaving",
            Self::RateLimit(_) => "rate_limit",
            Self::TransitRequest(_) => "transit_request",
            Self::TransitTicket(..) => "transit_ticket",
            Self::SendPermitRequest(..) => "send_permit",
            Self::SendPermitAnswer(_) => "send_permit_answer",
            Self::RetryRequest(_) => "retry",
            Self::RetryAnswer(_) => "retry_answer",
            Self::Snapshots(_) => "snapshots",
            Self::PlacerStatus { .. } => "placing",
            Self::Changed(_) => "changed",
            Self::RelayLeaseCall(_) => "call_lease",
            Self::LeaseCallResult(_) => "lease_called",
            Self::RelayRead(_) => "read_store",
            Self::ReadResult(..) => "store_shows",
        }
    }
}
