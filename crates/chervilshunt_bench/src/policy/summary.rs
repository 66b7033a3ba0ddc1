//! Medians over seeds, for the tables and the plots.

use std::sync::Mutex;
use std::thread;

use serde::{Deserialize, Serialize};

use super::deployment::DeploymentKind;
use super::metrics::RunReport;
use super::run::{Policy, RunSpec, run_policy};
use super::scenario::Scenario;

/// The results of all runs of one policy in one scenario of one deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The deployment.
    pub deployment: String,
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// Median of the live requests that were stalled.
    pub stalls: f64,
    /// Median of their stalled time, in seconds.
    pub stalled_s: f64,
    /// Median of the 99th percentile of their stalled time, in milliseconds.
    pub stall_ms_p99: f64,
    /// Median of the 99th percentile of live wait, in milliseconds.
    pub live_wait_ms_p99: Option<f64>,
    /// The same without the caller that floods.
    pub other_callers_live_wait_ms_p99: Option<f64>,
    /// Median of the live requests whose callers gave up.
    pub live_failed: Option<f64>,
    /// Median of the live requests that were refused at least once.
    pub live_refused: Option<f64>,
    /// Median of the time that live requests waited in all, in seconds, those included that were
    /// refused or gave up.
    pub live_wait_s: Option<f64>,
    /// Median of the deferrable requests that were refused at least once.
    pub deferrable_refused: Option<f64>,
    /// Median of the deferrable requests that had not begun when the run ended.
    pub deferrable_unserved: Option<f64>,
    /// Median of the deferrable requests' stalled time, in seconds.
    pub deferrable_stalled_s: Option<f64>,
    /// Median of the longest wait of a deferrable request, in seconds.
    pub deferrable_oldest_s: Option<f64>,
    /// Median of the deferrable requests that were answered.
    pub deferrable_done: Option<f64>,
    /// Median of the loads.
    pub loads: Option<f64>,
    /// Median of the evictions.
    pub evictions: Option<f64>,
    /// Median of the tokens of answers a step.
    pub useful_tokens_per_step: Option<f64>,
    /// Median of the energy for each token.
    pub joules_per_token: Option<f64>,
    /// Sum over all seeds of steps above the cap.
    pub cap_exceeded_steps: u64,
    /// Sum over all seeds of evictions of an adapter in use.
    pub pinned_evictions: u64,
    /// Sum over all seeds of deferrable requests without an answer.
    pub deferrable_failed: u64,
}

/// Which runs make up a summary.
#[derive(Clone, Debug)]
pub struct Matrix {
    /// The deployments.
    pub deployments: Vec<DeploymentKind>,
    /// The scenarios.
    pub scenarios: Vec<Scenario>,
    /// The policies.
    pub policies: Vec<Policy>,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Virtual seconds; each scenario's usual length if none.
    pub seconds: Option<u64>,
    /// By how much the rates of all requests are multiplied.
    pub load: f64,
    /// Runs side by side.
    pub jobs: usize,
}

impl Matrix {
    /// Runs everything; the outcome does not depend on the number of threads.
    pub fn run(&self) -> Vec<Row> {
        let groups = self.groups();
        let per_group = self.seeds.len();
        let reports = self.reports(&groups);
        reports.chunks(per_group).map(Row::new).collect()
    }

    fn groups(&self) -> Vec<(DeploymentKind, Scenario, Policy)> {
        let mut groups = Vec::new();
        for deployment in &self.deployments {
            for scenario in &self.scenarios {
                groups.extend(self.policies.iter().map(|p| (*deployment, *scenario, *p)));
            }
        }
        groups
    }

    fn reports(&self, groups: &[(DeploymentKind, Scenario, Policy)]) -> Vec<RunReport> {
        let specs: Vec<RunSpec> = groups
            .iter()
            .flat_map(|(deployment, scenario, policy)| {
                self.seeds.iter().map(|seed| RunSpec {
                    deployment: *deployment,
                    policy: *policy,
                    scenario: *scenario,
                    seed: *seed,
                    seconds: self.seconds,
                    load: self.load,
                    weights: None,
                })
            })
            .collect();
        let next = Mutex::new(specs.iter().enumerate());
        let done = Mutex::new(Vec::with_capacity(specs.len()));
        thread::scope(|scope| {
            for _ in 0..self.jobs.clamp(1, specs.len().max(1)) {
                scope.spawn(|| {
                    loop {
                        let job = next.lock().expect("no run panicked").next();
                        let Some((number, spec)) = job else { break };
                        let report = run_policy(*spec);
                        done.lock().expect("no run panicked").push((number, report));
                    }
                });
            }
        });
        let mut done = done.into_inner().expect("no run panicked");
        done.sort_by_key(|(number, _)| *number);
        done.into_iter().map(|(_, report)| report).collect()
    }
}

impl Row {
    /// Sums up the reports of all seeds.
    fn new(reports: &[RunReport]) -> Self {
        let first = &reports[0];
        let of = |value: fn(&RunReport) -> f64| median(reports.iter().map(value).collect());
        let maybe = |value: fn(&RunReport) -> Option<f64>| {
            let values: Option<Vec<f64>> = reports.iter().map(value).collect();
            values.map(median)
        };
        let sum = |value: fn(&RunReport) -> Option<u64>| reports.iter().filter_map(value).sum();
        Self {
            deployment: first.deployment.to_owned(),
            scenario: first.scenario.to_owned(),
            policy: first.policy.to_owned(),
            stalls: of(|r| r.stalls as f64),
            stalled_s: of(|r| r.stalled_ms_total / 1e3),
            stall_ms_p99: of(|r| r.stall_ms_p99),
            live_wait_ms_p99: maybe(|r| r.live_wait_ms_p99),
            other_callers_live_wait_ms_p99: maybe(|r| r.other_callers_live_wait_ms_p99),
            live_failed: maybe(|r| r.live_failed.map(|n| n as f64)),
            live_refused: maybe(|r| r.live.map(|it| it.refused as f64)),
            live_wait_s: maybe(|r| r.live.map(|it| it.wait_ms_total / 1e3)),
            deferrable_refused: maybe(|r| r.deferrable.map(|it| it.refused as f64)),
            deferrable_unserved: maybe(|r| r.deferrable.map(|it| it.unserved as f64)),
            deferrable_stalled_s: maybe(|r| r.deferrable_stalled_ms_total.map(|ms| ms / 1e3)),
            deferrable_oldest_s: maybe(|r| r.deferrable_oldest_ms.map(|ms| ms / 1e3)),
            deferrable_done: maybe(|r| r.deferrable_done.map(|n| n as f64)),
            loads: maybe(|r| r.loads.map(|n| n as f64)),
            evictions: maybe(|r| r.evictions.map(|n| n as f64)),
            useful_tokens_per_step: maybe(|r| r.useful_tokens_per_step),
            joules_per_token: maybe(|r| r.joules_per_token),
            cap_exceeded_steps: sum(|r| r.cap_exceeded_steps),
            pinned_evictions: sum(|r| r.pinned_evictions),
            deferrable_failed: sum(|r| r.deferrable_failed),
        }
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    if values.len().is_multiple_of(2) {
        f64::midpoint(values[middle - 1], values[middle])
    } else {
        values[middle]
    }
}
