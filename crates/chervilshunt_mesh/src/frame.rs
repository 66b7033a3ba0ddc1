//! The layout of a message: a head of one integer, then the CBOR of the message itself.
//!
//! Both are items of a CBOR sequence (RFC 8742). The head holds the kind in its low bits and the
//! request's number above them, so that it takes one byte for a one-way message and one to
//! three for the requests of a connection's usual life.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

use crate::error::{SendError, TooLargeSnafu};

/// Bits of the head that hold the kind.
const KIND_BITS: u32 = 3;
const KIND_MASK: u64 = (1 << KIND_BITS) - 1;

const KIND_ONE_WAY: u64 = 0;
const KIND_REQUEST: u64 = 1;
const KIND_ANSWER: u64 = 2;
const KIND_BUSY: u64 = 3;
const KIND_DROPPED: u64 = 4;

/// The longest head: a CBOR integer of eight bytes after its type.
const MAX_HEAD_BYTES: usize = 9;

/// What a message is to the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Head {
    /// Nobody waits for an answer.
    OneWay,
    /// The sender waits for an answer with this number.
    Request(u64),
    /// The answer to the request with this number.
    Answer(u64),
    /// The request with this number was not looked at.
    Busy(u64),
    /// The request with this number gets no answer.
    Dropped(u64),
}

impl Head {
    const fn to_integer(self) -> u64 {
        let (kind, id) = match self {
            Self::OneWay => (KIND_ONE_WAY, 0),
            Self::Request(id) => (KIND_REQUEST, id),
            Self::Answer(id) => (KIND_ANSWER, id),
            Self::Busy(id) => (KIND_BUSY, id),
            Self::Dropped(id) => (KIND_DROPPED, id),
        };
        (id << KIND_BITS) | kind
    }

    const fn from_integer(value: u64) -> Option<Self> {
        let id = value >> KIND_BITS;
        match value & KIND_MASK {
            KIND_ONE_WAY => Some(Self::OneWay),
            KIND_REQUEST => Some(Self::Request(id)),
            KIND_ANSWER => Some(Self::Answer(id)),
            KIND_BUSY => Some(Self::Busy(id)),
            KIND_DROPPED => Some(Self::Dropped(id)),
            _ => None,
        }
    }
}

/// Why a received frame makes no sense.
#[derive(Debug, Snafu)]
pub(crate) enum FrameError {
    /// The head is no integer, or of no known kind.
    #[snafu(display("the frame has no valid head"))]
    BadHead,
    /// The message is not of the expected type.
    #[snafu(display("the message can't be decoded: {source}"))]
    BadMessage {
        source: ciborium::de::Error<std::io::Error>,
    },
}

/// Writes a message as CBOR.
pub(crate) fn encode_message<M: Serialize>(message: &M, limit: usize) -> Result<Bytes, SendError> {
    let mut buf = Vec::with_capacity(128);
    ciborium::into_writer(message, &mut buf).map_err(|error| SendError::Encode {
        reason: error.to_string(),
    })?;
    let bytes = buf.len();
    ensure!(bytes <= limit, TooLargeSnafu { bytes, limit });
    Ok(buf.into())
}

/// Puts the head before an encoded message; `None` for heads that carry none.
pub(crate) fn assemble(head: Head, message: Option<&Bytes>) -> Bytes {
    let len = message.map_or(0, Bytes::len);
    let mut buf = Vec::with_capacity(MAX_HEAD_BYTES + len);
    ciborium::into_writer(&head.to_integer(), &mut buf)
        .expect("writing an integer to memory can't fail");
    if let Some(message) = message {
        buf.extend_from_slice(message);
    }
    buf.into()
}

/// Splits a frame into its head and the bytes of its message.
pub(crate) fn split(frame: &[u8]) -> Result<(Head, &[u8]), FrameError> {
    let mut rest = frame;
    let value: u64 = ciborium::from_reader(&mut rest).map_err(|_malformed| BadHeadSnafu.build())?;
    let head = Head::from_integer(value).ok_or_else(|| BadHeadSnafu.build())?;
    Ok((head, rest))
}

/// Reads a message.
pub(crate) fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, FrameError> {
    ciborium::from_reader(bytes).context(BadMessageSnafu)
}

/// The most that a frame adds to the longest message.
pub(crate) const MAX_FRAME_OVERHEAD: usize = MAX_HEAD_BYTES;

/// Returns the bytes that a WebSocket frame takes on the connection (RFC 6455, section 5.2).
pub(crate) const fn wire_bytes(payload: usize, masked: bool) -> u64 {
    let length = match payload {
        0..=125 => 0,
        126..=0xffff => 2,
        _ => 8,
    };
    let mask = if masked { 4 } else { 0 };
    (2 + length + mask + payload) as u64
}
