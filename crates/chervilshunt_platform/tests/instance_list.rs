//! Tests of the instance list: how slices become changes of individual instances and targets.

mod support;

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::ServiceName;
use chervilshunt_platform::{
    ENDPOINT_SLICES, Endpoint, EndpointConditions, EndpointPort, EndpointProblem, EndpointSlice,
    InstanceChange, InstanceList, ListedInstance, Object, ResourceVersion, SERVICE_LABEL, Selector,
    StallReason, TargetRef, WatchEvent,
};
use chervilshunt_standin::platform::FaultPatch;
use rstest::rstest;
use support::{client, standin, within};

const SERVICE: &str = "pack-assistant";

fn endpoint(name: &str, address: &str) -> Endpoint {
    Endpoint {
        addresses: vec![address.into()],
        target_ref: Some(TargetRef {
            kind: None,
            name: name.into(),
        }),
        zone: Some("worcester".into()),
        ..Endpoint::default()
    }
}

fn slice(name: &str, version: u64, endpoints: Vec<Endpoint>) -> Object<EndpointSlice> {
    let spec = EndpointSlice {
        address_type: "IPv4".into(),
        endpoints,
        ports: vec![EndpointPort {
            name: "http".into(),
            port: 8000,
        }],
    };
    let mut slice = Object::new(name, spec).with_label(SERVICE_LABEL, SERVICE);
    slice.resource_version = Some(ResourceVersion::new(version));
    slice
}

/// Applies an event and formats each resulting change as a short text.
fn apply(list: &mut InstanceList, event: WatchEvent<EndpointSlice>) -> Vec<String> {
    let changes = list.apply(event).into_iter();
    changes
        .map(|change| match change {
            InstanceChange::Joined(new) => format!("{} joined {}", new.name, new.address),
            InstanceChange::Changed(new) => format!("{} changed {}", new.name, new.address),
            InstanceChange::Left { name, .. } => format!("{name} left"),
            InstanceChange::Skipped { problem, .. } => format!("{problem:?}"),
        })
        .collect()
}

#[test]
fn instances_join_change_and_leave() {
    let mut list = InstanceList::default();
    let a = || endpoint("a", "10.0.0.1");
    let joined = WatchEvent::Applied(slice("s", 1, vec![a(), endpoint("b", "10.0.0.2")]));
    assert_eq!(
        apply(&mut list, joined),
        ["a joined 10.0.0.1", "b joined 10.0.0.2"]
    );
    let same = WatchEvent::Applied(slice("s", 2, vec![a(), endpoint("b", "10.0.0.2")]));
    assert!(apply(&mut list, same).is_empty());
    let moved = WatchEvent::Applied(slice("s", 3, vec![a(), endpoint("b", "10.0.0.3")]));
    assert_eq!(apply(&mut list, moved), ["b changed 10.0.0.3"]);
    let without = WatchEvent::Applied(slice("s", 4, vec![endpoint("b", "10.0.0.3")]));
    assert_eq!(apply(&mut list, without), ["a left"]);
    let gone = WatchEvent::Deleted { name: "s".into() };
    assert_eq!(apply(&mut list, gone), ["b left"]);
    assert_eq!(list.iter().count(), 0);
}

/// When the platform moves an endpoint from one slice to another, the endpoint may be in both for a
/// while. It must not be reported as removed while any slice contains it.
#[test]
fn an_endpoint_in_two_slices_is_removed_with_the_last() {
    let mut list = InstanceList::default();
    let old = WatchEvent::Applied(slice("s-1", 1, vec![endpoint("a", "10.0.0.1")]));
    apply(&mut list, old);
    let new = WatchEvent::Applied(slice("s-2", 2, vec![endpoint("a", "10.0.0.9")]));
    assert_eq!(apply(&mut list, new), ["a changed 10.0.0.9"]);
    let dropped = WatchEvent::Applied(slice("s-1", 3, Vec::new()));
    assert!(apply(&mut list, dropped).is_empty());
    let gone = WatchEvent::Deleted { name: "s-2".into() };
    assert_eq!(apply(&mut list, gone), ["a left"]);
}

#[rstest]
#[case::all_left_out(None, None, None, true)]
#[case::serving(Some(true), Some(true), Some(false), true)]
#[case::not_ready(Some(false), None, None, false)]
#[case::leaving(Some(false), Some(true), Some(true), false)]
#[case::leaving_and_ready(Some(true), Some(true), Some(true), false)]
fn a_leaving_target_takes_no_new_work(
    #[case] ready: Option<bool>,
    #[case] serving: Option<bool>,
    #[case] terminating: Option<bool>,
    #[case] takes_new_work: bool,
) {
    let mut list = InstanceList::default();
    let mut a = endpoint("a", "10.0.0.1");
    a.conditions = EndpointConditions {
        ready,
        serving,
        terminating,
    };
    list.apply(WatchEvent::Applied(slice("s", 1, vec![a])));
    let listed = list
        .get(&ServiceName::from(SERVICE), "a")
        .expect("it is listed");
    assert_eq!(listed.takes_new_work(), takes_new_work);
}

/// Other clients write the slices. A malformed slice or endpoint must be reported and must not
/// affect the others.
#[test]
fn reports_malformed_endpoints_and_slices() {
    let mut list = InstanceList::default();
    let nameless = Endpoint {
        target_ref: None,
        ..endpoint("", "10.0.0.4")
    };
    let endpoints = vec![
        endpoint("a", "10.0.0.1"),
        nameless,
        endpoint("c", "c.example"),
    ];
    let changes = apply(&mut list, WatchEvent::Applied(slice("s", 1, endpoints)));
    assert_eq!(changes, ["a joined 10.0.0.1", "NoName", "NoAddress"]);

    let mut unlabelled = slice("t", 2, vec![endpoint("d", "10.0.0.5")]);
    unlabelled.labels.clear();
    let changes = apply(&mut list, WatchEvent::Applied(unlabelled));
    assert_eq!(changes, ["NoService"]);

    let malformed = WatchEvent::Malformed {
        name: "s".into(),
        problem: "".into(),
    };
    let skipped = InstanceChange::Skipped {
        slice: "s".into(),
        problem: EndpointProblem::MalformedSlice,
    };
    assert_eq!(list.apply(malformed), [skipped]);
    assert_eq!(list.iter().count(), 1);
}

#[test]
fn knows_whether_it_is_current() {
    let mut list = InstanceList::default();
    assert!(!list.is_current());
    let version = ResourceVersion::new(1);
    list.apply(WatchEvent::Synced { version });
    assert!(list.is_current());
    let reason = StallReason::Outage;
    list.apply(WatchEvent::Stalled { reason });
    assert!(!list.is_current());
}

/// A slice as written by the Kubernetes controller, including fields that the client ignores.
#[tokio::test]
async fn reads_slices_as_kubernetes_writes_them() {
    let standin = standin().await;
    let platform = client(&standin, "i-1");
    let spec = serde_json::json!({
        "addressType": "IPv4",
        "endpoints": [{
            "addresses": ["10.1.2.3"],
            "conditions": {"ready": true, "serving": true, "terminating": false},
            "nodeName": "node-7",
            "targetRef": {"kind": "Pod", "namespace": "models", "name": "engine-7", "uid": "x"},
            "zone": "esbjerg-a",
        }],
        "ports": [{"name": "http", "port": 8000, "protocol": "TCP", "appProtocol": "http"}],
    });
    let written = Object::new("regatta-lm-abc", spec).with_label(SERVICE_LABEL, "regatta-lm");
    let version = platform.create(ENDPOINT_SLICES, &written).await;
    version.expect("the platform is up");

    let mut rx = platform.watch(ENDPOINT_SLICES, Selector::all());
    let mut list = InstanceList::default();
    while !list.is_current() {
        list.apply(within(rx.recv()).await.expect("the watch goes on"));
    }
    let listed = list.get(&ServiceName::from("regatta-lm"), "engine-7");
    let expected = ListedInstance {
        service: "regatta-lm".into(),
        name: "engine-7".into(),
        address: [10, 1, 2, 3].into(),
        zone: Some("esbjerg-a".into()),
        ports: [(Arc::from("http"), 8000)].into(),
        ready: true,
        serving: true,
        terminating: false,
    };
    assert_eq!(listed, Some(&expected));
}

/// While the instance list lags, a write is visible neither to a list call nor to a watch. The
/// watch must deliver it when the lag ends.
#[tokio::test]
async fn the_list_lags_behind_writes() {
    let standin = standin().await;
    let platform = client(&standin, "i-1");
    let lag = |lag: Duration| FaultPatch {
        instance_list_lag_ms: u64::try_from(lag.as_millis()).ok(),
        ..FaultPatch::default()
    };
    standin.set_faults(lag(Duration::from_secs(3600)));
    let mut rx = platform.watch::<EndpointSlice>(ENDPOINT_SLICES, Selector::all());
    let first = within(rx.recv()).await.expect("the watch goes on");
    assert!(matches!(first, WatchEvent::Synced { .. }), "{first:?}");

    let written = slice("s", 0, vec![endpoint("a", "10.0.0.1")]);
    let version = platform.create(ENDPOINT_SLICES, &written).await;
    let version = version.expect("the platform is up");
    let listed = platform
        .list::<EndpointSlice>(ENDPOINT_SLICES, &Selector::all())
        .await;
    assert_eq!(listed.expect("the platform is up").objects, []);
    assert!(
        rx.try_recv().is_err(),
        "the watch delivered the write despite the lag"
    );

    standin.set_faults(lag(Duration::ZERO));
    let event = within(rx.recv()).await.expect("the watch goes on");
    let WatchEvent::Applied(event) = event else {
        panic!("received {event:?}");
    };
    assert_eq!(event.resource_version, Some(version));
}
