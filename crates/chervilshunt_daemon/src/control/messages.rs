//! Messages to the control actor.

use chervilshunt_coord::{CallId, PlatformResult};
use chervilshunt_core::{
    CompactAnswer, EngineReport, OrderFailure, OrderId, Permit, PermitAnswer, PermitRequest,
    ReleasedPermit, RequestChecksum,
};
use chervilshunt_mesh::{Inbound, Reply};
use chervilshunt_model::{AdapterVersion, Epoch, InstanceId, TargetName};
use tokio::sync::oneshot;
use xtra::Address;

use super::actor::Control;
use crate::wire::PeerMessage;

/// A traffic thread or a peer asks for a permit.
#[derive(Debug)]
pub(crate) struct AskPermit {
    /// What is asked for.
    pub(crate) req: PermitRequest,
    /// Where the answer goes, now or after a wait in the owner's queue.
    pub(crate) reply: PermitReply,
}

/// Where the answer to a request for a permit goes.
#[derive(Debug)]
pub(crate) enum PermitReply {
    /// To a traffic thread of this process.
    Local(oneshot::Sender<PermitAnswer>),
    /// To a peer, with the check of its request.
    Peer(Reply<PeerMessage>, RequestChecksum),
}

impl PermitReply {
    /// Returns whether nobody can get the answer any more.
    pub(super) fn is_gone(&self) -> bool {
        match self {
            Self::Local(tx) => tx.is_closed(),
            Self::Peer(reply, _) => reply.is_closed(),
        }
    }

    /// Sends the answer; nobody listens any more if the request was withdrawn.
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

/// A traffic thread or a peer gives a permit back; the answer says whether the owner took it.
#[derive(Debug)]
pub(crate) struct ReleasePermit(pub(crate) ReleasedPermit);

/// A peer sent something, or its connection was lost.
#[derive(Debug)]
pub(crate) struct FromPeer(pub(crate) Inbound<PeerMessage>);

/// What a call to an engine brought.
#[derive(Debug)]
pub(super) struct FromEngine {
    /// The engine's target.
    pub(super) target: TargetName,
    /// What it brought.
    pub(super) news: EngineNews,
}

/// What a call to an engine brought.
#[derive(Debug)]
pub(super) enum EngineNews {
    /// An order came to its end.
    OrderEnded(OrderId, Result<(), OrderFailure>),
    /// The adapters that the engine holds.
    Inventory(Vec<AdapterVersion>),
    /// What it reports of itself.
    Looked {
        /// The epoch under which it was looked at.
        epoch: Epoch,
        /// Its load.
        report: EngineReport,
        /// The prefixes that it seems to hold, if it could be asked.
        cached: Option<Vec<u64>>,
    },
    /// It can't be reached.
    Unreachable,
}

/// Time has passed.
#[derive(Debug)]
pub(super) struct Tick;

/// The actor runs: it gets its own address and begins to follow the platform.
#[derive(Debug)]
pub(crate) struct Begin(pub(crate) Address<Control>);

/// A call to the platform has ended.
#[derive(Debug)]
pub(super) struct PlatformAnswered {
    /// The call.
    pub(super) call: CallId,
    /// How it ended.
    pub(super) result: PlatformResult,
}

/// An instance listed the permits that it holds for a target taken over.
#[derive(Debug)]
pub(super) struct HeldBy {
    /// The target.
    pub(super) target: TargetName,
    /// The instance.
    pub(super) instance: InstanceId,
    /// Its permits.
    pub(super) permits: Vec<Permit>,
}

/// Asks what this instance knows of its roles.
#[derive(Debug)]
pub(crate) struct AskFacts;

/// Asks to give all roles away; the receiver is told when that is done.
#[derive(Debug)]
pub(crate) struct Leave;

/// Every request has ended: the lease is given up; the receiver is told when that is done.
#[derive(Debug)]
pub(crate) struct Left;
