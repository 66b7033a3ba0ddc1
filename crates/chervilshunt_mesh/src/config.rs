//! What a mesh has to be told, and how peers are named.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_model::InstanceId;

/// Where to find a peer, and who is meant to answer there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// The instance that is meant; another one at the same address refuses the connection.
    pub instance: InstanceId,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

/// Settings of a mesh.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MeshConfig {
    /// Who we are.
    pub instance: InstanceId,
    /// Where we listen for peers.
    pub listen: SocketAddr,
    /// The longest message that is sent or taken in, in bytes of CBOR.
    pub max_message_bytes: usize,
    /// The time that opening or closing a connection may take, handshake included.
    pub connect_timeout: Duration,
    /// The time after which a connection that carries nothing is closed.
    ///
    /// An idle connection costs memory only, and opening one as much as two requests; see
    /// `docs/design/mesh.md`.
    pub idle_timeout: Duration,
    /// The most connections that may be open at a time, in both directions together.
    pub max_connections: usize,
    /// The most messages that may wait to be written to one peer, and that may wait for
    /// the application to take them.
    pub queue_messages: usize,
    /// The most requests of one peer that may wait for the application's answer.
    pub max_unanswered: usize,
    /// The silence, while requests wait, after which a peer is pinged.
    pub ping_after: Duration,
    /// The time that a peer has to show any sign of life after a ping, or to take in what
    /// is written to it.
    pub ping_timeout: Duration,
    /// The pause after the first failure to connect; it doubles with each further one.
    pub backoff_min: Duration,
    /// The longest pause between failures to connect.
    pub backoff_max: Duration,
}

impl MeshConfig {
    /// Returns the settings that serve most deployments.
    pub fn new(instance: InstanceId, listen: SocketAddr) -> Self {
        Self {
            instance,
            listen,
            max_message_bytes: 1 << 20,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(300),
            max_connections: 512,
            queue_messages: 4_096,
            max_unanswered: 65_536,
            ping_after: Duration::from_secs(1),
            ping_timeout: Duration::from_secs(1),
            backoff_min: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
        }
    }
}
