//! The engine's prefix cache and its event log, which is served with a delay and may have gaps.

use std::collections::{HashMap, VecDeque};

use http::{Response, StatusCode, Uri};
use serde::Serialize;
use serde_json::json;
use tokio::time::Instant;

use super::state::Engine;
use crate::serve::{self, AnswerBody};

/// Number of cache events kept. A client that asks for older ones sees a gap.
const KEPT_CACHE_EVENTS: usize = 4_096;
/// Maximum number of cache events in one response.
const CACHE_EVENTS_PER_ANSWER: usize = 512;

/// A change to the prefix cache.
#[derive(Clone, Copy, Debug, Serialize)]
struct CacheEvent {
    sequence: u64,
    kind: CacheEventKind,
    prefix: u64,
}

/// The kind of change to a prefix.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum CacheEventKind {
    Stored,
    Removed,
}

/// A prefix cache with least-recently-used eviction, and the log of its events.
#[derive(Debug)]
pub(crate) struct CacheLog {
    limit: usize,
    next_sequence: u64,
    uses: u64,
    /// Cached prefixes, each with the value of `uses` at its last use.
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

    /// Records the use of a prefix. If `emit` is false, the events are dropped, which leaves a gap
    /// in the sequence numbers.
    pub(crate) fn store(&mut self, prefix: u64, emit: bool, now: Instant) {
        self.uses += 1;
        if self.cached.insert(prefix, self.uses).is_some() {
            return;
        }
        self.push(CacheEventKind::Stored, prefix, emit, now);
        if self.cached.len() <= self.limit {
            return;
        }
        let oldest = self.cached.iter().min_by_key(|(_, used)| **used);
        if let Some(oldest) = oldest.map(|(prefix, _)| *prefix) {
            self.cached.remove(&oldest);
            self.push(CacheEventKind::Removed, oldest, emit, now);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.cached.clear();
        self.events.clear();
        self.next_sequence = 1;
    }

    fn push(&mut self, kind: CacheEventKind, prefix: u64, emit: bool, now: Instant) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if !emit {
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

/// Returns the cache events after the sequence number in the query that are at least as old as the
/// report lag.
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
