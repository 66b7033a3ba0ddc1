//! Handles targets whose answers say that they are brittle.

use chervilshunt_model::{Moment, TargetName};
use http::HeaderMap;

use crate::shared::Shared;

impl Shared {
    /// Handles the head of an answer, which may say that the target is brittle. `sent_at` is the
    /// time at which the answered request was sent.
    pub(crate) fn check_brittle(&self, target: &TargetName, headers: &HeaderMap, sent_at: Moment) {
        let per_second = (self.dialect.targets.brittle)(headers);
        let mut dispatch = self.dispatch();
        let Some(change) = dispatch.brittleness_answered(target, per_second, sent_at) else {
            return;
        };
        let services = dispatch.brittle_services().len();
        drop(dispatch);
        slog::info!(self.log, "brittleness of target changed";
            "target" => target.as_str(), "turns_away_per_s" => change.per_second);
        metrics::gauge!("chervilshunt_brittle_services").set(services as f64);
    }

    /// Records that a brittle target has turned a request away.
    pub(crate) fn record_turned_away(&self, target: &TargetName) {
        let now = self.clock.now();
        let instances = self.instances();
        self.dispatch().turned_away(target, instances, now);
        metrics::counter!("chervilshunt_brittle_rejections_total").increment(1);
    }
}
