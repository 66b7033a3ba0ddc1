//! The platform is down or slow, loses responses after a write took effect, or serves stale reads.

use std::time::Duration;

use chervilshunt_standin::check::{Outcome, Verdict};
use chervilshunt_standin::fleet::{FleetOptions, create_version, describe, model_name, wait_until};
use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};

use crate::case::{Case, LEASE_TAKEOVER_TIME, WAIT_TIMEOUT, answered};

/// The platform is down for longer than every lease. No instance can be superseded meanwhile, so
/// each keeps serving with the targets it owns, and completions are unaffected. A configuration
/// change has to be refused and must not be in force anywhere after the outage. A keyed request
/// whose claim can't be recorded has to be reported as `not_run`.
#[rstest]
#[case::refuses_connections(json!({"down": "refuse"}))]
#[case::unavailable(json!({"down": "unavailable"}))]
#[case::hangs(json!({"freeze": true}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn down_for_longer_than_the_leases(#[case] switches: Value) {
    let mut case = Case::start(FleetOptions::default(), 15.0).await;
    case.run_for(Duration::from_secs(2)).await;
    case.set_faults("platform", switches).await;
    case.run_for(LEASE_TAKEOVER_TIME).await;

    for id in ["i1", "i2", "i3"] {
        let verdict = case.complete(id, &model_name(0), 5).await;
        assert!(
            answered(&verdict),
            "{id} during the outage: {}",
            describe(&verdict)
        );
    }
    let model = "adapter-0000@outage";
    let statements = case.fleet.statements_at("i1").unwrap();
    let change = statements.try_run(&create_version(model)).await.unwrap();
    assert_eq!(
        change.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "{}",
        change.text
    );
    let entry = case.plan_entry("i2", true);
    let verdict = case.load.send("i2", entry.clone()).await;
    match &verdict {
        Verdict::Refused(refusal) => assert_eq!(refusal.outcome, Outcome::NotRun),
        other => panic!(
            "a keyed call during the outage was not refused: {}",
            describe(other)
        ),
    }

    let up = json!({"down": "no", "freeze": false});
    case.set_faults("platform", up).await;
    let retry = || async {
        answered(
            &case
                .load
                .send("i3", case.with_destination("i3", entry.clone()))
                .await,
        )
    };
    let retried = wait_until(WAIT_TIMEOUT, || async { retry().await.then_some(()) }).await;
    retried.expect("the keyed call was not answered after the outage");
    assert_eq!(case.runs(&entry).await, 1);
    let query = format!("show versions where name = {model}");
    for id in ["i1", "i2", "i3"] {
        let there = case.column(id, &query, "name").await;
        assert!(
            there.is_empty(),
            "{id} has a version whose creation was refused"
        );
    }
    case.finish().await;
}

/// Every call to the platform is slow. Calls that end within their timeout still renew leases, as
/// renewal doesn't wait for other calls. Calls that time out amount to an outage, during which no
/// instance can be superseded. Completions are not delayed, as only keyed requests wait for the
/// platform.
#[rstest]
#[case::calls_end_in_time(400)]
#[case::calls_time_out(1_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow(#[case] slow_ms: u64) {
    let mut case = Case::start(FleetOptions::default(), 15.0).await;
    case.run_for(Duration::from_secs(2)).await;
    case.owner("i1", "engine-1", None).await;
    case.set_faults("platform", json!({"slow_ms": slow_ms}))
        .await;
    case.run_for(LEASE_TAKEOVER_TIME).await;
    for id in ["i1", "i2", "i3"] {
        let verdict = case.complete(id, &model_name(0), 5).await;
        assert!(
            answered(&verdict),
            "{id} with a slow platform: {}",
            describe(&verdict)
        );
    }
    for id in ["i1", "i2", "i3"] {
        let lost = lines_of_lost_leases(&case, id);
        assert!(lost.is_empty(), "{id}: {lost:#?}");
    }
    case.set_faults("platform", json!({"slow_ms": 0})).await;
    case.finish().await;
}

/// Returns the log lines of an instance that show a lost lease, its own or another's: the lease was found or marked
/// lapsed, or a role was gained that its last holder had not handed over.
fn lines_of_lost_leases(case: &Case, id: &str) -> Vec<Value> {
    let lines = case.fleet.instance(id).unwrap().process.log_lines();
    let shows_loss = |line: &Value| match line["msg"].as_str() {
        Some("coordination") => line["kind"] == "LeaseLost" || line["kind"] == "LeaseEnded",
        Some("role gained") => line["previous"].is_string() && line["handed_over"] == false,
        _ => false,
    };
    lines.into_iter().filter(shows_loss).collect()
}

/// An operator's change is written, and the response to the write is lost. A blind retry would
/// conflict with the change itself, so that it is reported as refused although it is in force, or
/// would apply it twice. The instance has to look the change up by its id and report the actual
/// outcome.
#[rstest]
#[case::one(1)]
#[case::some(3)]
#[case::many(6)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_are_lost_after_the_write(#[case] lost: u64) {
    let mut case = Case::start(FleetOptions::default(), 10.0).await;
    case.run_for(Duration::from_secs(1)).await;
    for number in 0..4 {
        case.set_faults("platform", json!({"lose_answer_after_write": lost}))
            .await;
        let model = format!("adapter-0001@lost{number}");
        let statements = case.fleet.statements_at("i1").unwrap();
        let change = statements.try_run(&create_version(&model)).await.unwrap();
        let accepted = change.status.is_success();
        let query = format!("show versions where name = {model}");
        for id in ["i1", "i2", "i3"] {
            let there = !case.column(id, &query, "name").await.is_empty();
            assert_eq!(
                there, accepted,
                "{id} after {}: {}",
                change.status, change.text
            );
        }
        if accepted {
            case.until_answered("i3", &model).await;
        }
    }
    let mut entries = Vec::new();
    for number in 0..6 {
        case.set_faults("platform", json!({"lose_answer_after_write": lost}))
            .await;
        let id = ["i1", "i2", "i3"][number % 3];
        let entry = case.plan_entry(id, true);
        case.load.send(id, entry.clone()).await;
        entries.push(entry);
    }
    case.set_faults("platform", json!({"lose_answer_after_write": 0}))
        .await;
    for entry in entries {
        assert!(case.runs(&entry).await <= 1);
    }
    case.finish().await;
}

/// A watch misses changes and then expires, or reads are stale for a while, or both. An instance
/// that relied on them would revert to an older configuration or miss an accepted version: its
/// callers would get a 404 for a model that other instances serve.
#[rstest]
#[case::watch_gap(json!({"watch_gap": 4, "expire_watches": true}))]
#[case::stale_reads(json!({"stale_reads": 3, "stale_gets": 3}))]
#[case::stale_lists_after_a_gap(json!({
    "watch_gap": 4, "expire_watches": true, "stale_reads": 3, "stale_gets": 3,
}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gaps_and_stale_reads(#[case] switches: Value) {
    let mut case = Case::start(FleetOptions::default(), 10.0).await;
    case.run_for(Duration::from_secs(1)).await;
    case.set_faults("platform", switches).await;
    let mut accepted = Vec::new();
    for number in 0..4 {
        let model = format!("adapter-0002@gap{number}");
        let statements = case.fleet.statements_at("i1").unwrap();
        let change = statements.try_run(&create_version(&model)).await.unwrap();
        if !change.status.is_success() {
            continue;
        }
        accepted.push(model);
        check_all_there(&mut case, &accepted).await;
    }
    // Stale data may arrive with a delay.
    case.run_for(LEASE_TAKEOVER_TIME / 2).await;
    check_all_there(&mut case, &accepted).await;
    let healed = json!({
        "watch_gap": 0, "expire_watches": false, "stale_reads": 0, "stale_gets": 0,
    });
    case.set_faults("platform", healed).await;
    let statements = case.fleet.statements_at("i2").unwrap();
    let create = create_version("adapter-0002@after");
    let look = || async {
        let change = statements.try_run(&create).await.ok()?;
        change.status.is_success().then_some(())
    };
    wait_until(WAIT_TIMEOUT, look)
        .await
        .expect("no change was accepted after the fault");
    case.until_answered("i3", "adapter-0002@after").await;
    eprintln!(
        "{} of 4 changes were accepted during the fault",
        accepted.len()
    );
    case.finish().await;
}

/// Checks that no instance answers a request for one of the models with a 404.
async fn check_all_there(case: &mut Case, models: &[String]) {
    for id in ["i1", "i2", "i3"] {
        for model in models {
            let verdict = case.complete(id, model, 3).await;
            let missing = matches!(&verdict, Verdict::Refused(refusal) if refusal.status == 404);
            assert!(!missing, "{id}: {model}: {}", describe(&verdict));
        }
    }
}
