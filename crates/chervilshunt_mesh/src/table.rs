//! The table of peers, with their connections and waiting messages.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::InstanceId;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::connection::{Identity, PeerConnection};
use crate::error::SendError;
use crate::handshake::ProcessId;
use crate::outgoing::Outgoing;

/// The connections and waiting messages of all peers.
#[derive(Debug)]
pub(crate) struct Table<M> {
    links: HashMap<InstanceId, Link<M>>,
    last_serial: u64,
    dialling: usize,
}

/// The connections with one peer and the messages that wait for a connection.
#[derive(Debug)]
pub(crate) struct Link<M> {
    pub(crate) address: Option<SocketAddr>,
    pub(crate) connections: Vec<Arc<PeerConnection<M>>>,
    pub(crate) dial: Dial,
    pub(crate) waiting: VecDeque<Outgoing<M>>,
}

/// The state of connection attempts to a peer.
#[derive(Clone, Debug)]
pub(crate) enum Dial {
    /// No attempt is in progress, and no backoff applies.
    Idle,
    /// An attempt is in progress, after this many consecutive failures.
    Dialling { failures: u32 },
    /// The last attempts failed; none is made before `until`, unless the peer's address changes.
    Backoff {
        until: Instant,
        failures: u32,
        error: SendError,
    },
}

/// A connection that was just added to the table.
#[derive(Debug)]
pub(crate) struct Registered<M> {
    pub(crate) connection: Arc<PeerConnection<M>>,
    pub(crate) rx: mpsc::UnboundedReceiver<Outgoing<M>>,
    /// The connections that it replaces; they must be done before it delivers any message.
    pub(crate) stale: Vec<CancellationToken>,
}

/// The identity that a peer sent in its upgrade request or response.
#[derive(Clone, Debug)]
pub(crate) struct PeerHello {
    pub(crate) instance: InstanceId,
    pub(crate) process: ProcessId,
    /// For a connection that the peer opened: the peer's last serial number; its connections with
    /// this instance up to that number have ended. Otherwise: the peer's number for the connection.
    pub(crate) serial: u64,
}

impl<M> Table<M> {
    pub(crate) fn new() -> Self {
        Self {
            links: HashMap::new(),
            last_serial: 0,
            dialling: 0,
        }
    }

    pub(crate) fn link(&mut self, instance: &InstanceId) -> &mut Link<M> {
        self.links.entry(instance.clone()).or_insert_with(|| Link {
            address: None,
            connections: Vec::new(),
            dial: Dial::Idle,
            waiting: VecDeque::new(),
        })
    }

    /// Returns the serial number of the connection that was added last.
    pub(crate) const fn last_serial(&self) -> u64 {
        self.last_serial
    }

    /// Ensures that one more connection may be opened, and returns whether it may.
    ///
    /// At the limit, the least recently used idle connection is closed.
    pub(crate) fn make_room(&self, limit: usize) -> bool {
        let usable: Vec<_> = self
            .links
            .values()
            .flat_map(|link| &link.connections)
            .filter(|connection| connection.is_usable())
            .collect();
        if usable.len() + self.dialling < limit {
            return true;
        }
        usable
            .into_iter()
            .filter_map(|connection| Some((connection.idle_since()?, connection)))
            .min_by_key(|(since, _)| *since)
            .is_some_and(|(_, connection)| connection.close_if_idle())
    }

    pub(crate) fn begin_dial(&mut self, instance: &InstanceId) {
        self.dialling += 1;
        let link = self.link(instance);
        let failures = match link.dial {
            Dial::Backoff { failures, .. } => failures,
            Dial::Idle | Dial::Dialling { .. } => 0,
        };
        link.dial = Dial::Dialling { failures };
    }

    /// Ends an attempt to open a connection; returns the number of consecutive failures.
    pub(crate) fn end_dial(&mut self, instance: &InstanceId, succeeded: bool) -> u32 {
        self.dialling -= 1;
        let link = self.link(instance);
        let failures = match link.dial {
            Dial::Dialling { failures } if !succeeded => failures + 1,
            Dial::Dialling { .. } | Dial::Idle | Dial::Backoff { .. } => 0,
        };
        link.dial = Dial::Idle;
        failures
    }

    /// Adds a connection, and aborts the earlier ones that it supersedes.
    pub(crate) fn register(
        &mut self,
        hello: &PeerHello,
        dialled: bool,
        now: Instant,
    ) -> Registered<M> {
        self.last_serial += 1;
        let serial = self.last_serial;
        let link = self.link(&hello.instance);
        let mut stale = Vec::new();
        for earlier in &link.connections {
            if is_superseded(&earlier.identity, hello, dialled) {
                earlier.abort.cancel();
                stale.push(earlier.done.clone());
            }
        }
        let session = link
            .connections
            .iter()
            .find(|connection| connection.is_usable())
            .map(|other| Arc::clone(&other.session))
            .unwrap_or_default();
        let identity = Identity {
            serial,
            peer: hello.instance.clone(),
            peer_process: hello.process,
            peer_serial: if dialled { hello.serial } else { 0 },
            dialled,
        };
        let (connection, rx) = PeerConnection::new(identity, session, now);
        link.connections.push(Arc::clone(&connection));
        Registered {
            connection,
            rx,
            stale,
        }
    }

    /// Removes peers without connections, waiting messages or a recent backoff.
    ///
    /// A backoff is kept for the time `keep` after its end.
    pub(crate) fn prune(&mut self, now: Instant, keep: Duration) {
        self.links.retain(|_, link| {
            let expired = match &link.dial {
                Dial::Idle => true,
                Dial::Dialling { .. } => false,
                Dial::Backoff { until, .. } => *until + keep < now,
            };
            !(expired && link.connections.is_empty() && link.waiting.is_empty())
        });
    }

    pub(crate) fn links(&self) -> usize {
        self.links.len()
    }

    /// Removes and returns all messages that wait for a connection.
    pub(crate) fn take_all_waiting(&mut self) -> Vec<Outgoing<M>> {
        self.links
            .values_mut()
            .flat_map(|link| std::mem::take(&mut link.waiting))
            .collect()
    }
}

/// Returns whether a new connection with a peer shows that an earlier one has ended.
///
/// A peer opens a connection only when it has none with this instance. Therefore all connections
/// that it opened earlier have ended, and so have those opened by this side that the peer had
/// registered before it began to dial. A connection from this side that the peer had not yet
/// registered at that time stays open beside the new one.
fn is_superseded(earlier: &Identity, hello: &PeerHello, dialled: bool) -> bool {
    let restarted = earlier.peer_process != hello.process;
    let ended_by_peer = !dialled && (!earlier.dialled || earlier.peer_serial <= hello.serial);
    restarted || ended_by_peer
}

impl<M> Link<M> {
    /// Returns the connection to write to.
    ///
    /// If both sides have opened one, both use the one that the instance with the smaller id
    /// opened; the other one is closed once it is idle.
    pub(crate) fn preferred(&self, us: &InstanceId) -> Option<&Arc<PeerConnection<M>>> {
        self.connections
            .iter()
            .filter(|connection| connection.is_usable())
            .min_by_key(|connection| {
                let identity = &connection.identity;
                let opener = if identity.dialled { us } else { &identity.peer };
                (opener.clone(), identity.serial)
            })
    }
}

#[cfg(test)]
mod tests;
