//! Runs property tests with fixed seeds.

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseResult, TestError, TestRng, TestRunner};

/// Returns the number of cases to run: `usual`, or the value of the environment variable
/// `CHERVILSHUNT_COORD_CASES`.
pub(super) fn cases(usual: u32) -> u32 {
    let asked = std::env::var("CHERVILSHUNT_COORD_CASES").ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Fails the test with the smallest failing input found if the property does not hold.
pub(super) fn assert_holds<S: Strategy>(
    cases: u32,
    strategy: &S,
    property: impl Fn(S::Value) -> TestCaseResult,
) {
    if let Err(error) = runner(cases).run(strategy, property) {
        panic!("{error}");
    }
}

/// Fails the test if the property holds in all cases, which means that the check does not detect
/// the seeded bug.
pub(super) fn assert_caught<S: Strategy>(
    cases: u32,
    strategy: &S,
    property: impl Fn(S::Value) -> TestCaseResult,
) {
    match runner(cases).run(strategy, property) {
        Err(TestError::Fail(..)) => {}
        Ok(()) => panic!("the seeded bug was not caught in {cases} cases"),
        Err(TestError::Abort(reason)) => panic!("the run was aborted: {reason}"),
    }
}
