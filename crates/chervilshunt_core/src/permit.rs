//! What an entry instance asks of a target's owner, and what it is told.
//!
//! These messages are most of the control traffic, which has a budget of bytes a request. So they
//! are written as their members' positions or one-letter names: field names would take more
//! than the values; and requests and answers go between instances in the forms of `compact`. A
//! change of members is a change of the protocol; `docs/design/mesh.md` has the bytes.

mod compact;

use chervilshunt_model::{
    AdapterVersion, AttemptId, CallerName, Class, Epoch, InstanceId, TargetName,
};
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use smallvec::SmallVec;

pub use compact::{AnswerCheck, CompactAnswer, CompactRequest, CrossedAnswer};

/// Asks the owner of `target` for leave to send one attempt of a request there.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitRequest {
    /// The try; asking twice with the same id gives one permit.
    pub attempt: AttemptId,
    /// The instance that the caller is connected to.
    pub entry: InstanceId,
    /// The target that the entry instance ranked first, or was redirected to.
    pub target: TargetName,
    /// The adapter version; none for a plain service or for the base model alone.
    pub model: Option<AdapterVersion>,
    /// Whether the request has to be prompt.
    pub class: Class,
    /// The weight of its priority within the class, at least 1.
    pub weight: u32,
    /// The unit of fairness.
    pub caller: CallerName,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The most tokens that may be generated.
    pub max_tokens: u32,
    /// A hash of the start of the prompt, for prefix-cache affinity.
    pub prefix: u64,
    /// How often the request has been redirected; an owner doesn't redirect beyond its bound.
    pub hops: u8,
    /// Targets that have failed this request or sent it on; an owner never sends it to one of them.
    pub avoid: SmallVec<[TargetName; 4]>,
}

/// Leave to send one attempt to one target.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Permit {
    /// The try that it is for.
    pub attempt: AttemptId,
    /// The instance that may use it.
    pub entry: InstanceId,
    /// The target that the attempt may go to.
    pub target: TargetName,
    /// The adapter version, pinned in its slot until the permit is released.
    pub model: Option<AdapterVersion>,
    /// The class it was granted for.
    pub class: Class,
    /// The fencing number of the owner that issued it.
    pub epoch: Epoch,
    /// The time after its arrival within which the call has to be opened, in milliseconds.
    pub window_ms: u64,
}

/// What the owner answers to a [`PermitRequest`].
///
/// There is no "queued" answer: while the owner queues a request it stays silent, and a lost
/// connection tells the entry instance to ask again. That keeps it at one message pair a request.
#[derive(Clone, Debug, PartialEq)]
pub enum PermitAnswer {
    /// Go ahead.
    Granted {
        /// The permit.
        permit: Permit,
        /// Targets over which the adapter is spread now; a hint for later requests.
        ///
        /// The first is the one to ask next time, for a few seconds: the first-ranked target, or
        /// the one that stands in for it. Asking the others directly would hide demand from the
        /// owner that decides how far the adapter is spread.
        spread: SmallVec<[TargetName; 4]>,
    },
    /// Ask the owner of another target.
    Redirect {
        /// The targets to ask, best first.
        targets: SmallVec<[TargetName; 4]>,
    },
    /// Nothing ran and nothing will.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When asking again is worth it, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Why an owner refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The queue is at its bound.
    QueueFull,
    /// The deadline can't be kept or has passed.
    Deadline,
    /// The adapter could not be loaded, after its bounded number of tries.
    LoadFailed,
    /// The target takes no new work.
    Draining,
    /// The instance asked does not own the target, or may not decide for it now.
    NotOwner,
    /// The target is down.
    TargetDown,
    /// The target fails what it is sent, so that nothing more goes there for now.
    TargetFailing,
}

impl RefusalReason {
    /// Returns the name that problem documents and logs use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::Deadline => "deadline",
            Self::LoadFailed => "load_failed",
            Self::Draining => "draining",
            Self::NotOwner => "not_owner",
            Self::TargetDown => "target_down",
            Self::TargetFailing => "target_failing",
        }
    }
}

/// Gives a permit back, or withdraws a request that is still queued.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct ReleasedPermit {
    /// The try.
    pub attempt: AttemptId,
    /// The target whose owner issued it.
    pub target: TargetName,
    /// What became of the call.
    pub outcome: ReleaseOutcome,
}

/// What became of a call that a permit was used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    /// The whole answer arrived.
    #[serde(rename = "f")]
    Finished {
        /// Tokens generated.
        #[serde(rename = "t")]
        tokens: u32,
        /// Time from opening the call to the first byte of the answer, in milliseconds.
        #[serde(rename = "f")]
        first_byte_ms: u32,
        /// Time from opening the call to its end, in milliseconds.
        #[serde(rename = "a")]
        total_ms: u32,
    },
    /// The caller went away, or the request was withdrawn before it was granted.
    #[serde(rename = "c")]
    Cancelled,
    /// The target could not be reached, failed, or broke off.
    #[serde(rename = "t")]
    TargetFailed,
    /// The target had not answered at the caller's deadline.
    #[serde(rename = "o")]
    TimedOut,
    /// The target said that it does not hold the adapter.
    #[serde(rename = "m")]
    AdapterMissing,
}
