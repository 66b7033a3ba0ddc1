//! The entry instance of a non-idempotent request is lost, or its target's answer is.

use std::time::Duration;

use chervilshunt_standin::check::{Outcome, Verdict};
use chervilshunt_standin::fleet::{FleetOptions, describe, wait_until};
use rstest::rstest;
use serde_json::json;

use crate::case::{Case, WAIT_TIMEOUT, answered};

/// The entry instance of a keyed call is killed or paused while the call is in flight. The caller
/// gets no answer and retries at another instance with the same key. The first attempt may have
/// run, be running or never run. Only the claim records which, so the second instance has to query
/// its keeper before it sends the call. The call must run at most once, and a call reported as
/// `not_run` must not have run.
#[rstest]
#[case::killed_while_it_runs(true, 600)]
#[case::killed_early(true, 20)]
#[case::paused_while_it_runs(false, 600)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keyed_entry_is_retried_elsewhere(#[case] killed: bool, #[case] wait_ms: u64) {
    let options = FleetOptions {
        instances: 4,
        ..FleetOptions::default()
    };
    let mut case = Case::start(options, 5.0).await;
    case.run_for(Duration::from_secs(2)).await;
    case.set_faults("desk-1", json!({"slow_ms": 1_500})).await;
    let mut entries = Vec::new();
    for _ in 0..6 {
        let entry = case.plan_entry("i4", true);
        let first = case.load.spawn("i4", entry.clone());
        entries.push((entry, first));
    }
    case.run_for(Duration::from_millis(wait_ms)).await;
    if killed {
        case.fleet.kill("i4").await.unwrap();
    } else {
        case.fleet.freeze("i4").unwrap();
    }
    let balanced = case
        .fleet
        .ready_instances()
        .into_iter()
        .filter(|(id, _)| id != "i4");
    case.load.set_instances(balanced.collect());
    for (number, (entry, _)) in entries.iter().enumerate() {
        let id = ["i1", "i2", "i3"][number % 3];
        let req = case.with_destination(id, entry.clone());
        let verdict = case.load.send(id, req).await;
        let runs = case.runs(entry).await;
        assert!(
            runs <= 1,
            "the call ran {runs} times; the retry received: {}",
            describe(&verdict)
        );
    }
    case.set_faults("desk-1", json!({"slow_ms": 0})).await;
    if !killed {
        case.fleet.thaw("i4").unwrap();
    }
    for (entry, first) in entries {
        first.await.unwrap();
        assert!(case.runs(&entry).await <= 1);
    }
    case.finish().await;
}

/// The keeper of claims is killed along with the entry instance, after a claim was recorded and
/// before its call was answered. The new keeper has to know the claims that the old one recorded;
/// otherwise the retry would run the call a second time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keeper_and_entry_instance_are_killed() {
    let options = FleetOptions {
        instances: 4,
        ..FleetOptions::default()
    };
    let mut case = Case::start(options, 5.0).await;
    case.run_for(Duration::from_secs(2)).await;
    case.set_faults("desk-1", json!({"slow_ms": 1_000})).await;
    let mut entries = Vec::new();
    // Calls enter at every instance, so that claims of every combination of entry and keeper are
    // left behind.
    for id in ["i1", "i2", "i3", "i4"] {
        for _ in 0..4 {
            let entry = case.plan_entry(id, true);
            let first = case.load.spawn(id, entry.clone());
            entries.push((entry, first));
        }
    }
    case.run_for(Duration::from_millis(400)).await;
    case.fleet.kill("i4").await.unwrap();
    case.fleet.kill("i3").await.unwrap();
    case.load.set_instances(case.fleet.ready_instances());
    case.set_faults("desk-1", json!({"slow_ms": 0})).await;
    for (entry, first) in entries {
        first.await.unwrap();
        let retry = || async {
            let verdict = case
                .load
                .send("i1", case.with_destination("i1", entry.clone()))
                .await;
            let settled = match &verdict {
                Verdict::Refused(refusal) => refusal.outcome == Outcome::Unknown,
                verdict => answered(verdict),
            };
            settled.then_some(())
        };
        wait_until(WAIT_TIMEOUT, retry)
            .await
            .expect("a retry never received the outcome of the call");
        assert!(case.runs(&entry).await <= 1);
    }
    case.finish().await;
}

/// The plain service runs a call and its answer is lost, or the call is cut off before it runs. In
/// both cases the first byte may have been sent, so a call without a key must never be sent a
/// second time, and has to be reported as `unknown`, never as `not_run`.
#[rstest]
#[case::answer_lost(json!({"lose_answers": 1}))]
#[case::cut_before_it_runs(json!({"cut_before_run": 1}))]
#[case::answer_cut(json!({"cut_answers": 1}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_targets_answer_is_lost(#[case] switches: serde_json::Value) {
    let mut case = Case::start(FleetOptions::default(), 0.5).await;
    for keyed in [false, true] {
        case.run_for(Duration::from_millis(500)).await;
        case.set_faults("desk-1", switches.clone()).await;
        let entry = case.plan_entry("i1", keyed);
        let verdict = case.load.send("i1", entry.clone()).await;
        assert!(!answered(&verdict) || case.count("desk-1", "calls").await > 1);
        if let Verdict::Refused(refusal) = &verdict {
            assert_ne!(refusal.outcome, Outcome::NotRun, "{}", describe(&verdict));
        }
        assert!(case.runs(&entry).await <= 1);
    }
    case.finish().await;
}
