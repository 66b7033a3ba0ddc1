//! What the traffic threads know of the control state: one immutable snapshot at a time.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use chervilshunt_coord::Incarnation;
use chervilshunt_mesh::Peer;
use chervilshunt_model::{Deployment, InstanceId, TargetName};

/// The control state as of one moment; the control thread replaces it whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct Routing {
    /// The configuration in force.
    pub(crate) deployment: Arc<Deployment>,
    /// The instance that owns each target.
    pub(crate) owners: HashMap<TargetName, InstanceId>,
    /// The instance that keeps the claims of each shard.
    pub(crate) claim_keepers: HashMap<u32, InstanceId>,
    /// This run of this instance; none before it has begun.
    pub(crate) incarnation: Option<Incarnation>,
    /// Where each live instance listens for peers.
    pub(crate) peers: HashMap<InstanceId, SocketAddr>,
    /// Targets that the instance list shows as leaving.
    pub(crate) leaving: Arc<HashSet<TargetName>>,
    /// Whether this instance may take new work.
    pub(crate) takes_work: bool,
}

impl Routing {
    /// Returns the live instances with their addresses.
    pub(crate) fn peers(&self) -> impl Iterator<Item = Peer> {
        self.peers.iter().map(|(instance, address)| Peer {
            instance: instance.clone(),
            address: *address,
        })
    }
}

/// The snapshot in force, shared by control and traffic threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedRouting(Arc<ArcSwap<Routing>>);

impl SharedRouting {
    /// Returns the snapshot in force.
    pub(crate) fn get(&self) -> Arc<Routing> {
        self.0.load_full()
    }

    /// Puts a new snapshot in force.
    pub(crate) fn set(&self, routing: Routing) {
        self.0.store(Arc::new(routing));
    }
}
