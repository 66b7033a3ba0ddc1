//! Messages between instances: WebSocket connections that carry CBOR.
//!
//! A [`Mesh`] sends one-way messages and requests to peers named by instance and address. It opens
//! connections at need, closes them when idle and bounds their number, so that nobody keeps a full
//! mesh. It knows nothing of what the messages mean: it is generic over the message type, which
//! has to say the [`Purpose`] of each message so that control traffic stays attributable.
//!
//! What was weighed, and what the measurements say, is in `docs/design/mesh.md`.

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
