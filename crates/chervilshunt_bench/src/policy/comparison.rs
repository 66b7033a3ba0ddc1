//! A whole table: medians, how each policy stands to the baseline and the bound, and the aims.

use serde::{Deserialize, Serialize};

use super::aims::{Aim, aims};
use super::deployment::DeploymentKind;
use super::run::Policy;
use super::scenario::Scenario;
use super::summary::{Matrix, Row};

/// Results of a matrix of runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The seeds that the medians are of.
    pub seeds: Vec<u64>,
    /// Virtual seconds of each run; none if each scenario had its usual length.
    pub seconds: Option<u64>,
    /// By how much the rates of all requests were multiplied.
    pub load: f64,
    /// Medians of each policy in each scenario of each deployment.
    pub rows: Vec<Row>,
    /// How the policies stand to each other.
    pub comparisons: Vec<Comparison>,
    /// What was aimed at, and whether it was reached.
    pub aims: Vec<Aim>,
}

/// Quotients of one policy's medians and those of the baseline or the bound; none where either was
/// not run, lacks the figure or is zero.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// The deployment.
    pub deployment: String,
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// Stalled time over that of `lru`.
    pub stalled_to_lru: Option<f64>,
    /// Stalled time over the bound of `clairvoyant`.
    pub stalled_to_bound: Option<f64>,
    /// Useful tokens a step over those of `lru`.
    pub tokens_to_lru: Option<f64>,
    /// 99th percentile of live wait over that of `lru`.
    pub live_wait_to_lru: Option<f64>,
    /// Energy for each token over that of `lru`.
    pub joules_to_lru: Option<f64>,
}

impl Table {
    /// Runs a matrix and compares what came out.
    pub fn new(matrix: &Matrix) -> Self {
        let rows = matrix.run();
        Self {
            seeds: matrix.seeds.clone(),
            seconds: matrix.seconds,
            load: matrix.load,
            comparisons: rows.iter().map(|row| compare(&rows, row)).collect(),
            aims: aims(&rows),
            rows,
        }
    }
}

/// Finds the row of a policy in a scenario of a deployment.
pub(crate) fn find(
    rows: &[Row],
    deployment: DeploymentKind,
    scenario: Scenario,
    policy: Policy,
) -> Option<&Row> {
    rows.iter().find(|row| {
        row.deployment == deployment.as_str()
            && row.scenario == scenario.as_str()
            && row.policy == policy.as_str()
    })
}

/// Returns a quotient rounded to four digits after the point.
pub(crate) fn quotient(part: Option<f64>, whole: Option<f64>) -> Option<f64> {
    let whole = whole.filter(|whole| *whole > 0.0)?;
    part.map(|part| (part / whole * 1e4).round() / 1e4)
}

fn compare(rows: &[Row], row: &Row) -> Comparison {
    let beside = |policy: Policy| {
        rows.iter().find(|other| {
            other.deployment == row.deployment
                && other.scenario == row.scenario
                && other.policy == policy.as_str()
        })
    };
    let (lru, bound) = (beside(Policy::Lru), beside(Policy::Clairvoyant));
    let stalled = Some(row.stalled_s);
    Comparison {
        deployment: row.deployment.clone(),
        scenario: row.scenario.clone(),
        policy: row.policy.clone(),
        stalled_to_lru: quotient(stalled, lru.map(|it| it.stalled_s)),
        stalled_to_bound: quotient(stalled, bound.map(|it| it.stalled_s)),
        tokens_to_lru: quotient(
            row.useful_tokens_per_step,
            lru.and_then(|it| it.useful_tokens_per_step),
        ),
        live_wait_to_lru: quotient(row.live_wait_ms_p99, lru.and_then(|it| it.live_wait_ms_p99)),
        joules_to_lru: quotient(row.joules_per_token, lru.and_then(|it| it.joules_per_token)),
    }
}
