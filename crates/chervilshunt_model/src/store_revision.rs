//! Revisions of the platform's object service.

use serde::{Deserialize, Serialize};

/// A revision of the platform's object service, qualified by its era.
///
/// A service that is restored from a backup assigns the same revision numbers again, and starts a
/// new era. A number alone is therefore ambiguous: compared with one of another era, a new change
/// could look like a known one. Revisions are ordered by era first. A service that does not report
/// eras is always in era 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct StoreRevision {
    /// The number of restores, as reported by the service.
    pub era: u64,
    /// The revision number within the era.
    pub number: u64,
}

impl StoreRevision {
    /// Creates a revision from its era and number.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl From<(u64, u64)> for StoreRevision {
    fn from((era, number): (u64, u64)) -> Self {
        Self { era, number }
    }
}

impl From<StoreRevision> for (u64, u64) {
    fn from(revision: StoreRevision) -> Self {
        (revision.era, revision.number)
    }
}
