//! Decisions as data, which the daemon renders as log lines.

use chervilshunt_model::{AdapterVersion, AttemptId, TargetName};
use serde::Serialize;
use smallvec::SmallVec;

/// One decision with its reason and the alternatives that were weighed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// What was decided.
    pub kind: DecisionKind,
    /// The target that it concerns.
    pub target: TargetName,
    /// The adapter version that it concerns.
    pub model: Option<AdapterVersion>,
    /// The try that it was taken for.
    pub attempt: Option<AttemptId>,
    /// Why, as a short fixed text.
    pub reason: &'static str,
    /// The other adapter versions that were weighed, best first, cut to a few.
    pub alternatives: SmallVec<[AdapterVersion; 2]>,
}

/// What was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A permit was granted.
    Grant,
    /// A request was queued.
    Queue,
    /// A request was sent to another target.
    Redirect,
    /// A request was refused.
    Refuse,
    /// A load was ordered.
    Load,
    /// An eviction was ordered.
    Evict,
    /// The share of power changed.
    Power,
}
