//! Summaries of runs as medians over seeds, for the tables and the plots.

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
    /// Median number of live requests that were stalled.
    pub stalls: f64,
    /// Median of the total stalled time of live requests, in seconds.
    pub stalled_s: f64,
    /// Median of the 99th percentile of the stalled time of stalled live requests, in milliseconds.
    pub stall_ms_p99: f64,
    /// Median of the 99th percentile of the wait of live requests, in milliseconds.
    pub live_wait_ms_p99: Option<f64>,
    /// Like `live_wait_ms_p99`, without the caller that causes a flood.
    pub other_callers_live_wait_ms_p99: Option<f64>,
    /// Median number of live requests whose callers gave up.
    pub live_failed: Option<f64>,
    /// Median number of live requests that were refused at least once.
    pub live_refused: Option<f64>,
    /// Median of the total wait of live requests, in seconds, including requests that were refused or
    /// whose callers gave up.
    pub live_wait_s: Option<f64>,
    /// Median number of deferrable requests that were refused at least once.
    pub deferrable_refused: Option<f64>,
    /// Median number of deferrable requests that had not begun when the run ended.
    pub deferrable_unserved: Option<f64>,
    /// Median of the total stalled time of deferrable requests, in seconds.
    pub deferrable_stalled_s: Option<f64>,
    /// Median of the longest wait of a deferrable request, in seconds.
    pub deferrable_oldest_s: Option<f64>,
    /// Median number of deferrable requests that were answered.
    pub deferrable_done: Option<f64>,
    /// Median number of loads.
    pub loads: Option<f64>,
    /// Median number of evictions.
    pub evictions: Option<f64>,
    /// Median of the answer tokens per step.
    pub useful_tokens_per_step: Option<f64>,
    /// Median of the energy per token above the draw of parked accelerators, in joules.
    pub joules_per_token: Option<f64>,
    /// Number of steps above the power cap, over all seeds.
    pub cap_exceeded_steps: u64,
    /// Number of evictions of an adapter in use, over all seeds.
    pub pinned_evictions: u64,
    /// Number of deferrable requests that failed without an answer, over all seeds.
    pub deferrable_failed: u64,
}

/// The runs of a summary: all combinations of deployments, scenarios, policies and seeds.
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
    /// Length of each run in virtual seconds; each scenario's default if `None`.
    pub seconds: Option<u64>,
    /// Factor by which all request rates are multiplied.
    pub load: f64,
    /// Number of runs in parallel.
    pub jobs: usize,
}

impl Matrix {
    /// Runs all combinations and returns one row for each deployment, scenario and policy.
    ///
    /// The result does not depend on the number of threads.
    ///
    /// # Panics
    /// Panics if there are no seeds or if a run panics.
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
    /// Summarizes the reports of all seeds.
    fn new(reports: &[RunReport]) -> Self {
        let first = &reports[0];
        let median_of = |value: fn(&RunReport) -> f64| median(reports.iter().map(value).collect());
        let median_if_all = |value: fn(&RunReport) -> Option<f64>| {
            let values: Option<Vec<f64>> = reports.iter().map(value).collect();
            values.map(median)
        };
        let sum = |value: fn(&RunReport) -> Option<u64>| reports.iter().filter_map(value).sum();
        Self {
            deployment: first.deployment.to_owned(),
            scenario: first.scenario.to_owned(),
            policy: first.policy.to_owned(),
            stalls: median_of(|r| r.stalls as f64),
            stalled_s: median_of(|r| r.stalled_ms_total / 1e3),
            stall_ms_p99: median_of(|r| r.stall_ms_p99),
            live_wait_ms_p99: median_if_all(|r| r.live_wait_ms_p99),
            other_callers_live_wait_ms_p99: median_if_all(|r| r.other_callers_live_wait_ms_p99),
            live_failed: median_if_all(|r| r.live_failed.map(|n| n as f64)),
            live_refused: median_if_all(|r| r.live.map(|it| it.refused as f64)),
            live_wait_s: median_if_all(|r| r.live.map(|it| it.wait_ms_total / 1e3)),
            deferrable_refused: median_if_all(|r| r.deferrable.map(|it| it.refused as f64)),
            deferrable_unserved: median_if_all(|r| r.deferrable.map(|it| it.unserved as f64)),
            deferrable_stalled_s: median_if_all(|r| {
                r.deferrable_stalled_ms_total.map(|ms| ms / 1e3)
            }),
            deferrable_oldest_s: median_if_all(|r| r.deferrable_oldest_ms.map(|ms| ms / 1e3)),
            deferrable_done: median_if_all(|r| r.deferrable_done.map(|n| n as f64)),
            loads: median_if_all(|r| r.loads.map(|n| n as f64)),
            evictions: median_if_all(|r| r.evictions.map(|n| n as f64)),
            useful_tokens_per_step: median_if_all(|r| r.useful_tokens_per_step),
            joules_per_token: median_if_all(|r| r.joules_per_token),
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
