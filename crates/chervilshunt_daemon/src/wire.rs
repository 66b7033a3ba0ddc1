//! What instances say to each other.
//!
//! Variants and members have short names on the wire, as the control path has a byte budget; see
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
    /// Asks a target's owner for a permit; answered by `PermitAnswered`.
    #[serde(rename = "p")]
    PermitAsked(CompactRequest),
    /// Answers a request for a permit.
    #[serde(rename = "a")]
    PermitAnswered(CompactAnswer),
    /// Gives a permit back; answered by `Done`.
    #[serde(rename = "r")]
    PermitReleased(ReleasedPermit),
    /// Asks which permits of a target the receiver holds; answered by `PermitsHeld`.
    #[serde(rename = "h")]
    PermitsAsked(TargetName),
    /// Lists the permits held for a target.
    #[serde(rename = "i")]
    PermitsHeld(Vec<Permit>),
    /// To a load scheduler: an owner wants to load.
    #[serde(rename = "t")]
    TurnAsked(TurnAsked),
    /// To a load scheduler that is new: a turn that an earlier one granted.
    #[serde(rename = "l")]
    TurnHeld(TurnHeld),
    /// To a load scheduler: a turn is over.
    #[serde(rename = "e")]
    TurnEnded(TurnEnded),
    /// To an owner: it may load now.
    #[serde(rename = "g")]
    TurnGranted(TurnGranted),
    /// To a power allocator: what an owner's target draws and could use.
    #[serde(rename = "d")]
    Demanded(Demanded),
    /// To an owner: its share of power.
    #[serde(rename = "s")]
    ShareSet(Share),
    /// To a power allocator: a share is kept from now on.
    #[serde(rename = "c")]
    ShareConfirmed(Share),
    /// Asks an instance what it knows of its roles, as far as a table shows it; answered by `Facts`.
    #[serde(rename = "q")]
    FactsAsked(Table),
    /// What an instance knows of its roles, as far as it was asked.
    #[serde(rename = "f")]
    Facts(Box<InstanceFacts>),
    /// Asks a claim keeper for a claim; answered by `ClaimAnswered`.
    #[serde(rename = "m")]
    ClaimAsked(ClaimRequest),
    /// Answers a request for a claim.
    #[serde(rename = "w")]
    ClaimAnswered(ClaimAnswer),
    /// To a claim keeper: how a claimed try ended; answered by `Done`.
    #[serde(rename = "x")]
    ClaimEnded(ClaimEnded),
    /// To the run of an instance that a claimed try was granted to: what became of it?
    #[serde(rename = "y")]
    TryAsked(Incarnation, TryAsked),
    /// Asks whether the receiver has this revision, or a later one, in force; answered by `Done` or
    /// `NotHolder`.
    #[serde(rename = "v")]
    InForceAsked(Revision),
    /// Between the coordinators of two instances.
    #[serde(rename = "o")]
    Coord(CoordMessage<ChangeSet>),
    /// Answers a message that needs no other answer.
    #[serde(rename = "k")]
    Done,
    /// Answers a message that the receiver can't act on now, as it does not hold the role.
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
            | Self::TryAsked(..) => "claims",
            Self::InForceAsked(_) | Self::Coord(_) => "coordination",
            Self::Done | Self::NotHolder => "acknowledgements",
        }
    }
}

/// How a claimed try ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ClaimEnded {
    /// The key.
    pub(crate) key: ClaimKey,
    /// The try.
    pub(crate) attempt: AttemptId,
    /// How it ended.
    pub(crate) outcome: ClaimOutcome,
}

/// A claimed try that its keeper asks after.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct TryAsked {
    /// The key.
    pub(crate) key: ClaimKey,
    /// The try.
    pub(crate) attempt: AttemptId,
}

/// An owner's wish to load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TurnAsked {
    /// The weight store.
    pub(crate) store: StoreName,
    /// The target that loads.
    pub(crate) target: TargetName,
    /// The owner's id for the turn.
    pub(crate) order: OrderId,
    /// The adapter version.
    pub(crate) model: AdapterVersion,
    /// How badly it is needed.
    pub(crate) urgency: LoadUrgency,
}

/// A turn that an earlier load scheduler granted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TurnHeld {
    /// The weight store.
    pub(crate) store: StoreName,
    /// The target that loads.
    pub(crate) target: TargetName,
    /// The owner's id for the turn.
    pub(crate) order: OrderId,
    /// The adapter version.
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
    /// How it ended.
    pub(crate) result: TurnResult,
}

/// A turn to load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TurnGranted {
    /// The target that loads.
    pub(crate) target: TargetName,
    /// The owner's id for the turn.
    pub(crate) order: OrderId,
    /// How long a load asked for now would wait for its turn, in milliseconds.
    pub(crate) queue_wait_ms: u64,
}

/// What a target draws and could use.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Demanded {
    /// The site.
    pub(crate) site: SiteName,
    /// The target.
    pub(crate) target: TargetName,
    /// Power for live work, in watts.
    pub(crate) live_watts: f64,
    /// Power for deferrable work beside it, in watts.
    pub(crate) deferrable_watts: f64,
}

/// A target's share of its site's power, as set or confirmed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Share {
    /// The site.
    pub(crate) site: SiteName,
    /// The target.
    pub(crate) target: TargetName,
    /// The number of the share.
    pub(crate) sequence: u64,
    /// The share, in watts.
    pub(crate) watts: f64,
}
