//! The holder of a lease is paused until it expires, cut off, or killed.

use std::time::Duration;

use chervilshunt_standin::fleet::{FleetOptions, Link, LinkMode, model_name};
use rstest::rstest;
use serde_json::{Value, json};

use crate::case::{Case, LEASE_TAKEOVER_TIME, WAIT_TIMEOUT, answered};

/// Number of adapters: more than fit into the slots, so that owners send orders continuously.
const ADAPTERS: usize = 16;

/// Number of tokens of a stream that lasts longer than a takeover.
const LONG_STREAM: u32 = 5_000;

fn options(engines_check_fencing: bool) -> FleetOptions {
    FleetOptions {
        adapters: ADAPTERS,
        slots: 3,
        engines_check_fencing,
        ..FleetOptions::default()
    }
}

/// The owner of an engine is paused until its lease has expired and another instance has taken the
/// engine over. When resumed, it still assumes ownership, and an order from it could evict an
/// adapter that the new owner has granted permits for. It has to check its lease before each order:
/// engines that check fencing numbers would refuse the order anyway, the others would execute it.
#[rstest]
#[case::engines_that_check(true)]
#[case::engines_that_ignore(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_holder_is_paused(#[case] engines_check_fencing: bool) {
    let mut case = Case::start(options(engines_check_fencing), 15.0).await;
    case.run_for(Duration::from_secs(2)).await;
    for engine in ["engine-1", "engine-2"] {
        let holder = case.owner("i1", engine, None).await;
        let witness = case.other_instance(&[&holder]);
        case.fleet.freeze(&holder).unwrap();
        case.run_for(LEASE_TAKEOVER_TIME).await;
        case.owner(&witness, engine, Some(&holder)).await;
        case.fleet.thaw(&holder).unwrap();
        case.until_answered(&holder, &model_name(0)).await;
        case.run_for(Duration::from_secs(2)).await;
    }
    check_no_stale_order(&case).await;
    case.finish().await;
}

/// The owner of an engine is killed under load. Streams that other instances opened under its
/// permits last longer than the takeover, while requests for adapters that aren't loaded compete
/// for slots. The new owner has to find out which adapters the engine holds and which permits are
/// outstanding before it evicts anything, so that no stream loses its adapter. A paused instance
/// can't report its permits and its lease expires, but it continues its streams when resumed, so
/// the new owner has to wait for it.
#[rstest]
#[case::permits_are_told_at_once(false)]
#[case::permits_are_told_late(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_holder_is_killed(#[case] entry_paused: bool) {
    let options = FleetOptions {
        instances: 5,
        ..options(false)
    };
    let mut case = Case::start(options, 10.0).await;
    case.run_for(Duration::from_secs(2)).await;
    let holder = case.owner("i1", "engine-1", None).await;
    let entry = case.other_instance(&[&holder]);
    let witness = case.other_instance(&[&holder, &entry]);
    let streams: Vec<_> = (0..6)
        .map(|number| {
            let req = case.plan_completion(&entry, &model_name(number), LONG_STREAM);
            case.load.spawn(&entry, req)
        })
        .collect();
    case.run_for(Duration::from_secs(1)).await;
    if entry_paused {
        case.fleet.freeze(&entry).unwrap();
    }
    case.fleet.kill(&holder).await.unwrap();
    let mut left = case.fleet.ready_instances();
    left.retain(|(id, _)| *id != entry || !entry_paused);
    case.load.set_instances(left);
    case.owner(&witness, "engine-1", Some(&holder)).await;
    case.run_for(LEASE_TAKEOVER_TIME / 2).await;
    case.fleet.thaw(&entry).unwrap();
    let mut whole = 0;
    for stream in streams {
        let verdict = stream.await.unwrap();
        let description = chervilshunt_standin::fleet::describe(&verdict);
        let cut = description.contains("cut short") || description.contains("disconnected");
        assert!(
            !cut,
            "a stream under a permit of the killed owner was cut off: {description}"
        );
        whole += usize::from(answered(&verdict));
    }
    assert!(whole > 0, "no stream was answered");
    case.until_answered(&witness, &model_name(0)).await;
    check_no_stale_order(&case).await;
    case.finish().await;
}

/// The owner of an engine is cut off from its peers, the platform, or both, for longer than its
/// lease. Without the platform it can't renew its lease and has to stop sending orders in time.
/// Without its peers alone it keeps its lease, and other instances can't get permits from it. In
/// each case the deployment has to recover once the links are healed, and engines must not have
/// executed an order of an old epoch.
#[rstest]
#[case::peers(true, false)]
#[case::platform(false, true)]
#[case::both(true, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_holder_is_cut_off(#[case] peers: bool, #[case] platform: bool) {
    let mut case = Case::start(
        FleetOptions {
            links: true,
            ..options(false)
        },
        15.0,
    )
    .await;
    case.run_for(Duration::from_secs(2)).await;
    let holder = case.owner("i1", "engine-1", None).await;
    if peers {
        case.fleet.set_link(Link::all_of(&holder), LinkMode::Cut);
    }
    if platform {
        case.set_faults("platform", json!({"cut": [holder]})).await;
    }
    case.run_for(LEASE_TAKEOVER_TIME).await;
    let others = case.other_instance(&[&holder]);
    if platform {
        case.owner(&others, "engine-1", Some(&holder)).await;
        case.until_answered(&others, &model_name(1)).await;
    }
    case.fleet.heal_links();
    case.set_faults("platform", json!({"cut": []})).await;
    for id in ["i1", "i2", "i3"] {
        case.until_answered(id, &model_name(0)).await;
    }
    check_no_stale_order(&case).await;
    case.finish().await;
}

/// Checks that no engine executed an order with an outdated fencing number.
async fn check_no_stale_order(case: &Case) {
    check_no_stale_order_at(case, &["engine-1", "engine-2"]).await;
}

async fn check_no_stale_order_at(case: &Case, engines: &[&str]) {
    for engine in engines {
        let stale = case.count(engine, "stale_orders").await;
        let refused = case.count(engine, "fenced_orders").await;
        assert_eq!(stale, refused, "{engine} executed an order of an old epoch");
    }
    assert!(case.fleet.wait_listed(WAIT_TIMEOUT).await);
}

/// Returns the permits that an instance granted while its log says that it takes no new work.
fn grants_without_lease(case: &Case, id: &str) -> Vec<Value> {
    let lines = case.fleet.instance(id).unwrap().process.log_lines();
    let mut has_lease = true;
    let mut grants = Vec::new();
    for line in lines {
        if line["msg"] == "new work" {
            has_lease = line["taken"] == true;
        }
        if !has_lease && line["msg"] == "decision" && line["kind"] == "grant" {
            grants.push(line);
        }
    }
    grants
}

/// Guards against permits that an owner grants after its lease has run out: its successor does not know of
/// them, and may unload the adapter while the request runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_without_a_lease_grants_no_permits() {
    let options = FleetOptions {
        engines: 1,
        max_batch: 1,
        links: true,
        ..options(false)
    };
    let mut case = Case::start(options, 0.1).await;
    let holder = case.owner("i1", "engine-1", None).await;
    case.until_answered(&holder, &model_name(0)).await;
    // One runs at a time, for 2.5 s; the others wait at the owner.
    let streams: Vec<_> = (0..6)
        .map(|_| {
            let req = case.plan_completion(&holder, &model_name(0), 500);
            case.load.spawn(&holder, req)
        })
        .collect();
    case.run_for(Duration::from_millis(500)).await;
    case.set_faults("platform", json!({"cut": [holder]})).await;
    case.run_for(LEASE_TAKEOVER_TIME).await;
    let others = case.other_instance(&[&holder]);
    case.owner(&others, "engine-1", Some(&holder)).await;
    let grants = grants_without_lease(&case, &holder);
    assert!(grants.is_empty(), "granted without a lease: {grants:#?}");
    case.set_faults("platform", json!({"cut": []})).await;
    for stream in streams {
        stream.await.unwrap();
    }
    case.until_answered(&holder, &model_name(0)).await;
    check_no_stale_order_at(&case, &["engine-1"]).await;
    case.finish().await;
}

/// Guards against an owner that evicts nothing for as long as its predecessor stays cut off and listed: with all
/// slots taken, no other adapter would be served until operators step in.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn adapters_are_loaded_while_the_last_owner_stays_cut_off() {
    let options = FleetOptions {
        engines: 1,
        links: true,
        ..options(false)
    };
    let mut case = Case::start(options, 5.0).await;
    case.run_for(Duration::from_secs(2)).await;
    let holder = case.owner("i1", "engine-1", None).await;
    case.fleet.set_link(Link::all_of(&holder), LinkMode::Cut);
    case.set_faults("platform", json!({"cut": [holder]})).await;
    case.run_for(LEASE_TAKEOVER_TIME).await;
    let others = case.other_instance(&[&holder]);
    case.owner(&others, "engine-1", Some(&holder)).await;
    for number in 0..ADAPTERS {
        case.until_answered(&others, &model_name(number)).await;
    }
    case.fleet.heal_links();
    case.set_faults("platform", json!({"cut": []})).await;
    for id in ["i1", "i2", "i3"] {
        case.until_answered(id, &model_name(0)).await;
    }
    check_no_stale_order_at(&case, &["engine-1"]).await;
    case.finish().await;
}
