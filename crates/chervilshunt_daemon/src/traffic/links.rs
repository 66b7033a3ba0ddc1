//! The ways from the traffic threads to the holders of roles.

use chervilshunt_mesh::{Mesh, Peer};
use chervilshunt_model::InstanceId;
use xtra::Address;

use crate::control::Control;
use crate::routing::SharedRouting;
use crate::wire::PeerMessage;

/// What a request needs to ask the holder of a role, here or at a peer.
#[derive(Clone, Debug)]
pub(crate) struct Links {
    /// This instance.
    pub(crate) me: InstanceId,
    /// The roles of this instance.
    pub(crate) control: Address<Control>,
    /// The way to other instances.
    pub(crate) mesh: Mesh<PeerMessage>,
    /// Who holds which role, and where it listens.
    pub(crate) routing: SharedRouting,
    /// Where work goes on after its request has ended.
    pub(crate) runtime: tokio::runtime::Handle,
}

impl Links {
    /// Returns how to reach an instance, if it is live.
    pub(super) fn peer(&self, instance: &InstanceId) -> Option<Peer> {
        let address = *self.routing.get().peers.get(instance)?;
        Some(Peer {
            instance: instance.clone(),
            address,
        })
    }
}
