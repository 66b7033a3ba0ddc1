//! Watches through the faults that a platform has.

mod support;

use chervilshunt_platform::{
    CONFIG_HEADS, LEASES, Object, Platform, ResourceVersion, Selector, StallReason, WatchEvent,
};
use chervilshunt_standin::platform::{Down, FaultPatch};
use support::{Spec, client, standin, wait_for};
use tokio::sync::mpsc;

type Events = mpsc::Receiver<WatchEvent<Spec>>;

async fn create(platform: &Platform, name: &str, value: u64) -> Object<Spec> {
    let mut object = Object::new(name, Spec { value });
    let version = platform.create(CONFIG_HEADS, &object).await;
    object.resource_version = Some(version.expect("the platform is up"));
    object
}

async fn update(platform: &Platform, object: &mut Object<Spec>, value: u64) {
    object.spec.value = value;
    let version = platform.update(CONFIG_HEADS, object).await;
    object.resource_version = Some(version.expect("the platform is up"));
}

fn watch(platform: &Platform) -> Events {
    platform.watch(CONFIG_HEADS, Selector::all())
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
        .delete(CONFIG_HEADS, "a", a.resource_version)
        .await
        .expect("it is there");
    assert_eq!(deleted(&mut rx).await, "a");
}
