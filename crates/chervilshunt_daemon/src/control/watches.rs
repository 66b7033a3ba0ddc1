//! Watches the configuration head, the assignments and the instance list on the platform.

use std::net::SocketAddr;

use chervilshunt_coord::{InstanceEntry, ObjectKind, StoredObject};
use chervilshunt_model::{InstanceId, ServiceName, TargetName, ZoneName};
use chervilshunt_platform::{
    ASSIGNMENTS, CONFIG_HEADS, ENDPOINT_SLICES, InstanceList, Platform, Resource, Selector,
    WatchEvent,
};
use serde_json::Value;
use xtra::prelude::*;

use super::actor::Control;
use super::platform_calls::to_stored;

/// The service name of this system's own instances in the instance list.
const OWN_SERVICE: &str = "chervilshunt";
/// The name of the port for messages between instances.
const PEERS_PORT: &str = "peers";
/// The name of the port for operators.
const OPERATORS_PORT: &str = "operators";

/// A watch reported an object.
#[derive(Debug)]
pub(super) struct ObjectSeen(pub(super) StoredObject);

/// The instance list has changed.
#[derive(Debug)]
pub(super) struct InstanceListUpdate {
    /// This system's own instances.
    pub(super) instances: Vec<InstanceEntry>,
    /// Targets that take no new work, as they are leaving or not serving.
    pub(super) leaving: Vec<TargetName>,
}

/// Starts the watches of the platform, which run until the actor stops.
pub(super) fn start(platform: &Platform, control: &Address<Control>) {
    watch_objects(platform, CONFIG_HEADS, ObjectKind::Head, control.clone());
    watch_objects(
        platform,
        ASSIGNMENTS,
        ObjectKind::Assignment,
        control.clone(),
    );
    watch_instance_list(platform, control.clone());
}

fn watch_objects(
    platform: &Platform,
    resource: Resource,
    kind: ObjectKind,
    control: Address<Control>,
) {
    let mut events = platform.watch::<Value>(resource, Selector::all());
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            let WatchEvent::Applied(object) = event else {
                continue;
            };
            let Some(stored) = to_stored(kind, object) else {
                continue;
            };
            if control.send(ObjectSeen(stored)).await.is_err() {
                return;
            }
        }
    });
}

fn watch_instance_list(platform: &Platform, control: Address<Control>) {
    let mut events = platform.watch(ENDPOINT_SLICES, Selector::all());
    let platform = platform.clone();
    tokio::spawn(async move {
        let own = ServiceName::from(OWN_SERVICE);
        let mut list = InstanceList::default();
        while let Some(event) = events.recv().await {
            if list.apply(event).is_empty() {
                continue;
            }
            platform.set_fleet_size(list.of_service(&own).count());
            if control.send(instance_list_update(&list)).await.is_err() {
                return;
            }
        }
    });
}

fn instance_list_update(list: &InstanceList) -> InstanceListUpdate {
    let own = ServiceName::from(OWN_SERVICE);
    let instances = list.of_service(&own).filter_map(|instance| {
        let port = |name: &str| {
            let port = *instance.ports.get(name)?;
            Some(SocketAddr::new(instance.address, port))
        };
        Some(InstanceEntry {
            instance: InstanceId::new(std::sync::Arc::clone(&instance.name)),
            zone: instance.zone.clone().unwrap_or_else(|| ZoneName::from("")),
            peer_address: port(PEERS_PORT)?,
            operators_address: port(OPERATORS_PORT)?,
            serving: instance.serving,
            terminating: instance.terminating,
        })
    });
    let leaving = list
        .iter()
        .filter(|listed| listed.service != own && !listed.takes_new_work())
        .map(|target| TargetName::new(std::sync::Arc::clone(&target.name)));
    InstanceListUpdate {
        instances: instances.collect(),
        leaving: leaving.collect(),
    }
}
