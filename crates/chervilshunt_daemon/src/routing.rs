//! The immutable snapshot of the control state that the traffic threads read.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use chervilshunt_coord::Incarnation;
use chervilshunt_mesh::Peer;
use chervilshunt_model::{Deployment, InstanceId, Moment, TargetName};

/// A snapshot of the control state. The control thread replaces it as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct Routing {
    /// The configuration in force.
    pub(crate) deployment: Arc<Deployment>,
    /// The owner of each target.
    pub(crate) owners: HashMap<TargetName, InstanceId>,
    /// The claim keeper of each shard.
    pub(crate) claim_keepers: HashMap<u32, InstanceId>,
    /// The incarnation of this instance's current run; none until the control actor has started.
    pub(crate) incarnation: Option<Incarnation>,
    /// The peer address of each live instance.
    pub(crate) peers: HashMap<InstanceId, SocketAddr>,
    /// Targets that the instance list marks as leaving.
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

/// The current snapshot, shared by the control and traffic threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedRouting(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    routing: ArcSwap<Routing>,
    /// The time until which new work may be accepted, in microseconds of the process's clock; 0 if
    /// none may be accepted.
    takes_work_until: AtomicU64,
}

impl SharedRouting {
    /// Returns the current snapshot.
    pub(crate) fn get(&self) -> Arc<Routing> {
        self.0.routing.load_full()
    }

    /// Replaces the snapshot.
    pub(crate) fn set(&self, routing: Routing) {
        self.0.routing.store(Arc::new(routing));
    }

    /// Sets the time until which new work may be accepted.
    pub(crate) fn set_takes_work_until(&self, until: Option<Moment>) {
        let micros = until.map_or(0, Moment::as_micros);
        self.0.takes_work_until.store(micros, Ordering::Release);
    }

    /// Returns whether new work may be accepted now.
    ///
    /// The state is a deadline and not a flag: a flag would survive a pause of the process, which
    /// would then accept work under a configuration that other instances have since replaced.
    pub(crate) fn takes_work(&self, now: Moment) -> bool {
        now.as_micros() < self.0.takes_work_until.load(Ordering::Acquire)
    }
}
