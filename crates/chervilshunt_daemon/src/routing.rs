//! What the traffic threads know of the control state: one immutable snapshot at a time.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use chervilshunt_coord::Incarnation;
use chervilshunt_mesh::Peer;
use chervilshunt_model::{Deployment, InstanceId, Moment, TargetName};

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
pub(crate) struct SharedRouting(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    routing: ArcSwap<Routing>,
    /// Until when new work may be taken, in microseconds of the process's clock; 0 for not at all.
    takes_work_until: AtomicU64,
}

impl SharedRouting {
    /// Returns the snapshot in force.
    pub(crate) fn get(&self) -> Arc<Routing> {
        self.0.routing.load_full()
    }

    /// Puts a new snapshot in force.
    pub(crate) fn set(&self, routing: Routing) {
        self.0.routing.store(Arc::new(routing));
    }

    /// Says until when new work may be taken.
    pub(crate) fn set_takes_work_until(&self, until: Option<Moment>) {
        let micros = until.map_or(0, Moment::as_micros);
        self.0.takes_work_until.store(micros, Ordering::Release);
    }

    /// Returns whether new work may be taken now.
    ///
    /// It is a point in time and not a flag: a process that was paused wakes up with its flags as
    /// they were, and would take work under a configuration that others have replaced meanwhile.
    pub(crate) fn takes_work(&self, now: Moment) -> bool {
        now.as_micros() < self.0.takes_work_until.load(Ordering::Acquire)
    }
}
