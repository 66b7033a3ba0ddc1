//! Messages to the control actor.

use chervilshunt_coord::{CallId, PlatformResult};
use chervilshunt_core::{
    AdapterReport, CompactAnswer, EngineReport, OrderFailure, OrderId, Permit, PermitAnswer,
    PermitRequest, ReleasedPermit, RequestChecksum,
};
use chervilshunt_mesh::{Inbound, Reply};
use chervilshunt_model::{AdapterVersion, Epoch, InstanceId, TargetName};
use tokio::sync::oneshot;
use xtra::Address;

use super::actor::Control;
use crate::wire::PeerMessage;

/// A request for a permit, from a traffic thread or a peer.
#[derive(Debug)]
pub(crate) struct RequestPermit {
    /// The request.
    pub(crate) req: PermitRequest,
    /// The channel for the answer, which may come only after a wait in the owner's queue.
    pub(crate) reply: PermitReply,
}

/// The reply channel of a permit request.
#[derive(Debug)]
pub(crate) enum PermitReply {
    /// Answers a traffic thread of this process.
    Local(oneshot::Sender<PermitAnswer>),
    /// Answers a peer, with the checksum of its request.
    Peer(Reply<PeerMessage>, RequestChecksum),
}

impl PermitReply {
    /// Returns whether the receiver of the answer is gone.
    pub(super) fn is_gone(&self) -> bool {
        match self {
            Self::Local(tx) => tx.is_closed(),
            Self::Peer(reply, _) => reply.is_closed(),
        }
    }

    /// Sends the answer. It is dropped if the request has been withdrawn.
    pub(crate) fn send(self, answer: PermitAnswer) {
        match self {
            Self::Local(tx) => drop(tx.send(answer)),
            Self::Peer(reply, check) => {
                let answer = CompactAnswer::of(answer, check);
                drop(reply.send(PeerMessage::PermitAnswered(answer)));
            }
        }
    }
}

/// Releases a permit of a traffic thread or a peer.
///
/// The answer is whether this instance owns the target.
#[derive(Debug)]
pub(crate) struct ReleasePermit(pub(crate) ReleasedPermit);

/// A message from a peer, or the loss of its connection.
#[derive(Debug)]
pub(crate) struct FromPeer(pub(crate) Inbound<PeerMessage>);

/// The result of a call to a target's engine.
#[derive(Debug)]
pub(super) struct FromEngine {
    /// The target.
    pub(super) target: TargetName,
    /// The result.
    pub(super) update: EngineUpdate,
}

/// A result of a call to an engine.
#[derive(Debug)]
pub(super) enum EngineUpdate {
    /// An order ended.
    OrderEnded(OrderId, Result<(), OrderFailure>),
    /// The adapters that the engine holds.
    Inventory(Vec<AdapterVersion>),
    /// The engine reported its load.
    Polled {
        /// The epoch under which this instance polled the engine.
        epoch: Epoch,
        /// The load report.
        report: EngineReport,
        /// The adapters in use; `None` if the report does not show them or when it was taken.
        adapters: Option<AdapterReport>,
        /// The prefixes that it has cached according to its events, if they could be read.
        cached: Option<Vec<u64>>,
    },
    /// The engine is unreachable.
    Unreachable,
}

/// Time has passed.
#[derive(Debug)]
pub(super) struct Tick;

/// Gives the actor its own address, and starts its timer and its watches of the platform.
#[derive(Debug)]
pub(crate) struct Begin(pub(crate) Address<Control>);

/// The result of a call to the platform.
#[derive(Debug)]
pub(super) struct PlatformAnswered {
    /// The call.
    pub(super) call: CallId,
    /// Its result.
    pub(super) result: PlatformResult,
}

/// An instance reported the permits that it holds for a target that was taken over.
#[derive(Debug)]
pub(super) struct PermitReport {
    /// The target.
    pub(super) target: TargetName,
    /// The instance.
    pub(super) instance: InstanceId,
    /// Its permits.
    pub(super) permits: Vec<Permit>,
}

/// Reads the state of this instance and its roles, for operators.
#[derive(Debug)]
pub(crate) struct GetFacts;

/// Starts a graceful shutdown by handing over all roles.
///
/// The answer is a channel that is notified when this instance holds no role any more.
#[derive(Debug)]
pub(crate) struct HandOverRoles;

/// Ends the lease of this instance, once its last request has ended in a graceful shutdown.
///
/// The answer is a channel that is notified when the lease has ended.
#[derive(Debug)]
pub(crate) struct EndLease;
