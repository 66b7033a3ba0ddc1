//! Writes to the platform where streams began, for when all instances that know it are killed.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{BegunStreams, RecordOutcome, RecordSweep, RecordWrite};
use chervilshunt_model::{Moment, StoreRevision};
use chervilshunt_platform::{Exchange, PlatformError};

use super::read::list_records;
use crate::dialect::Malformed;
use crate::shared::Shared;
use crate::store::{StoreAnswer, call_once};

/// Minimum time between two writes of an instance. What begins within it is lost if all instances are
/// killed at once.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two writes, for each instance, while every instance writes its own streams. All of them
/// together use at most half of the smallest platform's rate.
const WRITE_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(5);
/// Time between a failed write and the next one.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which the placer removes expired records.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Writes records of streams for as long as the process runs.
///
/// The placer writes those of all instances, so that the number of writes does not grow with the fleet.
/// An instance without a placer that writes them writes its own.
pub(crate) async fn write_records(shared: Arc<Shared>, exchange: Arc<Exchange>) {
    let writer = Writer {
        name_prefix: format!(
            "{}-{:016x}",
            shared.settings.instance.id,
            rand::random::<u64>()
        ),
        shared,
        exchange,
    };
    loop {
        writer.shared.streams.record_queued.notified().await;
        while let Some(pause) = writer.write_next().await {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Removes expired records for as long as the process runs, while it is the placer.
pub(crate) async fn sweep_records(shared: Arc<Shared>, exchange: Arc<Exchange>) {
    let mut sweep = RecordSweep::default();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        if !shared.is_placer() {
            sweep = RecordSweep::default();
            continue;
        }
        let listed = match list_records(&shared, &exchange, CALL_TIMEOUT).await {
            Ok(records) => records.into_iter().map(|it| (it.name, it.revision)),
            Err(error) => {
                slog::info!(shared.log, "records of streams not listed"; "reason" => error.to_string());
                continue;
            }
        };
        for (name, revision) in sweep.expired(listed.collect(), shared.clock.now()) {
            remove_record(&shared, &exchange, &name, revision).await;
        }
    }
}

async fn remove_record(shared: &Shared, exchange: &Exchange, name: &str, revision: StoreRevision) {
    let call = (shared.dialect.store.remove_streams)(name, revision);
    match call_once(exchange, &shared.dialect.store, &call, CALL_TIMEOUT).await {
        Ok(_) | Err(PlatformError::NotFound { .. }) => {}
        Err(error) => slog::info!(shared.log, "record of streams not removed";
            "record" => name, "reason" => error.to_string()),
    }
}

/// Writes the records of one process.
struct Writer {
    /// What the names of this process's records begin with. They differ from those of the instance's
    /// earlier processes, whose records may hold streams that are still open.
    name_prefix: String,
    shared: Arc<Shared>,
    exchange: Arc<Exchange>,
}

impl Writer {
    /// Writes the next record and returns the pause before the one after it; `None` if there is nothing
    /// to write.
    async fn write_next(&self) -> Option<Duration> {
        let streams = &self.shared.streams;
        let write = streams.recorder().next_write(self.shared.clock.now())?;
        let outcome = self.write(&write).await;
        streams.recorder().write_ended(outcome);
        let has_failed = outcome == RecordOutcome::Failed;
        streams.set_recording_fails(has_failed);
        Some(if has_failed {
            RETRY_DELAY
        } else {
            self.write_interval()
        })
    }

    fn write_interval(&self) -> Duration {
        if self.shared.is_placer() {
            return WRITE_INTERVAL;
        }
        let instances = u32::try_from(self.shared.instances()).unwrap_or(u32::MAX);
        let interval = WRITE_INTERVAL_PER_INSTANCE.saturating_mul(instances);
        interval.max(WRITE_INTERVAL)
    }

    async fn write(&self, write: &RecordWrite) -> RecordOutcome {
        let shared = &self.shared;
        let store = &shared.dialect.store;
        let name = format!("{}-{}", self.name_prefix, write.number);
        let call = (store.write_streams)(&name, write.revision, &write.streams);
        let answer = call_once(&self.exchange, store, &call, CALL_TIMEOUT).await;
        let outcome = match answer.map(|it| self.revision(&it)) {
            Ok(Ok(revision)) => RecordOutcome::Written(revision),
            Ok(Err(malformed)) => {
                slog::warn!(shared.log, "record of streams can't be decoded";
                    "record" => &*name, "problem" => malformed.to_string());
                // The streams were written. Without its revision the record can't be written anew.
                return RecordOutcome::Conflict;
            }
            Err(error) => {
                slog::info!(shared.log, "record of streams not written";
                    "record" => &*name, "streams" => stream_count(&write.streams),
                    "reason" => error.to_string());
                failed_write(&error)
            }
        };
        let result = match outcome {
            RecordOutcome::Written(_) => "written",
            RecordOutcome::Conflict => "conflict",
            RecordOutcome::Failed => "failed",
        };
        metrics::counter!("chervilshunt_stream_records_total", "result" => result).increment(1);
        outcome
    }

    fn revision(&self, answer: &StoreAnswer) -> Result<StoreRevision, Malformed> {
        (self.shared.dialect.store.decode_streams_revision)(answer.era, &answer.body)
    }
}

fn stream_count(begun: &[BegunStreams]) -> usize {
    begun.iter().map(|it| it.streams.len()).sum()
}

const fn failed_write(error: &PlatformError) -> RecordOutcome {
    match error {
        PlatformError::Conflict { .. }
        | PlatformError::AlreadyExists { .. }
        | PlatformError::NotFound { .. } => RecordOutcome::Conflict,
        _ => RecordOutcome::Failed,
    }
}

impl Shared {
    /// Queues streams to be written to the platform.
    pub(crate) fn record_streams(&self, begun: &[BegunStreams], now: Moment) {
        if begun.is_empty() {
            return;
        }
        let dropped = self.streams.recorder().queue(begun, now);
        if dropped > 0 {
            slog::warn!(self.log, "streams not recorded"; "dropped" => dropped);
        }
        self.streams.record_queued.notify_one();
    }

    /// Sets whether the placer writes this instance's streams to the platform.
    ///
    /// If it no longer does, it may not have written those that it was told of last.
    pub(crate) fn set_recorded_by_placer(&self, is_recorded: bool) {
        if !self.streams.swap_recorded_by_placer(is_recorded) || is_recorded {
            return;
        }
        let now = self.clock.now();
        let own = self.streams.origins().own(now);
        for begun in own {
            self.record_streams(&begun, now);
        }
    }

    /// Writes all known streams to the platform again, which was restored from an older copy.
    pub(crate) fn record_streams_again(&self) {
        let now = self.clock.now();
        self.streams.recorder().forget_records();
        let known = if self.is_placer() {
            self.streams.origins().all(now)
        } else if self.streams.is_recorded_by_placer() {
            Vec::new()
        } else {
            self.streams.origins().own(now)
        };
        for begun in known {
            self.record_streams(&begun, now);
        }
    }
}
