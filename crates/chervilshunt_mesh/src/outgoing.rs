//! Messages that wait to be written to a peer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering::SeqCst};

use bytes::Bytes;
use tokio::sync::oneshot;

use crate::error::{RequestError, SendError};
use crate::frame::FrameHeader;

/// The purpose under which refusals of requests are counted.
pub(crate) const REFUSAL: &str = "refusal";

/// A message that waits to be written.
#[derive(Debug)]
pub(crate) enum Outgoing<M> {
    /// A message without an answer.
    OneWay { body: Bytes, purpose: &'static str },
    /// A message whose sender waits for an answer.
    Request(OutgoingRequest<M>),
    /// An answer to a peer's request, or the refusal of one.
    Answer {
        header: FrameHeader,
        body: Option<Bytes>,
        purpose: &'static str,
    },
}

impl<M> Outgoing<M> {
    /// Fails a message that was certainly not written.
    ///
    /// Returns whether it was dropped without notifying a sender.
    pub(crate) fn fail(self, source: SendError) -> bool {
        match self {
            Self::OneWay { .. } | Self::Answer { .. } => true,
            Self::Request(req) => {
                req.complete(Err(RequestError::NotSent { source }));
                false
            }
        }
    }
}

/// A request that waits to be written, or for its answer.
#[derive(Debug)]
pub(crate) struct OutgoingRequest<M> {
    pub(crate) body: Bytes,
    pub(crate) purpose: &'static str,
    pub(crate) state: Arc<RequestState>,
    answer: oneshot::Sender<Result<M, RequestError>>,
}

impl<M> OutgoingRequest<M> {
    pub(crate) fn new(
        body: Bytes,
        purpose: &'static str,
    ) -> (Self, oneshot::Receiver<Result<M, RequestError>>) {
        let (tx, rx) = oneshot::channel();
        let req = Self {
            body,
            purpose,
            state: Arc::new(RequestState::new()),
            answer: tx,
        };
        (req, rx)
    }

    /// Sends the result to the waiting sender, or discards it if the sender no longer waits.
    pub(crate) fn complete(self, result: Result<M, RequestError>) {
        drop(self.answer.send(result));
    }

    pub(crate) fn is_abandoned(&self) -> bool {
        self.answer.is_closed()
    }
}

const QUEUED: u8 = 0;
const WRITTEN: u8 = 1;
const ABANDONED: u8 = 2;

/// Whether a request may have been written, shared between its sender and the writer.
///
/// The state is a single atomic. Otherwise a sender that times out could report a request as not
/// sent at the moment the writer sends it, and the caller would receive a false "not run".
#[derive(Debug)]
pub(crate) struct RequestState(AtomicU8);

impl RequestState {
    const fn new() -> Self {
        Self(AtomicU8::new(QUEUED))
    }

    /// Claims the request for writing; returns false if its sender has abandoned it.
    pub(crate) fn claim(&self) -> bool {
        self.0
            .compare_exchange(QUEUED, WRITTEN, SeqCst, SeqCst)
            .is_ok()
    }

    /// Marks a written request as queued again, as the peer has certainly not handled it.
    pub(crate) fn requeue(&self) {
        let _ = self.0.compare_exchange(WRITTEN, QUEUED, SeqCst, SeqCst);
    }

    /// Abandons the request; returns whether it has not been written and never will be.
    pub(crate) fn abandon(&self) -> bool {
        self.0
            .compare_exchange(QUEUED, ABANDONED, SeqCst, SeqCst)
            .is_ok()
    }
}
