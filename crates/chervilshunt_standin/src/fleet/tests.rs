//! Tests of the harness: fault tests are meaningless if, for example, it does not really cut links.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use chervilshunt_config::Settings;
use chervilshunt_model::{ChangeId, Deployment, ServiceKind};
use chervilshunt_query::Statement;
use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use super::deployment::{model_name, service_of, statements};
use super::error::FleetError;
use super::link::{Forwarder, Link, LinkMode, Links};
use super::process::{Process, Signal};
use super::registry::{Condition, Endpoint};
use super::settings::InstanceSettings;
use super::start::{FleetOptions, TargetKind};

/// Time limit for a byte that must arrive.
const ARRIVAL_BOUND: Duration = Duration::from_secs(10);

/// How long the tests wait for a byte that must not arrive.
const ABSENCE_WAIT: Duration = Duration::from_millis(200);

/// Starts an echo server.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.split();
                tokio::io::copy(&mut rx, &mut tx).await
            });
        }
    });
    address
}

/// Creates links with a forwarder to instance `b`. This process acts as instance `a`.
async fn links() -> (Links, Forwarder) {
    let links = Links::new();
    links.set_pid("a", std::process::id());
    let forwarder = links.open("b").await.unwrap();
    forwarder.set_destination(echo().await);
    (links, forwarder)
}

/// Sends a byte and returns whether it is echoed within `bound`.
async fn echoes(stream: &mut TcpStream, bound: Duration) -> bool {
    let exchange = async {
        stream.write_all(b"x").await?;
        stream.read_u8().await
    };
    matches!(tokio::time::timeout(bound, exchange).await, Ok(Ok(b'x')))
}

#[rstest]
#[case::same_pair(Link::between("a", "b"), true)]
#[case::same_pair_turned(Link::between("b", "a"), true)]
#[case::all_of_the_receiver(Link::all_of("b"), true)]
#[case::all_of_the_sender(Link::all_of("a"), true)]
#[case::another_pair(Link::between("c", "b"), false)]
#[case::all_of_another(Link::all_of("c"), false)]
#[tokio::test]
async fn a_cut_breaks_existing_and_new_connections_of_only_its_link(
    #[case] link: Link,
    #[case] broken: bool,
) {
    let (links, forwarder) = links().await;
    let mut old = TcpStream::connect(forwarder.address()).await.unwrap();
    assert!(echoes(&mut old, ARRIVAL_BOUND).await);

    links.set(link, LinkMode::Cut);
    // The forwarder applies the cut asynchronously; wait until it has closed the connection.
    if broken {
        let end = tokio::time::timeout(ARRIVAL_BOUND, old.read_u8()).await;
        assert!(end.expect("the connection stays open").is_err());
    }
    let mut new = TcpStream::connect(forwarder.address()).await.unwrap();
    assert_eq!(echoes(&mut new, ARRIVAL_BOUND).await, !broken);

    links.heal();
    let mut healed = TcpStream::connect(forwarder.address()).await.unwrap();
    assert!(echoes(&mut healed, ARRIVAL_BOUND).await);
}

#[tokio::test]
async fn a_black_hole_keeps_bytes_until_it_is_healed() {
    let (links, forwarder) = links().await;
    links.set(Link::between("a", "b"), LinkMode::BlackHole);
    let mut stream = TcpStream::connect(forwarder.address()).await.unwrap();
    assert!(!echoes(&mut stream, ABSENCE_WAIT).await);

    links.heal();
    let arrived = tokio::time::timeout(ARRIVAL_BOUND, stream.read_u8()).await;
    assert_eq!(arrived.unwrap().unwrap(), b'x');
}

#[tokio::test]
async fn a_delayed_link_delays_bytes() {
    let (links, forwarder) = links().await;
    links.set(Link::all_of("b"), LinkMode::Delay(ABSENCE_WAIT * 2));
    let mut stream = TcpStream::connect(forwarder.address()).await.unwrap();
    assert!(!echoes(&mut stream, ABSENCE_WAIT).await);
    assert!(echoes(&mut stream, ARRIVAL_BOUND).await);
}

/// Starts a shell script as the child process.
async fn shell(script: &str, folder: &Path) -> Result<Process, FleetError> {
    let args = ["-c".into(), script.into()];
    Process::start("shell", Path::new("/bin/sh"), &args, folder).await
}

#[tokio::test]
async fn a_process_that_exits_early_is_reported_with_the_end_of_its_log() {
    let folder = tempfile::tempdir().unwrap();
    let err = shell("echo out of paper >&2; exit 3", folder.path())
        .await
        .unwrap_err();
    let text = err.to_string();
    assert!(
        text.contains("shell") && text.contains("exit status: 3"),
        "{text}"
    );
    assert!(text.contains("out of paper"), "{text}");
}

#[rstest]
#[case::stand_in(r#"{"listening":"127.0.0.1:5"}"#, "listening")]
#[case::daemon(
    r#"{"msg":"listening","callers":"127.0.0.1:5","level":"INFO"}"#,
    "callers"
)]
#[tokio::test]
async fn addresses_are_read_from_the_line_that_announces_them(
    #[case] line: &str,
    #[case] key: &str,
) {
    let folder = tempfile::tempdir().unwrap();
    let script = format!("echo noise; echo '{line}'; exec sleep 60");
    let mut process = shell(&script, folder.path()).await.unwrap();
    assert_eq!(
        process.address(key).unwrap(),
        SocketAddr::from(([127, 0, 0, 1], 5))
    );
    assert!(process.address("other").is_err());

    process.signal(Signal::Kill).unwrap();
    process.wait_end(ARRIVAL_BOUND).await.unwrap();
    assert_eq!(process.id(), None);
    process.signal(Signal::Kill).unwrap();
}

// A restarted instance appended to the log of its previous run. The harness read the addresses from
// the first announcement in the file, and the instance seemed to refuse connections, because those
// ports were closed.
#[tokio::test]
async fn a_restarted_process_is_found_at_its_new_address() {
    let folder = tempfile::tempdir().unwrap();
    for port in [5, 6] {
        let line = format!(r#"{{"listening":"127.0.0.1:{port}"}}"#);
        let script = format!("echo '{line}'; exec sleep 60");
        let mut process = shell(&script, folder.path()).await.unwrap();
        let address = process.address("listening").unwrap();
        assert_eq!(address, SocketAddr::from(([127, 0, 0, 1], port)));
        process.signal(Signal::Kill).unwrap();
        process.wait_end(ARRIVAL_BOUND).await.unwrap();
    }
}

#[tokio::test]
async fn generated_settings_are_valid_and_contain_the_overrides() {
    let folder = tempfile::tempdir().unwrap();
    let peers = SocketAddr::from(([127, 0, 0, 1], 7));
    let settings = InstanceSettings {
        id: "i1",
        zone: "zone-a",
        region: "region-1",
        platform: SocketAddr::from(([127, 0, 0, 1], 6)),
        namespace: "chervilshunt",
        advertise: Some(peers),
        extra: &json!({"limits": {"open_requests": 77}}),
    };
    let checked = Settings::load(&settings.write(folder.path()).unwrap()).unwrap();
    assert_eq!(checked.instance.id.as_str(), "i1");
    assert_eq!(checked.advertise.peers, Some(peers));
    assert_eq!(checked.limits.open_requests, 77);
}

#[test]
fn the_initial_deployment_is_a_single_valid_change() {
    let options = FleetOptions {
        adapters: 3,
        ..FleetOptions::default()
    };
    let endpoint = |name: &str, kind, port| Endpoint {
        name: name.to_owned(),
        service: service_of(kind).to_owned(),
        zone: "zone-a".to_owned(),
        ports: BTreeMap::from([("http", SocketAddr::from(([127, 0, 0, 1], port)))]),
        condition: Condition::Ready,
    };
    let engine = endpoint("engine-1", TargetKind::Engine, 8);
    let desk = endpoint("desk-1", TargetKind::Plain, 9);
    let targets = [(TargetKind::Engine, &engine), (TargetKind::Plain, &desk)];
    let text = statements(&options, targets.into_iter());

    let script = chervilshunt_query::parse(&text).unwrap();
    let [Statement::Change(group)] = script.as_slice() else {
        panic!("not one change: {script:?}");
    };
    let set = group.clone().into_change_set(ChangeId::from_u128(1));
    let deployment = Deployment::default().apply(&set).unwrap();
    assert_eq!(deployment.targets.len(), 2);
    assert!(matches!(
        deployment.services["assistant"].kind,
        ServiceKind::Engine { .. }
    ));
    assert!(text.contains(&model_name(2)));
}
