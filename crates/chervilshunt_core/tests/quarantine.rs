//! Tests of the rules by which requests that crash targets are refused.

use std::collections::HashSet;
use std::time::Duration;

use chervilshunt_core::{
    Crash, CrashRecord, Fingerprint, Quarantine, QuarantineConfig, StoredCrashes,
};
use chervilshunt_model::{Moment, StoreRevision, TargetName};

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn request(body: &str) -> Fingerprint {
    Fingerprint::of([&b"POST"[..], b"/path", body.as_bytes()])
}

fn target(name: &str) -> TargetName {
    TargetName::from(name)
}

fn crash(body: &str, name: &str) -> Crash {
    Crash {
        fingerprint: request(body),
        target: target(name),
        has_run: true,
    }
}

fn stored(fingerprint: Fingerprint, targets: &[&str], revision: u64) -> StoredCrashes {
    StoredCrashes {
        fingerprint,
        record: CrashRecord {
            targets: targets.iter().map(|it| target(it).into()).collect(),
            ..CrashRecord::default()
        },
        revision: Some(StoreRevision::new(0, revision)),
    }
}

fn quarantine() -> Quarantine {
    Quarantine::new(QuarantineConfig::default())
}

#[test]
fn a_request_is_refused_once_it_has_crashed_two_targets() {
    let mut known = quarantine();
    assert!(known.record_crash(crash("a", "t1"), at(150)));
    let first = known
        .record_to_store(request("a"))
        .expect("an unrecorded crash");
    assert_eq!((first.record.targets.len(), first.revision), (1, None));
    assert_eq!(known.refused_until(request("a"), at(151)), None);
    // Another attempt that was in progress at the same target reports the same crash.
    assert!(!known.record_crash(crash("a", "t1"), at(160)));
    assert!(known.record_crash(crash("a", "t2"), at(1_450)));
    let until = known.refused_until(request("a"), at(1_451));
    assert_eq!(until, Some(at(1_450) + Duration::from_secs(3_600)));
    assert_eq!(known.refused_until(request("b"), at(1_451)), None);
}

/// Guards against refusing a common request that was in progress on all targets of a rack that
/// crashed.
#[test]
fn a_recently_served_request_is_not_suspected() {
    let mut known = Quarantine::new(QuarantineConfig {
        max_recently_served: 2,
        ..QuarantineConfig::default()
    });
    assert!(!known.record_served(request("a")));
    known.record_served(request("b"));
    for name in ["t1", "t2", "t3"] {
        assert!(!known.record_crash(crash("a", name), at(150)));
    }
    assert_eq!(known.refused_until(request("a"), at(151)), None);
    known.record_served(request("c"));
    assert!(
        known.record_crash(crash("a", "t1"), at(200)),
        "the request is no longer among those served recently"
    );
}

/// Guards against losing the second of two crashes that two instances record at the same time.
#[test]
fn crashes_that_two_instances_see_are_counted_together() {
    let mut known = quarantine();
    known.record_crash(crash("a", "t2"), at(90));
    assert!(known.merge_stored(stored(request("a"), &["t1"], 7), at(100)));
    assert!(known.refused_until(request("a"), at(101)).is_some());
    let merged = known
        .record_to_store(request("a"))
        .expect("a crash that is not in the record");
    assert_eq!(merged.revision.map(|it| it.number), Some(7));
    assert_eq!(
        merged.record.targets,
        [target("t2").into(), target("t1").into()]
    );
    known.merge_stored(stored(request("a"), &["t2", "t1"], 8), at(110));
    assert_eq!(known.record_to_store(request("a")), None);
    // An earlier version of the record arrives late.
    assert!(!known.merge_stored(stored(request("a"), &["t1"], 7), at(120)));
    assert_eq!(known.record_to_store(request("a")), None);
}

#[test]
fn a_request_that_is_served_is_no_longer_suspected() {
    let mut known = quarantine();
    known.record_crash(crash("a", "t1"), at(150));
    assert!(known.record_served(request("a")));
    assert!(known.release(request("a")));
    assert!(!known.release(request("a")));
    known.record_crash(crash("a", "t2"), at(1_150));
    assert_eq!(known.refused_until(request("a"), at(1_151)), None);
}

#[test]
fn records_from_other_instances_are_enforced() {
    let mut known = quarantine();
    assert!(known.merge_stored(stored(request("a"), &["t1", "t2"], 9), at(0)));
    assert!(known.refused_until(request("a"), at(1)).is_some());
    // Listing the record again adds nothing and does not extend the refusal.
    assert!(!known.merge_stored(stored(request("a"), &["t1", "t2"], 9), at(60_000)));
    let until = known.refused_until(request("a"), at(60_001));
    assert_eq!(until, Some(at(0) + Duration::from_secs(3_600)));
}

/// Guards against forgetting crashes that this instance has observed but not yet stored when it
/// lists the platform's records after an outage.
#[test]
fn a_list_releases_missing_records_and_keeps_unstored_crashes() {
    let mut known = quarantine();
    known.merge_stored(stored(request("a"), &["t1", "t2"], 9), at(0));
    known.record_crash(crash("b", "t3"), at(100));
    assert_eq!(known.reconcile(&HashSet::new()), [request("a")]);
    assert!(known.record_served(request("b")), "it is still suspected");
}

#[test]
fn crashes_expire() {
    let mut known = quarantine();
    known.record_crash(crash("a", "t1"), at(0));
    known.merge_stored(stored(request("b"), &["t1", "t2"], 9), at(0));
    assert!(known.take_expired(at(599_999)).is_empty());
    assert_eq!(known.take_expired(at(600_000)), [request("a")]);
    assert_eq!(known.take_expired(at(3_600_000)), [request("b")]);
    assert!(known.is_empty());
}

#[test]
fn the_number_of_remembered_requests_is_bounded() {
    let mut known = Quarantine::new(QuarantineConfig {
        max_requests: 1,
        ..QuarantineConfig::default()
    });
    known.record_crash(crash("a", "t1"), at(100));
    assert!(!known.record_crash(crash("b", "t1"), at(100)));
    assert!(known.record_crash(crash("a", "t2"), at(300)));
}

#[test]
fn fingerprints_distinguish_parts_and_round_trip() {
    assert_ne!(
        Fingerprint::of([&b"ab"[..], b"c"]),
        Fingerprint::of([&b"a"[..], b"bc"])
    );
    let text = request("a").to_string();
    assert_eq!(text.parse(), Ok(request("a")));
}

/// Guards against storing a record for each of the dozens of requests queued at an overloaded
/// target that crashes.
#[test]
fn the_first_crash_of_a_request_that_may_only_have_been_queued_is_not_recorded() {
    let queued = |name| Crash {
        has_run: false,
        ..crash("a", name)
    };
    let mut known = quarantine();
    assert!(!known.record_crash(queued("t1"), at(100)));
    assert!(known.record_crash(queued("t2"), at(300)));
    assert!(known.refused_until(request("a"), at(301)).is_some());
}

/// Guards against a restore of the platform from a backup after which a request could crash targets
/// again.
#[test]
fn a_request_stays_refused_when_a_restored_platform_lacks_its_record() {
    let mut known = quarantine();
    known.merge_stored(stored(request("a"), &["t1", "t2"], 9), at(0));
    known.merge_stored(stored(request("b"), &["t1"], 10), at(0));
    known.handle_restore();
    assert!(known.reconcile(&HashSet::new()).is_empty());
    assert!(known.refused_until(request("a"), at(1)).is_some());
    assert_eq!(known.missing_records(), [request("a")]);
    let missing = known
        .record_to_store(request("a"))
        .expect("the complete record");
    assert_eq!((missing.record.targets.len(), missing.revision), (2, None));
}
