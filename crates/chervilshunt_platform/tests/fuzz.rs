//! Randomized test of a watch under several simultaneous faults, against a model collection.

mod support;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_platform::{
    CONFIG_HEADS, Object, Platform, ResourceVersion, Selector, StallReason, WatchEvent,
};
use chervilshunt_standin::platform::{Down, FaultPatch, PlatformHandle};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::{Spec, client, standin, within};
use tokio::sync::mpsc;

const WATCHER: &str = "i-1";
const WRITER: &str = "i-2";
const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const STEPS: usize = 120;

/// The receiver's view, in which the version of an object must never decrease.
#[derive(Default)]
struct View {
    objects: BTreeMap<Arc<str>, ResourceVersion>,
    highest: HashMap<Arc<str>, ResourceVersion>,
    stalls: Vec<StallReason>,
}

impl View {
    fn apply(&mut self, event: WatchEvent<Spec>) {
        match event {
            WatchEvent::Applied(object) => {
                let version = object
                    .resource_version
                    .expect("a delivered object has a version");
                let before = self.highest.insert(Arc::clone(&object.name), version);
                assert!(before < Some(version), "{} went back", object.name);
                self.objects.insert(object.name, version);
            }
            WatchEvent::Deleted { name } => {
                assert!(self.objects.remove(&name).is_some(), "{name} was not there");
            }
            WatchEvent::Malformed { name, problem } => panic!("{name}: {problem}"),
            WatchEvent::Synced { .. } => {}
            WatchEvent::Stalled { reason } => self.stalls.push(reason),
        }
    }
}

/// The state of the collection according to the writer.
#[derive(Default)]
struct ExpectedState {
    objects: BTreeMap<Arc<str>, ResourceVersion>,
}

impl ExpectedState {
    async fn write(&mut self, writer: &Platform, rng: &mut ChaCha8Rng) {
        let name: Arc<str> = (*NAMES.choose(rng).expect("there are names")).into();
        let value = rng.random_range(0..100);
        let mut object = Object::new(Arc::clone(&name), Spec { value });
        object.resource_version = self.objects.get(&name).copied();
        let written = match object.resource_version {
            None => writer.create(CONFIG_HEADS, &object).await,
            Some(_) if rng.random_bool(0.3) => {
                let version = object.resource_version;
                let deleted = writer.delete(CONFIG_HEADS, &name, version).await;
                deleted.expect("the writer has no faults");
                self.objects.remove(&name);
                return;
            }
            Some(_) => writer.update(CONFIG_HEADS, &object).await,
        };
        let version = written.expect("the writer has no faults");
        self.objects.insert(name, version);
    }
}

/// Switches one fault on or off for the watcher.
fn random_fault(rng: &mut ChaCha8Rng) -> FaultPatch {
    let on = rng.random_bool(0.5);
    let mut patch = FaultPatch {
        only: Some(vec![WATCHER.into()]),
        ..FaultPatch::default()
    };
    match rng.random_range(0..8) {
        0 => patch.cut = Some(on.then(|| WATCHER.into()).into_iter().collect()),
        1 => patch.down = Some(if on { Down::Unavailable } else { Down::No }),
        2 => patch.freeze = Some(on),
        3 => patch.expire_watches = Some(on),
        4 => patch.stale_reads = Some(if on { rng.random_range(1..6) } else { 0 }),
        5 => patch.watch_gap = Some(rng.random_range(1..4)),
        6 => patch.fail_ratio = Some(if on { 0.5 } else { 0.0 }),
        _ => patch.slow_ms = Some(if on { 40 } else { 0 }),
    }
    patch
}

/// Several faults are active at changing times while another instance writes. No event may return
/// an object to an older version, and after the faults are lifted the watcher's view must converge
/// to the state of the collection.
#[rstest]
#[tokio::test]
async fn a_watch_recovers_from_simultaneous_faults(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let standin = standin().await;
    let writer = client(&standin, WRITER);
    let mut rx = client(&standin, WATCHER).watch::<Spec>(CONFIG_HEADS, Selector::all());
    let mut expected = ExpectedState::default();
    let mut view = View::default();
    for _ in 0..STEPS {
        if rng.random_bool(0.3) {
            standin.set_faults(random_fault(&mut rng));
        } else {
            expected.write(&writer, &mut rng).await;
        }
        let pause = Duration::from_millis(rng.random_range(0..30));
        let _paused = tokio::time::timeout(pause, drain(&mut rx, &mut view)).await;
    }
    lift(&standin);
    within(async {
        while view.objects != expected.objects {
            view.apply(rx.recv().await.expect("the watch goes on"));
        }
    })
    .await;
}

async fn drain(rx: &mut mpsc::Receiver<WatchEvent<Spec>>, view: &mut View) {
    while let Some(event) = rx.recv().await {
        view.apply(event);
    }
}

fn lift(standin: &PlatformHandle) {
    standin.clear_faults();
}
