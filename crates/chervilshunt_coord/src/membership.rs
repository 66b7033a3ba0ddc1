//! A view of the instances that combines the instance list, the leases and the peer connections.

mod ring;
mod view;

pub(crate) use ring::watched_by;
pub use view::{InstanceEntry, Peer, PeerState, PeerView};
