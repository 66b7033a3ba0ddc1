//! Opens connections to peers and accepts connections from them.

use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, timeout};
use tokio_tungstenite::tungstenite::Error as WsError;
use tokio_tungstenite::tungstenite::handshake::server;
use tokio_tungstenite::{WebSocketStream, accept_hdr_async_with_config, client_async_with_config};

use crate::backoff;
use crate::config::Peer;
use crate::connection::{EndReason, finish, run};
use crate::error::SendError;
use crate::handshake::{self, Refusal};
use crate::message::Purpose;
use crate::shared::Shared;
use crate::socket::CountedStream;
use crate::table::{Dial, PeerHello, Registered, Table};

/// The maximum number of inbound handshakes in progress.
const MAX_HANDSHAKES: usize = 64;

/// The delay after a failed `accept`, which is mostly due to a lack of file descriptors.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

type Socket = WebSocketStream<CountedStream>;

/// Spawns a task that opens a connection; the messages that wait for it are sent or fail with it.
pub(crate) fn spawn_dial<M>(shared: &Arc<Shared<M>>, table: &mut Table<M>, peer: Peer)
where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
{
    table.begin_dial(&peer.instance);
    let last_serial = table.last_serial();
    let shared_by_task = Arc::clone(shared);
    shared.tasks.spawn(async move {
        let shared = shared_by_task;
        let opening = timeout(
            shared.cfg.connect_timeout,
            open(&shared, &peer, last_serial),
        );
        let result = tokio::select! {
            () = shared.shutdown.cancelled() => Err(SendError::ShutDown),
            result = opening => result.unwrap_or_else(|_| Err(unreachable(&peer, "timed out"))),
        };
        match result {
            Ok((socket, hello)) => {
                let registered = register_dialled(&shared, &hello);
                serve(shared, registered, socket).await;
            }
            Err(error) => dial_failed(&shared, &peer, error),
        }
    });
}

async fn open<M>(
    shared: &Shared<M>,
    peer: &Peer,
    last_serial: u64,
) -> Result<(Socket, PeerHello), SendError> {
    let wrong = |reason: &dyn std::fmt::Display| SendError::WrongPeer {
        instance: peer.instance.clone(),
        address: peer.address,
        reason: reason.to_string(),
    };
    let request = handshake::request(peer, &shared.cfg.instance, shared.process, last_serial)
        .map_err(|refusal| wrong(&refusal))?;
    let stream = TcpStream::connect(peer.address)
        .await
        .and_then(|stream| stream.set_nodelay(true).map(|()| stream))
        .map_err(|error| unreachable(peer, &error.to_string()))?;
    let stream = CountedStream::new(stream, Arc::clone(&shared.counters));
    let config = handshake::socket_config(&shared.cfg);
    match client_async_with_config(request, stream, Some(config)).await {
        Ok((socket, response)) => {
            let hello =
                handshake::read_response(&response, peer).map_err(|refusal| wrong(&refusal))?;
            Ok((socket, hello))
        }
        Err(WsError::Http(response)) if handshake::is_wrong_peer(response.status()) => {
            let reason = response.body().as_deref().unwrap_or_default();
            Err(wrong(&String::from_utf8_lossy(reason)))
        }
        Err(error) => Err(unreachable(peer, &error.to_string())),
    }
}

fn unreachable(peer: &Peer, reason: &str) -> SendError {
    SendError::Unreachable {
        instance: peer.instance.clone(),
        address: peer.address,
        reason: reason.to_owned(),
    }
}

fn register_dialled<M>(shared: &Arc<Shared<M>>, hello: &PeerHello) -> Registered<M>
where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
{
    let mut table = shared.table();
    table.end_dial(&hello.instance, true);
    let registered = table.register(hello, true, Instant::now());
    shared.counters.connection_opened();
    shared.dispatch_waiting(&mut table, &hello.instance);
    shared.counters.dialled.add(1);
    registered
}

fn dial_failed<M>(shared: &Arc<Shared<M>>, peer: &Peer, error: SendError)
where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
{
    shared.counters.dial_failures.add(1);
    let mut table = shared.table();
    let failures = table.end_dial(&peer.instance, false);
    let link = table.link(&peer.instance);
    if !link.connections.is_empty() {
        // The peer opened a connection in the meantime.
        shared.dispatch_waiting(&mut table, &peer.instance);
        return;
    }
    let pause = backoff::pause(
        shared.cfg.backoff_min,
        shared.cfg.backoff_max,
        failures,
        &mut rand::rng(),
    );
    warn!(shared.log, "cannot connect to peer"; "peer" => %peer.instance,
        "address" => %peer.address, "error" => %error, "failures" => failures,
        "pause_ms" => u64::try_from(pause.as_millis()).unwrap_or(u64::MAX));
    link.dial = Dial::Backoff {
        until: Instant::now() + pause,
        failures,
        error: error.clone(),
    };
    let waiting = std::mem::take(&mut link.waiting);
    drop(table);
    shared.fail(waiting, &error);
}

/// Accepts connections until the mesh is shut down.
pub(crate) async fn accept_loop<M>(shared: Arc<Shared<M>>, listener: TcpListener)
where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
{
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let accepted = tokio::select! {
            () = shared.shutdown.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(shared.log, "cannot accept a connection"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&handshakes).acquire_owned().await else {
            return;
        };
        let shared_by_task = Arc::clone(&shared);
        shared.tasks.spawn(async move {
            let accepted = accept(&shared_by_task, stream).await;
            drop(permit);
            if let Some((registered, socket)) = accepted {
                serve(shared_by_task, registered, socket).await;
            }
        });
    }
}

async fn accept<M>(shared: &Arc<Shared<M>>, stream: TcpStream) -> Option<(Registered<M>, Socket)>
where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
{
    stream.set_nodelay(true).ok()?;
    let stream = CountedStream::new(stream, Arc::clone(&shared.counters));
    let config = handshake::socket_config(&shared.cfg);
    let mut registered = None;
    #[expect(
        clippy::result_large_err,
        reason = "the library defines the type of the callback"
    )]
    let callback = |request: &server::Request, mut response: server::Response| match take_request(
        shared,
        request,
        &mut response,
    ) {
        Ok(connection) => {
            registered = Some(connection);
            Ok(response)
        }
        Err(refusal) => {
            info!(shared.log, "connection refused"; "reason" => %refusal);
            shared.counters.refused.add(1);
            Err(refusal.into_response())
        }
    };
    let accepting = accept_hdr_async_with_config(stream, callback, Some(config));
    let socket = timeout(shared.cfg.connect_timeout, accepting).await;
    let registered = registered?;
    if let Ok(Ok(socket)) = socket {
        shared.counters.accepted.add(1);
        return Some((registered, socket));
    }
    finish(
        shared,
        &registered.connection,
        registered.rx,
        EndReason::Unopened,
    )
    .await;
    None
}

/// Validates a peer's upgrade request and registers its connection.
///
/// The connection is registered before the response is sent, because the serial number in the
/// response states that this side has registered it.
fn take_request<M>(
    shared: &Arc<Shared<M>>,
    request: &server::Request,
    response: &mut server::Response,
) -> Result<Registered<M>, Refusal>
where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
{
    let hello = handshake::read_request(request.headers(), &shared.cfg.instance)?;
    let mut table = shared.table();
    if !table.make_room(shared.cfg.max_connections) {
        return Err(Refusal::Full);
    }
    let serial = table.last_serial() + 1;
    handshake::complete_response(response, shared.process, serial)?;
    let registered = table.register(&hello, false, Instant::now());
    shared.counters.connection_opened();
    shared.dispatch_waiting(&mut table, &hello.instance);
    Ok(registered)
}

async fn serve<M>(shared: Arc<Shared<M>>, registered: Registered<M>, socket: Socket)
where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
{
    let Registered {
        connection,
        rx,
        stale,
    } = registered;
    run(shared, connection, rx, socket, stale).await;
}
