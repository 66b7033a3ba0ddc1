//! The runs of targets that crashed.

use std::fmt;

use chervilshunt_model::TargetName;
use serde::{Deserialize, Serialize};

use crate::dispatch::TargetStart;

/// A run of a target that crashed: each start under the same name is another one.
///
/// It is written as `NAME`, or `NAME@START` if the start counts. Instances older than this type take either for
/// the name of a target, which identifies the crash as well.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "String", from = "String")]
pub struct CrashedRun {
    target: TargetName,
    started: Option<TargetStart>,
}

impl CrashedRun {
    /// Creates the run of a target with a start, if it is known.
    pub const fn new(target: TargetName, started: Option<TargetStart>) -> Self {
        Self { target, started }
    }

    /// Returns the name of the target.
    pub const fn target(&self) -> &TargetName {
        &self.target
    }

    /// Returns whether both are the same run, as far as is known. A run without a start may be any of its
    /// target.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.target == other.target && TargetStart::compare(self.started, other.started).is_eq()
    }
}

impl From<TargetName> for CrashedRun {
    fn from(target: TargetName) -> Self {
        Self::new(target, None)
    }
}

impl From<String> for CrashedRun {
    fn from(text: String) -> Self {
        let parsed = text.rsplit_once('@');
        let parsed = parsed.and_then(|(name, start)| Some((name, start.parse().ok()?)));
        match parsed {
            Some((name, start)) => Self::new(TargetName::from(name), Some(TargetStart(start))),
            None => Self::new(TargetName::from(text.as_str()), None),
        }
    }
}

impl From<CrashedRun> for String {
    fn from(run: CrashedRun) -> Self {
        run.to_string()
    }
}

impl fmt::Display for CrashedRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started {
            Some(TargetStart(start)) => write!(f, "{}@{start}", self.target.as_str()),
            None => f.write_str(self.target.as_str()),
        }
    }
}
