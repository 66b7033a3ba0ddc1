//! Operators change the configuration concurrently, or while an instance is unreachable.

use std::time::Duration;

use chervilshunt_standin::check::Verdict;
use chervilshunt_standin::fleet::{
    FleetOptions, Link, LinkMode, create_version, describe, model_name, wait_until,
};
use http::StatusCode;
use rstest::rstest;
use serde_json::json;

use crate::case::{Case, LEASE_TAKEOVER_TIME, WAIT_TIMEOUT};

const INSTANCES: [&str; 3] = ["i1", "i2", "i3"];

/// Three operators set the same cap concurrently at three instances, conditional on the same
/// revision. If two were accepted, each operator would assume that its own cap is in force. At most
/// one may be accepted, and its value has to be in force at every instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn conditional_changes_race() {
    let case = Case::start(FleetOptions::default(), 5.0).await;
    let mut accepted_in_all = 0;
    for round in 0..8 {
        let shown = case
            .fleet
            .statements()
            .unwrap()
            .run("show sites")
            .await
            .unwrap();
        let revision = shown["revision"].as_u64().unwrap();
        let caps = [1, 2, 3].map(|number| 50_000 + round * 10 + number);
        let race = INSTANCES.iter().zip(caps).map(|(id, cap)| {
            let statements = case.fleet.statements_at(id).unwrap();
            let text = format!("if revision = {revision} set site hall cap_watts={cap}");
            async move { statements.try_run(&text).await.unwrap().status.is_success() }
        });
        let accepted = futures_util::future::join_all(race).await;
        let count = accepted.iter().filter(|accepted| **accepted).count();
        assert!(
            count <= 1,
            "{count} changes conditional on revision {revision} were accepted"
        );
        accepted_in_all += count;
        if let Some(winner) = accepted.iter().position(|accepted| *accepted) {
            for id in INSTANCES {
                let cap = case
                    .column(id, "show sites where name = hall", "cap_watts")
                    .await;
                assert_eq!(cap, [caps[winner].to_string()], "{id}");
            }
        }
    }
    assert!(
        accepted_in_all > 0,
        "no change was accepted in eight rounds"
    );
    case.finish().await;
}

/// Operators create the same version concurrently at different instances, then delete it
/// concurrently. At most one creation may be accepted, and all instances have to agree in the end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn conflicting_changes_race() {
    let case = Case::start(FleetOptions::default(), 5.0).await;
    let query = "show versions where name ~ adapter-0003@race";
    for round in 0..6 {
        let model = format!("adapter-0003@race{round}");
        let create = create_version(&model);
        let (a, b, c) = tokio::join!(
            try_at(&case, "i1", &create),
            try_at(&case, "i2", &create),
            try_at(&case, "i3", &create),
        );
        let accepted = [a, b, c].into_iter().filter(StatusCode::is_success).count();
        assert!(
            accepted <= 1,
            "the same version was created {accepted} times"
        );
        let deletion = format!("delete version {model}");
        tokio::join!(
            try_at(&case, "i1", &deletion),
            try_at(&case, "i2", &deletion)
        );
    }
    let agree = || async {
        let first = case.column("i1", query, "name").await;
        for id in ["i2", "i3"] {
            if case.column(id, query, "name").await != first {
                return None;
            }
        }
        Some(())
    };
    wait_until(WAIT_TIMEOUT, agree)
        .await
        .expect("instances disagree on the versions");
    case.finish().await;
}

async fn try_at(case: &Case, id: &str, text: &str) -> StatusCode {
    case.fleet
        .statements_at(id)
        .unwrap()
        .try_run(text)
        .await
        .unwrap()
        .status
}

/// An instance is paused, or cut off from its peers, the platform or both, when an operator
/// changes the configuration. If the change is accepted, the instance must know it before it
/// serves again: a request for the new version must not get a 404, and a request for a deleted
/// version must not be served. The change may also be refused, but once the instance is back or
/// its lease has expired, a change has to be accepted.
#[rstest]
#[case::paused(true, false, false)]
#[case::without_peers(false, true, false)]
#[case::without_platform(false, false, true)]
#[case::without_both(false, true, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_while_an_instance_is_away(
    #[case] paused: bool,
    #[case] without_peers: bool,
    #[case] without_platform: bool,
) {
    let options = FleetOptions {
        links: true,
        ..FleetOptions::default()
    };
    let mut case = Case::start(options, 5.0).await;
    case.run_for(Duration::from_secs(1)).await;
    let away = "i3";
    if paused {
        case.fleet.freeze(away).unwrap();
    }
    if without_peers {
        case.fleet.set_link(Link::all_of(away), LinkMode::Cut);
    }
    if without_platform {
        case.set_faults("platform", json!({"cut": [away]})).await;
    }
    for round in 0..3 {
        let model = format!("adapter-0004@away{round}");
        let change = format!(
            "{{ {} delete version {} }}",
            create_version(&model),
            model_name(5 + round)
        );
        let status = try_at(&case, "i1", &change).await;
        if paused && round == 2 {
            case.fleet.thaw(away).unwrap();
        }
        if status.is_success() && !(paused && round < 2) {
            let verdict = case.complete(away, &model, 2).await;
            let missing = matches!(&verdict, Verdict::Refused(refusal) if refusal.status == 404);
            assert!(
                !missing,
                "{away} after an accepted change: {}",
                describe(&verdict)
            );
            let verdict = case.complete(away, &model_name(5 + round), 2).await;
            let served = matches!(verdict, Verdict::Answered(_));
            assert!(!served, "{away} served a version that was deleted");
        }
        case.run_for(LEASE_TAKEOVER_TIME / 2).await;
    }
    case.fleet.thaw(away).unwrap();
    case.fleet.heal_links();
    case.set_faults("platform", json!({"cut": []})).await;
    let statements = case.fleet.statements_at("i2").unwrap();
    let create = create_version("adapter-0004@back");
    let look = || async {
        let change = statements.try_run(&create).await.ok()?;
        change.status.is_success().then_some(())
    };
    wait_until(WAIT_TIMEOUT, look)
        .await
        .expect("no change was accepted after all instances were back");
    for id in INSTANCES {
        case.until_answered(id, "adapter-0004@back").await;
    }
    case.finish().await;
}
