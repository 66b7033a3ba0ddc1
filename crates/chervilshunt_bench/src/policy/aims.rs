//! Acceptance criteria for the product's policy, evaluated against a results table.

use serde::{Deserialize, Serialize};

use super::comparison::{find, quotient};
use super::deployment::DeploymentKind;
use super::run::Policy;
use super::scenario::Scenario;
use super::summary::Row;

/// Maximum ratio of stalled time to that of `lru`, for a deployment that weighs load stalls more.
const STALLED_TO_LRU: f64 = 1.0 / 3.0;
/// Maximum ratio of stalled time to the `clairvoyant` bound in the steady scenario, for a
/// deployment that weighs load stalls more.
const STALLED_TO_BOUND: f64 = 1.5;
/// Minimum ratio of useful tokens per step to that of `lru`, for a deployment that weighs batch
/// efficiency more.
const TOKENS_TO_LRU: f64 = 1.4;
/// Maximum ratio of the p99 wait of live requests to that of `lru`, for a deployment that weighs
/// batch efficiency more.
const LIVE_WAIT_TO_LRU: f64 = 1.0;
/// Maximum ratio of the p99 wait of live requests under a flood of deferrable requests to that in
/// the steady scenario.
const FLOOD_TO_STEADY: f64 = 1.2;

/// An acceptance criterion for one scenario of one deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Aim {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the measured quantity.
    pub figure: String,
    /// Measured value; `None` if the table lacks a run or a value that it is computed from.
    pub measured: Option<f64>,
    /// Whether the bound is an upper or a lower one.
    pub limit: Limit,
    /// Bound that the measured value is compared with.
    pub bound: f64,
    /// Whether the measured value is within the bound; `None` if there is no measured value.
    pub met: Option<bool>,
}

/// Direction of a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// The measured value must not exceed the bound.
    AtMost,
    /// The measured value must not fall below the bound.
    AtLeast,
}

/// Evaluates the aims of every deployment and scenario for which `rows` has a run of the product's
/// policy.
pub(crate) fn aims(rows: &[Row]) -> Vec<Aim> {
    let mut aims = Vec::new();
    for deployment in DeploymentKind::ALL {
        for scenario in Scenario::ALL {
            if let Some(row) = find(rows, deployment, scenario, Policy::Chervilshunt) {
                add(rows, (deployment, scenario, row), &mut aims);
            }
        }
    }
    aims
}

fn add(rows: &[Row], at: (DeploymentKind, Scenario, &Row), out: &mut Vec<Aim>) {
    let (deployment, scenario, row) = at;
    let aim = |figure: &str, measured: Option<f64>, limit: Limit, bound: f64| Aim {
        deployment: deployment.as_str().to_owned(),
        scenario: scenario.as_str().to_owned(),
        figure: figure.to_owned(),
        measured,
        limit,
        bound,
        met: measured.map(|measured| limit.allows(measured, bound)),
    };
    let lru = find(rows, deployment, scenario, Policy::Lru);
    let live_wait = row.live_wait_ms_p99;
    match deployment {
        DeploymentKind::Kolvand => {
            let stalled = quotient(Some(row.stalled_s), lru.map(|it| it.stalled_s));
            let figure = "stalled time over lru";
            out.push(aim(figure, stalled, Limit::AtMost, STALLED_TO_LRU));
            if scenario == Scenario::Steady {
                let bound = find(rows, deployment, scenario, Policy::Clairvoyant);
                let stalled = quotient(Some(row.stalled_s), bound.map(|it| it.stalled_s));
                let figure = "stalled time over the bound";
                out.push(aim(figure, stalled, Limit::AtMost, STALLED_TO_BOUND));
            }
        }
        DeploymentKind::Hollowell => {
            let of_lru = lru.and_then(|it| it.useful_tokens_per_step);
            let tokens = quotient(row.useful_tokens_per_step, of_lru);
            let figure = "useful tokens a step over lru";
            out.push(aim(figure, tokens, Limit::AtLeast, TOKENS_TO_LRU));
            let of_lru = lru.and_then(|it| it.live_wait_ms_p99);
            let figure = "live wait p99 over lru";
            let wait = quotient(live_wait, of_lru);
            out.push(aim(figure, wait, Limit::AtMost, LIVE_WAIT_TO_LRU));
        }
    }
    if scenario == Scenario::DeferrableFlood {
        let steady = find(rows, deployment, Scenario::Steady, Policy::Chervilshunt);
        let wait = quotient(live_wait, steady.and_then(|it| it.live_wait_ms_p99));
        let figure = "live wait p99 over steady";
        out.push(aim(figure, wait, Limit::AtMost, FLOOD_TO_STEADY));
    }
    let none = |figure: &str, count: u64| aim(figure, Some(count as f64), Limit::AtMost, 0.0);
    out.push(none("cap_exceeded_steps", row.cap_exceeded_steps));
    out.push(none("pinned_evictions", row.pinned_evictions));
    out.push(none("deferrable_failed", row.deferrable_failed));
}

impl Limit {
    fn allows(self, measured: f64, bound: f64) -> bool {
        match self {
            Self::AtMost => measured <= bound,
            Self::AtLeast => measured >= bound,
        }
    }

    /// Returns the text shown in tables.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::AtMost => "at most",
            Self::AtLeast => "at least",
        }
    }
}
