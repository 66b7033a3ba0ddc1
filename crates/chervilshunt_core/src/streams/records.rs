//! Records of where streams began, which outlive every instance.
//!
//! An instance writes streams in batches to objects of its own at the platform. An object whose streams
//! have all expired is written anew, so that their number is bounded by the streams that are open.

use std::collections::HashMap;
use std::sync::Arc;

use chervilshunt_model::{Moment, StoreRevision};

use super::origins::{BegunStreams, MAX_LIFETIME, StreamKey, StreamOrigin, expiry, grouped};

/// The maximum number of streams in one record, which bounds its size to about 100 KB.
const MAX_STREAMS_PER_RECORD: usize = 4_000;
/// The maximum number of streams that wait to be written. More than this gather only during an outage of
/// the platform; the oldest are dropped first, since their callers give up first.
const MAX_QUEUED_STREAMS: usize = 100_000;

/// The streams that an instance has to write, and its records at the platform.
#[derive(Debug, Default)]
pub struct StreamRecorder {
    queued: Vec<(StreamKey, Arc<StreamOrigin>, Moment)>,
    records: Vec<Record>,
    /// The number of the next new record. Numbers are not used twice: a write that was given up may still
    /// be carried out.
    next_number: u32,
    writing: Option<Writing>,
}

/// A record that this instance has written.
#[derive(Debug)]
struct Record {
    number: u32,
    revision: StoreRevision,
    /// When the last of its streams expires.
    expires: Moment,
}

/// A write in progress.
#[derive(Debug)]
struct Writing {
    number: u32,
    /// The record that is overwritten; `None` if a new one is created.
    overwritten: Option<Record>,
    streams: Vec<(StreamKey, Arc<StreamOrigin>, Moment)>,
}

/// A write of a record.
#[derive(Debug)]
pub struct RecordWrite {
    /// The number of the record, unique within the process.
    pub number: u32,
    /// The revision that the record must still have; `None` if it is to be created.
    pub revision: Option<StoreRevision>,
    /// The streams to write.
    pub streams: Vec<BegunStreams>,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The record has been written, at this revision.
    Written(StoreRevision),
    /// The record is not as expected: another write of it was carried out late, or it was removed.
    Conflict,
    /// The write failed, or its outcome is unknown.
    Failed,
}

impl StreamRecorder {
    /// Queues streams to be written. Returns how many others were dropped for want of room.
    pub fn queue(&mut self, begun: &[BegunStreams], now: Moment) -> usize {
        for BegunStreams { origin, streams } in begun {
            let origin = Arc::new(origin.clone());
            let streams = streams.iter();
            let streams =
                streams.map(|(key, seconds)| (*key, Arc::clone(&origin), expiry(*seconds, now)));
            self.queued.extend(streams);
        }
        let surplus = self.queued.len().saturating_sub(MAX_QUEUED_STREAMS);
        self.queued.drain(..surplus);
        surplus
    }

    /// Returns whether streams wait to be written.
    pub const fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Returns the next write, if there is anything to write and no write is in progress.
    pub fn next_write(&mut self, now: Moment) -> Option<RecordWrite> {
        if self.writing.is_some() {
            return None;
        }
        self.queued.retain(|(_, _, until)| now < *until);
        if self.queued.is_empty() {
            return None;
        }
        let count = self.queued.len().min(MAX_STREAMS_PER_RECORD);
        let streams: Vec<_> = self.queued.drain(..count).collect();
        let expired = self.records.iter().position(|it| it.expires <= now);
        let overwritten = expired.map(|at| self.records.swap_remove(at));
        let number = overwritten
            .as_ref()
            .map_or(self.next_number, |it| it.number);
        self.next_number = self.next_number.max(number + 1);
        let write = RecordWrite {
            number,
            revision: overwritten.as_ref().map(|it| it.revision),
            streams: grouped(streams.clone(), now),
        };
        self.writing = Some(Writing {
            number,
            overwritten,
            streams,
        });
        Some(write)
    }

    /// Records how the write in progress ended. Streams that were not written are queued again.
    pub fn write_ended(&mut self, outcome: RecordOutcome) {
        let Some(writing) = self.writing.take() else {
            return;
        };
        let Writing {
            number,
            overwritten,
            streams,
        } = writing;
        match outcome {
            RecordOutcome::Written(revision) => {
                let expires = streams.iter().map(|(_, _, until)| *until).max();
                self.records.push(Record {
                    number,
                    revision,
                    expires: expires.unwrap_or_default(),
                });
                return;
            }
            // If the write is carried out late after all, the next one of this record conflicts.
            RecordOutcome::Failed => self.records.extend(overwritten),
            RecordOutcome::Conflict => {}
        }
        self.queued.splice(..0, streams);
    }

    /// Forgets the records, because the platform was restored from an older copy: they may be missing, or
    /// have older contents.
    pub fn forget_records(&mut self) {
        self.records.clear();
    }
}

/// Finds records whose streams have all expired, whoever wrote them: processes that have ended no longer
/// write theirs anew.
#[derive(Debug, Default)]
pub struct RecordSweep {
    /// The revision of each record, and when it was first listed with it.
    seen: HashMap<Arc<str>, (StoreRevision, Moment)>,
}

impl RecordSweep {
    /// Takes a complete list of the records, and returns those to remove: the ones that have not changed
    /// for longer than any stream is remembered.
    pub fn expired(
        &mut self,
        listed: Vec<(Arc<str>, StoreRevision)>,
        now: Moment,
    ) -> Vec<(Arc<str>, StoreRevision)> {
        let since = |name: &Arc<str>, revision| match self.seen.get(name) {
            Some((seen, since)) if *seen == revision => *since,
            Some(_) | None => now,
        };
        let listed = listed.into_iter();
        self.seen = listed
            .map(|(name, revision)| {
                let since = since(&name, revision);
                (name, (revision, since))
            })
            .collect();
        let seen = self.seen.iter();
        let expired = seen.filter(|(_, (_, since))| now.since(*since) > MAX_LIFETIME);
        expired
            .map(|(name, (revision, _))| (Arc::clone(name), *revision))
            .collect()
    }
}
