//! What the control actor needs of the rest of the process.

use std::sync::Arc;

use chervilshunt_config::Settings;
use chervilshunt_mesh::{Mesh, Peer};
use chervilshunt_model::{InstanceId, Moment};
use chervilshunt_platform::Platform;

use crate::clock::Clock;
use crate::engines::Engines;
use crate::keyed::KeyedTries;
use crate::routing::SharedRouting;
use crate::traffic::HeldPermits;
use crate::wire::PeerMessage;

/// Handles to the parts round the control actor.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    /// The checked settings.
    pub(crate) settings: Arc<Settings>,
    /// The log.
    pub(crate) log: slog::Logger,
    /// The clock.
    pub(crate) clock: Clock,
    /// Messages to other instances.
    pub(crate) mesh: Mesh<PeerMessage>,
    /// Calls to targets.
    pub(crate) engines: Engines,
    /// Calls to the platform.
    pub(crate) platform: Platform,
    /// What the traffic threads see.
    pub(crate) routing: SharedRouting,
    /// Permits that the traffic threads hold.
    pub(crate) held: HeldPermits,
    /// Keyed tries that the traffic threads run or have run.
    pub(crate) tries: KeyedTries,
}

impl Context {
    /// Returns this instance's name.
    pub(crate) fn me(&self) -> &InstanceId {
        &self.settings.instance.id
    }

    /// Returns the present time.
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns how to reach an instance, if it is live.
    pub(crate) fn peer(&self, instance: &InstanceId) -> Option<Peer> {
        let address = *self.routing.get().peers.get(instance)?;
        Some(Peer {
            instance: instance.clone(),
            address,
        })
    }

    /// Sends a message that needs no answer; a lost one is made good by the sender's next.
    pub(crate) fn send(&self, to: &InstanceId, message: PeerMessage) {
        let Some(peer) = self.peer(to) else {
            slog::debug!(self.log, "message dropped"; "to" => %to, "reason" => "not live");
            return;
        };
        if let Err(error) = self.mesh.send(&peer, message) {
            slog::debug!(self.log, "message dropped"; "to" => %to, "reason" => %error);
        }
    }
}
