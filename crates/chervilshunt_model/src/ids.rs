//! Identifiers: one type each, so that a target's name can't be passed where a service's belongs.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64_with_seed;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name; the characters are checked where names enter the system.
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type!(
    /// The name of a LoRA adapter.
    AdapterName
);
name_type!(
    /// The name of one version of an adapter.
    VersionName
);
name_type!(
    /// The name of a service: a group of targets that answer the same calls.
    ServiceName
);
name_type!(
    /// The name of one target, that is one replica of a service.
    TargetName
);
name_type!(
    /// The name of one instance of this system.
    InstanceId
);
name_type!(
    /// The name of an availability zone.
    ZoneName
);
name_type!(
    /// The name of a region.
    RegionName
);
name_type!(
    /// The name of a site, which has one cap on electric power.
    SiteName
);
name_type!(
    /// The name of a weight store.
    StoreName
);
name_type!(
    /// The name of a priority.
    PriorityName
);
name_type!(
    /// The name of a caller, the unit of fairness between requests.
    CallerName
);
name_type!(
    /// The id that a caller gave a request, or that the entry instance made for it.
    RequestId
);

/// Separates adapter and version in a model name.
const VERSION_SEPARATOR: char = '@';

/// One version of one adapter: what a request names and what fills a slot of an engine.
///
/// Engines know it by its text form, `adapter@version`, and it is written so.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct AdapterVersion {
    /// The adapter.
    pub adapter: AdapterName,
    /// Its version.
    pub version: VersionName,
}

impl AdapterVersion {
    /// Joins an adapter and a version.
    pub fn new(adapter: impl Into<AdapterName>, version: impl Into<VersionName>) -> Self {
        Self {
            adapter: adapter.into(),
            version: version.into(),
        }
    }

    /// Reads the text form `adapter@version`.
    ///
    /// # Errors
    /// Fails if the separator is missing or a part is empty.
    pub fn parse(text: &str) -> Result<Self, ModelNameError> {
        let (adapter, version) = text.split_once(VERSION_SEPARATOR).context(NoVersionSnafu)?;
        ensure!(!adapter.is_empty() && !version.is_empty(), EmptyPartSnafu);
        Ok(Self::new(adapter, version))
    }

    /// Returns a hash that is the same in every process and release.
    ///
    /// Placement depends on it: two instances that disagreed would each load the adapter on
    /// another target.
    pub fn stable_hash(&self) -> u64 {
        let adapter = xxh3_64_with_seed(self.adapter.as_str().as_bytes(), 0);
        xxh3_64_with_seed(self.version.as_str().as_bytes(), adapter)
    }
}

impl fmt::Display for AdapterVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{VERSION_SEPARATOR}{}", self.adapter, self.version)
    }
}

impl From<AdapterVersion> for String {
    fn from(model: AdapterVersion) -> Self {
        model.to_string()
    }
}

impl TryFrom<String> for AdapterVersion {
    type Error = ModelNameError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::parse(&text)
    }
}

/// Why a text is no `adapter@version`.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum ModelNameError {
    /// The text has no separator.
    #[snafu(display("the model must name adapter and version as adapter@version"))]
    NoVersion,
    /// The text has nothing before or after the separator.
    #[snafu(display("adapter and version of adapter@version may not be empty"))]
    EmptyPart,
}

/// The id of one try of a request; answers and permits are matched by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(Uuid);

impl AttemptId {
    /// Makes an id that no other process makes.
    pub fn random() -> Self {
        Self(Uuid::new_v4())
    }

    /// Makes an id from a number, for tests and the policy bench.
    pub const fn from_u128(value: u128) -> Self {
        Self(Uuid::from_u128(value))
    }

    /// Returns the id as a number.
    pub const fn as_u128(self) -> u128 {
        self.0.as_u128()
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0.simple(), f)
    }
}

/// The id of one change of configuration, by which a write whose answer was lost is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(Uuid);

impl ChangeId {
    /// Makes an id that no other process makes.
    pub fn random() -> Self {
        Self(Uuid::new_v4())
    }

    /// Makes an id from a number, for tests.
    pub const fn from_u128(value: u128) -> Self {
        Self(Uuid::from_u128(value))
    }

    /// Reads an id that a client has made: a UUID in any of its usual forms.
    pub fn parse(text: &str) -> Option<Self> {
        Uuid::parse_str(text).ok().map(Self)
    }

    /// Returns the id of the change group with this number, from 0, in a script that was sent under
    /// this id: the id itself for the first, and a name-based UUID (RFC 9562, version 5) for others.
    #[must_use]
    pub fn of_group(self, number: u64) -> Self {
        match number {
            0 => self,
            _ => Self(Uuid::new_v5(&self.0, &number.to_be_bytes())),
        }
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0.simple(), f)
    }
}

macro_rules! counter_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Wraps a number.
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the number after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

counter_type!(
    /// The fencing number of a role: it rises each time the role changes hands.
    Epoch
);
counter_type!(
    /// The number of an accepted configuration; it only goes up.
    Revision
);
