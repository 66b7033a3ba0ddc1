//! The engine's load reports, which are served with a delay.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::{Response, StatusCode};
use tokio::time::Instant;

use super::state::{Engine, State};
use crate::serve::{self, AnswerBody};

/// Number of load reports kept. Older ones are not needed for any report lag that the tests set.
const KEPT_REPORTS: usize = 2_000;

/// A snapshot of the engine's load.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    running: usize,
    waiting: usize,
    max_batch: usize,
    running_adapters: Vec<Arc<str>>,
    taken_unix: f64,
}

/// Takes a load report of the current state.
pub(crate) fn take(state: &State, max_batch: usize) -> Report {
    let mut running_adapters: Vec<_> = state.batch.running_models().cloned().collect();
    running_adapters.sort_unstable();
    running_adapters.dedup();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    Report {
        running: state.batch.running(),
        waiting: state.batch.waiting(),
        max_batch,
        running_adapters,
        taken_unix: unix.unwrap_or_default().as_secs_f64(),
    }
}

/// The recent load reports with the times at which they were taken.
#[derive(Debug, Default)]
pub(crate) struct ReportLog {
    reports: VecDeque<(Instant, Report)>,
}

impl ReportLog {
    pub(crate) fn push(&mut self, report: Report, now: Instant) {
        if self.reports.len() == KEPT_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back((now, report));
    }

    /// Returns the newest report that is at least `lag` old, or else the oldest one kept.
    fn lagging(&self, lag: Duration, now: Instant) -> Report {
        let mut newest_first = self.reports.iter().rev();
        newest_first
            .find(|(taken, _)| now - *taken >= lag)
            .or_else(|| self.reports.front())
            .map(|(_, report)| report.clone())
            .unwrap_or_default()
    }
}

/// Returns the delayed load report in the Prometheus text format.
pub(crate) fn metrics(engine: &Engine) -> Response<AnswerBody> {
    let state = engine.lock();
    let lag = state.faults.report_lag.unwrap_or(engine.cfg.report_lag);
    let report = state.reports.lagging(lag, Instant::now());
    drop(state);
    let base = &engine.cfg.base_model;
    let usage = report.running as f64 / report.max_batch.max(1) as f64;
    let mut out = String::new();
    for (name, value) in [
        ("num_requests_running", report.running as f64),
        ("num_requests_waiting", report.waiting as f64),
        ("kv_cache_usage_perc", usage),
    ] {
        // Writing to a `String` cannot fail.
        let _ = writeln!(out, "# TYPE vllm:{name} gauge");
        let _ = writeln!(
            out,
            "vllm:{name}{{engine=\"0\",model_name=\"{base}\"}} {value:?}"
        );
    }
    let adapters = report.running_adapters.join(",");
    let slots = engine.cfg.slots;
    let _ = writeln!(out, "# TYPE vllm:lora_requests_info gauge");
    let _ = writeln!(
        out,
        "vllm:lora_requests_info{{max_lora=\"{slots}\",running_lora_adapters=\"{adapters}\",\
         waiting_lora_adapters=\"\"}} {}",
        report.taken_unix
    );
    serve::text(StatusCode::OK, out)
}
