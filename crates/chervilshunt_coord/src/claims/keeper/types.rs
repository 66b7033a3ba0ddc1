//! What a claim keeper is told to do, reacts to, and wants done.

use std::time::Duration;

use chervilshunt_model::{AttemptId, Epoch};
use serde::{Deserialize, Serialize};

use crate::claims::record::{ClaimKey, ClaimOutcome};
use crate::holder::Holder;
use crate::platform::{CallId, PlatformCall, PlatformResult};

/// How a claim keeper behaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimConfig {
    /// The shard of the keys.
    pub shard: u32,
    /// This run of this instance.
    pub me: Holder,
    /// The epoch under which it holds the role.
    pub epoch: Epoch,
    /// The least time between two pages; claims that come meanwhile share a page.
    pub commit_every: Duration,
    /// The most records of a page, which bounds it far below the platform's megabyte.
    pub page_at_most: usize,
    /// How long a request waits for its claim to be recorded.
    pub wait_at_most: Duration,
    /// How long claims and outcomes are remembered.
    pub keep_for: Duration,
    /// The most claims that are remembered; more are refused.
    pub remember_at_most: usize,
    /// How long after a failed call the next try follows.
    pub retry_every: Duration,
    /// How often, at the most, it is looked after the instance that runs a claimed request.
    pub check_every: Duration,
    /// When a caller who is told to come back should do so.
    pub retry_after: Duration,
    /// What keyed requests get while the platform can't be asked.
    pub in_outage: ClaimsInOutage,
}

impl ClaimConfig {
    /// Takes the defaults for all that need not be said.
    pub const fn new(shard: u32, me: Holder, epoch: Epoch) -> Self {
        Self {
            shard,
            me,
            epoch,
            commit_every: Duration::from_millis(100),
            page_at_most: 1_000,
            wait_at_most: Duration::from_secs(2),
            keep_for: Duration::from_secs(3_600),
            remember_at_most: 200_000,
            retry_every: Duration::from_millis(300),
            check_every: Duration::from_secs(2),
            retry_after: Duration::from_secs(2),
            in_outage: ClaimsInOutage::Refuse,
        }
    }
}

/// What keyed requests get while the platform can't be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimsInOutage {
    /// They are refused, as not run, and told when to come back.
    Refuse,
    /// They run, and their claims are kept in memory until they can be recorded.
    ///
    /// If their keeper crashes during the outage a retry may run once more.
    RunUnrecorded,
}

/// A request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    pub key: ClaimKey,
    /// A hash of the request, to tell a retry from another request under the same key.
    pub fingerprint: u64,
    /// The try that the claim is for.
    pub attempt: AttemptId,
    /// The run of the instance that would carry it out.
    pub entry: Holder,
}

/// The answer to a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The request may be sent, by this try alone.
    Granted,
    /// Another try is running.
    InProgress {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request has run, with this outcome.
    Ended {
        /// The status of the answer.
        status: u16,
        /// What the answer said, if that was kept.
        body: Option<std::sync::Arc<str>>,
    },
    /// The request may have run; nobody knows.
    Unknown,
    /// Another request has used the key.
    OtherRequest,
    /// It can't be said now; this try did not and will not run.
    NotNow {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What a claim keeper has to react to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// An instance asks for a claim.
    Asked(ClaimRequest),
    /// The try that a claim was granted to, or asked for, has ended.
    Ended {
        /// The key.
        key: ClaimKey,
        /// The try.
        attempt: AttemptId,
        /// How.
        outcome: ClaimOutcome,
    },
    /// A call to the platform has ended.
    Reply(CallId, PlatformResult),
    /// Time has passed.
    Tick,
}

/// What a claim keeper wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Call the platform.
    Call(PlatformCall),
    /// Answer a request for a claim.
    Answer {
        /// Who asked.
        entry: Holder,
        /// For which try.
        attempt: AttemptId,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// Ask an instance after a try: if it no longer runs, how did it end?
    ///
    /// An instance that doesn't know the try has not sent it and never will, and says
    /// [`ClaimOutcome::NotRun`] only if it has kept all its tries since it started.
    AskEntry {
        /// The run of the instance.
        entry: Holder,
        /// The key.
        key: ClaimKey,
        /// The try.
        attempt: AttemptId,
    },
    /// Another instance keeps the shard's claims now; this keeper grants nothing more.
    Superseded,
}
