//! Results table: medians, ratios of each policy to the baseline and the bound, and the aims.

use serde::{Deserialize, Serialize};

use super::aims::{Aim, aims};
use super::deployment::DeploymentKind;
use super::run::Policy;
use super::scenario::Scenario;
use super::summary::{Matrix, Row};

/// Results of a matrix of runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResultsTable {
    /// Seeds of the runs that the medians are taken over.
    pub seeds: Vec<u64>,
    /// Length of each run in simulated seconds; `None` if each scenario ran for its default length.
    pub seconds: Option<u64>,
    /// Factor by which all request rates were multiplied.
    pub load: f64,
    /// Medians for each policy in each scenario of each deployment.
    pub rows: Vec<Row>,
    /// Ratios of each row to the baseline and the bound.
    pub comparisons: Vec<Comparison>,
    /// Acceptance criteria, and whether they were met.
    pub aims: Vec<Aim>,
}

/// Ratios of one policy's medians to those of the baseline or the bound.
///
/// A ratio is `None` if either side was not run or lacks the value, or if the divisor is zero.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Ratio of stalled time to that of `lru`.
    pub stalled_to_lru: Option<f64>,
    /// Ratio of stalled time to the bound of `clairvoyant`.
    pub stalled_to_bound: Option<f64>,
    /// Ratio of useful tokens per step to that of `lru`.
    pub tokens_to_lru: Option<f64>,
    /// Ratio of the p99 wait of live requests to that of `lru`.
    pub live_wait_to_lru: Option<f64>,
    /// Ratio of energy per token to that of `lru`.
    pub joules_to_lru: Option<f64>,
}

impl ResultsTable {
    /// Runs all simulations of the matrix and compares their results.
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

/// Returns the row of `policy` in `scenario` of `deployment`, if it was run.
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

/// Returns `part / whole` rounded to four decimal places, or `None` if either is missing or `whole`
/// is not positive.
pub(crate) fn quotient(part: Option<f64>, whole: Option<f64>) -> Option<f64> {
    let whole = whole.filter(|whole| *whole > 0.0)?;
    part.map(|part| (part / whole * 1e4).round() / 1e4)
}

fn compare(rows: &[Row], row: &Row) -> Comparison {
    let same_cell = |policy: Policy| {
        rows.iter().find(|other| {
            other.deployment == row.deployment
                && other.scenario == row.scenario
                && other.policy == policy.as_str()
        })
    };
    let (lru, bound) = (same_cell(Policy::Lru), same_cell(Policy::Clairvoyant));
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
