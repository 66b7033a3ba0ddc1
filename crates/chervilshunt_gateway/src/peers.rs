//! Messages between instances: all of them go to the placer or come from it.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_coord::{HeldLease, SeenRecord, SoleRecord, SoleWritten};
use chervilshunt_core::{GrantNumber, GrantProgress, Placed, TargetPicture, Use, Want, Weights};
use chervilshunt_mesh::Purpose;
use chervilshunt_model::{InstanceId, TargetName};
use serde::{Deserialize, Serialize};

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
        /// What it has under way.
        #[serde(rename = "u")]
        uses: Vec<Use>,
        /// The grants that are part of it.
        #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
        grants: Vec<GrantNumber>,
    },
    /// To the placer: a request needs a target, and waits for it for a time. Answered by `Placed`.
    #[serde(rename = "w")]
    Want(Want, Duration),
    /// From the placer: where the request may be sent, as a grant of that number.
    #[serde(rename = "p")]
    Placed(Placed, GrantNumber),
    /// To the placer: how far the sender has come with its grants.
    #[serde(rename = "g")]
    Progress(GrantProgress),
    /// To the placer: a target said that it does not hold an adapter.
    #[serde(rename = "n")]
    NotHeld(TargetName, Weights),
    /// From a placer whose lease has ended, directly or passed on: what targets hold and do.
    #[serde(rename = "h")]
    Pictures(Pictures),
    /// From the placer, regularly: whether it places, and what it sees of the platform. Every instance
    /// is told, so that it is short: what an instance needs only when there is no placer has no place here.
    #[serde(rename = "l")]
    Placing {
        /// Whether it knows what targets hold, and is to be asked.
        #[serde(rename = "k")]
        knows_targets: bool,
        /// Instances that the placer hears of.
        #[serde(rename = "i")]
        instances: u32,
        /// What it sees of the targets' entries; none if it has not seen them yet.
        #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
        entries: Option<EntriesView>,
        /// Its lease; none if it does not hold it any more.
        #[serde(rename = "h")]
        lease: Option<HeldLease>,
    },
    /// From the placer, which can't reach the platform: a call about its lease to make in its place.
    /// Answered by `LeaseCalled`.
    #[serde(rename = "c")]
    CallLease(LeaseCall),
    /// To the placer: what came of that call.
    #[serde(rename = "C")]
    LeaseCalled(LeaseAnswer),
}

/// What a placer knew of all targets when its lease ended.
///
/// It goes to a few instances, each of which passes it on to some others, so that nobody has to send it
/// to all: for hundreds of instances it would take a small machine's link for seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Pictures {
    /// The term of the placer.
    #[serde(rename = "t")]
    pub(crate) term: u64,
    /// The targets.
    #[serde(rename = "p")]
    pub(crate) targets: Vec<TargetPicture>,
    /// The instances to which the receiver passes it on.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) pass_on: Vec<(InstanceId, SocketAddr)>,
}

/// A call about the lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum LeaseCall {
    /// Writes the record if the object still has a version, or creates it.
    Write(SoleRecord, Option<u64>),
    /// Reads the record, linearizably.
    Read,
}

/// What came of a call about the lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum LeaseAnswer {
    /// A write has ended.
    Written(SoleWritten),
    /// A read has ended; none if there is no object.
    Read(Option<SeenRecord>),
    /// A read has failed.
    ReadFailed,
}

impl LeaseAnswer {
    /// Says whether somebody else may get further with the call: a write is carried out at one
    /// version of the object only, so that the same write by two does no harm.
    pub(crate) const fn is_failure(&self) -> bool {
        matches!(
            self,
            Self::Written(SoleWritten::Failed | SoleWritten::Unknown) | Self::ReadFailed
        )
    }
}

/// What the placer sees of the targets' entries in the platform's service.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct EntriesView {
    /// The service's revision at the last change that concerns every instance.
    #[serde(rename = "r")]
    pub(crate) changed_at: u64,
    /// How long ago the placer saw that nothing has changed since.
    #[serde(rename = "a")]
    pub(crate) age: Duration,
}

impl Purpose for PeerMessage {
    fn purpose(&self) -> &'static str {
        match self {
            Self::Using { .. } => "using",
            Self::Want(..) => "want",
            Self::Placed(..) => "placed",
            Self::Progress(_) => "progress",
            Self::NotHeld(..) => "not_held",
            Self::Pictures(_) => "pictures",
            Self::Placing { .. } => "placing",
            Self::CallLease(_) => "call_lease",
            Self::LeaseCalled(_) => "lease_called",
        }
    }
}
