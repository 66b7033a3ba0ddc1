//! Requests for permits and their answers as they go between instances: without what the receiver
//! knows already.
//!
//! An owner learns the entry instance from the connection. An entry instance still has the request
//! that an answer is for, and joins the two. So that a late or crossed answer is never joined with
//! another request, each carries a check of what it is for. `docs/design/mesh.md` has the bytes.

use chervilshunt_model::{
    AdapterVersion, AttemptId, CallerName, Class, Epoch, InstanceId, TargetName,
};
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use smallvec::SmallVec;
use snafu::{Snafu, ensure};
use xxhash_rust::xxh3::Xxh3;

use super::{Permit, PermitAnswer, PermitRequest, RefusalReason};

/// A [`PermitRequest`] without the instance that sends it.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct CompactRequest {
    attempt: AttemptId,
    target: TargetName,
    model: Option<AdapterVersion>,
    class: Class,
    weight: u32,
    caller: CallerName,
    deadline_ms: u64,
    prompt_tokens: u32,
    max_tokens: u32,
    prefix: u64,
    hops: u8,
    avoid: SmallVec<[TargetName; 4]>,
}

impl CompactRequest {
    /// Leaves out the entry instance, which is whoever sends it.
    pub fn of(req: &PermitRequest) -> Self {
        Self {
            attempt: req.attempt,
            target: req.target.clone(),
            model: req.model.clone(),
            class: req.class,
            weight: req.weight,
            caller: req.caller.clone(),
            deadline_ms: req.deadline_ms,
            prompt_tokens: req.prompt_tokens,
            max_tokens: req.max_tokens,
            prefix: req.prefix,
            hops: req.hops,
            avoid: req.avoid.clone(),
        }
    }

    /// Returns the request of the instance that sent it.
    pub fn sent_by(self, entry: InstanceId) -> PermitRequest {
        PermitRequest {
            attempt: self.attempt,
            entry,
            target: self.target,
            model: self.model,
            class: self.class,
            weight: self.weight,
            caller: self.caller,
            deadline_ms: self.deadline_ms,
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            prefix: self.prefix,
            hops: self.hops,
            avoid: self.avoid,
        }
    }
}

/// What an answer is for, in a few bytes.
///
/// Requests and answers of a connection are paired by number already, so that this guards against
/// faults of that pairing alone: 32 bits let one such fault in four thousand million through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AnswerCheck(u32);

impl AnswerCheck {
    /// Makes the check of the answer to a request.
    pub fn of_request(req: &PermitRequest) -> Self {
        Self::new(req.attempt, &req.target, req.model.as_ref(), req.class)
    }

    fn of_permit(permit: &Permit) -> Self {
        let model = permit.model.as_ref();
        Self::new(permit.attempt, &permit.target, model, permit.class)
    }

    fn new(
        attempt: AttemptId,
        target: &TargetName,
        model: Option<&AdapterVersion>,
        class: Class,
    ) -> Self {
        let mut hash = Xxh3::new();
        hash.update(&attempt.as_u128().to_le_bytes());
        let model = model.map(|model| (model.adapter.as_str(), model.version.as_str()));
        let (adapter, version) = model.unwrap_or_default();
        for name in [target.as_str(), adapter, version, class.as_str()] {
            hash.update(&name.len().to_le_bytes());
            hash.update(name.as_bytes());
        }
        Self(u32::try_from(hash.digest() >> 32).unwrap_or(0))
    }
}

/// A [`PermitAnswer`] without what its request says.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct CompactAnswer {
    check: AnswerCheck,
    body: Body,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Body {
    #[serde(rename = "g")]
    Granted(Epoch, u64, SmallVec<[TargetName; 4]>),
    #[serde(rename = "r")]
    Redirect(SmallVec<[TargetName; 4]>),
    #[serde(rename = "n")]
    Refused(RefusalReason, u64),
}

/// An answer was given to something else than was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer is for another request"))]
pub struct CrossedAnswer;

impl CompactAnswer {
    /// Leaves out what the asker knows; `asked` is the check of the request that is answered.
    ///
    /// A permit has the check of what it was granted for, which has to be the same.
    pub fn of(answer: PermitAnswer, asked: AnswerCheck) -> Self {
        match answer {
            PermitAnswer::Granted { permit, spread } => Self {
                check: AnswerCheck::of_permit(&permit),
                body: Body::Granted(permit.epoch, permit.window_ms, spread),
            },
            PermitAnswer::Redirect { targets } => Self {
                check: asked,
                body: Body::Redirect(targets),
            },
            PermitAnswer::Refused {
                reason,
                retry_after_ms,
            } => Self {
                check: asked,
                body: Body::Refused(reason, retry_after_ms),
            },
        }
    }

    /// Joins the answer with the request that it is for.
    ///
    /// # Errors
    /// Fails if it is for another attempt, target, adapter version or class. Such a permit would
    /// pin one adapter while the call runs with another, which could be evicted under it; such a
    /// refusal would leave a permit behind that nobody gives back.
    pub fn join(self, req: &PermitRequest) -> Result<PermitAnswer, CrossedAnswer> {
        ensure!(
            self.check == AnswerCheck::of_request(req),
            CrossedAnswerSnafu
        );
        Ok(match self.body {
            Body::Granted(epoch, window_ms, spread) => PermitAnswer::Granted {
                permit: Permit {
                    attempt: req.attempt,
                    entry: req.entry.clone(),
                    target: req.target.clone(),
                    model: req.model.clone(),
                    class: req.class,
                    epoch,
                    window_ms,
                },
                spread,
            },
            Body::Redirect(targets) => PermitAnswer::Redirect { targets },
            Body::Refused(reason, retry_after_ms) => PermitAnswer::Refused {
                reason,
                retry_after_ms,
            },
        })
    }
}
