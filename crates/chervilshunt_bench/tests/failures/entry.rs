//! The instance that a non-idempotent request entered at is lost.

use std::time::Duration;

use chervilshunt_standin::check::{Outcome, Verdict};
use chervilshunt_standin::fleet::{FleetOptions, describe, wait_until};
use rstest::rstest;
use serde_json::json;

use crate::case::{BOUND, Case, answered};

/// A finish entry with a key is under way when its instance is killed or paused, so that the
/// caller gets no answer. It sends the entry again, with the same key, to another instance. The
/// first run may have happened, be happening or never happen: only the claim tells, so the second
/// instance asks its keeper before it sends anything. The boat is scored once at most, and a
/// caller who is told `not_run` finds that it didn't run.
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
    case.fault("desk-1", json!({"slow_ms": 1_500})).await;
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
        let req = case.at(id, entry.clone());
        let verdict = case.load.send(id, req).await;
        let runs = case.runs(entry).await;
        assert!(
            runs <= 1,
            "ran {runs} times; the retry was told: {}",
            describe(&verdict)
        );
    }
    case.fault("desk-1", json!({"slow_ms": 0})).await;
    if !killed {
        case.fleet.thaw("i4").unwrap();
    }
    for (entry, first) in entries {
        first.await.unwrap();
        assert!(case.runs(&entry).await <= 1);
    }
    case.finish().await;
}

/// The keeper of claims is killed along with the entry instance, between the claim and its
/// answer. The new keeper has to know the claims that the old one recorded, or the retry would
/// run the entry a second time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keeper_and_entry_instance_are_killed() {
    let options = FleetOptions {
        instances: 4,
        ..FleetOptions::default()
    };
    let mut case = Case::start(options, 5.0).await;
    case.run_for(Duration::from_secs(2)).await;
    case.fault("desk-1", json!({"slow_ms": 1_000})).await;
    let mut entries = Vec::new();
    // Entries at each instance: whichever two are killed, claims of all sorts are left behind.
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
    case.fault("desk-1", json!({"slow_ms": 0})).await;
    for (entry, first) in entries {
        first.await.unwrap();
        let retry = || async {
            let verdict = case.load.send("i1", case.at("i1", entry.clone())).await;
            let settled = match &verdict {
                Verdict::Refused(refusal) => refusal.outcome == Outcome::Unknown,
                verdict => answered(verdict),
            };
            settled.then_some(())
        };
        wait_until(BOUND, retry)
            .await
            .expect("a retry is never told what became of it");
        assert!(case.runs(&entry).await <= 1);
    }
    case.finish().await;
}

/// The plain service runs an entry and its answer is lost, or it is cut off before it runs. Either
/// way the first byte may have left, so an entry without a key is never sent a second time: its
/// caller is told `unknown`, and never `not_run`.
#[rstest]
#[case::answer_lost(json!({"lose_answers": 1}))]
#[case::cut_before_it_runs(json!({"cut_before_run": 1}))]
#[case::answer_cut(json!({"cut_answers": 1}))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_targets_answer_is_lost(#[case] switches: serde_json::Value) {
    let mut case = Case::start(FleetOptions::default(), 0.5).await;
    for keyed in [false, true] {
        case.run_for(Duration::from_millis(500)).await;
        case.fault("desk-1", switches.clone()).await;
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
