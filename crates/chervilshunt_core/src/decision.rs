//! Decisions as data, which the daemon renders as log lines.

use std::time::Duration;

use chervilshunt_model::{AdapterVersion, AttemptId, Class, TargetName};
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
    /// The class of the request that it was taken for.
    pub class: Option<Class>,
    /// Why, as a short fixed text.
    pub reason: &'static str,
    /// The other adapter versions that were weighed, best first, cut to a few.
    pub alternatives: SmallVec<[AdapterVersion; 2]>,
    /// The targets that a request was sent on to, best first.
    pub sent_on: SmallVec<[TargetName; 4]>,
    /// How long the request had waited here.
    pub waited: Waited,
}

/// How long a request waited at an owner, and for what.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Waited {
    /// In all.
    pub total: Duration,
    /// For its adapter to be loaded: the load stall.
    pub for_load: Duration,
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
    /// Calls to the target were stopped or let through again, by how earlier ones ended.
    Breaker,
}

impl DecisionKind {
    /// Returns the name that logs and metrics use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Grant => "grant",
            Self::Queue => "queue",
            Self::Redirect => "redirect",
            Self::Refuse => "refuse",
            Self::Load => "load",
            Self::Evict => "evict",
            Self::Power => "power",
            Self::Breaker => "breaker",
        }
    }
}
