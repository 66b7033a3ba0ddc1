//! When a request is refused because targets crash under it, by cases.

use std::collections::HashSet;
use std::time::Duration;

use chervilshunt_core::{
    Crash, CrashRecord, Fingerprint, Quarantine, QuarantineConfig, StoredCrashes,
};
use chervilshunt_model::{Moment, TargetName};

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn request(body: &str) -> Fingerprint {
    Fingerprint::of([&b"POST"[..], b"/path", body.as_bytes()])
}

fn target(name: &str) -> TargetName {
    TargetName::from(name)
}

fn crash(body: &str, name: &str, sent_at: u64) -> Crash {
    Crash {
        fingerprint: request(body),
        target: target(name),
        sent_at: at(sent_at),
        has_run: true,
    }
}

fn stored(fingerprint: Fingerprint, targets: &[&str], revision: u64) -> StoredCrashes {
    StoredCrashes {
        fingerprint,
        record: CrashRecord {
            targets: targets.iter().map(|it| target(it)).collect(),
        },
        revision: Some(revision),
    }
}

fn quarantine() -> Quarantine {
    Quarantine::new(QuarantineConfig::default())
}

#[test]
fn a_request_is_refused_once_it_has_crashed_targets_one_after_the_other() {
    let mut known = quarantine();
    let first = known.crashed(crash("a", "t1", 0), at(150));
    let first = first.expect("something new");
    assert_eq!((first.record.targets.len(), first.revision), (1, None));
    assert_eq!(known.refused_until(request("a"), at(151)), None);
    let second = known.crashed(crash("a", "t2", 1_300), at(1_450));
    assert_eq!(second.map(|it| it.record.targets.len()), Some(2));
    let until = known.refused_until(request("a"), at(1_451));
    assert_eq!(until, Some(at(1_450) + Duration::from_secs(3_600)));
    assert_eq!(known.refused_until(request("b"), at(1_451)), None);
}

/// Guards against the refusal of a request that was under way at all targets of a rack.
#[test]
fn targets_that_crash_at_once_count_as_one() {
    let mut known = quarantine();
    known.crashed(crash("a", "t1", 0), at(150));
    let same = known.crashed(crash("a", "t2", 100), at(160));
    assert_eq!(same, None);
    assert_eq!(known.refused_until(request("a"), at(161)), None);
}

/// Guards against one instance that learns of a crash from another and counts its own try of before.
#[test]
fn a_try_that_was_under_way_when_another_instance_told_of_a_crash_does_not_count() {
    let mut known = quarantine();
    assert!(known.recorded(stored(request("a"), &["t1"], 7), at(100)));
    assert_eq!(known.crashed(crash("a", "t2", 90), at(200)), None);
    let later = known.crashed(crash("a", "t3", 101), at(300));
    assert_eq!(later.and_then(|it| it.revision), Some(7));
}

#[test]
fn a_request_that_is_served_is_no_longer_suspected() {
    let mut known = quarantine();
    known.crashed(crash("a", "t1", 0), at(150));
    assert!(known.suspects(request("a")));
    assert!(known.release(request("a")));
    assert!(!known.release(request("a")));
    known.crashed(crash("a", "t2", 1_000), at(1_150));
    assert_eq!(known.refused_until(request("a"), at(1_151)), None);
}

#[test]
fn records_of_other_instances_refuse_here_too() {
    let mut known = quarantine();
    assert!(known.recorded(stored(request("a"), &["t1", "t2"], 9), at(0)));
    assert!(known.refused_until(request("a"), at(1)).is_some());
    // Listed again, it tells nothing new and refuses no longer than before.
    assert!(!known.recorded(stored(request("a"), &["t1", "t2"], 9), at(60_000)));
    let until = known.refused_until(request("a"), at(60_001));
    assert_eq!(until, Some(at(0) + Duration::from_secs(3_600)));
}

/// Guards against an outage of the platform that makes instances forget what they have seen themselves.
#[test]
fn a_list_releases_what_was_stored_and_keeps_what_has_yet_to_be() {
    let mut known = quarantine();
    known.recorded(stored(request("a"), &["t1", "t2"], 9), at(0));
    known.crashed(crash("b", "t3", 0), at(100));
    assert_eq!(known.listed(&HashSet::new()), [request("a")]);
    assert!(known.suspects(request("b")));
}

#[test]
fn crashes_are_forgotten_after_a_time() {
    let mut known = quarantine();
    known.crashed(crash("a", "t1", 0), at(0));
    known.recorded(stored(request("b"), &["t1", "t2"], 9), at(0));
    assert!(known.take_expired(at(599_999)).is_empty());
    assert_eq!(known.take_expired(at(600_000)), [request("a")]);
    assert_eq!(known.take_expired(at(3_600_000)), [request("b")]);
    assert!(known.is_empty());
}

#[test]
fn no_more_requests_are_remembered_than_there_is_room_for() {
    let mut known = Quarantine::new(QuarantineConfig {
        most: 1,
        ..QuarantineConfig::default()
    });
    known.crashed(crash("a", "t1", 0), at(100));
    assert_eq!(known.crashed(crash("b", "t1", 0), at(100)), None);
    assert!(known.crashed(crash("a", "t2", 200), at(300)).is_some());
}

#[test]
fn no_part_of_a_request_passes_for_another() {
    assert_ne!(
        Fingerprint::of([&b"ab"[..], b"c"]),
        Fingerprint::of([&b"a"[..], b"bc"])
    );
    let text = request("a").to_string();
    assert_eq!(text.parse(), Ok(request("a")));
}

/// Guards against a record for each of the dozens of requests that wait at an overloaded target which
/// crashes.
#[test]
fn the_first_crash_of_a_request_that_may_only_have_waited_is_not_recorded() {
    let waited = |name, sent_at| Crash {
        has_run: false,
        ..crash("a", name, sent_at)
    };
    let mut known = quarantine();
    assert_eq!(known.crashed(waited("t1", 0), at(100)), None);
    let second = known.crashed(waited("t2", 200), at(300));
    assert_eq!(second.map(|it| it.record.targets.len()), Some(2));
    assert!(known.refused_until(request("a"), at(301)).is_some());
}
