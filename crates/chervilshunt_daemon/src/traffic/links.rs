//! Communication from the traffic threads to the holders of roles.

use chervilshunt_mesh::{Mesh, Peer};
use chervilshunt_model::InstanceId;
use xtra::Address;

use crate::control::Control;
use crate::routing::SharedRouting;
use crate::wire::PeerMessage;

/// The handles that are needed to reach the holder of a role, on this instance or a peer.
#[derive(Clone, Debug)]
pub(crate) struct Links {
    /// The id of this instance.
    pub(crate) me: InstanceId,
    /// The control actor of this instance, which runs its roles.
    pub(crate) control: Address<Control>,
    /// Connections to other instances.
    pub(crate) mesh: Mesh<PeerMessage>,
    /// The holders of the roles and their peer addresses.
    pub(crate) routing: SharedRouting,
    /// The runtime for background tasks that outlive their request.
    pub(crate) runtime: tokio::runtime::Handle,
}

impl Links {
    /// Returns the peer address of an instance, if it is live.
    pub(super) fn peer(&self, instance: &InstanceId) -> Option<Peer> {
        let address = *self.routing.get().peers.get(instance)?;
        Some(Peer {
            instance: instance.clone(),
            address,
        })
    }
}
