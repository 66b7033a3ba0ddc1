//! Messages between instances: WebSocket connections that carry CBOR.
//!
//! A [`Mesh`] sends one-way messages and requests to peers, which are identified by instance and
//! address. It opens connections on demand, closes idle ones and limits their number, so that
//! instances don't hold connections to all others permanently. It is generic over the message type,
//! which must state the [`Purpose`] of each message so that control traffic can be attributed.
//!
//! The design alternatives and measurements are in `docs/design/mesh.md`.

mod backoff;
mod config;
mod connection;
mod counters;
mod dial;
mod error;
mod frame;
mod handshake;
mod liveness;
mod mesh;
mod message;
mod outgoing;
mod shared;
mod socket;
mod table;

pub use config::{MeshConfig, Peer};
pub use counters::{MeshCounters, Traffic};
pub use error::{MeshError, RequestError, SendError};
pub use mesh::Mesh;
pub use message::{Inbound, InboundMessage, Purpose, Reply};
