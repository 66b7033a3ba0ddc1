//! The state that all connections of a mesh share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use chervilshunt_model::InstanceId;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::{Logger, warn};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::config::{MeshConfig, Peer};
use crate::connection::{EndReason, PeerConnection};
use crate::counters::Counters;
use crate::dial::spawn_dial;
use crate::error::{RequestError, SendError};
use crate::frame::{FrameError, FrameHeader, encode_message};
use crate::handshake::ProcessId;
use crate::liveness::Liveness;
use crate::message::{Inbound, Purpose};
use crate::outgoing::Outgoing;
use crate::table::{Dial, Link, Table};

#[derive(Debug)]
pub(crate) struct Shared<M> {
    pub(crate) cfg: MeshConfig,
    pub(crate) liveness: Liveness,
    pub(crate) log: Logger,
    pub(crate) process: ProcessId,
    pub(crate) counters: Arc<Counters>,
    pub(crate) inbound: mpsc::Sender<Inbound<M>>,
    pub(crate) shutdown: CancellationToken,
    pub(crate) tasks: TaskTracker,
    table: Mutex<Table<M>>,
}

impl<M> Shared<M> {
    pub(crate) fn new(cfg: MeshConfig, log: Logger, inbound: mpsc::Sender<Inbound<M>>) -> Self {
        Self {
            liveness: Liveness {
                ping_after: cfg.ping_after,
                ping_timeout: cfg.ping_timeout,
                idle_timeout: cfg.idle_timeout,
            },
            cfg,
            log,
            process: ProcessId::random(),
            counters: Arc::new(Counters::new()),
            inbound,
            shutdown: CancellationToken::new(),
            tasks: TaskTracker::new(),
            table: Mutex::new(Table::new()),
        }
    }

    pub(crate) fn table(&self) -> MutexGuard<'_, Table<M>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record_undecodable(&self, peer: &InstanceId, error: &FrameError) {
        self.counters.unreadable.add(1);
        warn!(self.log, "cannot decode message"; "peer" => %peer, "error" => %error);
    }

    /// Fails messages that were never written, and counts those that had no waiting sender.
    pub(crate) fn fail(&self, messages: impl IntoIterator<Item = Outgoing<M>>, error: &SendError) {
        for out in messages {
            if out.fail(error.clone()) {
                self.counters.dropped.add(1);
            }
        }
    }
}

impl<M: Serialize + Purpose> Shared<M> {
    pub(crate) fn encode(&self, message: &M) -> Result<Bytes, SendError> {
        encode_message(message, self.cfg.max_message_bytes)
    }

    pub(crate) fn answer(
        &self,
        connection: &PeerConnection<M>,
        id: u64,
        message: &M,
    ) -> Result<(), SendError> {
        let body = match self.encode(message) {
            Ok(body) => body,
            Err(error) => {
                connection.enqueue_refusal(FrameHeader::Dropped(id));
                return Err(error);
            }
        };
        let sent = connection.enqueue_answer(Outgoing::Answer {
            header: FrameHeader::Answer(id),
            body: Some(body),
            purpose: message.purpose(),
        });
        if sent {
            return Ok(());
        }
        Err(SendError::ConnectionEnded {
            instance: connection.identity.peer.clone(),
        })
    }
}

impl<M> Shared<M>
where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
{
    /// Queues a message for a peer, and opens a connection if necessary.
    pub(crate) fn post(self: &Arc<Self>, peer: &Peer, out: Outgoing<M>) -> Result<(), SendError> {
        if self.shutdown.is_cancelled() {
            return Err(SendError::ShutDown);
        }
        let limit = self.cfg.queue_messages;
        let full = || SendError::QueueFull {
            instance: peer.instance.clone(),
            limit,
        };
        let mut table = self.table();
        let link = table.link(&peer.instance);
        let moved = link.address != Some(peer.address);
        link.address = Some(peer.address);
        if let Some(connection) = link.preferred(&self.cfg.instance) {
            return connection.enqueue(out, limit).map_err(|_rejected| full());
        }
        if link.waiting.len() >= limit {
            return Err(full());
        }
        if let Dial::Backoff { until, error, .. } = &link.dial
            && !moved
            && Instant::now() < *until
        {
            return Err(error.clone());
        }
        if link.needs_dial() && !table.make_room(self.cfg.max_connections) {
            return Err(SendError::TooManyConnections {
                limit: self.cfg.max_connections,
            });
        }
        table.link(&peer.instance).waiting.push_back(out);
        self.dial_if_needed(&mut table, &peer.instance);
        Ok(())
    }

    /// Opens a connection if messages wait and no connection exists or is being opened.
    pub(crate) fn dial_if_needed(self: &Arc<Self>, table: &mut Table<M>, instance: &InstanceId) {
        let link = table.link(instance);
        if link.waiting.is_empty() || !link.needs_dial() {
            return;
        }
        let Some(address) = link.address else {
            let waiting = std::mem::take(&mut link.waiting);
            let error = SendError::ConnectionEnded {
                instance: instance.clone(),
            };
            self.fail(waiting, &error);
            return;
        };
        let peer = Peer {
            instance: instance.clone(),
            address,
        };
        spawn_dial(self, table, peer);
    }

    /// Removes an ended connection from the table and resolves its unfinished messages.
    ///
    /// Returns whether the loss of the peer must be reported, which is so for the last connection
    /// of a failed session.
    pub(crate) fn deregister(
        self: &Arc<Self>,
        connection: &Arc<PeerConnection<M>>,
        mut rx: mpsc::UnboundedReceiver<Outgoing<M>>,
        end: EndReason,
        now: Instant,
    ) -> bool {
        let peer = &connection.identity.peer;
        let mut table = self.table();
        let link = table.link(peer);
        link.connections
            .retain(|other| !Arc::ptr_eq(other, connection));
        let pending = connection.take_pending();
        rx.close();
        let unsent = std::iter::from_fn(|| rx.try_recv().ok()).filter(|out| match out {
            Outgoing::OneWay { .. } | Outgoing::Request(_) => true,
            Outgoing::Answer { .. } => false,
        });
        match end {
            EndReason::Idle => {
                // The peer ignores requests that arrive after it has begun to close, so these
                // were not handled.
                pending.iter().for_each(|req| req.state.requeue());
                link.waiting
                    .extend(pending.into_iter().map(Outgoing::Request));
                link.waiting.extend(unsent);
                self.counters.closed_idle.add(1);
            }
            EndReason::Unopened => link.waiting.extend(unsent),
            EndReason::Broken => {
                connection.session.mark_broken();
                link.abort_session(connection);
                for req in pending {
                    req.complete(Err(RequestError::Lost));
                }
                let error = SendError::ConnectionEnded {
                    instance: peer.clone(),
                };
                self.fail(unsent, &error);
                self.counters.lost.add(1);
            }
        }
        let lost = connection.session.is_broken() && !link.has_session(&connection.session);
        self.dispatch_waiting(&mut table, peer);
        if table.links() > 2 * self.cfg.max_connections {
            table.prune(now, self.cfg.backoff_max);
        }
        self.counters.connection_ended();
        lost
    }

    /// Moves waiting messages to a usable connection, or opens one if necessary.
    pub(crate) fn dispatch_waiting(self: &Arc<Self>, table: &mut Table<M>, instance: &InstanceId) {
        let link = table.link(instance);
        let Some(connection) = link.preferred(&self.cfg.instance).cloned() else {
            self.dial_if_needed(table, instance);
            return;
        };
        for out in std::mem::take(&mut link.waiting) {
            if let Err(out) = connection.enqueue(out, usize::MAX) {
                link.waiting.push_back(out);
            }
        }
    }
}

impl<M> Link<M> {
    fn needs_dial(&self) -> bool {
        self.connections.is_empty() && !matches!(self.dial, Dial::Dialling { .. })
    }

    /// Aborts all connections of the same session.
    fn abort_session(&self, connection: &PeerConnection<M>) {
        for other in &self.connections {
            if Arc::ptr_eq(&other.session, &connection.session) {
                other.abort.cancel();
            }
        }
    }

    fn has_session(&self, session: &Arc<crate::connection::Session>) -> bool {
        self.connections
            .iter()
            .any(|other| Arc::ptr_eq(&other.session, session))
    }
}

#[cfg(test)]
mod tests;
