//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use snafu::Snafu;

use super::relay::Relay;

/// An answer that ends before it is complete. The HTTP library then closes the connection, so the
/// caller can't mistake the partial answer for a complete one.
#[derive(Debug, Snafu)]
#[snafu(display("{reason}"))]
pub(crate) struct TruncatedAnswer {
    pub(crate) reason: &'static str,
}

/// The body of an answer to a caller.
#[derive(Debug)]
pub(crate) enum ReplyBody {
    /// A body of this instance's own.
    Own(Full<Bytes>),
    /// A target's body, passed on as it arrives.
    Relayed(Box<Relay>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        match self.get_mut() {
            Self::Own(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Relayed(relay) => relay.poll_piece(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(body) => body.is_end_stream(),
            Self::Relayed(relay) => relay.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(body) => body.size_hint(),
            Self::Relayed(relay) => relay.size_hint(),
        }
    }
}
