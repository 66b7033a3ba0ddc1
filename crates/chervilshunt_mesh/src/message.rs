//! Messages as the application sees them.

use std::sync::Arc;

use chervilshunt_model::InstanceId;
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::connection::Connection;
use crate::error::{RequestError, SendError};
use crate::frame::Head;
use crate::shared::Shared;

/// Says what a message is for, so that its bytes can be attributed.
pub trait Purpose {
    /// Returns a short name that is the same for all messages of a kind.
    fn purpose(&self) -> &'static str;
}

/// What comes in from peers.
#[derive(Debug)]
pub enum Inbound<M> {
    /// A peer sent a message.
    Message(InboundMessage<M>),
    /// The connection to a peer broke: whatever was under way in either direction is lost.
    ///
    /// It comes after the last message of the broken connection and before the first one of
    /// the next. A connection that was closed because it was idle is not reported: nothing
    /// was under way. Requests that waited for the peer have failed already.
    Lost(InstanceId),
}

/// A message of a peer.
#[derive(Debug)]
pub struct InboundMessage<M> {
    /// The instance that sent it.
    pub from: InstanceId,
    /// What it says.
    pub message: M,
    /// When it was read from its connection; it may wait long for an application that is overloaded.
    pub received_at: Instant,
    /// Where the answer goes; none for a one-way message.
    pub reply: Option<Reply<M>>,
}

/// Where the answer to a request goes.
///
/// Dropping it tells the peer at once that there will be no answer.
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

    /// Returns whether nobody waits for the answer any more, as the connection is gone.
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
    /// Fails if the peer can't get it any more, or if it is too long. The peer learns so by itself:
    /// its request fails with the connection, or right away.
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
            Some(Way::Remote { connection, id, .. }) => connection.give_up(Head::Dropped(id)),
            Some(Way::Local(tx)) => {
                drop(tx.send(Err(RequestError::Unanswered)));
            }
            None => {}
        }
    }
}
