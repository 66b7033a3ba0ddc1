//! What the platform keeps of claims.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use chervilshunt_model::{AttemptId, Epoch};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::holder::Holder;

/// Separates the parts of which a key is hashed; no part contains it.
const PART_SEPARATOR: u8 = 0;

/// An idempotency key with all that it is unique within, as a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ClaimKey(u128);

impl ClaimKey {
    /// Hashes the key that a caller gave for a service.
    ///
    /// Two callers, or two services, may use the same key without meaning the same request.
    pub fn new(caller: &str, service: &str, key: &str) -> Self {
        let mut buf = Vec::with_capacity(caller.len() + service.len() + key.len() + 2);
        for part in [caller, service, key] {
            buf.extend_from_slice(part.as_bytes());
            buf.push(PART_SEPARATOR);
        }
        Self(xxh3_128(&buf))
    }

    /// Returns the shard of the key, of `shards`.
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

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// It was answered; what a retry is told of it.
    #[serde(rename = "d")]
    Done {
        /// The status of the answer.
        #[serde(rename = "s")]
        status: u16,
        /// What the answer said, cut to a bound; for the retry of a caller that did not get it.
        #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
        body: Option<Arc<str>>,
    },
    /// It may have run; nobody will ever know.
    #[serde(rename = "u")]
    Unknown,
    /// It surely did not run, and its key is free again.
    #[serde(rename = "n")]
    NotRun,
}

/// The name of a page of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimPageName {
    /// The shard of the keys.
    pub shard: u32,
    /// The place of the page in the shard's log, without gaps.
    pub sequence: u64,
}

impl fmt::Display for ClaimPageName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "claims-{}-{:012}", self.shard, self.sequence)
    }
}

/// A page of a shard's log of claims; once written it never changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimPage {
    /// Its name.
    pub name: ClaimPageName,
    /// Who wrote it.
    pub writer: Holder,
    /// Under which epoch of the role.
    pub epoch: Epoch,
    /// What it records.
    pub entries: Vec<ClaimEntry>,
}

/// One record of a page of claims.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimEntry {
    /// A key was claimed.
    #[serde(rename = "c")]
    Claimed {
        /// The key.
        #[serde(rename = "k")]
        key: ClaimKey,
        /// A hash of the request, to tell a retry from another request under the same key.
        #[serde(rename = "f")]
        fingerprint: u64,
        /// The try that the claim is for.
        #[serde(rename = "a")]
        attempt: AttemptId,
        /// The run of the instance that carries it out.
        #[serde(rename = "e")]
        entry: Holder,
    },
    /// The request of a claimed key ended.
    #[serde(rename = "x")]
    Ended {
        /// The key.
        #[serde(rename = "k")]
        key: ClaimKey,
        /// How.
        #[serde(rename = "o")]
        outcome: ClaimOutcome,
    },
}
