//! Passes a target's answer on to the instance that asked for it.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use chervilshunt_engine::{BodyReader, EngineError};
use http_body::{Body, Frame, SizeHint};

use super::pass_on::PassedRequest;

/// The body of an answer to another instance.
#[derive(Debug)]
pub(super) enum TransitBody {
    /// None: the answer states a [`TransitOutcome`](super::TransitOutcome).
    Empty,
    /// A target's body. If it ends early the connection is closed, so that the other instance
    /// can't take it for complete.
    Passed(Box<PassedAnswer>),
}

/// A target's body, and the request that it answers.
#[derive(Debug)]
pub(super) struct PassedAnswer {
    pub(super) body: BodyReader,
    pub(super) _open: PassedRequest,
}

impl Body for TransitBody {
    type Data = Bytes;
    type Error = EngineError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, EngineError>>> {
        match self.get_mut() {
            Self::Empty => Poll::Ready(None),
            Self::Passed(answer) => answer.body.poll_chunk(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Passed(answer) => answer.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Passed(answer) => answer.body.size_hint(),
        }
    }
}
