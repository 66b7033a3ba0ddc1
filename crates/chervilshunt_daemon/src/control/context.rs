//! What the control actor needs of the rest of the process.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_config::Settings;
use chervilshunt_mesh::{Mesh, Peer};
use chervilshunt_model::{InstanceId, Moment};
use chervilshunt_platform::Platform;

use crate::keyed::KeyedAttempts;
use crate::routing::SharedRouting;
use crate::traffic::HeldPermits;
use crate::wire::PeerMessage;
use chervilshunt_engine::Engines;
use chervilshunt_model::Clock;

/// Tries to have a message taken; together they last longer than a lease, so that the receiver is
/// either back or no longer live.
const TAKEN_TRIES: u32 = 60;
/// The time that a receiver has to say that it took a message.
const TAKEN_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause between tries to have a message taken.
const TAKEN_PAUSE: Duration = Duration::from_millis(500);

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
    pub(crate) tries: KeyedAttempts,
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

    /// Sends a message until the receiver says that it took it, or is no longer live.
    pub(crate) fn send_until_taken(&self, to: InstanceId, message: PeerMessage) {
        let cx = self.clone();
        tokio::spawn(async move {
            for _ in 0..TAKEN_TRIES {
                let Some(peer) = cx.peer(&to) else {
                    return;
                };
                let answer = cx.mesh.request(&peer, message.clone(), TAKEN_TIMEOUT).await;
                if answer.is_ok() {
                    return;
                }
                tokio::time::sleep(TAKEN_PAUSE).await;
            }
            slog::warn!(cx.log, "message not taken"; "to" => %to);
        });
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
