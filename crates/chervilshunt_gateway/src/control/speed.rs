//! Shows operators how fast targets work.

use std::time::Duration;

use chervilshunt_core::PaceChange;
use chervilshunt_model::TargetName;

use super::actor::Control;
use crate::shared::Shared;

/// Interval at which the metric of targets' paces is updated. Lasting paces change over seconds, and
/// sorting thousands of them with each report of open requests would be noticeable on small machines.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(5);

impl Control {
    /// Publishes the lasting paces of targets: as the placer knows them from the answers to all
    /// instances, elsewhere as this instance knows them from its own.
    pub(super) fn publish_paces(&mut self) {
        let now = self.now();
        if now.since(self.paces_published_at) < PUBLISH_INTERVAL {
            return;
        }
        self.paces_published_at = now;
        let own = self.shared.dispatch().pace_quantiles();
        let placer = self.placer.as_ref();
        let placed = placer.map(|it| it.residency.pace_quantiles());
        for paces in own.into_iter().chain(placed.unwrap_or_default()) {
            for (quantile, pace) in paces.quantiles {
                metrics::gauge!("chervilshunt_target_pace",
                    "service" => paces.service.as_str().to_owned(), "quantile" => quantile)
                .set(f64::from(pace));
            }
        }
    }
}

impl Shared {
    /// Logs a change of a target's lasting pace; `source` tells which of this instance's estimates
    /// has changed.
    pub(crate) fn record_pace_change(&self, target: &TargetName, change: PaceChange, source: &str) {
        slog::info!(self.log, "target pace";
            "target" => target.as_str(), "source" => source,
            "before" => change.before, "lasting" => change.now);
    }
}
