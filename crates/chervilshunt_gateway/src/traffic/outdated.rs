//! Withdraws requests that are still queued at their target when the version they were sent for is
//! too old.
//!
//! A target runs a queued request on the version it holds when the request reaches the front of the
//! queue, which may be outdated by then. Closing the connection makes the target drop a request that
//! is still queued.

use std::time::Duration;

use chervilshunt_core::Weights;
use chervilshunt_model::Moment;

use super::attempt::AttemptOutcome;
use super::in_flight::InFlight;
use super::refusal::Reason;
use super::request::CallerRequest;
use crate::shared::Shared;

/// Completes when the request may no longer begin on the version it was sent for.
pub(super) async fn begin_deadline_passed(in_flight: &InFlight) {
    let (Some(weights), Some(version)) = (in_flight.weights(), in_flight.version()) else {
        return std::future::pending().await;
    };
    let shared = in_flight.shared();
    let mut version_announced = shared.version_announced.subscribe();
    loop {
        let left = time_left(shared, weights, version);
        if left == Some(Duration::ZERO) {
            return;
        }
        let deadline_passed = async {
            match left {
                Some(left) => tokio::time::sleep(left).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = deadline_passed => {}
            changed = version_announced.changed() => if changed.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

/// Returns how much time is left for a request to begin on a version; `None` if no newer version is
/// known.
fn time_left(shared: &Shared, weights: &Weights, version: u64) -> Option<Duration> {
    let deadline: Moment = shared.dispatch().begin_deadline(weights, version)?;
    Some(shared.clock.now().until(deadline))
}

/// Logs and counts a withdrawn request. Its connection to the target is already closed.
///
/// The request may have begun to run just before the connection closed, so it is reported as
/// possibly executed.
pub(super) fn withdraw(req: &CallerRequest, in_flight: &InFlight) -> AttemptOutcome {
    let shared = in_flight.shared();
    let waited = shared.clock.now().since(in_flight.sent_at());
    slog::info!(shared.log, "request withdrawn";
        "request" => &*req.id, "target" => in_flight.target.as_str(),
        "version" => in_flight.version(), "sent_ms" => waited.as_millis() as u64);
    metrics::counter!("chervilshunt_withdrawn_total").increment(1);
    AttemptOutcome::MayHaveRun(Reason::OutdatedVersion)
}
