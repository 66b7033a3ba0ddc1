//! The write loop of a connection, which also checks that the peer is responsive.

use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::{Sink, SinkExt};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::{Error as WsError, Message as WsMessage};

use super::state::PeerConnection;
use crate::frame::{FrameHeader, assemble, wire_bytes};
use crate::liveness::LivenessAction;
use crate::outgoing::Outgoing;
use crate::shared::Shared;

/// The maximum number of messages written before a flush.
const BATCH: usize = 64;

/// Why a message could not be written.
#[derive(Debug)]
pub(crate) enum WriteError {
    /// The closing handshake has begun, or the socket failed; the reader finds out which.
    Socket,
    /// The peer did not read what was written within the ping timeout.
    Stalled,
    /// The peer sent nothing within the ping timeout after a ping.
    Silent,
}

impl From<WsError> for WriteError {
    fn from(_: WsError) -> Self {
        Self::Socket
    }
}

/// Writes until either side closes the connection.
pub(crate) async fn write_loop<M, S>(
    shared: &Arc<Shared<M>>,
    connection: &Arc<PeerConnection<M>>,
    rx: &mut mpsc::UnboundedReceiver<Outgoing<M>>,
    mut sink: S,
) -> Result<(), WriteError>
where
    M: Send + 'static,
    S: Sink<WsMessage, Error = WsError> + Unpin,
{
    let mut timer = pin!(sleep_until(Instant::now() + shared.liveness.ping_after));
    loop {
        tokio::select! {
            biased;
            () = connection.peer_closed.cancelled() => return Ok(()),
            () = shared.shutdown.cancelled() => {
                connection.mark_closing();
                while let Ok(first) = rx.try_recv() {
                    write_batch(shared, connection, first, rx, &mut sink).await?;
                }
                return close(&mut sink, CloseCode::Away).await;
            }
            () = connection.close_begun.notified() => {
                return close(&mut sink, CloseCode::Normal).await;
            }
            Some(first) = rx.recv() => {
                write_batch(shared, connection, first, rx, &mut sink).await?;
                let next_check = Instant::now() + shared.liveness.ping_after;
                if next_check < timer.deadline() {
                    timer.as_mut().reset(next_check);
                }
            }
            () = &mut timer => match connection.next_action(&shared.liveness, Instant::now()) {
                LivenessAction::Wait(until) => timer.as_mut().reset(until),
                LivenessAction::Ping => {
                    let now = Instant::now();
                    connection.record_ping(now);
                    timer.as_mut().reset(now + shared.liveness.ping_timeout);
                    write_in_time(shared, sink.send(WsMessage::Ping(Bytes::new()))).await?;
                }
                LivenessAction::GiveUp => return Err(WriteError::Silent),
                LivenessAction::CloseIdle => {
                    // If the connection is still idle, the `close_begun` branch runs next.
                    connection.close_if_idle();
                    timer.as_mut().reset(Instant::now() + shared.liveness.idle_timeout);
                }
            },
        }
    }
}

async fn write_batch<M, S>(
    shared: &Shared<M>,
    connection: &PeerConnection<M>,
    first: Outgoing<M>,
    rx: &mut mpsc::UnboundedReceiver<Outgoing<M>>,
    sink: &mut S,
) -> Result<(), WriteError>
where
    S: Sink<WsMessage, Error = WsError> + Unpin,
{
    let mut next = Some(first);
    let mut count = 0;
    while let Some(out) = next {
        count += 1;
        if let Some((frame, purpose)) = prepare(connection, out) {
            let bytes = wire_bytes(frame.len(), connection.identity.dialled);
            write_in_time(shared, sink.feed(WsMessage::Binary(frame))).await?;
            shared.counters.message_out(purpose, bytes);
        }
        next = if count < BATCH {
            rx.try_recv().ok()
        } else {
            None
        };
    }
    write_in_time(shared, sink.flush()).await?;
    connection.record_written(count, Instant::now());
    Ok(())
}

/// Awaits a write, and fails if the peer does not read within the ping timeout.
async fn write_in_time<M>(
    shared: &Shared<M>,
    write: impl Future<Output = Result<(), WsError>>,
) -> Result<(), WriteError> {
    match timeout(shared.liveness.ping_timeout, write).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(WriteError::Stalled),
    }
}

fn prepare<M>(connection: &PeerConnection<M>, out: Outgoing<M>) -> Option<(Bytes, &'static str)> {
    match out {
        Outgoing::OneWay { body, purpose } => {
            Some((assemble(FrameHeader::OneWay, Some(&body)), purpose))
        }
        Outgoing::Answer {
            header,
            body,
            purpose,
        } => Some((assemble(header, body.as_ref()), purpose)),
        Outgoing::Request(req) => {
            let body = req.body.clone();
            let purpose = req.purpose;
            let id = connection.start_request(req, Instant::now())?;
            Some((assemble(FrameHeader::Request(id), Some(&body)), purpose))
        }
    }
}

async fn close<S>(sink: &mut S, code: CloseCode) -> Result<(), WriteError>
where
    S: Sink<WsMessage, Error = WsError> + Unpin,
{
    let frame = CloseFrame {
        code,
        reason: "".into(),
    };
    Ok(sink.send(WsMessage::Close(Some(frame))).await?)
}
