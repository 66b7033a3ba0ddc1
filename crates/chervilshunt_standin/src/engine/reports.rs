//! What the engine tells of itself: counters at once, load and cache events late.

use std::collections::{HashMap, VecDeque};
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::{Response, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::Instant;

use super::routes::{Engine, State};
use crate::serve::{self, AnswerBody};

/// Load reports that are kept; older ones are of use to no lag that a test sets.
const KEPT_REPORTS: usize = 2_000;
/// Cache events that are kept; who asks later than that sees a gap.
const KEPT_CACHE_EVENTS: usize = 4_096;
/// Cache events that one answer gives.
const CACHE_EVENTS_PER_ANSWER: usize = 512;

/// The counters of an engine stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Calls and orders by kind.
    #[serde(flatten)]
    pub count: EngineCounts,
    /// Sequences running.
    pub running: usize,
    /// Sequences waiting.
    pub waiting: usize,
    /// Adapters loaded.
    pub loaded: Vec<Arc<str>>,
    /// Power drawn now, in watts.
    pub watts: f64,
    /// The highest power drawn so far, in watts.
    pub highest_watts: f64,
    /// Energy drawn so far, in joules.
    pub joules: f64,
}

/// Counts of an engine stand-in since its start; restarts don't reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Completions and chats asked for.
    pub completions: u64,
    /// Of these, ones for an adapter that was not loaded.
    pub adapters_missing: u64,
    /// Steps taken.
    pub steps: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// The most sequences in one step.
    pub highest_batch: u64,
    /// Orders to load.
    pub load_orders: u64,
    /// Orders to unload.
    pub unload_orders: u64,
    /// Loads that succeeded.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Unloads carried out.
    pub unloads: u64,
    /// Of these, ones of an adapter that was serving a sequence.
    pub unloads_while_serving: u64,
    /// Orders that came with an old fencing number.
    pub stale_orders: u64,
    /// Of these, ones that were refused for it.
    pub fenced_orders: u64,
    /// Restarts.
    pub restarts: u64,
}

/// Counts, and adds up power and energy.
#[derive(Debug)]
pub(crate) struct Meter {
    pub(crate) count: EngineCounts,
    idle_watts: f64,
    watts_per_sequence: f64,
    watts: f64,
    highest_watts: f64,
    joules: f64,
    since: Instant,
}

impl Meter {
    pub(crate) fn new(idle_watts: f64, watts_per_sequence: f64, now: Instant) -> Self {
        Self {
            count: EngineCounts::default(),
            idle_watts,
            watts_per_sequence,
            watts: idle_watts,
            highest_watts: idle_watts,
            joules: 0.0,
            since: now,
        }
    }

    /// Notes the number of running sequences, which sets the power from `now` on.
    pub(crate) fn set_running(&mut self, running: usize, now: Instant) {
        self.joules += self.watts * (now - self.since).as_secs_f64();
        self.since = now;
        self.watts = self
            .watts_per_sequence
            .mul_add(running as f64, self.idle_watts);
        self.highest_watts = self.highest_watts.max(self.watts);
        self.count.highest_batch = self.count.highest_batch.max(running as u64);
    }

    pub(crate) fn step(&mut self, tokens: usize) {
        self.count.steps += 1;
        self.count.tokens += tokens as u64;
    }

    pub(crate) fn stats(&self, now: Instant) -> EngineStats {
        EngineStats {
            count: self.count,
            running: 0,
            waiting: 0,
            loaded: Vec::new(),
            watts: self.watts,
            highest_watts: self.highest_watts,
            joules: self
                .watts
                .mul_add((now - self.since).as_secs_f64(), self.joules),
        }
    }
}

/// What the engine was like when a report was taken.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    running: usize,
    waiting: usize,
    max_batch: usize,
    running_adapters: Vec<Arc<str>>,
    taken_unix: f64,
}

/// Takes a report.
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

/// Reports by the time at which they were taken.
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

    /// Returns the newest report that is at least `lag` old, or else the oldest.
    fn lagging(&self, lag: Duration, now: Instant) -> Report {
        let mut newest_first = self.reports.iter().rev();
        newest_first
            .find(|(taken, _)| now - *taken >= lag)
            .or_else(|| self.reports.front())
            .map(|(_, report)| report.clone())
            .unwrap_or_default()
    }
}

/// Gives the lagging load report as Prometheus text.
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
        // Writing to a string can't fail.
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

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, Serialize)]
struct CacheEvent {
    sequence: u64,
    kind: CacheEventKind,
    prefix: u64,
}

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum CacheEventKind {
    Stored,
    Removed,
}

/// The prefix cache and its events.
#[derive(Debug)]
pub(crate) struct CacheLog {
    limit: usize,
    next_sequence: u64,
    uses: u64,
    /// Cached prefixes with the number of their last use.
    cached: HashMap<u64, u64>,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl CacheLog {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            next_sequence: 1,
            uses: 0,
            cached: HashMap::new(),
            events: VecDeque::new(),
        }
    }

    /// Notes the use of a prefix; an event that isn't told leaves a gap in the numbers.
    pub(crate) fn store(&mut self, prefix: u64, told: bool, now: Instant) {
        self.uses += 1;
        if self.cached.insert(prefix, self.uses).is_some() {
            return;
        }
        self.push(CacheEventKind::Stored, prefix, told, now);
        if self.cached.len() <= self.limit {
            return;
        }
        let oldest = self.cached.iter().min_by_key(|(_, used)| **used);
        if let Some(oldest) = oldest.map(|(prefix, _)| *prefix) {
            self.cached.remove(&oldest);
            self.push(CacheEventKind::Removed, oldest, told, now);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.cached.clear();
        self.events.clear();
        self.next_sequence = 1;
    }

    fn push(&mut self, kind: CacheEventKind, prefix: u64, told: bool, now: Instant) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if !told {
            return;
        }
        if self.events.len() == KEPT_CACHE_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            sequence,
            kind,
            prefix,
        };
        self.events.push_back((now, event));
    }
}

/// Gives the cache events after a number, late.
pub(crate) fn cache_events(engine: &Engine, uri: &Uri) -> Response<AnswerBody> {
    let query = uri.query().unwrap_or_default();
    let after = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("after=")?.parse::<u64>().ok())
        .unwrap_or(0);
    let state = engine.lock();
    let lag = state.faults.report_lag.unwrap_or(engine.cfg.report_lag);
    let now = Instant::now();
    let events: Vec<CacheEvent> = state
        .cache
        .events
        .iter()
        .filter(|(at, event)| event.sequence > after && now - *at >= lag)
        .map(|(_, event)| *event)
        .take(CACHE_EVENTS_PER_ANSWER)
        .collect();
    serve::json(StatusCode::OK, &json!({"events": events}))
}
