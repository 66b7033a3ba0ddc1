//! Structured records of decisions, which the daemon writes as log lines.

use std::time::Duration;

use chervilshunt_model::{AdapterVersion, AttemptId, Class, TargetName};
use serde::Serialize;
use smallvec::SmallVec;

/// A decision with its reason and the alternatives that were considered.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// The kind of decision.
    pub kind: DecisionKind,
    /// The target that the decision concerns.
    pub target: TargetName,
    /// The adapter version that the decision concerns, if any.
    pub model: Option<AdapterVersion>,
    /// The attempt that the decision was made for, if any.
    pub attempt: Option<AttemptId>,
    /// The class of the request that the decision was made for, if any.
    pub class: Option<Class>,
    /// The reason, as a short fixed text.
    pub reason: &'static str,
    /// The other adapter versions that were considered, best first, limited to a few.
    pub alternatives: SmallVec<[AdapterVersion; 2]>,
    /// The targets that a request was redirected to, best first.
    pub sent_on: SmallVec<[TargetName; 4]>,
    /// How long the request had waited at this owner.
    pub waited: WaitTimes,
}

/// How long a request waited at an owner, and for what.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WaitTimes {
    /// The total wait.
    pub total: Duration,
    /// The part spent waiting for the adapter to be loaded, called the load stall.
    pub for_load: Duration,
}

/// The kind of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A permit was granted.
    Grant,
    /// A request was queued.
    Queue,
    /// A request was redirected to another target.
    Redirect,
    /// A request was refused.
    Refuse,
    /// An adapter load was ordered.
    Load,
    /// An adapter eviction was ordered.
    Evict,
    /// The target's power share changed.
    Power,
    /// The circuit breaker stopped calls to the target or let them through again.
    Breaker,
}

impl DecisionKind {
    /// Returns the name used in logs and metrics.
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
