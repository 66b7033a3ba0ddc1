//! How an object that operators create is referred to.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The kinds of objects that operators create.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A LoRA adapter.
    Adapter,
    /// One version of an adapter.
    Version,
    /// A group of targets that answer the same calls.
    Service,
    /// One replica of a service.
    Target,
    /// What separates live work from work that can wait.
    Priority,
    /// A site with its cap on electric power.
    Site,
    /// A rate-limited weight store.
    Store,
}

impl ObjectKind {
    /// All kinds, in the order in which the operators' language lists them.
    pub const ALL: [Self; 7] = [
        Self::Adapter,
        Self::Version,
        Self::Service,
        Self::Target,
        Self::Priority,
        Self::Site,
        Self::Store,
    ];

    /// Returns the name that the operators' language and errors use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Adapter => "adapter",
            Self::Version => "version",
            Self::Service => "service",
            Self::Target => "target",
            Self::Priority => "priority",
            Self::Site => "site",
            Self::Store => "store",
        }
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An object's kind and name, as errors and logs give it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectRef {
    /// The kind.
    pub kind: ObjectKind,
    /// The name; `adapter@version` for a version.
    pub name: String,
}

impl ObjectRef {
    /// Joins a kind and a name.
    pub fn new(kind: ObjectKind, name: impl fmt::Display) -> Self {
        Self {
            kind,
            name: name.to_string(),
        }
    }
}

impl fmt::Display for ObjectRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}
