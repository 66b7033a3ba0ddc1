//! The message types that the application uses.

use std::sync::Arc;

use chervilshunt_model::InstanceId;
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::connection::Connection;
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
    /// The handle for the answer; `None` for a one-way message.
    pub reply: Option<Reply<M>>,
}

/// The handle that answers a request.
///
/// Dropping it notifies the peer immediately that there will be no answer.
#[derive(Debug)]
pub struct Reply<M> {
    way: Option<Way<M>>,
}

#[derive(Debug)]
enum Way<M> {
    Remote {
        shared: Arc<Shared<M>>,
        connection: Arc<Connection<M>>,
        id: u64,
    },
    Local(oneshot::Sender<Result<M, RequestError>>),
}

impl<M> Reply<M> {
    pub(crate) fn remote(shared: Arc<Shared<M>>, connection: Arc<Connection<M>>, id: u64) -> Self {
        Self {
            way: Some(Way::Remote {
                shared,
                connection,
                id,
            }),
        }
    }

    pub(crate) fn local(tx: oneshot::Sender<Result<M, RequestError>>) -> Self {
        Self {
            way: Some(Way::Local(tx)),
        }
    }

    /// Returns whether the answer can no longer be delivered, as the connection has ended or a
    /// local sender no longer waits.
    pub fn is_closed(&self) -> bool {
        match &self.way {
            Some(Way::Remote { connection, .. }) => connection.is_done(),
            Some(Way::Local(tx)) => tx.is_closed(),
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
        match self.way.take() {
            Some(Way::Remote {
                shared,
                connection,
                id,
            }) => shared.answer(&connection, id, &message),
            Some(Way::Local(tx)) => tx.send(Ok(message)).map_err(|_answer| SendError::ShutDown),
            None => Ok(()),
        }
    }
}

impl<M> Drop for Reply<M> {
    fn drop(&mut self) {
        match self.way.take() {
            Some(Way::Remote { connection, id, .. }) => {
                connection.give_up(FrameHeader::Dropped(id))
            }
            Some(Way::Local(tx)) => {
                drop(tx.send(Err(RequestError::Unanswered)));
            }
            None => {}
        }
    }
}
