//! Handles through which the control actor reaches the rest of the process.

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
use chervilshunt_engine::EngineClients;
use chervilshunt_model::Clock;

/// Number of attempts to deliver a message that must be acknowledged.
///
/// Together they last longer than a lease, so afterwards the receiver is either reachable again or
/// no longer live.
const ACK_ATTEMPTS: u32 = 60;
/// Timeout for the acknowledgement of a message.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before a message that was not acknowledged is sent again.
const ACK_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Handles to the settings, clients and shared state that the control actor uses.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    /// The validated settings.
    pub(crate) settings: Arc<Settings>,
    /// The log.
    pub(crate) log: slog::Logger,
    /// The clock.
    pub(crate) clock: Clock,
    /// Sends messages to other instances.
    pub(crate) mesh: Mesh<PeerMessage>,
    /// Clients for calls to targets.
    pub(crate) engines: EngineClients,
    /// Client for calls to the platform.
    pub(crate) platform: Platform,
    /// The routing state that the traffic threads read.
    pub(crate) routing: SharedRouting,
    /// Permits that the traffic threads hold.
    pub(crate) held: HeldPermits,
    /// Attempts with an idempotency key that the traffic threads run or have run.
    pub(crate) tries: KeyedAttempts,
}

impl Context {
    /// Returns this instance's name.
    pub(crate) fn me(&self) -> &InstanceId {
        &self.settings.instance.id
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the name and address of an instance, or `None` if it is not known as live.
    pub(crate) fn peer(&self, instance: &InstanceId) -> Option<Peer> {
        let address = *self.routing.get().peers.get(instance)?;
        Some(Peer {
            instance: instance.clone(),
            address,
        })
    }

    /// Sends a message repeatedly until the receiver acknowledges it or is no longer live.
    pub(crate) fn send_until_acknowledged(&self, to: InstanceId, message: PeerMessage) {
        let cx = self.clone();
        tokio::spawn(async move {
            for _ in 0..ACK_ATTEMPTS {
                let Some(peer) = cx.peer(&to) else {
                    return;
                };
                let answer = cx.mesh.request(&peer, message.clone(), ACK_TIMEOUT).await;
                if answer.is_ok() {
                    return;
                }
                tokio::time::sleep(ACK_RETRY_PAUSE).await;
            }
            slog::warn!(cx.log, "message not taken"; "to" => %to);
        });
    }

    /// Sends a message without an acknowledgement.
    ///
    /// It may be lost, so the sender must send the same information again with a later message.
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
