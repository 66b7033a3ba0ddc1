//! The claim records stored in the platform.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use chervilshunt_model::{AttemptId, Epoch};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::holder::Holder;

/// Separates the hashed parts of a key. No part contains it.
const PART_SEPARATOR: u8 = 0;

/// A hash of an idempotency key and the scope within which it is unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ClaimKey(u128);

impl ClaimKey {
    /// Hashes the key that a caller sent for a service.
    ///
    /// The scope is the caller and the service: the same key of two callers, or for two services,
    /// denotes different requests.
    pub fn new(caller: &str, service: &str, key: &str) -> Self {
        let mut buf = Vec::with_capacity(caller.len() + service.len() + key.len() + 2);
        for part in [caller, service, key] {
            buf.extend_from_slice(part.as_bytes());
            buf.push(PART_SEPARATOR);
        }
        Self(xxh3_128(&buf))
    }

    /// Returns the shard of the key, out of `shards`.
    pub fn shard(self, shards: u32) -> u32 {
        let shard = self.0 % u128::from(shards.max(1));
        u32::try_from(shard).unwrap_or(0)
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for ClaimKey {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl From<ClaimKey> for String {
    fn from(key: ClaimKey) -> Self {
        key.to_string()
    }
}

impl TryFrom<String> for ClaimKey {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// The outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The request was answered; the fields are replayed to a retry.
    #[serde(rename = "d")]
    Done {
        /// The status code of the answer.
        #[serde(rename = "s")]
        status: u16,
        /// The body of the answer, truncated to a maximum length, for the retry of a caller that
        /// did not receive it.
        #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
        body: Option<Arc<str>>,
    },
    /// The request may have run; its outcome is lost.
    #[serde(rename = "u")]
    Unknown,
    /// The request did not run, and its key is free again.
    #[serde(rename = "n")]
    NotRun,
}

/// The name of a page of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimPageName {
    /// The shard of the idempotency keys.
    pub shard: u32,
    /// The position of the page in the shard's log, without gaps.
    pub sequence: u64,
}

impl fmt::Display for ClaimPageName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "claims-{}-{:012}", self.shard, self.sequence)
    }
}

/// A page of a shard's claim log; immutable once written.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimPage {
    /// The name of the page.
    pub name: ClaimPageName,
    /// The instance that wrote the page.
    pub writer: Holder,
    /// The epoch of the role under which the page was written.
    pub epoch: Epoch,
    /// The recorded entries.
    pub entries: Vec<ClaimEntry>,
}

/// One entry of a page of claims.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimEntry {
    /// A key was claimed.
    #[serde(rename = "c")]
    Claimed {
        /// The idempotency key.
        #[serde(rename = "k")]
        key: ClaimKey,
        /// A hash of the request, which distinguishes a retry from another request under the same
        /// key.
        #[serde(rename = "f")]
        fingerprint: u64,
        /// The attempt that the claim is for.
        #[serde(rename = "a")]
        attempt: AttemptId,
        /// The entry instance, with its incarnation, that sends the request.
        #[serde(rename = "e")]
        entry: Holder,
    },
    /// The request of a claimed key ended.
    #[serde(rename = "x")]
    Ended {
        /// The idempotency key.
        #[serde(rename = "k")]
        key: ClaimKey,
        /// The outcome of the request.
        #[serde(rename = "o")]
        outcome: ClaimOutcome,
    },
}
