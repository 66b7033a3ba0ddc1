//! The report of a fault run.

use std::collections::BTreeMap;

use chervilshunt_standin::check::{Outcome, Verdict};
use chervilshunt_standin::fleet::{Attempt, Evidence, Promise};
use serde::Serialize;

use super::change::Operators;
use super::episode::{Episode, RECOVERY_BOUND};
use super::run::Options;

/// The faults, requests, checks and recovery times of a run.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    seed: u64,
    seconds: u64,
    engines_check_fencing: bool,
    /// Whether every promise held and each recovery was within its time limit.
    pub(crate) held: bool,
    episodes: usize,
    faults: BTreeMap<String, u64>,
    requests: Requests,
    changes: Changes,
    checks: BTreeMap<Promise, u64>,
    violations: Vec<Violation>,
    recovery_bound_ms: u64,
    recoveries: BTreeMap<String, Recovery>,
}

/// Outcomes of the attempts that callers made, by kind.
#[derive(Debug, Default, Serialize)]
struct Requests {
    tries: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    cut_short: u64,
    not_connected: u64,
    disconnected: u64,
    violated: u64,
    /// Refusals by outcome and reason.
    reasons: BTreeMap<String, u64>,
}

#[derive(Debug, Serialize)]
struct Changes {
    sent: u64,
    refused: u64,
}

#[derive(Debug, Serialize)]
struct Violation {
    promise: Promise,
    finding: String,
}

/// Recovery times of the episodes that included a kind of fault.
#[derive(Debug, Default, Serialize)]
struct Recovery {
    episodes: u64,
    median_ms: u64,
    longest_ms: u64,
    /// A probe failure for each episode that did not recover in time.
    overdue: Vec<String>,
    #[serde(skip)]
    times: Vec<u64>,
}

impl Report {
    pub(crate) fn new(
        options: &Options,
        episodes: &[Episode],
        tries: &[Attempt],
        operators: &Operators,
        evidence: &Evidence,
    ) -> Self {
        let recoveries = recoveries(episodes);
        let in_time = recoveries
            .values()
            .all(|recovery| recovery.overdue.is_empty());
        let violations = evidence
            .violations()
            .iter()
            .map(|(promise, finding)| Violation {
                promise: *promise,
                finding: finding.clone(),
            });
        let violations: Vec<_> = violations.collect();
        Self {
            seed: options.seed,
            seconds: options.length.as_secs(),
            engines_check_fencing: options.engines_check_fencing(),
            held: violations.is_empty() && in_time,
            episodes: episodes.len(),
            faults: faults(episodes),
            requests: Requests::of(tries),
            changes: Changes {
                sent: operators.changes,
                refused: operators.refused,
            },
            checks: Promise::ALL
                .map(|promise| (promise, evidence.checks(promise)))
                .into(),
            violations,
            recovery_bound_ms: millis(RECOVERY_BOUND),
            recoveries,
        }
    }

    /// Prints the report in human-readable form.
    pub(crate) fn print(&self) {
        println!(
            "seed {}, {} s, {} episodes",
            self.seed, self.seconds, self.episodes
        );
        println!(
            "\n{:<24}{:>8}{:>12}{:>12}",
            "fault", "times", "median ms", "longest ms"
        );
        for (kind, times) in &self.faults {
            let recovery = self.recoveries.get(kind);
            let (median, longest) = recovery.map_or((0, 0), |r| (r.median_ms, r.longest_ms));
            println!("{kind:<24}{times:>8}{median:>12}{longest:>12}");
        }
        println!("\n{:#?}", self.requests);
        println!("\n{:<56}{:>8}", "promise", "checks");
        for (promise, checks) in &self.checks {
            println!("{promise:<56}{checks:>8}");
        }
        for violation in &self.violations {
            println!("BROKEN {}: {}", violation.promise, violation.finding);
        }
        for (kind, recovery) in &self.recoveries {
            for failure in &recovery.overdue {
                println!("OVERDUE after {kind}: {failure}");
            }
        }
        println!(
            "\n{}",
            if self.held {
                "every promise held"
            } else {
                "promises were broken"
            }
        );
    }
}

impl Requests {
    fn of(tries: &[Attempt]) -> Self {
        let mut requests = Self::default();
        for one in tries {
            requests.tries += 1;
            let counter = match &one.record.verdict {
                Verdict::Answered(_) => &mut requests.answered,
                Verdict::Violated(_) => &mut requests.violated,
                Verdict::Disconnected { sent: false, .. } => &mut requests.not_connected,
                Verdict::Disconnected { .. } => &mut requests.disconnected,
                Verdict::Refused(refusal) => {
                    let reason = format!("{} {}", refusal.outcome.as_str(), refusal.reason);
                    *requests.reasons.entry(reason).or_default() += 1;
                    match refusal.outcome {
                        Outcome::NotRun => &mut requests.not_run,
                        Outcome::Unknown => &mut requests.unknown,
                        Outcome::CutShort => &mut requests.cut_short,
                    }
                }
            };
            *counter += 1;
        }
        requests
    }
}

fn faults(episodes: &[Episode]) -> BTreeMap<String, u64> {
    let mut faults = BTreeMap::new();
    for kind in episodes.iter().flat_map(|episode| &episode.kinds) {
        *faults.entry(kind.name()).or_default() += 1;
    }
    faults
}

fn recoveries(episodes: &[Episode]) -> BTreeMap<String, Recovery> {
    let mut recoveries = BTreeMap::<String, Recovery>::new();
    for episode in episodes {
        for kind in &episode.kinds {
            let recovery = recoveries.entry(kind.name()).or_default();
            recovery.episodes += 1;
            match &episode.recovery {
                Ok(time) => recovery.times.push(millis(*time)),
                Err(failure) => recovery.overdue.push(failure.clone()),
            }
        }
    }
    for recovery in recoveries.values_mut() {
        recovery.times.sort_unstable();
        let times = &recovery.times;
        recovery.median_ms = times.get(times.len() / 2).copied().unwrap_or_default();
        recovery.longest_ms = times.last().copied().unwrap_or_default();
    }
    recoveries
}

fn millis(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
