//! Compact forms of permit requests and answers between instances, without the fields that the
//! receiver already knows.
//!
//! An owner knows the entry instance from the connection. An entry instance still holds the request
//! that an answer belongs to, and combines the two. Each answer carries a checksum of its request,
//! so that a late or misrouted answer is never combined with another request. `docs/design/mesh.md`
//! lists the bytes.

use chervilshunt_model::{
    AdapterVersion, AttemptId, CallerName, Class, Epoch, InstanceId, TargetName,
};
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use smallvec::SmallVec;
use snafu::{Snafu, ensure};
use xxhash_rust::xxh3::Xxh3;

use super::{Permit, PermitAnswer, PermitRequest, RefusalReason};

/// A [`PermitRequest`] without the entry instance.
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
    /// Creates the compact form, leaving out the entry instance because it is the sender.
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

    /// Restores the full request, with `entry` as the instance that sent it.
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

/// A 32-bit checksum of the request that an answer belongs to.
///
/// Requests and answers on a connection are already paired by number, so this only guards against
/// faults of that pairing. A 32-bit checksum misses about one such fault in four billion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestChecksum(u32);

impl RequestChecksum {
    /// Computes the checksum of a request.
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

/// A [`PermitAnswer`] without the fields that its request contains.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct CompactAnswer {
    checksum: RequestChecksum,
    body: CompactAnswerBody,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum CompactAnswerBody {
    #[serde(rename = "g")]
    Granted(Epoch, u64, SmallVec<[TargetName; 4]>),
    #[serde(rename = "r")]
    Redirect(SmallVec<[TargetName; 4]>),
    #[serde(rename = "n")]
    Refused(RefusalReason, u64),
}

/// An answer whose checksum does not match the request it was paired with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("permit answer does not match the request it was paired with"))]
pub struct MismatchedAnswer;

impl CompactAnswer {
    /// Creates the compact form, leaving out what the sender of the request knows. `asked` is the
    /// checksum of the request being answered.
    ///
    /// A grant carries the checksum of the permit's own contents instead, which must equal that of
    /// the request.
    pub fn of(answer: PermitAnswer, asked: RequestChecksum) -> Self {
        match answer {
            PermitAnswer::Granted { permit, spread } => Self {
                checksum: RequestChecksum::of_permit(&permit),
                body: CompactAnswerBody::Granted(permit.epoch, permit.window_ms, spread),
            },
            PermitAnswer::Redirect { targets } => Self {
                checksum: asked,
                body: CompactAnswerBody::Redirect(targets),
            },
            PermitAnswer::Refused {
                reason,
                retry_after_ms,
            } => Self {
                checksum: asked,
                body: CompactAnswerBody::Refused(reason, retry_after_ms),
            },
        }
    }

    /// Combines the answer with the request that it belongs to.
    ///
    /// # Errors
    /// Returns [`MismatchedAnswer`] if the answer belongs to another attempt, target, adapter
    /// version or class. Accepting such a permit would pin one adapter while the call runs with
    /// another, which could be evicted during the call. Accepting such a refusal would leave behind
    /// a permit that nobody returns.
    pub fn join(self, req: &PermitRequest) -> Result<PermitAnswer, MismatchedAnswer> {
        ensure!(
            self.checksum == RequestChecksum::of_request(req),
            MismatchedAnswerSnafu
        );
        Ok(match self.body {
            CompactAnswerBody::Granted(epoch, window_ms, spread) => PermitAnswer::Granted {
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
            CompactAnswerBody::Redirect(targets) => PermitAnswer::Redirect { targets },
            CompactAnswerBody::Refused(reason, retry_after_ms) => PermitAnswer::Refused {
                reason,
                retry_after_ms,
            },
        })
    }
}
