//! The two classes of work that priorities separate.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request has to be prompt or may wait.
///
/// `Live` sorts before `Deferrable`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Somebody is waiting for the answer.
    Live,
    /// The request waits for spare power and batch room rather than fail.
    Deferrable,
}

impl Class {
    /// Returns the name that settings, headers and logs use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Deferrable => "deferrable",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
