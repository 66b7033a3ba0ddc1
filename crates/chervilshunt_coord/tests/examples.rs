//! Runs the examples and compares their output with snapshots.
//!
//! Each example checks its own invariants while it runs, so a run that ends without a panic has met
//! them.

#![expect(
    clippy::duplicate_mod,
    reason = "each example is a program of its own with the same support"
)]

use rstest::rstest;

#[path = "../examples/configuration.rs"]
#[expect(dead_code, reason = "a test calls what the example's main does")]
mod configuration;
#[path = "../examples/lease.rs"]
#[expect(dead_code, reason = "a test calls what the example's main does")]
mod lease;
#[path = "../examples/roles.rs"]
#[expect(dead_code, reason = "a test calls what the example's main does")]
mod roles;

#[rstest]
#[case::lease("lease", lease::run)]
#[case::roles("roles", roles::run)]
#[case::configuration("configuration", configuration::run)]
fn example_output_matches_its_snapshot(#[case] name: &str, #[case] run: fn() -> String) {
    insta::assert_snapshot!(name, run());
}
