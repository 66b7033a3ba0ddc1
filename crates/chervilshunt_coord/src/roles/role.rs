//! The kinds of roles.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use chervilshunt_model::{SiteName, StoreName, TargetName, ZoneName};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

const TARGET: &str = "target";
const LOAD_SCHEDULER: &str = "loads";
const POWER_ALLOCATOR: &str = "power";
const CLAIM_KEEPER: &str = "claims";
const OTHER: &str = "other";

/// A unit of responsibility with one holder at a time.
///
/// Its text form, such as `target/NAME`, is the key in the platform's objects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Role {
    /// The owner of a target.
    Target(TargetName),
    /// The scheduler of loads from a weight store.
    LoadScheduler(StoreName),
    /// The power allocator of a site.
    PowerAllocator(SiteName),
    /// The keeper of the idempotency claims of one shard.
    ClaimKeeper(u32),
    /// A role defined by a program that embeds this crate.
    Other(Arc<str>),
}

impl Role {
    /// Returns the name of the kind, as used in metrics and logs.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Target(_) => TARGET,
            Self::LoadScheduler(_) => LOAD_SCHEDULER,
            Self::PowerAllocator(_) => POWER_ALLOCATOR,
            Self::ClaimKeeper(_) => CLAIM_KEEPER,
            Self::Other(_) => OTHER,
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = self.kind();
        match self {
            Self::Target(name) => write!(f, "{kind}/{name}"),
            Self::LoadScheduler(name) => write!(f, "{kind}/{name}"),
            Self::PowerAllocator(name) => write!(f, "{kind}/{name}"),
            Self::ClaimKeeper(shard) => write!(f, "{kind}/{shard}"),
            Self::Other(name) => write!(f, "{kind}/{name}"),
        }
    }
}

impl FromStr for Role {
    type Err = RoleError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, name) = text.split_once('/').context(NoKindSnafu)?;
        match kind {
            TARGET => Ok(Self::Target(name.into())),
            LOAD_SCHEDULER => Ok(Self::LoadScheduler(name.into())),
            POWER_ALLOCATOR => Ok(Self::PowerAllocator(name.into())),
            CLAIM_KEEPER => Ok(Self::ClaimKeeper(name.parse().context(BadShardSnafu)?)),
            OTHER => Ok(Self::Other(name.into())),
            _ => UnknownKindSnafu { kind }.fail(),
        }
    }
}

impl From<Role> for String {
    fn from(role: Role) -> Self {
        role.to_string()
    }
}

impl TryFrom<String> for Role {
    type Error = RoleError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// The error for a text that does not name a role.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum RoleError {
    /// The text has no separator.
    #[snafu(display("a role must be written as KIND/NAME"))]
    NoKind,
    /// There is no such kind.
    #[snafu(display("there is no role of kind {kind}"))]
    UnknownKind {
        /// The kind that was named.
        kind: String,
    },
    /// The shard is not a number.
    #[snafu(display("the shard of a claim keeper must be a number: {source}"))]
    BadShard {
        /// The error of the number parser.
        source: std::num::ParseIntError,
    },
}

/// A role that needs a holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WantedRole {
    /// The role.
    pub role: Role,
    /// The availability zone in which the holder should preferably run.
    pub zone: Option<ZoneName>,
    /// Whether the receivers of the holder's orders refuse old epochs.
    pub fenced: bool,
}
