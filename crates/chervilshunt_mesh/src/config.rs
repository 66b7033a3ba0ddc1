//! The configuration of a mesh and the address of a peer.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_model::InstanceId;

/// The identity and address of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// The expected instance; a different instance at the same address refuses the connection.
    pub instance: InstanceId,
    /// The address on which it accepts connections from peers.
    pub address: SocketAddr,
}

/// Settings of a mesh.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MeshConfig {
    /// The id of this instance.
    pub instance: InstanceId,
    /// The maximum size of a message that is sent or received, in bytes of CBOR.
    pub max_message_bytes: usize,
    /// The time limit for opening a connection, including the handshake, and for closing one.
    pub connect_timeout: Duration,
    /// The time without messages after which a connection is closed.
    ///
    /// An idle connection costs only memory, and opening one costs as much as two requests; see
    /// `docs/design/mesh.md`.
    pub idle_timeout: Duration,
    /// The maximum number of open connections, inbound and outbound together.
    pub max_connections: usize,
    /// The capacity, in messages, of each peer's outgoing queue and of the inbound queue that the
    /// application reads.
    pub queue_messages: usize,
    /// The maximum number of requests from one peer that may wait for the application's answer.
    pub max_unanswered: usize,
    /// The time without received data, while requests await answers, after which a peer is pinged.
    pub ping_after: Duration,
    /// The time limit for a peer to send anything after a ping, and for a write to it to complete.
    pub ping_timeout: Duration,
    /// The backoff after the first failure to connect; it doubles with each further failure.
    pub backoff_min: Duration,
    /// The maximum backoff between attempts to connect.
    pub backoff_max: Duration,
}

impl MeshConfig {
    /// Returns the default settings.
    pub const fn new(instance: InstanceId) -> Self {
        Self {
            instance,
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
