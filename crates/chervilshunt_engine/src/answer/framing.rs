//! What marks the end of an answer's body.

use http::response::Parts;
use http::{StatusCode, header};

/// What marks the end of an answer's body, according to its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The head states the length, or that there is no body.
    Length,
    /// The last chunk.
    Chunked,
    /// The end of the connection.
    Connection,
}

impl Framing {
    pub(crate) fn of(head: &Parts) -> Self {
        let is_bodyless = matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        let coding = head.headers.get_all(header::TRANSFER_ENCODING);
        let coding = coding.iter().next_back().map(http::HeaderValue::as_bytes);
        let is_chunked = coding.is_some_and(|it| it.to_ascii_lowercase().ends_with(b"chunked"));
        if is_chunked {
            Self::Chunked
        } else if is_bodyless
            || (coding.is_none() && head.headers.contains_key(header::CONTENT_LENGTH))
        {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}
