//! Engines restart without their adapters, fail loads, or hang.

use std::time::Duration;

use chervilshunt_standin::check::{Outcome, Verdict};
use chervilshunt_standin::fleet::{FleetOptions, describe, model_name};
use rstest::rstest;
use serde_json::json;

use crate::case::{Case, WAIT_TIMEOUT, answered, unanswered};

/// An engine loses its adapters and running work and is available again at once. Open streams have
/// to be reported as cut short. The owner's record of loaded adapters is outdated, so the next
/// request reaches an engine that does not know the model. The owner has to detect this and reload
/// the adapter, without answers from the base model or repeated 404s.
#[rstest]
#[case::one(&["engine-1"])]
#[case::all(&["engine-1", "engine-2"])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_restart_empty(#[case] engines: &[&str]) {
    let mut case = Case::start(FleetOptions::default(), 20.0).await;
    case.run_for(Duration::from_secs(3)).await;
    let open: Vec<_> = (0..4)
        .map(|number| {
            let req = case.plan_completion("i1", &model_name(number), 300);
            case.load.spawn("i1", req)
        })
        .collect();
    case.run_for(Duration::from_millis(500)).await;
    for engine in engines {
        case.set_faults(engine, json!({"restart": true})).await;
    }
    for stream in open {
        let verdict = stream.await.unwrap();
        let reported = match &verdict {
            Verdict::Answered(_) => true,
            Verdict::Refused(refusal) => refusal.outcome != Outcome::NotRun,
            Verdict::Disconnected { .. } | Verdict::Violated(_) => false,
        };
        assert!(
            reported,
            "the caller of an open stream received: {}",
            describe(&verdict)
        );
    }
    for number in 0..4 {
        case.until_answered("i2", &model_name(number)).await;
    }
    let tries = case.finish().await;
    assert!(tries.iter().any(|one| matches!(
        &one.record.verdict,
        Verdict::Refused(refusal) if refusal.outcome == Outcome::CutShort
    )));
}

/// Half of all loads fail. Requests for loaded adapters must not be affected. For those that wait
/// for a load, it is retried at the same or another engine, and they are answered within their
/// deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_of_the_loads_fail() {
    let options = FleetOptions {
        adapters: 16,
        slots: 3,
        ..FleetOptions::default()
    };
    let case = Case::start(options, 15.0).await;
    for engine in ["engine-1", "engine-2"] {
        case.set_faults(engine, json!({"load_fails": 0.5})).await;
    }
    case.run_for(Duration::from_secs(8)).await;
    let failed = case.count("engine-1", "failed_loads").await;
    let failed = failed + case.count("engine-2", "failed_loads").await;
    assert!(failed > 0, "no load failed");
    let tries = case.finish().await;
    assert_eq!(unanswered(&tries), [""; 0]);
}

/// Every load of every engine fails. A request for an adapter that isn't loaded can't be answered:
/// it has to be refused before its deadline with `not_run` and a retry time instead of getting no
/// response. Once loads work again, it is answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_load_succeeds() {
    let options = FleetOptions {
        adapters: 3,
        ..FleetOptions::default()
    };
    let mut case = Case::start(options, 5.0).await;
    for engine in ["engine-1", "engine-2"] {
        case.set_faults(engine, json!({"restart": true, "load_fails": 1.0}))
            .await;
    }
    let sent = tokio::time::Instant::now();
    let verdict = case.complete("i1", &model_name(2), 3).await;
    let Verdict::Refused(refusal) = &verdict else {
        panic!(
            "a request that no engine can serve was not refused: {}",
            describe(&verdict)
        );
    };
    assert_eq!(refusal.outcome, Outcome::NotRun, "{}", describe(&verdict));
    assert!(sent.elapsed() < WAIT_TIMEOUT);
    for engine in ["engine-1", "engine-2"] {
        case.set_faults(engine, json!({"load_fails": 0.0})).await;
    }
    case.until_answered("i1", &model_name(2)).await;
    case.finish().await;
}

/// An engine hangs: it accepts connections and does not respond. Requests that wait for it have to
/// end with an answer from another engine or a refusal, and the other engine keeps serving. When
/// it resumes, it gets work again, and no late answer reaches the wrong caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_hangs() {
    let mut case = Case::start(FleetOptions::default(), 15.0).await;
    case.run_for(Duration::from_secs(2)).await;
    case.set_faults("engine-1", json!({"freeze": true})).await;
    case.run_for(Duration::from_secs(6)).await;
    let mut answers = 0;
    for number in 0..8 {
        let verdict = case.complete("i1", &model_name(number), 3).await;
        answers += usize::from(answered(&verdict));
    }
    assert!(answers > 0, "no request was answered while one engine hung");
    case.set_faults("engine-1", json!({"freeze": false})).await;
    for number in 0..8 {
        case.until_answered("i1", &model_name(number)).await;
    }
    case.finish().await;
}
