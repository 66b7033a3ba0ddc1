//! Tests of whole load runs: the counts in the report, and the violations detected.

use std::time::Duration;

use chervilshunt_bench::load::{LoadPlan, LoadRunReport, run};
use chervilshunt_standin::check::ViolationKind;
use rstest::rstest;

use crate::instance::{Misbehavior, Pair, pair};

fn plan(pair: &Pair, direct: &Pair) -> LoadPlan {
    LoadPlan {
        entries: vec![pair.instance],
        direct: vec![direct.engine.address],
        standins: vec![pair.engine.control],
        rate: 400.0,
        duration: Duration::from_millis(500),
        models: vec!["base".into()],
        keyed_share: 1.0,
        seed: 7,
        ..LoadPlan::default()
    }
}

async fn report(misbehavior: Misbehavior) -> LoadRunReport {
    let (system, direct) = (pair(misbehavior).await, pair(Misbehavior::None).await);
    run(plan(&system, &direct))
        .await
        .expect("the stand-ins are up")
}

#[tokio::test(flavor = "multi_thread")]
async fn every_answer_of_a_correct_instance_passes() {
    let report = report(Misbehavior::None).await;
    assert!(report.passed, "{report:?}");
    assert!(report.settled);
    let direct = report.direct.expect("it was asked for");
    let added = report.added_first_token.expect("it was asked for");
    assert!(report.system.sent > 100, "{}", report.system.sent);
    assert_eq!(report.system.answered, report.system.sent);
    assert_eq!(direct.answered, report.system.sent);
    assert_eq!(direct.tokens, report.system.tokens);
    assert_eq!(added.count, report.system.longest_gap.count);
    assert_eq!(report.send_lag.count, 2 * report.system.sent);
}

#[rstest]
#[case::false_not_run(Misbehavior::FalseNotRun, ViolationKind::FalseNotRun)]
#[case::double_run(Misbehavior::DoubleRun, ViolationKind::DoubleRun)]
#[tokio::test(flavor = "multi_thread")]
async fn a_misbehaving_instance_is_detected(
    #[case] misbehavior: Misbehavior,
    #[case] kind: ViolationKind,
) {
    let report = report(misbehavior).await;
    assert!(!report.passed);
    let kinds: Vec<_> = report.violations.iter().map(|found| found.kind).collect();
    assert_eq!(kinds, [kind]);
    assert_eq!(report.violations[0].count, report.system.sent.div_ceil(10));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_seed_fixes_what_is_sent() {
    let (first, second) = (
        report(Misbehavior::None).await,
        report(Misbehavior::None).await,
    );
    assert_eq!(first.system.sent, second.system.sent);
    assert_eq!(first.system.tokens, second.system.tokens);
    assert_eq!(
        first.system.total_live.count,
        second.system.total_live.count
    );
}

/// If the instance refuses connections, every request counts as disconnected. The tool knows that
/// none was sent, so this is not a violation.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_instance_is_not_a_violation() {
    let pair = pair(Misbehavior::None).await;
    let mut plan = plan(&pair, &pair);
    plan.direct.clear();
    let closed = tokio::net::TcpListener::bind(("127.0.0.1", 0))
        .await
        .unwrap();
    plan.entries = vec![closed.local_addr().unwrap()];
    drop(closed);
    let report = run(plan).await.unwrap();
    assert!(report.passed, "{report:?}");
    assert_eq!(report.system.disconnected, report.system.sent);
}
