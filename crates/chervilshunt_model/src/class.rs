//! The class of a request: live or deferrable.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request is latency-sensitive or may wait.
///
/// `Live` sorts before `Deferrable`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A user or program is waiting for the response.
    Live,
    /// The request waits for spare power and batch capacity rather than fail.
    Deferrable,
}

impl Class {
    /// Returns the name used in settings, headers and logs.
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
