//! The content of a Lease object.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_model::{RegionName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::holder::Holder;

/// The content of a Lease object: what a run of an instance publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct LeaseRecord {
    /// The run of the instance.
    pub holder: Holder,
    /// The state of the run, set by itself or, if it stopped renewing, by an observer.
    pub state: LeaseState,
    /// Incremented with every attempt to renew, so that a write whose answer was lost can be
    /// recognised when it is read back.
    pub renewals: u64,
    /// How long a renewal is valid, in milliseconds.
    pub duration_ms: u64,
    /// The availability zone of the instance.
    pub zone: ZoneName,
    /// The region of the instance.
    pub region: RegionName,
    /// The address on which the instance listens for peers.
    pub peer_address: SocketAddr,
    /// The address on which the instance listens for operators.
    pub operators_address: SocketAddr,
    /// The version of the electorate that the holder asks to extend its lease while the platform is
    /// unreachable; 0 if it has named none.
    pub electorate: u64,
    /// The electorate of the last renewal known to have been carried out. The holder may rely on it
    /// until this renewal is confirmed.
    pub electorate_before: u64,
    /// The generation of the head at which the holder last acknowledged a change. It reaches the
    /// proposer even if the link between the two instances is cut.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acknowledged: Option<u64>,
}

impl LeaseRecord {
    /// Creates the record of a run that joins.
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

/// The lifecycle state of a run of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// The run is loading the configuration and takes no work yet.
    Joining,
    /// The run takes work and holds roles.
    Active,
    /// The run hands over its roles and takes no new work.
    Leaving,
    /// The run stopped renewing its lease, and an observer has ended it. It can never renew this
    /// lease again.
    Lapsed,
    /// The run has shut down gracefully.
    Left,
}

impl LeaseState {
    /// Returns whether the run may still be active.
    pub const fn is_live(self) -> bool {
        match self {
            Self::Joining | Self::Active | Self::Leaving => true,
            Self::Lapsed | Self::Left => false,
        }
    }
}
