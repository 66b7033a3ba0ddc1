//! Messages between an entry instance and a target's owner.
//!
//! These messages make up most of the control traffic, which has a budget of bytes per request.
//! They are therefore serialized by position or with one-letter names, because field names would
//! take more space than the values. Requests and answers travel between instances in the forms of
//! `compact`. Any change of fields changes the protocol; `docs/design/mesh.md` lists the bytes.

mod compact;

use chervilshunt_model::{
    AdapterVersion, AttemptId, CallerName, Class, Epoch, InstanceId, TargetName,
};
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use smallvec::SmallVec;

pub use compact::{CompactAnswer, CompactRequest, MismatchedAnswer, RequestChecksum};

/// Asks the owner of `target` for permission to send one attempt of a request there.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitRequest {
    /// The attempt. Repeating a request with the same id yields the same permit.
    pub attempt: AttemptId,
    /// The instance that the caller is connected to.
    pub entry: InstanceId,
    /// The target that the entry instance ranked first or was redirected to.
    pub target: TargetName,
    /// The adapter version, or `None` for a plain service or for the base model alone.
    pub model: Option<AdapterVersion>,
    /// Whether the request is live or deferrable.
    pub class: Class,
    /// The weight of the request's priority within its class, at least 1.
    pub weight: u32,
    /// The caller, between which permits are shared fairly.
    pub caller: CallerName,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens that may be generated.
    pub max_tokens: u32,
    /// A hash of the start of the prompt, for prefix-cache affinity.
    pub prefix: u64,
    /// Number of times that the request has been redirected, which owners limit.
    pub hops: u8,
    /// Targets that failed this request or redirected it. An owner never redirects the request to
    /// one of them.
    pub avoid: SmallVec<[TargetName; 4]>,
}

/// Permission to send one attempt to one target.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Permit {
    /// The attempt that the permit is for.
    pub attempt: AttemptId,
    /// The instance that may use the permit.
    pub entry: InstanceId,
    /// The target that the attempt may be sent to.
    pub target: TargetName,
    /// The adapter version, which stays pinned in its slot until the permit is released.
    pub model: Option<AdapterVersion>,
    /// The class that the permit was granted for.
    pub class: Class,
    /// The fencing number of the owner that granted the permit.
    pub epoch: Epoch,
    /// The time after the permit's arrival within which the call must be opened, in milliseconds.
    pub window_ms: u64,
}

/// An owner's answer to a [`PermitRequest`].
///
/// There is no "queued" answer. An owner sends nothing while it queues a request, and a lost
/// connection causes the entry instance to ask again. This keeps the cost at one message pair per
/// request.
#[derive(Clone, Debug, PartialEq)]
pub enum PermitAnswer {
    /// The attempt may be sent.
    Granted {
        /// The permit.
        permit: Permit,
        /// Targets that the adapter is currently spread over; a hint for later requests.
        ///
        /// For a few seconds the next requests should ask the first one, which is the first-ranked
        /// target or its substitute. Asking the others directly would hide demand from the owner
        /// that decides how far the adapter is spread.
        spread: SmallVec<[TargetName; 4]>,
    },
    /// The owner of another target should be asked.
    Redirect {
        /// The targets to ask, best first.
        targets: SmallVec<[TargetName; 4]>,
    },
    /// The request was not run and will not be run.
    Refused {
        /// The reason for the refusal.
        reason: RefusalReason,
        /// The time after which it is worth asking again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// The reason why an owner refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The queue is full.
    QueueFull,
    /// The deadline has passed or can't be met.
    Deadline,
    /// The adapter could not be loaded within the bounded number of attempts.
    LoadFailed,
    /// The target accepts no new work.
    Draining,
    /// The instance does not own the target, or may not make decisions for it now.
    NotOwner,
    /// The target is down.
    TargetDown,
    /// Calls to the target fail, and its circuit breaker lets none through for now.
    TargetFailing,
}

impl RefusalReason {
    /// Returns the name used in problem documents and logs.
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

/// Returns a permit, or withdraws a request that is still queued.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct ReleasedPermit {
    /// The attempt.
    pub attempt: AttemptId,
    /// The target whose owner granted the permit or queued the request.
    pub target: TargetName,
    /// How the call ended.
    pub outcome: ReleaseOutcome,
}

/// How a call made with a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    /// The complete answer arrived.
    #[serde(rename = "f")]
    Finished {
        /// Number of tokens generated.
        #[serde(rename = "t")]
        tokens: u32,
        /// Time from opening the call to the first byte of the answer, in milliseconds.
        #[serde(rename = "f")]
        first_byte_ms: u32,
        /// Time from opening the call to its end, in milliseconds.
        #[serde(rename = "a")]
        total_ms: u32,
    },
    /// The caller disconnected, or the request was withdrawn before a permit was granted.
    #[serde(rename = "c")]
    Cancelled,
    /// The target was unreachable, failed, or closed the connection early.
    #[serde(rename = "t")]
    TargetFailed,
    /// The target had not answered by the caller's deadline.
    #[serde(rename = "o")]
    TimedOut,
    /// The target answered that it does not hold the adapter.
    #[serde(rename = "m")]
    AdapterMissing,
}
