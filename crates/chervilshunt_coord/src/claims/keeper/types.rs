//! Configuration, events and actions of a claim keeper.

use std::time::Duration;

use chervilshunt_model::{AttemptId, Epoch};
use serde::{Deserialize, Serialize};

use crate::claims::record::{ClaimKey, ClaimOutcome};
use crate::holder::Holder;
use crate::platform::{CallId, PlatformCall, PlatformResult};

/// Configuration of a claim keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimConfig {
    /// The shard of the idempotency keys.
    pub shard: u32,
    /// This instance and its incarnation.
    pub me: Holder,
    /// The epoch under which this instance holds the shard's role.
    pub epoch: Epoch,
    /// The minimum time between two pages; claims that arrive meanwhile share a page.
    pub commit_every: Duration,
    /// The maximum number of entries of a page, which keeps pages far below the platform's limit of
    /// 1 MB.
    ///
    /// It also limits the requests that wait until the log has been read.
    pub max_page_entries: usize,
    /// How long a request waits for its claim to be recorded before it is refused.
    pub claim_timeout: Duration,
    /// How long claims and outcomes are kept.
    pub retention: Duration,
    /// The maximum number of claims held in memory; further requests are refused.
    pub max_claims: usize,
    /// The delay before a failed call to the platform is retried.
    pub retry_every: Duration,
    /// The minimum time between two checks of the instance that runs a claimed request.
    pub check_every: Duration,
    /// The delay after which a refused caller is asked to retry.
    pub retry_after: Duration,
    /// How keyed requests are handled while the platform is unavailable.
    pub in_outage: ClaimsInOutage,
}

impl ClaimConfig {
    /// Creates a configuration with default values for everything else.
    pub const fn new(shard: u32, me: Holder, epoch: Epoch) -> Self {
        Self {
            shard,
            me,
            epoch,
            commit_every: Duration::from_millis(100),
            max_page_entries: 1_000,
            claim_timeout: Duration::from_secs(2),
            retention: Duration::from_secs(3_600),
            max_claims: 200_000,
            retry_every: Duration::from_millis(300),
            check_every: Duration::from_secs(2),
            retry_after: Duration::from_secs(2),
            in_outage: ClaimsInOutage::Refuse,
        }
    }
}

/// How keyed requests are handled while the platform is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimsInOutage {
    /// They are refused as not run, with a retry delay.
    Refuse,
    /// They run, and their claims are kept in memory until they can be recorded.
    ///
    /// If the keeper crashes during the outage, a retry may run the request a second time.
    RunUnrecorded,
}

/// A request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The idempotency key.
    pub key: ClaimKey,
    /// A hash of the request, which distinguishes a retry from another request under the same key.
    pub fingerprint: u64,
    /// The attempt that the claim is for.
    pub attempt: AttemptId,
    /// The entry instance, with its incarnation, that would send the request.
    pub entry: Holder,
}

/// The answer to a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The request may be sent, by this attempt only.
    Granted,
    /// Another attempt is running.
    InProgress {
        /// The delay before the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request has run, with this outcome.
    Ended {
        /// The status code of the answer.
        status: u16,
        /// The body of the answer, if it was kept.
        body: Option<std::sync::Arc<str>>,
    },
    /// The request may have run; its outcome is lost.
    Unknown,
    /// The key was used for another request.
    OtherRequest,
    /// No claim can be made at the moment; this attempt has not run and will not run.
    NotNow {
        /// The delay before the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// An input to a claim keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// An instance requests a claim.
    Requested(ClaimRequest),
    /// The attempt that a claim was granted to, or requested for, has ended.
    Ended {
        /// The idempotency key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
        /// The outcome of the request.
        outcome: ClaimOutcome,
    },
    /// A call to the platform has ended.
    Reply(CallId, PlatformResult),
    /// Time has passed.
    Tick,
}

/// An action for the driver of a claim keeper to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Call the platform.
    Call(PlatformCall),
    /// Answer a request for a claim.
    Answer {
        /// The instance that requested the claim.
        entry: Holder,
        /// The attempt that the claim was requested for.
        attempt: AttemptId,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// Ask an instance whether it still runs an attempt and, if not, how the attempt ended.
    ///
    /// An instance that does not know the attempt has not sent it and never will. It may answer
    /// [`ClaimOutcome::NotRun`] only if it has kept records of all its attempts since it started.
    QueryAttempt {
        /// The instance and its incarnation.
        entry: Holder,
        /// The idempotency key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Another instance now keeps the shard's claims; this keeper grants no more.
    Superseded,
}
