//! Watches for times in which this process stands still.

use std::sync::Arc;

use chervilshunt_core::STALL_CHECK_INTERVAL;
use tokio::time::MissedTickBehavior;

use crate::shared::Shared;

/// Reports to the stall detector for as long as the process runs, and logs the stalls that it finds.
pub(crate) async fn watch_for_stalls(shared: Arc<Shared>) {
    let mut every = tokio::time::interval(STALL_CHECK_INTERVAL);
    every.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        let stall = shared.stalls().report_running(shared.clock.now());
        let Some(stall) = stall else {
            continue;
        };
        slog::warn!(shared.log, "process stood still";
            "stalled_ms" => stall.length().as_millis() as u64);
        metrics::histogram!("chervilshunt_stall_seconds").record(stall.length().as_secs_f64());
    }
}
