//! The list of endpoints that the harness maintains, as served by the platform stand-in.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_standin::fleet::{Condition, Endpoint, HttpClient, Registry};
use chervilshunt_standin::platform::{PlatformOptions, start_platform};
use http::Method;
use rstest::rstest;
use serde_json::{Value, json};

const BOUND: Duration = Duration::from_secs(10);
const LIST: &str = "/apis/discovery.k8s.io/v1/namespaces/test/endpointslices";

fn endpoint(condition: Condition) -> Endpoint {
    Endpoint {
        name: "i1".to_owned(),
        service: "chervilshunt".to_owned(),
        zone: "zone-a".to_owned(),
        ports: BTreeMap::from([("callers", SocketAddr::from(([127, 0, 0, 1], 4000)))]),
        condition,
    }
}

async fn items(platform: SocketAddr) -> Vec<Value> {
    let list = HttpClient::default()
        .json(Method::GET, platform, LIST, None)
        .await
        .unwrap();
    list["items"].as_array().unwrap().clone()
}

#[rstest]
#[case::ready(Condition::Ready, true, true, false)]
#[case::unready(Condition::Unready, false, false, false)]
#[case::leaving(Condition::Leaving, false, true, true)]
#[tokio::test]
async fn an_endpoint_is_listed_changed_and_removed(
    #[case] condition: Condition,
    #[case] ready: bool,
    #[case] serving: bool,
    #[case] terminating: bool,
) {
    let platform = start_platform(PlatformOptions::default()).await.unwrap();
    let registry = Registry::start(platform.address(), "test");
    registry.set(&endpoint(Condition::Ready));
    assert!(registry.wait_written(BOUND).await);
    registry.set(&endpoint(condition));
    assert!(registry.wait_written(BOUND).await);

    let slices = items(platform.address()).await;
    assert_eq!(slices.len(), 1);
    let conditions = json!({"ready": ready, "serving": serving, "terminating": terminating});
    assert_eq!(slices[0]["endpoints"][0]["conditions"], conditions);
    assert_eq!(
        slices[0]["ports"],
        json!([{"name": "callers", "port": 4000}])
    );

    registry.remove(&endpoint(condition));
    assert!(registry.wait_written(BOUND).await);
    assert!(items(platform.address()).await.is_empty());
}

/// A change made while the platform is down must be written once it is up again. Otherwise the list
/// is outdated, and a fault test sees an instance receive requests because of the harness rather
/// than because of the system.
#[tokio::test]
async fn a_change_during_an_outage_is_written_after_it() {
    let platform = start_platform(PlatformOptions::default()).await.unwrap();
    let registry = Registry::start(platform.address(), "test");
    let http = HttpClient::default();
    let throw = async |down: &str| {
        let faults = json!({"down": down});
        let path = "/standin/faults";
        http.json(Method::POST, platform.control(), path, Some(&faults))
            .await
            .unwrap();
    };
    throw("unavailable").await;
    registry.set(&endpoint(Condition::Ready));
    assert!(!registry.wait_written(Duration::from_millis(500)).await);

    throw("no").await;
    assert!(registry.wait_written(BOUND).await);
    assert_eq!(items(platform.address()).await.len(), 1);
}
