//! What the policy is to reach, and whether a table shows that it does.

use serde::{Deserialize, Serialize};

use super::comparison::{find, quotient};
use super::deployment::DeploymentKind;
use super::run::Policy;
use super::scenario::Scenario;
use super::summary::Row;

/// Where stalls weigh more: the most stalled time, as a part of the baseline's.
const STALLED_TO_LRU: f64 = 1.0 / 3.0;
/// Where stalls weigh more: the most stalled time on steady skew, over the bound.
const STALLED_TO_BOUND: f64 = 1.5;
/// Where batches weigh more: the least useful tokens a step, over the baseline's.
const TOKENS_TO_LRU: f64 = 1.4;
/// Where batches weigh more: the most live wait, over the baseline's.
const LIVE_WAIT_TO_LRU: f64 = 1.0;
/// The most live wait under a flood of deferrable work, over that without.
const FLOOD_TO_STEADY: f64 = 1.2;

/// One aim in one scenario of one deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Aim {
    /// The deployment.
    pub deployment: String,
    /// The scenario.
    pub scenario: String,
    /// The figure.
    pub figure: String,
    /// What was measured; none if a run that it needs is missing.
    pub measured: Option<f64>,
    /// Whether the bound is the most or the least.
    pub limit: Limit,
    /// The bound.
    pub bound: f64,
    /// Whether the bound is kept; none if it was not measured.
    pub met: Option<bool>,
}

/// Which way a bound goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// The figure may be at most the bound.
    AtMost,
    /// The figure has to be at least the bound.
    AtLeast,
}

/// Returns the aims of all scenarios and deployments among `rows`.
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

    /// Returns the words for tables.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::AtMost => "at most",
            Self::AtLeast => "at least",
        }
    }
}
