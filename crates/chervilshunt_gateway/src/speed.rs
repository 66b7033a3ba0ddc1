//! Shows operators how fast targets work.

use chervilshunt_core::PaceChange;
use chervilshunt_model::TargetName;

use crate::shared::Shared;

impl Shared {
    /// Logs a change of a target's lasting pace; `source` tells which of this instance's estimates
    /// has changed.
    pub(crate) fn record_pace_change(&self, target: &TargetName, change: PaceChange, source: &str) {
        slog::info!(self.log, "target pace";
            "target" => target.as_str(), "source" => source,
            "before" => change.before, "lasting" => change.now);
    }
}
