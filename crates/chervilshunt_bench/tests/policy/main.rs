//! Integration tests of the policy bench, on short runs with fixed seeds.

mod ratios;
mod table;

use chervilshunt_bench::policy::{
    DeploymentKind, Policy, RunReport, RunSpec, Scenario, run_policy,
};
use rstest::rstest;

/// Virtual seconds of a short run; the first third is the warm-up.
const SHORT_SECONDS: u64 = 200;

fn run(deployment: DeploymentKind, policy: Policy, scenario: Scenario, seed: u64) -> RunReport {
    run_policy(RunSpec {
        deployment,
        policy,
        scenario,
        seed,
        seconds: Some(SHORT_SECONDS),
        load: 1.0,
        weights: None,
    })
}

#[rstest]
#[case::product(Policy::Chervilshunt)]
#[case::lru(Policy::Lru)]
#[case::fixed(Policy::Static)]
#[case::bound(Policy::Clairvoyant)]
fn same_seed_gives_identical_report(#[case] policy: Policy) {
    let text = |seed| {
        let report = run(DeploymentKind::Kolvand, policy, Scenario::Restart, seed);
        serde_json::to_string(&report).expect("a report is plain data")
    };
    assert_eq!(text(3), text(3));
    assert_ne!(text(3), text(4), "two seeds gave the same report");
}

#[rstest]
fn invariants_hold_in_each_scenario(
    #[values(DeploymentKind::Hollowell, DeploymentKind::Kolvand)] deployment: DeploymentKind,
    #[values(Policy::Chervilshunt, Policy::Lru, Policy::Static)] policy: Policy,
    #[values(
        Scenario::Steady,
        Scenario::Restart,
        Scenario::LoadFailures,
        Scenario::CapCut,
        Scenario::DeferrableFlood,
        Scenario::AdapterFlood
    )]
    scenario: Scenario,
) {
    let report = run(deployment, policy, scenario, 5);
    assert!(report.requests > 0);
    assert_eq!(report.pinned_evictions, Some(0));
    assert_eq!(report.cap_exceeded_steps, Some(0));
    assert_eq!(report.deferrable_failed, Some(0));
}

/// Guards against reports that leave out the wait of refused or expired requests, by which a policy
/// that turns work away would look better.
#[rstest]
#[case::product(Policy::Chervilshunt)]
#[case::lru(Policy::Lru)]
fn refused_and_expired_requests_count(#[case] policy: Policy) {
    let report = run(DeploymentKind::Kolvand, policy, Scenario::Restart, 5);
    let live = report.live.expect("a run has live requests");
    let deferrable = report.deferrable.expect("a run has deferrable requests");

    assert_eq!(live.requests + deferrable.requests, report.requests);
    assert_eq!(Some(live.expired), report.live_failed);
    assert_eq!(Some(deferrable.expired), report.deferrable_failed);
    assert!(
        live.expired > 0,
        "no caller gave up during a restart at this load"
    );
    assert!(live.expired_wait_ms_total >= live.expired as f64 * 30_000.0);
    assert!(live.wait_ms_total >= live.expired_wait_ms_total);
    assert!(live.wait_ms_total >= live.refused_wait_ms_total);
    assert!(live.expired_stalled_ms_total > 0.0);
    assert!((live.stalled_ms_total - report.stalled_ms_total).abs() < 1.0);
    assert_eq!(live.refused > 0, policy == Policy::Chervilshunt);
    assert_eq!(live.refused > 0, live.refused_wait_ms_total > 0.0);
    assert!(live.refusals >= live.refused);
}
