//! The read loop of a connection.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::warn;
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::{Error as WsError, Message as WsMessage};

use super::run::EndReason;
use super::state::{Admission, PeerConnection};
use crate::error::RequestError;
use crate::frame::{FrameHeader, decode_message, split, wire_bytes};
use crate::message::{Inbound, InboundMessage, Purpose, Reply};
use crate::outgoing::REFUSAL;
use crate::shared::Shared;

/// Reads frames until the connection ends and returns the reason.
pub(crate) async fn read_loop<M, S>(
    shared: &Arc<Shared<M>>,
    connection: &Arc<PeerConnection<M>>,
    mut stream: S,
) -> EndReason
where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
    S: Stream<Item = Result<WsMessage, WsError>> + Unpin,
{
    let mut end = EndReason::Broken;
    while let Some(received) = stream.next().await {
        match received {
            Ok(WsMessage::Binary(frame)) => {
                connection.record_received(true, Instant::now());
                deliver(shared, connection, &frame).await;
            }
            Ok(WsMessage::Close(close)) => {
                connection.mark_closing();
                connection.peer_closed.cancel();
                end = EndReason::of_close(close.as_ref());
            }
            Ok(_) => connection.record_received(false, Instant::now()),
            Err(error) => {
                if end == EndReason::Broken {
                    warn!(shared.log, "connection failed while reading";
                        "peer" => %connection.identity.peer, "error" => %error);
                }
                break;
            }
        }
    }
    end
}

impl EndReason {
    fn of_close(close: Option<&CloseFrame>) -> Self {
        match close {
            Some(frame) if frame.code == CloseCode::Normal => Self::Idle,
            _ => Self::Broken,
        }
    }
}

async fn deliver<M>(shared: &Arc<Shared<M>>, connection: &Arc<PeerConnection<M>>, frame: &Bytes)
where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
{
    let (header, body) = match split(frame) {
        Ok(parts) => parts,
        Err(error) => {
            shared.record_undecodable(&connection.identity.peer, &error);
            return;
        }
    };
    let bytes = wire_bytes(frame.len(), !connection.identity.dialled);
    match header {
        FrameHeader::OneWay => {
            if let Some(message) = decode(shared, connection, body, bytes) {
                let inbound = inbound(connection, message, None);
                drop(shared.inbound.send(inbound).await);
            }
        }
        FrameHeader::Request(id) => take_request(shared, connection, id, body, bytes),
        FrameHeader::Answer(id) => {
            let answer = decode(shared, connection, body, bytes);
            connection.complete_request(id, answer.ok_or(RequestError::Unanswered));
        }
        FrameHeader::Busy(id) => {
            shared.counters.message_in(REFUSAL, bytes);
            connection.complete_request(id, Err(RequestError::Busy));
        }
        FrameHeader::Dropped(id) => {
            shared.counters.message_in(REFUSAL, bytes);
            connection.complete_request(id, Err(RequestError::Unanswered));
        }
    }
}

/// Passes a request to the application, or rejects it immediately.
///
/// It never waits for space in the inbound queue: waiting would keep answers and pongs on this
/// connection from being read, and peers would consider an overloaded instance dead.
fn take_request<M>(
    shared: &Arc<Shared<M>>,
    connection: &Arc<PeerConnection<M>>,
    id: u64,
    body: &[u8],
    bytes: u64,
) where
    M: Serialize + DeserializeOwned + Purpose + Send + 'static,
{
    let admission = connection.admit(shared.cfg.max_unanswered);
    let message = decode(shared, connection, body, bytes);
    if admission == Admission::Ignored {
        return;
    }
    let Some(message) = message else {
        connection.enqueue_refusal(FrameHeader::Dropped(id));
        return;
    };
    let permit = shared.inbound.try_reserve();
    let (Admission::Accepted, Ok(permit)) = (admission, permit) else {
        shared.counters.busy.add(1);
        connection.enqueue_refusal(FrameHeader::Busy(id));
        return;
    };
    let reply = Reply::remote(Arc::clone(shared), Arc::clone(connection), id);
    permit.send(inbound(connection, message, Some(reply)));
}

fn decode<M>(
    shared: &Shared<M>,
    connection: &PeerConnection<M>,
    body: &[u8],
    bytes: u64,
) -> Option<M>
where
    M: DeserializeOwned + Purpose,
{
    match decode_message::<M>(body) {
        Ok(message) => {
            shared.counters.message_in(message.purpose(), bytes);
            Some(message)
        }
        Err(error) => {
            shared.record_undecodable(&connection.identity.peer, &error);
            None
        }
    }
}

fn inbound<M>(connection: &PeerConnection<M>, message: M, reply: Option<Reply<M>>) -> Inbound<M> {
    Inbound::Message(InboundMessage {
        from: connection.identity.peer.clone(),
        message,
        received_at: Instant::now(),
        reply,
    })
}
