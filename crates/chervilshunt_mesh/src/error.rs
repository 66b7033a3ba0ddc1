//! Errors, separated by whether the peer may have handled the message.

use std::net::SocketAddr;

use chervilshunt_model::InstanceId;
use snafu::Snafu;

/// Why a mesh could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum MeshError {
    /// The listening address for peers cannot be bound.
    #[snafu(display("cannot listen for peers on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error from the operating system.
        source: std::io::Error,
    },
    /// The address of the listening socket cannot be determined.
    #[snafu(display("cannot determine the address of the listening socket: {source}"))]
    LocalAddress {
        /// The error from the operating system.
        source: std::io::Error,
    },
    /// The instance id cannot be used as a header value.
    #[snafu(display("the instance id {instance} has characters other than visible ASCII"))]
    BadInstance {
        /// The id.
        instance: InstanceId,
    },
}

/// Why a message was not sent.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum SendError {
    /// The queue of messages for the peer is full.
    #[snafu(display("the queue for {instance} is full ({limit} messages)"))]
    QueueFull {
        /// The peer.
        instance: InstanceId,
        /// The capacity of the queue, in messages.
        limit: usize,
    },
    /// The message exceeds the size limit.
    #[snafu(display("the message has {bytes} bytes, more than the limit of {limit}"))]
    TooLarge {
        /// The size of the message, in bytes of CBOR.
        bytes: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The message cannot be encoded as CBOR.
    #[snafu(display("cannot encode the message: {reason}"))]
    Encode {
        /// The encoder's error.
        reason: String,
    },
    /// No connection could be opened, or the backoff after a failed attempt has not ended.
    #[snafu(display("cannot connect to {instance} at {address}: {reason}"))]
    Unreachable {
        /// The peer.
        instance: InstanceId,
        /// The address that was tried.
        address: SocketAddr,
        /// The error of the last attempt.
        reason: String,
    },
    /// A different instance, or one with a different protocol version, listens at the address.
    #[snafu(display("{address} does not answer as {instance}: {reason}"))]
    WrongPeer {
        /// The expected peer.
        instance: InstanceId,
        /// The address that was tried.
        address: SocketAddr,
        /// The reason that the other side gave, or why its handshake was invalid.
        reason: String,
    },
    /// The limit of open connections is reached, and none of them is idle.
    #[snafu(display("all {limit} connections are in use"))]
    TooManyConnections {
        /// The maximum number of connections.
        limit: usize,
    },
    /// The connection ended before the message was written.
    #[snafu(display("the connection to {instance} ended before the message was written"))]
    ConnectionEnded {
        /// The peer.
        instance: InstanceId,
    },
    /// The request timed out before it was written.
    #[snafu(display("the request to {instance} timed out before it was written"))]
    Late {
        /// The peer.
        instance: InstanceId,
    },
    /// The mesh has been shut down.
    #[snafu(display("the mesh has been shut down"))]
    ShutDown,
}

/// Why a request got no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum RequestError {
    /// The request was not sent.
    #[snafu(display("not sent: {source}"))]
    NotSent {
        /// The reason.
        source: SendError,
    },
    /// The peer had too many waiting messages and rejected the request without handling it.
    #[snafu(display("the peer is overloaded and did not handle the request"))]
    Busy,
    /// The connection was lost after the request may have been sent; it may have been handled.
    #[snafu(display("the connection was lost before the answer"))]
    Lost,
    /// No answer arrived in time; the request may have been handled, or may still be.
    #[snafu(display("timed out waiting for an answer"))]
    Timeout,
    /// The peer received the request and dropped it without an answer; it may have been handled.
    #[snafu(display("the peer dropped the request without an answer"))]
    Unanswered,
}

impl RequestError {
    /// Returns whether it is certain that the peer's application has not received the request.
    pub const fn is_unhandled(&self) -> bool {
        match self {
            Self::NotSent { .. } | Self::Busy => true,
            Self::Lost | Self::Timeout | Self::Unanswered => false,
        }
    }
}
