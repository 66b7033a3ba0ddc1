//! The engine's state and its background tasks, which step the batch and take load reports.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilshunt_model::prefix_hash;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::batch::{Batch, BatchEvent, Sequence, step_time};
use super::cache::CacheLog;
use super::faults::Faults;
use super::meter::{EngineStats, Meter, PowerChange};
use super::reports::ReportLog;
use super::slots::Slots;
use super::{EngineFaultChange, EngineStandinConfig, completion, reports};
use crate::runs::Runs;
use crate::serve::Port;

/// Interval between load reports.
const REPORT_PERIOD: Duration = Duration::from_millis(20);

/// An engine, shared by its connections and background tasks.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) cfg: EngineStandinConfig,
    pub(crate) runs: Runs,
    pub(crate) port: Port,
    state: Mutex<State>,
    work: Notify,
}

/// The mutable state of an engine.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) faults: Faults,
    pub(crate) slots: Slots,
    pub(crate) batch: Batch,
    pub(crate) meter: Meter,
    pub(crate) reports: ReportLog,
    pub(crate) cache: CacheLog,
    pub(crate) highest_fencing: u64,
    rng: ChaCha8Rng,
}

impl State {
    /// Returns `true` with probability `share`, clamped to 0 to 1.
    pub(crate) fn chance(&mut self, share: f64) -> bool {
        self.rng.random_bool(share.clamp(0.0, 1.0))
    }
}

impl Engine {
    pub(crate) fn new(cfg: EngineStandinConfig, port: Port) -> Arc<Self> {
        let state = State {
            faults: Faults::default(),
            slots: Slots::new(cfg.slots),
            batch: Batch::new(cfg.max_batch),
            meter: Meter::new(cfg.idle_watts, cfg.watts_per_sequence, Instant::now()),
            reports: ReportLog::default(),
            cache: CacheLog::new(cfg.cached_prefixes),
            highest_fencing: 0,
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
        };
        Arc::new(Self {
            cfg,
            runs: Runs::default(),
            port,
            state: Mutex::new(state),
            work: Notify::new(),
        })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the background tasks that step the batch and take load reports.
    pub(crate) fn start_background(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).step_forever());
        tokio::spawn(Arc::clone(self).report_forever());
    }

    pub(crate) fn set_faults(self: &Arc<Self>, change: &EngineFaultChange) {
        self.lock().faults.merge(change);
        if change.restart == Some(true) {
            self.restart();
        }
        self.port.change(change.freeze, change.down, change.down_ms);
        self.port.set_unframed(change.unframed);
        self.work.notify_one();
    }

    fn restart(&self) {
        let mut state = self.lock();
        state.slots.clear();
        state.batch.clear();
        state.cache.clear();
        state.highest_fencing = 0;
        state.meter.count.restarts += 1;
        drop(state);
        self.port.cut_connections();
    }

    pub(crate) fn stats(&self) -> EngineStats {
        let state = self.lock();
        let mut stats = state.meter.stats(Instant::now());
        stats.loaded = state.slots.loaded().to_vec();
        stats.running = state.batch.running();
        stats.waiting = state.batch.waiting();
        stats
    }

    pub(crate) fn power_changes(&self) -> Vec<PowerChange> {
        self.lock().meter.power_changes()
    }

    /// Queues a completion and records its prompt in the prefix cache.
    ///
    /// Returns `None` if the model is neither the base model nor a loaded adapter.
    pub(crate) fn submit(&self, request: completion::CompletionRequest) -> Option<Arc<Sequence>> {
        let sequence = {
            let mut state = self.lock();
            let known = *request.model == *self.cfg.base_model;
            if !known && state.slots.find(&request.model).is_none() {
                return None;
            }
            let mut sequence = Sequence::new(request.request_id, request.model, request.max_tokens);
            if std::mem::take(&mut state.faults.wrong_model) {
                sequence.serving_model =
                    self.another_model(&state.slots, &sequence.requested_model);
            }
            let sequence = Arc::new(sequence);
            let gaps = state.faults.cache_event_gaps;
            let emit = !state.chance(gaps);
            let prefix = prefix_hash(&sequence.requested_model, request.prompt.as_bytes());
            state.cache.store(prefix, emit, Instant::now());
            if request.bypass_batch {
                sequence.finish_without_batch();
            } else {
                state.batch.push(request.priority, Arc::clone(&sequence));
            }
            sequence
        };
        if request.bypass_batch {
            self.runs.begin(&sequence.request_id);
            self.runs
                .served_by(&sequence.request_id, &sequence.serving_model);
        }
        self.work.notify_one();
        Some(sequence)
    }

    fn another_model(&self, slots: &Slots, requested_model: &Arc<str>) -> Arc<str> {
        let mut others = slots
            .loaded()
            .iter()
            .filter(|loaded| *loaded != requested_model);
        Arc::clone(others.next().unwrap_or(&self.cfg.base_model))
    }

    async fn step_forever(self: Arc<Self>) {
        let mut last_end = Instant::now();
        loop {
            self.port.until_unfrozen().await;
            let Some(step) = self.begin_step() else {
                self.work.notified().await;
                last_end = Instant::now();
                continue;
            };
            let end = last_end + step;
            if step.is_zero() {
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep_until(end).await;
            }
            self.port.until_unfrozen().await;
            self.end_step();
            // A late timer shortens the next step, so that the step rate is kept on average. Time
            // spent frozen is not made up for.
            last_end = end.max(Instant::now() - step);
        }
    }

    /// Fills the batch from the queue and returns the duration of its next step, or `None` if
    /// nothing runs.
    fn begin_step(&self) -> Option<Duration> {
        let mut events = Vec::new();
        let mut state = self.lock();
        state.batch.admit(&mut events);
        let running = state.batch.running();
        state.meter.set_running(running, Instant::now());
        let slow = state.faults.slow;
        drop(state);
        self.record(events);
        (running > 0).then(|| step_time(self.cfg.step, self.cfg.step_per_sequence, running) + slow)
    }

    fn end_step(&self) {
        let mut events = Vec::new();
        let mut guard = self.lock();
        let state = &mut *guard;
        let slots = &state.slots;
        let base = &self.cfg.base_model;
        let serving =
            |sequence: &Sequence| Arc::clone(slots.find(&sequence.serving_model).unwrap_or(base));
        let tokens = state.batch.step(serving, &mut events);
        state.meter.step(tokens);
        let running = state.batch.running();
        state.meter.set_running(running, Instant::now());
        drop(guard);
        self.record(events);
    }

    fn record(&self, events: Vec<BatchEvent>) {
        for event in events {
            match event {
                BatchEvent::Started(sequence) => self.runs.begin(&sequence.request_id),
                BatchEvent::ServedBy(sequence, model) => {
                    self.runs.served_by(&sequence.request_id, &model);
                }
            }
        }
    }

    async fn report_forever(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(REPORT_PERIOD);
        loop {
            ticks.tick().await;
            let mut state = self.lock();
            let report = reports::take(&state, self.cfg.max_batch);
            state.reports.push(report, Instant::now());
        }
    }
}
