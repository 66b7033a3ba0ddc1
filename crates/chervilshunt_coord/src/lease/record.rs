//! The content of a Lease object.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_model::{RegionName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::holder::Holder;

/// What a run of an instance says of itself in its Lease object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct LeaseRecord {
    /// The run of the instance.
    pub holder: Holder,
    /// What it is about to do, or what was found out about it.
    pub state: LeaseState,
    /// A number that rises with every try to renew, so that a write whose answer was lost can be
    /// recognised when it is read back.
    pub renewals: u64,
    /// How long a renewal counts, in milliseconds.
    pub duration_ms: u64,
    /// The availability zone that it runs in.
    pub zone: ZoneName,
    /// The region that it runs in.
    pub region: RegionName,
    /// Where it listens for peers.
    pub peer_address: SocketAddr,
    /// Where it listens for operators.
    pub operators_address: SocketAddr,
    /// The electors that it would ask to extend its lease if the platform failed.
    pub electorate: u64,
    /// The electorate of the renewal before, which counts as long as this one is not known to have
    /// been carried out.
    pub electorate_before: u64,
    /// The head's generation at which it last acknowledged a change; a way round a peer link that
    /// is cut.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acknowledged: Option<u64>,
}

impl LeaseRecord {
    /// Makes what a run says of itself when it joins.
    pub fn joining(
        holder: Holder,
        duration: Duration,
        zone: ZoneName,
        region: RegionName,
        peer_address: SocketAddr,
        operators_address: SocketAddr,
    ) -> Self {
        Self {
            holder,
            state: LeaseState::Joining,
            renewals: 0,
            duration_ms: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
            zone,
            region,
            peer_address,
            operators_address,
            electorate: 0,
            electorate_before: 0,
            acknowledged: None,
        }
    }
}

/// The stage of life of a run of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// It learns the configuration and takes no work yet.
    Joining,
    /// It takes work and holds roles.
    Active,
    /// It gives its roles away and takes no new work.
    Leaving,
    /// It was found to have stopped renewing; it can never renew this lease again.
    Lapsed,
    /// It has left in good order.
    Left,
}

impl LeaseState {
    /// Returns whether the run may still be at work.
    pub const fn is_live(self) -> bool {
        match self {
            Self::Joining | Self::Active | Self::Leaving => true,
            Self::Lapsed | Self::Left => false,
        }
    }
}
