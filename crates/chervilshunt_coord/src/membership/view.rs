//! What an instance knows about the other instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chervilshunt_model::{InstanceId, ZoneName};
use serde::{Deserialize, Serialize};

/// An instance as shown by the platform's instance list, which lags behind.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address at which it accepts connections from peers.
    pub peer_address: SocketAddr,
    /// The address at which it accepts connections from operators.
    pub operators_address: SocketAddr,
    /// Whether the list shows the instance as serving.
    pub serving: bool,
    /// Whether the list shows the instance as terminating.
    pub terminating: bool,
}

/// The liveness of an instance as seen by another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// The instance shows no sign of failure.
    Live,
    /// The instance is handing over its roles and takes no new work.
    Leaving,
    /// Its connection broke or its lease has not been renewed.
    Suspect,
}

/// What is known about an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address at which it accepts connections from peers.
    pub peer_address: SocketAddr,
    /// The address at which it accepts connections from operators.
    pub operators_address: SocketAddr,
    /// Its liveness.
    pub state: PeerState,
}

/// All known instances, including this one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerView {
    /// The instances by id.
    pub peers: BTreeMap<InstanceId, Peer>,
}
