//! The messages that instances exchange.
//!
//! Variants have short names on the wire, because the control path has a byte budget; see
//! `docs/CAPACITY.md`.

use chervilshunt_coord::{
    ClaimAnswer, ClaimKey, ClaimOutcome, ClaimRequest, CoordMessage, Incarnation,
};
use chervilshunt_core::{
    CompactAnswer, CompactRequest, LoadUrgency, OrderId, Permit, ReleasedPermit, TurnResult,
};
use chervilshunt_mesh::Purpose;
use chervilshunt_model::{
    AdapterVersion, AttemptId, ChangeSet, Revision, SiteName, StoreName, TargetName,
};
use chervilshunt_query::Table;
use serde::{Deserialize, Serialize};

use crate::facts::InstanceFacts;

/// One message between instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Requests a permit from a target's owner; answered by `PermitAnswered`.
    #[serde(rename = "p")]
    PermitAsked(CompactRequest),
    /// Answers a permit request.
    #[serde(rename = "a")]
    PermitAnswered(CompactAnswer),
    /// Releases a permit; answered by `Done`.
    #[serde(rename = "r")]
    PermitReleased(ReleasedPermit),
    /// Requests the permits that the receiver holds for a target; answered by `PermitsHeld`.
    #[serde(rename = "h")]
    PermitsAsked(TargetName),
    /// Lists the permits that the sender holds for a target.
    #[serde(rename = "i")]
    PermitsHeld(Vec<Permit>),
    /// To a load scheduler: an owner requests a turn to load.
    #[serde(rename = "t")]
    TurnAsked(TurnAsked),
    /// To a new load scheduler: a turn that an earlier one granted and that is still in use.
    #[serde(rename = "l")]
    TurnHeld(TurnHeld),
    /// To a load scheduler: a turn has ended.
    #[serde(rename = "e")]
    TurnEnded(TurnEnded),
    /// To an owner: a turn is granted, and the load may start.
    #[serde(rename = "g")]
    TurnGranted(TurnGranted),
    /// To a power allocator: the power that an owner's target could use.
    #[serde(rename = "d")]
    Demanded(PowerDemand),
    /// To an owner: the power share of its target.
    #[serde(rename = "s")]
    ShareSet(Share),
    /// To a power allocator: the owner complies with its share from now on.
    #[serde(rename = "c")]
    ShareConfirmed(Share),
    /// Requests the state of the receiver's roles, as far as a table shows it; answered by `Facts`.
    #[serde(rename = "q")]
    FactsAsked(Table),
    /// The requested state of the sender's roles.
    #[serde(rename = "f")]
    Facts(Box<InstanceFacts>),
    /// Requests a claim from a claim keeper; answered by `ClaimAnswered`.
    #[serde(rename = "m")]
    ClaimAsked(ClaimRequest),
    /// Answers a claim request.
    #[serde(rename = "w")]
    ClaimAnswered(ClaimAnswer),
    /// To a claim keeper: the outcome of a claimed attempt; answered by `Done`.
    #[serde(rename = "x")]
    ClaimEnded(ClaimEnded),
    /// Requests the outcome of a claimed attempt from the incarnation that it was granted to.
    #[serde(rename = "y")]
    AttemptAsked(Incarnation, AttemptQuery),
    /// Asks whether this revision or a later one is in force on the receiver; answered by `Done` or
    /// `NotHolder`.
    #[serde(rename = "v")]
    InForceAsked(Revision),
    /// A message between the coordinators of two instances.
    #[serde(rename = "o")]
    Coord(CoordMessage<ChangeSet>),
    /// Acknowledges a message that has no specific answer.
    #[serde(rename = "k")]
    Done,
    /// Answers a message that the receiver can't handle now, because it does not hold the role.
    #[serde(rename = "n")]
    NotHolder,
}

impl Purpose for PeerMessage {
    fn purpose(&self) -> &'static str {
        match self {
            Self::PermitAsked(_) | Self::PermitAnswered(_) | Self::PermitReleased(_) => "permits",
            Self::PermitsAsked(_) | Self::PermitsHeld(_) => "takeover",
            Self::TurnAsked(_) | Self::TurnHeld(_) | Self::TurnEnded(_) | Self::TurnGranted(_) => {
                "loads"
            }
            Self::Demanded(_) | Self::ShareSet(_) | Self::ShareConfirmed(_) => "power",
            Self::FactsAsked(_) | Self::Facts(_) => "operators",
            Self::ClaimAsked(_)
            | Self::ClaimAnswered(_)
            | Self::ClaimEnded(_)
            | Self::AttemptAsked(..) => "claims",
            Self::InForceAsked(_) | Self::Coord(_) => "coordination",
            Self::Done | Self::NotHolder => "acknowledgements",
        }
    }
}

/// The outcome of a claimed attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ClaimEnded {
    /// The claimed key.
    pub(crate) key: ClaimKey,
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// The outcome.
    pub(crate) outcome: ClaimOutcome,
}

/// A claim keeper's query for the outcome of a claimed attempt.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct AttemptQuery {
    /// The claimed key.
    pub(crate) key: ClaimKey,
    /// The attempt.
    pub(crate) attempt: AttemptId,
}

/// An owner's request for a turn to load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TurnAsked {
    /// The weight store.
    pub(crate) store: StoreName,
    /// The target that loads.
    pub(crate) target: TargetName,
    /// The owner's id for the turn.
    pub(crate) order: OrderId,
    /// The adapter version to load.
    pub(crate) model: AdapterVersion,
    /// The urgency of the load.
    pub(crate) urgency: LoadUrgency,
}

/// A turn that was granted by an earlier load scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TurnHeld {
    /// The weight store.
    pub(crate) store: StoreName,
    /// The target that loads.
    pub(crate) target: TargetName,
    /// The owner's id for the turn.
    pub(crate) order: OrderId,
    /// The adapter version to load.
    pub(crate) model: AdapterVersion,
}

/// The end of a turn to load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TurnEnded {
    /// The weight store.
    pub(crate) store: StoreName,
    /// The target that loaded.
    pub(crate) target: TargetName,
    /// The owner's id for the turn.
    pub(crate) order: OrderId,
    /// The result of the load.
    pub(crate) result: TurnResult,
}

/// The grant of a turn to load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TurnGranted {
    /// The target that loads.
    pub(crate) target: TargetName,
    /// The owner's id for the turn.
    pub(crate) order: OrderId,
    /// The expected wait of a load that is requested now, in milliseconds.
    pub(crate) queue_wait_ms: u64,
}

/// The power that a target could use.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PowerDemand {
    /// The name of the site.
    pub(crate) site: SiteName,
    /// The name of the target.
    pub(crate) target: TargetName,
    /// The power needed for live work, in watts.
    pub(crate) live_watts: f64,
    /// The power needed for deferrable work in addition, in watts.
    pub(crate) deferrable_watts: f64,
}

/// A target's share of its site's power, as set or confirmed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Share {
    /// The name of the site.
    pub(crate) site: SiteName,
    /// The name of the target.
    pub(crate) target: TargetName,
    /// The sequence number of the share.
    pub(crate) sequence: u64,
    /// The share, in watts.
    pub(crate) watts: f64,
}
