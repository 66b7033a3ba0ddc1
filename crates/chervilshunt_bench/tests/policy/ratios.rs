//! Bounds on the gains of the policy, as ratios on short runs with fixed seeds.
//!
//! In virtual time the ratios are the same on every machine. Each bound of a mechanism lies about
//! midway between the ratios with and without the mechanism, and a test case without it has to miss
//! the bound, which shows that the bound is not trivial. The ratios in the comments are medians of
//! seeds 21 to 23, those for the weights are of seed 21.

use chervilshunt_bench::policy::{
    DeploymentKind, Mechanism, Policy, RunReport, RunSpec, Scenario, run_policy,
};
use chervilshunt_core::PolicyWeights;
use rstest::rstest;

/// Virtual seconds of a run; the slots are full after half of the warm-up, which is the first third.
const SECONDS: u64 = 600;
const SEEDS: [u64; 2] = [21, 22];

/// Upper bound on Kolvand's stalled time relative to `lru`: 0.31 with eviction by cost, 0.94 with
/// eviction by recency.
const STALLED_TO_LRU: f64 = 0.55;
/// Lower bound on Hollowell & Pike's useful tokens per step relative to `lru`: 1.39 with spare power
/// given to few targets, 1.14 with equal treatment of all targets.
const TOKENS_TO_LRU: f64 = 1.27;
/// Upper bound on Hollowell & Pike's stalled time with a higher weight on load stalls, relative to
/// that with a higher weight on batch efficiency: 0.72.
const STALLED_BY_WEIGHT: f64 = 0.85;
/// Lower bound on its useful tokens per step with a higher weight on batch efficiency, relative to
/// those with a higher weight on load stalls: 1.18.
const TOKENS_BY_WEIGHT: f64 = 1.09;

fn runs(
    deployment: DeploymentKind,
    policy: Policy,
    weights: Option<PolicyWeights>,
) -> impl Iterator<Item = RunReport> {
    SEEDS.into_iter().map(move |seed| {
        run_policy(RunSpec {
            deployment,
            policy,
            scenario: Scenario::Steady,
            seed,
            seconds: Some(SECONDS),
            load: 1.0,
            weights,
        })
    })
}

fn stalled(deployment: DeploymentKind, policy: Policy, weights: Option<PolicyWeights>) -> f64 {
    let reports = runs(deployment, policy, weights);
    reports.map(|report| report.stalled_ms_total).sum()
}

fn tokens(deployment: DeploymentKind, policy: Policy, weights: Option<PolicyWeights>) -> f64 {
    let reports = runs(deployment, policy, weights);
    let tokens = reports.filter_map(|report| report.useful_tokens_per_step);
    tokens.sum()
}

#[rstest]
#[case::product(Policy::Chervilshunt, true)]
#[case::without_eviction_by_cost(Policy::Without(Mechanism::CostEviction), false)]
fn stalls_less_than_the_baseline(#[case] policy: Policy, #[case] within_bound: bool) {
    let of = |policy| stalled(DeploymentKind::Kolvand, policy, None);
    let ratio = of(policy) / of(Policy::Lru);
    assert_eq!(ratio <= STALLED_TO_LRU, within_bound, "{ratio}");
}

#[rstest]
#[case::product(Policy::Chervilshunt, true)]
#[case::without_packing(Policy::Without(Mechanism::Packing), false)]
fn runs_fuller_batches_than_the_baseline(#[case] policy: Policy, #[case] within_bound: bool) {
    let of = |policy| tokens(DeploymentKind::Hollowell, policy, None);
    let ratio = of(policy) / of(Policy::Lru);
    assert_eq!(ratio >= TOKENS_TO_LRU, within_bound, "{ratio}");
}

/// Guards against weights without effect: the same deployment has to stall less with a higher weight
/// on load stalls, and to run fuller batches with a higher weight on batch efficiency.
#[test]
fn weights_trade_stalls_for_batch_efficiency() {
    let weights = |load_stalls, batch_efficiency| {
        Some(PolicyWeights {
            load_stalls,
            batch_efficiency,
        })
    };
    let (stalls_first, batches_first) = (weights(3.0, 1.0), weights(1.0, 3.0));
    let stalled = |weights| stalled(DeploymentKind::Hollowell, Policy::Chervilshunt, weights);
    let ratio = stalled(stalls_first) / stalled(batches_first);
    assert!(ratio <= STALLED_BY_WEIGHT, "{ratio}");
    let tokens = |weights| tokens(DeploymentKind::Hollowell, Policy::Chervilshunt, weights);
    let ratio = tokens(batches_first) / tokens(stalls_first);
    assert!(ratio >= TOKENS_BY_WEIGHT, "{ratio}");
}

#[rstest]
fn invariants_hold_in_steady_scenario(
    #[values(DeploymentKind::Hollowell, DeploymentKind::Kolvand)] deployment: DeploymentKind,
) {
    for report in runs(deployment, Policy::Chervilshunt, None) {
        assert_eq!(report.cap_exceeded_steps, Some(0));
        assert_eq!(report.pinned_evictions, Some(0));
        assert_eq!(report.deferrable_failed, Some(0));
    }
}
