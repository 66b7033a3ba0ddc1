//! What can go wrong, told apart by whether the message may have been handled.

use std::net::SocketAddr;

use chervilshunt_model::InstanceId;
use snafu::Snafu;

/// Why a mesh could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum MeshError {
    /// The address for peers can't be listened on.
    #[snafu(display("can't listen for peers on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The instance id does not fit into a header.
    #[snafu(display("the instance id {instance} has characters other than visible ASCII"))]
    BadInstance {
        /// The id.
        instance: InstanceId,
    },
}

/// Why a message did not leave this process.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum SendError {
    /// Too many messages wait for the same peer.
    #[snafu(display("{limit} messages already wait for {instance}"))]
    QueueFull {
        /// The peer.
        instance: InstanceId,
        /// The bound.
        limit: usize,
    },
    /// The message is longer than the limit.
    #[snafu(display("the message takes {bytes} bytes, more than the limit of {limit}"))]
    TooLarge {
        /// Its length.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// The message can't be written as CBOR.
    #[snafu(display("the message can't be encoded: {reason}"))]
    Encode {
        /// What the codec said.
        reason: String,
    },
    /// No connection can be opened now.
    #[snafu(display("{instance} at {address} can't be reached: {reason}"))]
    Unreachable {
        /// The peer.
        instance: InstanceId,
        /// Where it was looked for.
        address: SocketAddr,
        /// What happened, the last time it was tried.
        reason: String,
    },
    /// Another instance listens at the address, or one of another protocol version.
    #[snafu(display("{address} does not answer as {instance}: {reason}"))]
    WrongPeer {
        /// The peer that was meant.
        instance: InstanceId,
        /// Where it was looked for.
        address: SocketAddr,
        /// What the other side said.
        reason: String,
    },
    /// All connections are in use, and there may be no more of them.
    #[snafu(display("all {limit} connections are in use"))]
    TooManyConnections {
        /// The bound.
        limit: usize,
    },
    /// The connection ended before the message was written.
    #[snafu(display("the connection to {instance} ended before the message was written"))]
    ConnectionEnded {
        /// The peer.
        instance: InstanceId,
    },
    /// The time for an answer ran out before the message was written.
    #[snafu(display("the message to {instance} was not written in time"))]
    Late {
        /// The peer.
        instance: InstanceId,
    },
    /// The mesh has been shut down.
    #[snafu(display("the mesh has been shut down"))]
    ShutDown,
}

/// Why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum RequestError {
    /// The request never left this process.
    #[snafu(display("not sent: {source}"))]
    NotSent {
        /// Why not.
        source: SendError,
    },
    /// The peer had too many messages waiting, and did not look at this one.
    #[snafu(display("the peer is overloaded and did not handle the request"))]
    Busy,
    /// The connection was lost after the request may have left: it may have been handled.
    #[snafu(display("the connection was lost before the answer"))]
    Lost,
    /// No answer came in time: the request may have been or may yet be handled.
    #[snafu(display("no answer in time"))]
    Timeout,
    /// The peer took the request and gave up on it without an answer.
    #[snafu(display("the peer gave no answer"))]
    Unanswered,
}

impl RequestError {
    /// Returns whether the peer's application has certainly not seen the request.
    pub const fn is_unhandled(&self) -> bool {
        match self {
            Self::NotSent { .. } | Self::Busy => true,
            Self::Lost | Self::Timeout | Self::Unanswered => false,
        }
    }
}
