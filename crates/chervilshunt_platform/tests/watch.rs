//! Watches through the faults that a platform has.

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

/// Instance whose watch the faults hit; another one goes on writing.
const WATCHER: &str = "i-1";
const WRITER: &str = "i-2";

/// Longer than any test.
const NEVER: Duration = Duration::from_secs(3_600);

fn only_watcher(patch: FaultPatch) -> FaultPatch {
    FaultPatch {
        only: Some(vec![WATCHER.into()]),
        ..patch
    }
}

#[tokio::test]
async fn tells_what_is_there_then_the_changes() {
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

/// The watcher sees `Stalled`, and after the fault all that was written meanwhile, the deletion
/// included. Its connection breaks or falls silent first; then others write; then the fault is
/// lifted. It resumes from the version up to which it was told, so nothing is skipped.
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
    standin.lift_faults();

    assert_eq!(applied(&mut rx).await, ("a".into(), 2));
    assert_eq!(deleted(&mut rx).await, "b");
}

/// The connection stays open and says nothing more, not even bookmarks, as behind a broken switch.
/// Without a bound on the silence the watcher would hold on to it for ever.
#[tokio::test]
async fn resumes_after_silence() {
    let standin = standin().await;
    let mut cfg = config(&standin, WATCHER);
    cfg.watch.check_min = NEVER;
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
    standin.lift_faults();
    assert_eq!(applied(&mut rx).await, ("a".into(), 2));
}

/// As above, on a platform whose bookmarks are minutes apart. The check goes unanswered, and the
/// watcher says within its interval that it may be out of date; the watch itself was never lost.
#[tokio::test]
async fn a_check_notices_a_frozen_platform() {
    let standin = standin().await;
    let mut cfg = config(&standin, WATCHER);
    cfg.watch.silence = NEVER;
    let watcher = Platform::new(cfg, Logger::root(Discard, o!()));
    let mut rx = watch(&watcher);
    synced(&mut rx).await;
    let frozen = FaultPatch {
        freeze: Some(true),
        ..FaultPatch::default()
    };
    standin.set_faults(frozen);
    assert_eq!(stalled(&mut rx).await, StallReason::Outage);
    standin.lift_faults();
    synced(&mut rx).await;
    assert_eq!(standin.stats().calls_of("watch"), 1);
}

/// The checks of all instances together stay below their rate, however many instances there are.
#[rstest]
#[case(7, Duration::from_millis(1_500))]
#[case(30, Duration::from_millis(1_500))]
#[case(370, Duration::from_millis(18_500))]
#[case(1_000, Duration::from_secs(50))]
fn checks_get_rarer_as_the_fleet_grows(#[case] fleet_size: usize, #[case] interval: Duration) {
    assert_eq!(WatchTiming::default().check_interval(fleet_size), interval);
}

/// The watch loses a change without any sign of it, and later events arrive as usual. Listing
/// versions shows one that was never told, and a full list brings the object. So it does on a
/// platform whose kinds were defined without a column for the version, or that makes no tables.
#[rstest]
#[case::tables(Tables::Full)]
#[case::no_version_column(Tables::NoVersion)]
#[case::no_tables(Tables::None)]
#[tokio::test]
async fn finds_a_change_that_was_never_told(#[case] tables: Tables) {
    let standin = standin().await;
    standin.set_faults(made(tables));
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

/// As above, with a deletion: nothing else would ever take the object out of the view.
#[rstest]
#[case::tables(Tables::Full)]
#[case::no_version_column(Tables::NoVersion)]
#[case::no_tables(Tables::None)]
#[tokio::test]
async fn finds_a_deletion_that_was_never_told(#[case] tables: Tables) {
    let standin = standin().await;
    standin.set_faults(made(tables));
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

fn made(tables: Tables) -> FaultPatch {
    FaultPatch {
        tables: Some(tables),
        ..FaultPatch::default()
    }
}

/// A check of the assignments, 64 objects of a few kilobytes each, is one call and no more bytes
/// than the fleet's budget was worked out with. Listed in pages as small as whole objects need,
/// it was 16 calls, and the fleet made 320 lists a second in place of 20.
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

/// The platform ends the watch with `Expired` in its stream and refuses to start one from the
/// known version. Only the difference between the lists is told, not everything once more.
#[tokio::test]
async fn lists_the_difference_after_the_version_expired() {
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

    let mut told = Vec::new();
    loop {
        match within(rx.recv()).await.expect("the watch goes on") {
            WatchEvent::Applied(object) => {
                told.push(format!("{}={}", object.name, object.spec.value));
            }
            WatchEvent::Deleted { name } => {
                told.push(format!("{name} deleted"));
                standin.lift_faults();
            }
            WatchEvent::Synced { .. } => break,
            WatchEvent::Stalled { .. } => {}
            WatchEvent::Malformed { name, problem } => panic!("{name}: {problem}"),
        }
    }
    assert_eq!(told, ["b deleted", "a=2"]);
}

/// The platform has forgotten the versions in between while the watcher was cut off.
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
    standin.lift_faults();
    assert_eq!(applied(&mut rx).await, ("a".into(), 9));
}

/// The watcher has been told of a deletion and then has to list again, from a cache that still
/// has the object. It must not bring it back: an older configuration would come into force. It
/// says that it is stalled, and goes on once the platform shows the present again.
#[tokio::test]
async fn never_goes_back_to_an_older_list() {
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
    standin.lift_faults();
    match within(rx.recv()).await.expect("the watch goes on") {
        WatchEvent::Synced { .. } => {}
        event => panic!("told {event:?} though nothing has changed"),
    }
}

/// An object that somebody else wrote can't be read. The watch says so and goes on.
#[tokio::test]
async fn goes_on_after_a_malformed_object() {
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
async fn tells_of_objects_that_enter_and_leave_the_selection() {
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
async fn closes_the_call_when_the_receiver_is_dropped() {
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
