//! The public handle of a mesh, which sends messages and requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::Logger;
use snafu::{ResultExt, ensure};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};
use tokio_util::sync::DropGuard;

use crate::config::{MeshConfig, Peer};
use crate::counters::MeshCounters;
use crate::dial::accept_loop;
use crate::error::{
    BadInstanceSnafu, BindSnafu, LocalAddressSnafu, MeshError, RequestError, SendError,
};
use crate::handshake::is_header_safe;
use crate::message::{Inbound, InboundMessage, Purpose, Reply};
use crate::outgoing::{Outgoing, OutgoingRequest, RequestState};
use crate::shared::Shared;

/// Sends messages to peers and receives theirs.
///
/// Clones share one mesh, which shuts down when the last clone is dropped.
#[derive(Debug)]
pub struct Mesh<M> {
    shared: Arc<Shared<M>>,
    address: SocketAddr,
    _guard: Arc<DropGuard>,
}

impl<M> Clone for Mesh<M> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            address: self.address,
            _guard: Arc::clone(&self._guard),
        }
    }
}

impl<M> Mesh<M>
where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
{
    /// Starts a mesh that accepts peers on a new listening socket; see [`Self::start`].
    ///
    /// # Errors
    /// Fails if the address cannot be bound or the instance id cannot be used as a header value.
    pub async fn bind(
        cfg: MeshConfig,
        address: SocketAddr,
        log: Logger,
    ) -> Result<(Self, mpsc::Receiver<Inbound<M>>), MeshError> {
        let listener = TcpListener::bind(address).await;
        Self::start(cfg, listener.context(BindSnafu { address })?, log)
    }

    /// Starts a mesh that accepts peers on `listener`, and returns it with the queue of inbound
    /// messages.
    ///
    /// The task that reads the inbound queue must not await its own requests to peers: if the
    /// queue fills up, requests of peers are rejected and their one-way messages are delayed.
    ///
    /// # Errors
    /// Fails if the instance id cannot be used as a header value.
    pub fn start(
        cfg: MeshConfig,
        listener: TcpListener,
        log: Logger,
    ) -> Result<(Self, mpsc::Receiver<Inbound<M>>), MeshError> {
        ensure!(
            is_header_safe(&cfg.instance),
            BadInstanceSnafu {
                instance: cfg.instance.clone()
            }
        );
        let address = listener.local_addr().context(LocalAddressSnafu)?;
        let (tx, rx) = mpsc::channel(cfg.queue_messages);
        let shared = Arc::new(Shared::new(cfg, log, tx));
        shared
            .tasks
            .spawn(accept_loop(Arc::clone(&shared), listener));
        let mesh = Self {
            address,
            _guard: Arc::new(shared.shutdown.clone().drop_guard()),
            shared,
        };
        Ok((mesh, rx))
    }

    /// Returns the address on which this instance accepts connections from peers.
    pub const fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns a snapshot of the counters.
    pub fn counters(&self) -> MeshCounters {
        self.shared.counters.snapshot()
    }

    /// Queues a one-way message without blocking.
    ///
    /// `Ok` means only that it was queued. If it is lost with its connection, the application
    /// receives [`Inbound::Lost`] for the peer. If no connection can be opened, the message is
    /// dropped and the next call fails.
    ///
    /// # Errors
    /// Fails if the message is too large, the queue is full, all connections are in use, the mesh
    /// is shut down, or the backoff after a failed connection attempt to the peer has not ended.
    pub fn send(&self, peer: &Peer, message: M) -> Result<(), SendError> {
        if peer.instance == self.shared.cfg.instance {
            return self
                .deliver_locally(message, None)
                .map_err(|_full| self.own_queue_full());
        }
        let body = self.shared.encode(&message)?;
        let purpose = message.purpose();
        self.shared.post(peer, Outgoing::OneWay { body, purpose })
    }

    /// Sends a request and waits for its answer, at most for the time `within`.
    ///
    /// It fails as soon as the connection fails, without waiting for the timeout. Dropping the
    /// future cancels the request if it has not been written yet.
    ///
    /// # Errors
    /// See [`RequestError`], which shows whether the peer may have handled the request.
    pub async fn request(
        &self,
        peer: &Peer,
        message: M,
        within: Duration,
    ) -> Result<M, RequestError> {
        if peer.instance == self.shared.cfg.instance {
            return self.request_locally(message, within).await;
        }
        let not_sent = |source| RequestError::NotSent { source };
        let body = self.shared.encode(&message).map_err(not_sent)?;
        let (req, answer) = OutgoingRequest::new(body, message.purpose());
        let guard = AbandonOnDrop(Arc::clone(&req.state));
        self.shared
            .post(peer, Outgoing::Request(req))
            .map_err(not_sent)?;
        match timeout(within, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(RequestError::Lost),
            Err(_) if guard.0.abandon() => Err(not_sent(SendError::Late {
                instance: peer.instance.clone(),
            })),
            Err(_) => Err(RequestError::Timeout),
        }
    }

    /// Shuts down the mesh gracefully.
    ///
    /// It stops accepting connections, writes the queued messages, closes all connections and
    /// waits until they have ended, at most for the `connect_timeout`.
    pub async fn shutdown(&self) {
        self.shared.shutdown.cancel();
        self.shared.tasks.close();
        let waiting = self.shared.table().take_all_waiting();
        self.shared.fail(waiting, &SendError::ShutDown);
        drop(timeout(self.shared.cfg.connect_timeout, self.shared.tasks.wait()).await);
    }

    async fn request_locally(&self, message: M, within: Duration) -> Result<M, RequestError> {
        let (tx, rx) = oneshot::channel();
        self.deliver_locally(message, Some(Reply::local(tx)))
            .map_err(|_full| RequestError::Busy)?;
        match timeout(within, rx).await {
            Ok(result) => result.unwrap_or(Err(RequestError::Unanswered)),
            Err(_) => Err(RequestError::Timeout),
        }
    }

    /// Delivers a message from this instance to itself, without a connection.
    fn deliver_locally(
        &self,
        message: M,
        reply: Option<Reply<M>>,
    ) -> Result<(), mpsc::error::TrySendError<Inbound<M>>> {
        self.shared
            .inbound
            .try_send(Inbound::Message(InboundMessage {
                from: self.shared.cfg.instance.clone(),
                message,
                received_at: Instant::now(),
                reply,
            }))
    }

    fn own_queue_full(&self) -> SendError {
        SendError::QueueFull {
            instance: self.shared.cfg.instance.clone(),
            limit: self.shared.cfg.queue_messages,
        }
    }
}

/// Marks a request as abandoned when its sender stops waiting.
struct AbandonOnDrop(Arc<RequestState>);

impl Drop for AbandonOnDrop {
    fn drop(&mut self) {
        self.0.abandon();
    }
}
