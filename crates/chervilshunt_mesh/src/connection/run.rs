//! Runs a connection from the completed handshake to its end.

use std::sync::Arc;

use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use tokio_tungstenite::WebSocketStream;
use tokio_util::sync::CancellationToken;

use super::read::read_loop;
use super::state::PeerConnection;
use super::write::{WriteError, write_loop};
use crate::message::{Inbound, Purpose};
use crate::outgoing::Outgoing;
use crate::shared::Shared;
use crate::socket::CountedStream;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndReason {
    /// It was closed because it was idle; the peer did not handle any request that is unanswered.
    Idle,
    /// The handshake did not complete on this side; nothing was written or read.
    Unopened,
    /// It failed, or one side shut down; the peer may have handled unanswered requests.
    Broken,
}

/// Runs a connection until it ends.
///
/// `stale` holds the earlier connections with the peer. No message is delivered until they are
/// done, so that the application never sees the loss of an earlier connection after the first
/// messages of this one. Otherwise an owner would drop an instance's new requests together with
/// the lost ones.
pub(crate) async fn run<M>(
    shared: Arc<Shared<M>>,
    connection: Arc<PeerConnection<M>>,
    mut rx: mpsc::UnboundedReceiver<Outgoing<M>>,
    socket: WebSocketStream<CountedStream>,
    stale: Vec<CancellationToken>,
) where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
{
    for earlier in stale {
        earlier.cancelled().await;
    }
    info!(shared.log, "connection open";
        "peer" => %connection.identity.peer, "dialled" => connection.identity.dialled);
    let end = tokio::select! {
        biased;
        () = connection.abort.cancelled() => EndReason::Broken,
        end = drive(&shared, &connection, &mut rx, socket) => end,
    };
    finish(&shared, &connection, rx, end).await;
}

async fn drive<M>(
    shared: &Arc<Shared<M>>,
    connection: &Arc<PeerConnection<M>>,
    rx: &mut mpsc::UnboundedReceiver<Outgoing<M>>,
    socket: WebSocketStream<CountedStream>,
) -> EndReason
where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
{
    let (sink, stream) = socket.split();
    let writer = async {
        match write_loop(shared, connection, rx, sink).await {
            // The reader finds out why the connection ended; the time for that is bounded.
            Ok(()) | Err(WriteError::Socket) => sleep(shared.cfg.connect_timeout).await,
            Err(error) => {
                warn!(shared.log, "connection aborted";
                    "peer" => %connection.identity.peer, "reason" => ?error);
            }
        }
    };
    tokio::select! {
        biased;
        end = read_loop(shared, connection, stream) => end,
        () = writer => EndReason::Broken,
    }
}

/// Removes the connection from the table and resolves its unfinished requests and messages.
pub(crate) async fn finish<M>(
    shared: &Arc<Shared<M>>,
    connection: &Arc<PeerConnection<M>>,
    rx: mpsc::UnboundedReceiver<Outgoing<M>>,
    end: EndReason,
) where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
{
    let lost = shared.deregister(connection, rx, end, Instant::now());
    info!(shared.log, "connection ended";
        "peer" => %connection.identity.peer, "end" => ?end, "lost" => lost);
    if lost {
        let event = Inbound::Lost(connection.identity.peer.clone());
        drop(shared.inbound.send(event).await);
    }
    connection.done.cancel();
}
