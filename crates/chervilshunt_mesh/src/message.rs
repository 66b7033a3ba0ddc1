//! The message types that the application uses.

use std::sync::Arc;

use chervilshunt_model::InstanceId;
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::connection::PeerConnection;
use crate::error::{RequestError, SendError};
use crate::frame::FrameHeader;
use crate::shared::Shared;

/// The purpose of a message, to which its bytes are attributed in metrics.
pub trait Purpose {
    /// Returns a short name that is the same for all messages of a kind.
    fn purpose(&self) -> &'static str;
}

/// An event from a peer.
#[derive(Debug)]
pub enum Inbound<M> {
    /// A peer sent a message.
    Message(InboundMessage<M>),
    /// The connection to a peer failed; messages in flight in either direction may be lost.
    ///
    /// This event follows the last message of the failed connection and precedes the first one of
    /// the next connection. The closing of an idle connection is not reported, as no message was
    /// in flight. Pending requests to the peer have already failed.
    Lost(InstanceId),
}

/// A message from a peer.
#[derive(Debug)]
pub struct InboundMessage<M> {
    /// The instance that sent it.
    pub from: InstanceId,
    /// The message.
    pub message: M,
    /// When it was read from its connection; an overloaded application may take it much later.
    pub received_at: Instant,
    /// The handle for the answer; `None` for a one-channel message.
    pub reply: Option<Reply<M>>,
}

/// The handle that answers a request.
///
/// Dropping it notifies the peer immediately that there will be no answer.
#[derive(Debug)]
pub struct Reply<M> {
    channel: Option<ReplyChannel<M>>,
}

#[derive(Debug)]
enum ReplyChannel<M> {
    Remote {
        shared: Arc<Shared<M>>,
        connection: Arc<PeerConnection<M>>,
        id: u64,
    },
    Local(oneshot::Sender<Result<M, RequestError>>),
}

impl<M> Reply<M> {
    pub(crate) fn remote(
        shared: Arc<Shared<M>>,
        connection: Arc<PeerConnection<M>>,
        id: u64,
    ) -> Self {
        Self {
            channel: Some(ReplyChannel::Remote {
                shared,
                connection,
                id,
            }),
        }
    }

    pub(crate) fn local(tx: oneshot::Sender<Result<M, RequestError>>) -> Self {
        Self {
            channel: Some(ReplyChannel::Local(tx)),
        }
    }

    /// Returns whether the answer can no longer be delivered, as the connection has ended or a
    /// local sender no longer waits.
    pub fn is_closed(&self) -> bool {
        match &self.channel {
            Some(ReplyChannel::Remote { connection, .. }) => connection.is_done(),
            Some(ReplyChannel::Local(tx)) => tx.is_closed(),
            None => true,
        }
    }
}

impl<M: Serialize + Purpose> Reply<M> {
    /// Sends the answer.
    ///
    /// # Errors
    /// Fails if the connection has ended, or if the answer is too large or cannot be encoded. The
    /// peer needs no further notification: its request fails with the connection, or immediately.
    pub fn send(mut self, message: M) -> Result<(), SendError> {
        match self.channel.take() {
            Some(ReplyChannel::Remote {
                shared,
                connection,
                id,
            }) => shared.answer(&connection, id, &message),
            Some(ReplyChannel::Local(tx)) => {
                tx.send(Ok(message)).map_err(|_answer| SendError::ShutDown)
            }
            None => Ok(()),
        }
    }
}

impl<M> Drop for Reply<M> {
    fn drop(&mut self) {
        match self.channel.take() {
            Some(ReplyChannel::Remote { connection, id, .. }) => {
                connection.enqueue_refusal(FrameHeader::Dropped(id))
            }
            Some(ReplyChannel::Local(tx)) => {
                drop(tx.send(Err(RequestError::Unanswered)));
            }
            None => {}
        }
    }
}
