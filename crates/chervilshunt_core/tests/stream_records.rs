//! Which streams an instance writes to the platform, and which records it overwrites or removes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{
    BegunStreams, RecordOutcome, RecordSweep, RecordWrite, SoftwareVersion, StreamKey,
    StreamOrigin, StreamRecorder,
};
use chervilshunt_model::{Moment, ServiceName, StoreRevision};
use proptest::prelude::*;
use rstest::rstest;

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn rev(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

fn begun(software: &str, keys: impl IntoIterator<Item = u64>, seconds: u16) -> BegunStreams {
    let keys = keys.into_iter().map(|key| (StreamKey::from(key), seconds));
    BegunStreams {
        origin: StreamOrigin {
            service: ServiceName::from("drafts"),
            software: SoftwareVersion::new(software),
        },
        streams: keys.collect(),
    }
}

fn keys(write: &RecordWrite) -> Vec<u64> {
    let streams = write.streams.iter().flat_map(|it| &it.streams);
    streams.map(|(key, _)| u64::from(*key)).collect()
}

/// Writes what is queued and returns the record's number.
fn write(recorder: &mut StreamRecorder, revision: u64, now: Moment) -> u32 {
    let write = recorder.next_write(now).expect("a write");
    recorder.write_ended(RecordOutcome::Written(rev(revision)));
    write.number
}

#[test]
fn streams_are_written_with_their_origins() {
    let mut recorder = StreamRecorder::default();
    recorder.queue(&[begun("v1", [1, 2], 10)], at(0));
    recorder.queue(&[begun("v2", [3], 15)], at(0));
    let write = recorder.next_write(at(1_000)).expect("a write");
    let expected = [begun("v1", [1, 2], 9), begun("v2", [3], 14)];
    assert_eq!(write.streams, expected);
    assert_eq!((write.number, write.revision), (0, None));
    recorder.write_ended(RecordOutcome::Written(rev(5)));
    assert!(recorder.next_write(at(1_000)).is_none());
}

/// Guards against overwriting a record whose streams may still be taken up.
#[test]
fn a_record_is_overwritten_after_its_last_stream_has_expired() {
    let mut recorder = StreamRecorder::default();
    recorder.queue(&[begun("v1", [1], 5), begun("v1", [2], 10)], at(0));
    assert_eq!(write(&mut recorder, 5, at(0)), 0);
    recorder.queue(&[begun("v1", [3], 60)], at(9_999));
    assert_eq!(write(&mut recorder, 6, at(9_999)), 1);
    recorder.queue(&[begun("v1", [4], 60)], at(10_000));
    let next = recorder.next_write(at(10_000)).expect("a write");
    assert_eq!((next.number, next.revision), (0, Some(rev(5))));
}

/// Guards against losing streams with a write that failed.
#[rstest]
#[case::failed(RecordOutcome::Failed, 0)]
#[case::conflict(RecordOutcome::Conflict, 1)]
fn streams_of_a_failed_write_are_written_again(
    #[case] outcome: RecordOutcome,
    #[case] next_number: u32,
) {
    let mut recorder = StreamRecorder::default();
    recorder.queue(&[begun("v1", [1], 1)], at(0));
    write(&mut recorder, 5, at(0));
    recorder.queue(&[begun("v1", [2], 10)], at(2_000));
    assert_eq!(recorder.next_write(at(2_000)).expect("a write").number, 0);
    recorder.write_ended(outcome);
    recorder.queue(&[begun("v1", [3], 10)], at(2_000));
    let again = recorder.next_write(at(2_000)).expect("a write");
    assert_eq!(keys(&again), [2, 3]);
    assert_eq!(again.number, next_number);
}

/// Guards against a process that writes without end after an outage what nobody needs any more.
#[test]
fn streams_that_expire_in_the_queue_are_not_written() {
    let mut recorder = StreamRecorder::default();
    recorder.queue(&[begun("v1", [1], 10), begun("v1", [2], 20)], at(0));
    let write = recorder.next_write(at(10_000)).expect("a write");
    assert_eq!(keys(&write), [2]);
}

/// Guards against a queue that grows without bound during an outage.
#[test]
fn the_queue_is_bounded() {
    let mut recorder = StreamRecorder::default();
    assert_eq!(recorder.queue(&[begun("v1", 0..99_999, 60)], at(0)), 0);
    assert_eq!(
        recorder.queue(&[begun("v1", 99_999..100_002, 60)], at(0)),
        2
    );
    let write = recorder.next_write(at(0)).expect("a write");
    assert_eq!(keys(&write).first(), Some(&2));
    assert!(keys(&write).len() <= 4_000);
}

/// Guards against conditional writes to records that a restore of the platform has taken back.
#[test]
fn records_from_before_a_restore_are_not_overwritten() {
    let mut recorder = StreamRecorder::default();
    recorder.queue(&[begun("v1", [1], 1)], at(0));
    write(&mut recorder, 5, at(0));
    recorder.forget_records();
    recorder.queue(&[begun("v1", [2], 1)], at(5_000));
    let next = recorder.next_write(at(5_000)).expect("a write");
    assert_eq!((next.number, next.revision), (1, None));
}

/// Guards against records of ended processes that stay at the platform for good, and against removing
/// those that have just been written.
#[test]
fn records_are_removed_once_they_have_not_changed_for_long() {
    let mut sweep = RecordSweep::default();
    let list = |a, b| vec![(Arc::from("a"), rev(a)), (Arc::from("b"), rev(b))];
    for (minute, b) in [(0, 1), (1, 2), (2, 3)] {
        assert!(sweep.expired(list(1, b), at(minute * 60_000)).is_empty());
    }
    let expired = sweep.expired(list(1, 4), at(180_000));
    assert_eq!(expired, [(Arc::from("a"), rev(1))]);
}

proptest! {
    /// Guards against an open stream that no record has, whichever writes fail.
    #[test]
    fn written_streams_stay_until_they_expire(
        steps in proptest::collection::vec((0u64..3_000, 1u16..8, 0u8..4), 1..80),
    ) {
        let mut recorder = StreamRecorder::default();
        let mut store: HashMap<u32, Vec<u64>> = HashMap::new();
        let mut expires: HashMap<u64, Moment> = HashMap::new();
        let mut written: Vec<u64> = Vec::new();
        let mut now = Moment::ZERO;
        for (number, (pause, seconds, outcome)) in steps.into_iter().enumerate() {
            let key = number as u64;
            now = now + Duration::from_millis(pause);
            expires.insert(key, now + Duration::from_secs(seconds.into()));
            recorder.queue(&[begun("v1", [key], seconds)], now);
            let write = recorder.next_write(now).expect("a write");
            // A write whose outcome is unknown may have been carried out.
            if outcome != 1 {
                store.insert(write.number, keys(&write));
            }
            let outcome = match outcome {
                0 => RecordOutcome::Failed,
                1 => RecordOutcome::Conflict,
                _ => {
                    written.extend(keys(&write));
                    RecordOutcome::Written(rev(key))
                }
            };
            recorder.write_ended(outcome);
            let is_open = |key: &&u64| now < expires[*key];
            for key in written.iter().filter(is_open) {
                prop_assert!(store.values().flatten().any(|it| it == key), "{key} at {now:?}");
            }
        }
    }
}
