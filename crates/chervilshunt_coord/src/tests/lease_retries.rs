//! Tests of the granted retries that the record of the exclusive lease carries from one holder to the next.

use std::time::Duration;

use chervilshunt_model::{
    InstanceId, Moment, RetryCounts, ServiceName, SpentRetries, StoreRevision,
};
use rstest::rstest;

use crate::lease::{
    ExclusiveLeaseAction, ExclusiveLeaseConfig, ExclusiveLeaseEvent, ExclusiveLeaseKeeper,
    ExclusiveLeaseRecord, LeaseWriteOutcome, VersionedLeaseRecord,
};

const PER_WRITE: u32 = 16;

fn at(ms: u64) -> Moment {
    Moment::from_millis(100_000 + ms)
}

fn keeper(name: &str, process: u64, is_first_start: bool, now: Moment) -> ExclusiveLeaseKeeper {
    let cfg = ExclusiveLeaseConfig {
        is_first_start,
        retries_per_write: PER_WRITE,
        ..ExclusiveLeaseConfig::default()
    };
    let address = ([10, 0, 0, name.as_bytes()[0]], 7000).into();
    let me = InstanceId::from(name);
    ExclusiveLeaseKeeper::new(cfg, me, process, address, Duration::ZERO, now)
}

/// Returns the record of a placer that has granted some retries, half of which are unanswered.
fn spent(count: u32, others: u32) -> SpentRetries {
    let counts = |count| RetryCounts {
        by_service: vec![(ServiceName::new("plain"), count)],
        others,
    };
    SpentRetries {
        counts: counts(count),
        unanswered: Some(counts(count / 2)),
    }
}

/// Has a keeper see a record at the first moment and take the lease as soon as it may; returns what it wrote.
fn take(
    keeper: &mut ExclusiveLeaseKeeper,
    seen: Option<VersionedLeaseRecord>,
    era: u64,
) -> ExclusiveLeaseRecord {
    let mut now = at(1_000);
    let mut actions = keeper.handle(ExclusiveLeaseEvent::Seen(seen), now);
    if actions.is_empty() {
        now = at(20_000);
        actions = keeper.handle(ExclusiveLeaseEvent::Tick, now);
    }
    let record = match &*actions {
        [ExclusiveLeaseAction::Write(record, _)] => record.clone(),
        other => panic!("{other:?}"),
    };
    let outcome = LeaseWriteOutcome::Done(StoreRevision::new(era, 9));
    let gained = keeper.handle(ExclusiveLeaseEvent::Written(outcome), now);
    assert!(matches!(&*gained, [ExclusiveLeaseAction::Gained(_)]));
    record
}

/// Returns the record of a holder that has been told what it may have granted.
fn record_of_holder(retries: Option<SpentRetries>) -> VersionedLeaseRecord {
    let mut holder = keeper("a", 1, true, at(1_000));
    take(&mut holder, None, 0);
    holder.set_retries(spent(20, PER_WRITE));
    let renewed = match &*holder.handle(ExclusiveLeaseEvent::Tick, at(1_900)) {
        [ExclusiveLeaseAction::Write(record, _)] => record.clone(),
        other => panic!("{other:?}"),
    };
    assert_eq!(renewed.retries, Some(spent(20, PER_WRITE)));
    VersionedLeaseRecord {
        record: ExclusiveLeaseRecord { retries, ..renewed },
        version: StoreRevision::new(0, 10),
    }
}

/// Guards against retries that the next holder grants again: another instance, or the next process of the same
/// one, which takes the lease at once.
#[rstest]
#[case::another_instance("b", 2)]
#[case::next_process("a", 2)]
fn a_holder_inherits_what_was_granted(#[case] name: &str, #[case] process: u64) {
    let seen = record_of_holder(Some(spent(36, PER_WRITE)));
    let mut next = keeper(name, process, false, at(1_000));
    let record = take(&mut next, Some(seen), 0);
    assert_eq!(*next.inherited_retries(), spent(36, PER_WRITE));
    assert_eq!(
        record.retries,
        Some(spent(36, PER_WRITE).with_more(PER_WRITE))
    );
    let counts = record.retries.expect("retries");
    let service = ServiceName::new("plain");
    assert_eq!(counts.of(&service), 36 + PER_WRITE);
    assert_eq!(counts.unanswered().of(&service), 18 + PER_WRITE);
    assert_eq!(counts.of(&ServiceName::new("other")), 2 * PER_WRITE);
}

/// Guards against a first holder that grants nothing for a window, and against one that takes a lost record
/// for none.
#[rstest]
#[case::first_start(true, SpentRetries::default())]
#[case::record_lost(false, SpentRetries::unknown())]
fn without_a_record(#[case] is_first_start: bool, #[case] inherited: SpentRetries) {
    let mut first = keeper("a", 1, is_first_start, at(1_000));
    let record = take(&mut first, None, 0);
    assert_eq!(*first.inherited_retries(), inherited);
    assert_eq!(record.retries, Some(inherited.with_more(PER_WRITE)));
}

/// Guards against a record that lacks what was granted since: one of an earlier version, or one that the
/// platform has restored from an older copy.
#[rstest]
#[case::earlier_version(None, 0)]
#[case::restored(Some(spent(0, PER_WRITE)), 1)]
fn an_incomplete_record_counts_as_none(#[case] retries: Option<SpentRetries>, #[case] era: u64) {
    let seen = record_of_holder(retries);
    let seen = VersionedLeaseRecord {
        version: StoreRevision::new(era, 8),
        ..seen
    };
    let mut next = keeper("b", 2, true, at(1_000));
    take(&mut next, Some(seen), era);
    assert_eq!(*next.inherited_retries(), SpentRetries::unknown());
}
