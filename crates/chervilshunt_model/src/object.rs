//! References to the objects that operators create.

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
    /// A group of interchangeable targets.
    Service,
    /// One replica of a service.
    Target,
    /// A priority level of requests.
    Priority,
    /// A site with its power cap.
    Site,
    /// A rate-limited weight store.
    Store,
}

impl ObjectKind {
    /// All kinds, in the order in which the operator language lists them.
    pub const ALL: [Self; 7] = [
        Self::Adapter,
        Self::Version,
        Self::Service,
        Self::Target,
        Self::Priority,
        Self::Site,
        Self::Store,
    ];

    /// Returns the name used in the operator language and in error messages.
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

/// The kind and name of an object, as shown in error messages and logs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectRef {
    /// The kind.
    pub kind: ObjectKind,
    /// The name, which has the form `adapter@version` for a version.
    pub name: String,
}

impl ObjectRef {
    /// Creates a reference from a kind and a name.
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
