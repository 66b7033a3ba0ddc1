//! Tests of watches under faults of the platform.

mod support;

use std::time::Duration;

use chervilshunt_platform::{
    ASSIGNMENTS, Object, Platform, ResourceVersion, Selector, StallReason, WatchEvent, WatchTiming,
};
use chervilshunt_standin::platform::{Down, FaultPatch, PlatformOptions, Tables, start_platform};
use rstest::rstest;
use serde_json::json;
use slog::{Discard, Logger, o};
use support::{Spec, client, config, standin, wait_for, within};
use tokio::sync::mpsc;

type Events = mpsc::Receiver<WatchEvent<Spec>>;

async fn create(platform: &Platform, name: &str, value: u64) -> Object<Spec> {
    let mut object = Object::new(name, Spec { value });
    let version = platform.create(ASSIGNMENTS, &object).await;
    object.resource_version = Some(version.expect("the platform is up"));
    object
}

async fn update(platform: &Platform, object: &mut Object<Spec>, value: u64) {
    object.spec.value = value;
    let version = platform.update(ASSIGNMENTS, object).await;
    object.resource_version = Some(version.expect("the platform is up"));
}

fn watch(platform: &Platform) -> Events {
    platform.watch(ASSIGNMENTS, Selector::all())
}

async fn synced(rx: &mut Events) -> ResourceVersion {
    wait_for(rx, |event| match event {
        WatchEvent::Synced { version } => Some(version),
        _ => None,
    })
    .await
}

async fn stalled(rx: &mut Events) -> StallReason {
    wait_for(rx, |event| match event {
        WatchEvent::Stalled { reason } => Some(reason),
        _ => None,
    })
    .await
}

async fn applied(rx: &mut Events) -> (String, u64) {
    wait_for(rx, |event| match event {
        WatchEvent::Applied(object) => Some((object.name.to_string(), object.spec.value)),
        _ => None,
    })
    .await
}

async fn deleted(rx: &mut Events) -> String {
    wait_for(rx, |event| match event {
        WatchEvent::Deleted { name } => Some(name.to_string()),
        _ => None,
    })
    .await
}

/// The instance whose watch the faults affect.
const WATCHER: &str = "i-1";
/// Another instance, which keeps writing without faults.
const WRITER: &str = "i-2";

/// A duration longer than any test.
const NEVER: Duration = Duration::from_secs(3_600);

fn only_watcher(patch: FaultPatch) -> FaultPatch {
    FaultPatch {
        only: Some(vec![WATCHER.into()]),
        ..patch
    }
}

#[tokio::test]
async fn delivers_existing_objects_then_changes() {
    let standin = standin().await;
    let platform = client(&standin, "i-1");
    let mut a = create(&platform, "a", 1).await;
    let mut rx = watch(&platform);
    assert_eq!(applied(&mut rx).await, ("a".into(), 1));
    synced(&mut rx).await;
    update(&platform, &mut a, 2).await;
    assert_eq!(applied(&mut rx).await, ("a".into(), 2));
    platform
        .delete(ASSIGNMENTS, "a", a.resource_version)
        .await
        .expect("it is there");
    assert_eq!(deleted(&mut rx).await, "a");
}

/// A watch loses its connection, another instance writes and deletes objects, and the fault is
/// lifted. The watch must report `Stalled` and then deliver all changes made meanwhile, including
/// the deletion, by resuming from the last version it received.
#[rstest]
#[case::cut(FaultPatch { cut: Some(vec![WATCHER.into()]), ..FaultPatch::default() })]
#[case::refused(FaultPatch { down: Some(Down::Refuse), ..FaultPatch::default() })]
#[case::unavailable(FaultPatch { down: Some(Down::Unavailable), ..FaultPatch::default() })]
#[tokio::test]
async fn resumes_after(#[case] fault: FaultPatch) {
    let standin = standin().await;
    let (watcher, writer) = (client(&standin, WATCHER), client(&standin, WRITER));
    let mut a = create(&writer, "a", 1).await;
    create(&writer, "b", 1).await;
    let mut rx = watch(&watcher);
    synced(&mut rx).await;

    standin.set_faults(only_watcher(fault));
    assert_eq!(stalled(&mut rx).await, StallReason::Outage);
    update(&writer, &mut a, 2).await;
    writer
        .delete(ASSIGNMENTS, "b", None)
        .await
        .expect("it is there");
    standin.clear_faults();

    assert_eq!(applied(&mut rx).await, ("a".into(), 2));
    assert_eq!(deleted(&mut rx).await, "b");
}

/// The connection stays open but delivers nothing, not even bookmarks, as behind a faulty switch.
/// Without an idle time-out the watch would wait forever.
#[tokio::test]
async fn resumes_after_idle_timeout() {
    let standin = standin().await;
    let mut cfg = config(&standin, WATCHER);
    cfg.watch.min_check_interval = NEVER;
    let watcher = Platform::new(cfg, Logger::root(Discard, o!()));
    let writer = client(&standin, WRITER);
    let mut a = create(&writer, "a", 1).await;
    let mut rx = watch(&watcher);
    synced(&mut rx).await;

    let frozen = FaultPatch {
        freeze: Some(true),
        ..FaultPatch::default()
    };
    standin.set_faults(only_watcher(frozen));
    assert_eq!(stalled(&mut rx).await, StallReason::Silence);
    update(&writer, &mut a, 2).await;
    standin.clear_faults();
    assert_eq!(applied(&mut rx).await, ("a".into(), 2));
}

/// The platform freezes, and the idle time-out of the watch is too long to notice it. The periodic
/// check gets no response, so the watch must report that it may be out of date. The connection of
/// the watch is kept.
#[tokio::test]
async fn a_check_notices_a_frozen_platform() {
    let standin = standin().await;
    let mut cfg = config(&standin, WATCHER);
    cfg.watch.idle_timeout = NEVER;
    let watcher = Platform::new(cfg, Logger::root(Discard, o!()));
    let mut rx = watch(&watcher);
    synced(&mut rx).await;
    let frozen = FaultPatch {
        freeze: Some(true),
        ..FaultPatch::default()
    };
    standin.set_faults(frozen);
    assert_eq!(stalled(&mut rx).await, StallReason::Outage);
    standin.clear_faults();
    synced(&mut rx).await;
    assert_eq!(standin.stats().calls_of("watch"), 1);
}

/// The total rate of checks of all instances must stay below its limit for any number of
/// instances.
#[rstest]
#[case(7, Duration::from_millis(1_500))]
#[case(30, Duration::from_millis(1_500))]
#[case(370, Duration::from_millis(18_500))]
#[case(1_000, Duration::from_secs(50))]
fn check_interval_grows_with_the_fleet(#[case] fleet_size: usize, #[case] interval: Duration) {
    assert_eq!(WatchTiming::default().check_interval(fleet_size), interval);
}

/// The watch silently loses a change and delivers later events as usual. The version list must
/// reveal the lost change, and a full list must deliver the object. This must also work if the
/// kind's definition lacks the version column or the platform does not support tables.
#[rstest]
#[case::tables(Tables::Full)]
#[case::no_version_column(Tables::NoVersion)]
#[case::no_tables(Tables::None)]
#[tokio::test]
async fn detects_a_missed_change(#[case] tables: Tables) {
    let standin = standin().await;
    standin.set_faults(table_support(tables));
    let platform = client(&standin, WATCHER);
    let mut a = create(&platform, "a", 1).await;
    let mut rx = watch(&platform);
    synced(&mut rx).await;

    let gap = FaultPatch {
        watch_gap: Some(1),
        ..FaultPatch::default()
    };
    standin.set_faults(gap);
    update(&platform, &mut a, 2).await;
    create(&platform, "b", 7).await;
    assert_eq!(applied(&mut rx).await, ("b".into(), 7));
    assert_eq!(applied(&mut rx).await, ("a".into(), 2));
}

/// The watch silently loses a deletion. Without the check, the object would stay in the view
/// forever.
#[rstest]
#[case::tables(Tables::Full)]
#[case::no_version_column(Tables::NoVersion)]
#[case::no_tables(Tables::None)]
#[tokio::test]
async fn detects_a_missed_deletion(#[case] tables: Tables) {
    let standin = standin().await;
    standin.set_faults(table_support(tables));
    let platform = client(&standin, WATCHER);
    create(&platform, "a", 1).await;
    let mut rx = watch(&platform);
    synced(&mut rx).await;

    let gap = FaultPatch {
        watch_gap: Some(1),
        ..FaultPatch::default()
    };
    standin.set_faults(gap);
    let gone = platform.delete(ASSIGNMENTS, "a", None).await;
    gone.expect("it is there");
    assert_eq!(deleted(&mut rx).await, "a");
}

fn table_support(tables: Tables) -> FaultPatch {
    FaultPatch {
        tables: Some(tables),
        ..FaultPatch::default()
    }
}

/// A check of the assignments, 64 objects of a few kilobytes each, must take one call and no more
/// bytes than assumed for the fleet's budget. When checks used the page size for whole objects, one
/// took 16 calls, and the fleet made 320 list calls per second instead of 20.
#[tokio::test]
async fn a_check_of_all_assignments_is_one_small_call() {
    const ASSIGNMENT_OBJECTS: usize = 64;
    const CHECK_BYTES: u64 = 6_000;
    let standin = standin().await;
    let platform = client(&standin, WATCHER);
    for number in 0..ASSIGNMENT_OBJECTS {
        let content = json!({ "roles": "x".repeat(3_000) });
        let object = Object::new(format!("roles-{number:02}"), content);
        let written = platform.create(ASSIGNMENTS, &object).await;
        written.expect("the platform is up");
    }
    let before = standin.stats();
    let listed = platform.list_versions(ASSIGNMENTS, &Selector::all()).await;
    let after = standin.stats();
    let listed = listed.expect("the platform is up");
    assert_eq!(listed.items.len(), ASSIGNMENT_OBJECTS);
    assert_eq!(after.calls_of("list") - before.calls_of("list"), 1);
    let bytes = (after.bytes_in + after.bytes_out) - (before.bytes_in + before.bytes_out);
    assert!(bytes <= CHECK_BYTES, "{bytes} bytes");
}

/// The platform ends the watch with `Expired` in its stream and refuses to open one from the last
/// known version. The watch must list again and deliver only the difference, not all objects.
#[tokio::test]
async fn delivers_the_difference_after_the_version_expired() {
    let standin = standin().await;
    let (watcher, writer) = (client(&standin, WATCHER), client(&standin, WRITER));
    let mut a = create(&writer, "a", 1).await;
    create(&writer, "b", 1).await;
    create(&writer, "c", 1).await;
    let mut rx = watch(&watcher);
    synced(&mut rx).await;

    let expired = FaultPatch {
        expire_watches: Some(true),
        cut: Some(vec![WATCHER.into()]),
        ..FaultPatch::default()
    };
    standin.set_faults(only_watcher(expired));
    stalled(&mut rx).await;
    update(&writer, &mut a, 2).await;
    let gone = writer.delete(ASSIGNMENTS, "b", None).await;
    gone.expect("it is there");
    let reachable = FaultPatch {
        cut: Some(Vec::new()),
        ..FaultPatch::default()
    };
    standin.set_faults(reachable);

    let mut received = Vec::new();
    loop {
        match within(rx.recv()).await.expect("the watch goes on") {
            WatchEvent::Applied(object) => {
                received.push(format!("{}={}", object.name, object.spec.value));
            }
            WatchEvent::Deleted { name } => {
                received.push(format!("{name} deleted"));
                standin.clear_faults();
            }
            WatchEvent::Synced { .. } => break,
            WatchEvent::Stalled { .. } => {}
            WatchEvent::Malformed { name, problem } => panic!("{name}: {problem}"),
        }
    }
    assert_eq!(received, ["b deleted", "a=2"]);
}

/// While the watch is disconnected, its version leaves the platform's history. The watch must list
/// the objects again.
#[tokio::test]
async fn lists_again_when_the_history_is_too_short() {
    let options = PlatformOptions {
        history: 2,
        ..PlatformOptions::default()
    };
    let standin = start_platform(options).await.expect("loopback is there");
    let (watcher, writer) = (client(&standin, WATCHER), client(&standin, WRITER));
    let mut a = create(&writer, "a", 1).await;
    let mut rx = watch(&watcher);
    synced(&mut rx).await;
    let cut = FaultPatch {
        cut: Some(vec![WATCHER.into()]),
        ..FaultPatch::default()
    };
    standin.set_faults(cut);
    stalled(&mut rx).await;
    for value in 2..=9 {
        update(&writer, &mut a, value).await;
    }
    standin.clear_faults();
    assert_eq!(applied(&mut rx).await, ("a".into(), 9));
}

/// The watch has delivered a deletion and then has to list again, from a stale cache that still has
/// the object. It must not deliver the object again, as that could put an older configuration into
/// force. It must report that it is stalled and continue once the platform returns current state.
#[tokio::test]
async fn rejects_a_list_older_than_the_known_state() {
    let standin = standin().await;
    let (watcher, writer) = (client(&standin, WATCHER), client(&standin, WRITER));
    create(&writer, "a", 1).await;
    let mut rx = watch(&watcher);
    synced(&mut rx).await;
    let gone = writer.delete(ASSIGNMENTS, "a", None).await;
    gone.expect("it is there");
    assert_eq!(deleted(&mut rx).await, "a");

    let old = FaultPatch {
        stale_reads: Some(1),
        expire_watches: Some(true),
        ..FaultPatch::default()
    };
    standin.set_faults(only_watcher(old));
    assert_eq!(stalled(&mut rx).await, StallReason::OldList);
    standin.clear_faults();
    match within(rx.recv()).await.expect("the watch goes on") {
        WatchEvent::Synced { .. } => {}
        event => panic!("received {event:?} though nothing has changed"),
    }
}

/// An object written by another client can't be decoded. The watch must report it and continue.
#[tokio::test]
async fn continues_after_a_malformed_object() {
    let standin = standin().await;
    let platform = client(&standin, WATCHER);
    let bad = Object::new("bad", "no number".to_owned());
    let written = platform.create(ASSIGNMENTS, &bad).await;
    written.expect("the platform takes any content");
    create(&platform, "good", 1).await;
    let mut rx = watch(&platform);
    let name = wait_for(&mut rx, |event| match event {
        WatchEvent::Malformed { name, .. } => Some(name),
        _ => None,
    })
    .await;
    assert_eq!(&*name, "bad");
    assert_eq!(applied(&mut rx).await, ("good".into(), 1));
    synced(&mut rx).await;
}

#[tokio::test]
async fn reports_objects_that_enter_and_leave_the_selection() {
    let standin = standin().await;
    let platform = client(&standin, WATCHER);
    let mut rx = platform.watch::<Spec>(ASSIGNMENTS, Selector::label("zone", "esbjerg-a"));
    synced(&mut rx).await;
    create(&platform, "elsewhere", 1).await;
    let mut object = Object::new("here", Spec { value: 2 }).with_label("zone", "esbjerg-a");
    let version = platform.create(ASSIGNMENTS, &object).await;
    object.resource_version = Some(version.expect("the platform is up"));
    assert_eq!(applied(&mut rx).await, ("here".into(), 2));
    object.labels.clear();
    let moved = platform.update(ASSIGNMENTS, &object).await;
    moved.expect("the platform is up");
    assert_eq!(deleted(&mut rx).await, "here");
}

#[tokio::test]
async fn closes_the_watch_when_the_receiver_is_dropped() {
    let standin = standin().await;
    let platform = client(&standin, WATCHER);
    let mut rx = watch(&platform);
    synced(&mut rx).await;
    assert_eq!(standin.stats().open_watches, 1);
    drop(rx);
    within(async {
        while standin.stats().open_watches > 0 {
            tokio::task::yield_now().await;
        }
    })
    .await;
}
