//! What an instance knows of the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chervilshunt_model::{InstanceId, ZoneName};
use serde::{Deserialize, Serialize};

/// An instance as the platform's instance list shows it, with a lag.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for peers.
    pub peer_address: SocketAddr,
    /// Where it listens for operators.
    pub operators_address: SocketAddr,
    /// Whether the list says that it answers.
    pub serving: bool,
    /// Whether the list says that it is leaving.
    pub terminating: bool,
}

/// Whether an instance can be counted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// Nothing speaks against it.
    Live,
    /// It gives its roles away and takes no new work.
    Leaving,
    /// Its connection broke or its lease stays unchanged.
    Suspect,
}

/// An instance with what is known of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for peers.
    pub peer_address: SocketAddr,
    /// Where it listens for operators.
    pub operators_address: SocketAddr,
    /// Whether it can be counted on.
    pub state: PeerState,
}

/// All instances that are known, this one included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerView {
    /// The instances by id.
    pub peers: BTreeMap<InstanceId, Peer>,
}
