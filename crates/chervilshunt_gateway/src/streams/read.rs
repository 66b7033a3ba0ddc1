//! Reads from the platform where streams began.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::Moment;
use chervilshunt_platform::{Exchange, PlatformError};
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot};

use crate::dialect::{Malformed, StreamRecord};
use crate::shared::Shared;
use crate::store::call_once;

/// Capacity of the queue of requests for a read, which bounds the callers that wait for one.
const QUEUE_CAPACITY: usize = 1_024;
/// Minimum time between two reads of an instance, so that callers that name streams which nobody knows
/// can't exhaust the platform's rate limit.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads for each instance. Each of them reads the records of all, so that the bytes grow
/// with the square of the fleet after all were killed.
const READ_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(20);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the records of streams were not read.
#[derive(Debug, Snafu)]
pub(crate) enum ReadError {
    /// The platform has not answered.
    #[snafu(display("{source}"), context(false))]
    Platform { source: PlatformError },
    /// Its answer can't be decoded.
    #[snafu(display("{source}"), context(false))]
    Malformed { source: Malformed },
}

/// A request to read the records, answered with whether they were read.
type ReadRequest = oneshot::Sender<bool>;

/// The sending end of the queue of requests to read the records of streams.
#[derive(Clone, Debug)]
pub(crate) struct RecordReader(mpsc::Sender<ReadRequest>);

/// The receiving end of the same queue.
#[derive(Debug)]
pub(crate) struct ReadRequests(mpsc::Receiver<ReadRequest>);

impl RecordReader {
    /// Creates the queue and returns both ends.
    pub(crate) fn new() -> (Self, ReadRequests) {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        (Self(tx), ReadRequests(rx))
    }

    /// Has the records read as they are now or later. Returns whether they were.
    pub(super) async fn read(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        self.0.try_send(tx).is_ok() && rx.await.unwrap_or(false)
    }
}

/// Reads the records of streams when requested, for as long as the process runs. Requests that wait at
/// the same time share a read.
pub(crate) async fn read_records(
    shared: Arc<Shared>,
    exchange: Arc<Exchange>,
    mut requests: ReadRequests,
) {
    // When the last read ended, and whether it succeeded.
    let mut last_read: Option<(Moment, bool)> = None;
    while let Some(first) = requests.0.recv().await {
        if let Some((at, was_read)) = last_read {
            let pause = read_pause(shared.instances(), at, shared.clock.now());
            if was_read && pause > READ_INTERVAL {
                // What was recorded before the last read is known.
                let _ = first.send(true);
                continue;
            }
            tokio::time::sleep(pause.min(READ_INTERVAL)).await;
        }
        let mut waiting = vec![first];
        while let Ok(next) = requests.0.try_recv() {
            waiting.push(next);
        }
        let is_read = match list_records(&shared, &exchange, CALL_TIMEOUT).await {
            Ok(records) => {
                remember(&shared, &records);
                true
            }
            Err(error) => {
                slog::info!(shared.log, "records of streams not read"; "reason" => error.to_string());
                false
            }
        };
        for request in waiting {
            // The caller may have gone.
            let _ = request.send(is_read);
        }
        last_read = Some((shared.clock.now(), is_read));
    }
}

/// Returns how long the next read has to wait after one that ended at `read_at`.
fn read_pause(instances: usize, read_at: Moment, now: Moment) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    let interval = READ_INTERVAL_PER_INSTANCE.saturating_mul(instances);
    interval
        .max(READ_INTERVAL)
        .saturating_sub(now.since(read_at))
}

fn remember(shared: &Shared, records: &[StreamRecord]) {
    let now = shared.clock.now();
    for record in records {
        shared.streams.told(&record.begun, now);
    }
    slog::info!(shared.log, "records of streams read";
        "records" => records.len(), "known_streams" => shared.streams.origins().len());
}

/// Lists all records of streams.
pub(super) async fn list_records(
    shared: &Shared,
    exchange: &Exchange,
    within: Duration,
) -> Result<Vec<StreamRecord>, ReadError> {
    let store = &shared.dialect.store;
    let mut records = Vec::new();
    let mut after = None;
    loop {
        let call = (store.list_streams)(after.as_deref());
        let answer = call_once(exchange, store, &call, within).await?;
        let page = (store.decode_streams_page)(answer.era, &answer.body)?;
        for malformed in page.malformed {
            slog::warn!(shared.log, "record of streams can't be decoded"; "problem" => malformed.to_string());
        }
        records.extend(page.records);
        after = page.next_after;
        if after.is_none() {
            return Ok(records);
        }
    }
}
