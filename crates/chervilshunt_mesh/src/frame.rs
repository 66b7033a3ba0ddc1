//! The frame layout: a header of one integer, followed by the message in CBOR.
//!
//! Both are items of a CBOR sequence (RFC 8742). The header holds the frame kind in its low bits
//! and the request number above them. It takes one byte for a one-way message and one to three
//! bytes for the request numbers that a connection usually reaches.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

use crate::error::{SendError, TooLargeSnafu};

/// The number of low bits of the header that hold the frame kind.
const KIND_BITS: u32 = 3;
const KIND_MASK: u64 = (1 << KIND_BITS) - 1;

const KIND_ONE_WAY: u64 = 0;
const KIND_REQUEST: u64 = 1;
const KIND_ANSWER: u64 = 2;
const KIND_BUSY: u64 = 3;
const KIND_DROPPED: u64 = 4;

/// The maximum size of a header: a CBOR type byte and an integer of eight bytes.
const FRAME_HEADER_MAX_BYTES: usize = 9;

/// The header of a frame: its kind and, except for one-way messages, the request number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameHeader {
    /// A message without an answer.
    OneWay,
    /// A request; its answer carries the same number.
    Request(u64),
    /// The answer to the request with this number.
    Answer(u64),
    /// The request with this number was rejected without being handled.
    Busy(u64),
    /// The request with this number gets no answer; it may have been handled.
    Dropped(u64),
}

impl FrameHeader {
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

/// Why a received frame could not be decoded.
#[derive(Debug, Snafu)]
pub(crate) enum FrameError {
    /// The header is not an integer, or its kind is unknown.
    #[snafu(display("the frame has no valid header"))]
    BadHeader,
    /// The message is not of the expected type.
    #[snafu(display("cannot decode the message: {source}"))]
    BadMessage {
        source: ciborium::de::Error<std::io::Error>,
    },
}

/// Encodes a message as CBOR.
///
/// # Errors
/// Fails if the message cannot be encoded or has more than `limit` bytes.
pub(crate) fn encode_message<M: Serialize>(message: &M, limit: usize) -> Result<Bytes, SendError> {
    let mut buf = Vec::with_capacity(128);
    ciborium::into_writer(message, &mut buf).map_err(|error| SendError::Encode {
        reason: error.to_string(),
    })?;
    let bytes = buf.len();
    ensure!(bytes <= limit, TooLargeSnafu { bytes, limit });
    Ok(buf.into())
}

/// Assembles a frame from its header and, for kinds that carry one, an encoded message.
pub(crate) fn assemble(header: FrameHeader, message: Option<&Bytes>) -> Bytes {
    let len = message.map_or(0, Bytes::len);
    let mut buf = Vec::with_capacity(FRAME_HEADER_MAX_BYTES + len);
    ciborium::into_writer(&header.to_integer(), &mut buf)
        .expect("writing an integer to memory cannot fail");
    if let Some(message) = message {
        buf.extend_from_slice(message);
    }
    buf.into()
}

/// Splits a frame into its header and the bytes of its message.
pub(crate) fn split(frame: &[u8]) -> Result<(FrameHeader, &[u8]), FrameError> {
    let mut rest = frame;
    let value: u64 =
        ciborium::from_reader(&mut rest).map_err(|_malformed| BadHeaderSnafu.build())?;
    let header = FrameHeader::from_integer(value).ok_or_else(|| BadHeaderSnafu.build())?;
    Ok((header, rest))
}

/// Decodes a message.
pub(crate) fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, FrameError> {
    ciborium::from_reader(bytes).context(BadMessageSnafu)
}

/// The maximum number of bytes that a frame adds to its message.
pub(crate) const MAX_FRAME_OVERHEAD: usize = FRAME_HEADER_MAX_BYTES;

/// Returns the size in bytes of a WebSocket frame with the given payload (RFC 6455, section 5.2).
pub(crate) const fn wire_bytes(payload: usize, masked: bool) -> u64 {
    let length = match payload {
        0..=125 => 0,
        126..=0xffff => 2,
        _ => 8,
    };
    let mask = if masked { 4 } else { 0 };
    (2 + length + mask + payload) as u64
}
