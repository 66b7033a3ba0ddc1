//! The guarantees of the system, and the results of checking them.

use std::collections::BTreeMap;
use std::fmt;

use chervilshunt_model::Class;
use serde::Serialize;
use serde_json::Value;

use super::error::FleetError;
use super::load::Attempt;
use super::start::{Fleet, TargetKind};
use crate::check::{Call, Finding, Outcome, Record, Verdict, ViolationKind, fetch_runs, settle};

/// A guarantee that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// Every response comes from the adapter and version that the request named.
    RightVersion,
    /// An adapter is never evicted while it serves a request.
    NoEvictionInUse,
    /// A caller receives the complete response to its own request.
    WholeOwnAnswer,
    /// A refusal states the outcome of the request, and `not_run` is true.
    TrueRefusals,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A draining or terminating target receives no new requests after a few seconds.
    NoWorkForLeaving,
    /// A graceful shutdown interrupts no request.
    GracefulShutdown,
    /// An accepted configuration takes effect at every instance within seconds and never reverts.
    ConfigurationHolds,
    /// The power draw stays within the site's cap.
    PowerCap,
    /// Deferrable requests wait instead of failing.
    DeferrableWaits,
    /// Without faults, every request is answered.
    Answered,
}

impl Promise {
    /// All guarantees, in the order used in reports.
    pub const ALL: [Self; 11] = [
        Self::RightVersion,
        Self::NoEvictionInUse,
        Self::WholeOwnAnswer,
        Self::TrueRefusals,
        Self::AtMostOnce,
        Self::NoWorkForLeaving,
        Self::GracefulShutdown,
        Self::ConfigurationHolds,
        Self::PowerCap,
        Self::DeferrableWaits,
        Self::Answered,
    ];

    /// Returns the description used in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RightVersion => "answers come from the adapter and version named",
            Self::NoEvictionInUse => "no adapter is evicted while it serves",
            Self::WholeOwnAnswer => "callers get the whole answer to their own request",
            Self::TrueRefusals => "refusals say what happened, and \"not run\" is true",
            Self::AtMostOnce => "non-idempotent requests run at most once",
            Self::NoWorkForLeaving => "a leaving target gets no new work after 3 s",
            Self::GracefulShutdown => "a graceful shutdown cuts off no request",
            Self::ConfigurationHolds => "accepted configuration is in force and never reverts",
            Self::PowerCap => "power stays under the site's cap",
            Self::DeferrableWaits => "deferrable work waits and does not fail",
            Self::Answered => "every request is answered in the end",
        }
    }

    /// Returns the guarantee that a kind of violation breaks.
    pub const fn broken_by(kind: ViolationKind) -> Self {
        match kind {
            ViolationKind::WrongModel => Self::RightVersion,
            ViolationKind::WrongRequest
            | ViolationKind::WrongTokens
            | ViolationKind::WrongUsage
            | ViolationKind::WrongHeader
            | ViolationKind::Overdue
            | ViolationKind::AnswerWithoutRun => Self::WholeOwnAnswer,
            ViolationKind::Malformed | ViolationKind::FalseNotRun => Self::TrueRefusals,
            ViolationKind::DoubleRun => Self::AtMostOnce,
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// Number of checks per guarantee, and the violations found.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    checks: BTreeMap<Promise, u64>,
    violations: Vec<(Promise, String)>,
}

impl Evidence {
    /// Adds to the number of checks of a guarantee.
    pub fn add_checks(&mut self, promise: Promise, times: u64) {
        *self.checks.entry(promise).or_default() += times;
    }

    /// Counts one check, and records the finding if the check failed.
    pub fn check(&mut self, promise: Promise, held: bool, finding: impl FnOnce() -> String) {
        self.add_checks(promise, 1);
        if !held {
            self.record_violation(promise, finding());
        }
    }

    /// Records a violation of a guarantee.
    pub fn record_violation(&mut self, promise: Promise, finding: String) {
        self.violations.push((promise, finding));
    }

    /// Returns the number of checks of a guarantee.
    pub fn checks(&self, promise: Promise) -> u64 {
        self.checks.get(&promise).copied().unwrap_or_default()
    }

    /// Returns the violations of a guarantee.
    pub fn findings(&self, promise: Promise) -> impl Iterator<Item = &str> {
        let of_promise = self
            .violations
            .iter()
            .filter(move |(broken, _)| *broken == promise);
        of_promise.map(|(_, finding)| finding.as_str())
    }

    /// Returns all violations in the order in which they were recorded.
    pub fn violations(&self) -> &[(Promise, String)] {
        &self.violations
    }

    /// Compares the responses that callers received with the runs and counters of the targets.
    ///
    /// # Errors
    /// Returns an error if the runs or counters of a target can't be fetched.
    pub async fn gather(&mut self, fleet: &Fleet, tries: &[Attempt]) -> Result<(), FleetError> {
        let controls = fleet.target_controls()?;
        let runs = fetch_runs(&controls).await.map_err(FleetError::runs)?;
        let records: Vec<_> = tries.iter().map(|one| one.record.clone()).collect();
        self.count(&records);
        for Finding {
            request_id,
            violation,
        } in settle(&records, &runs)
        {
            let promise = Promise::broken_by(violation.kind);
            self.record_violation(promise, format!("{request_id}: {violation}"));
        }
        for (name, target) in fleet.targets() {
            if target.kind == TargetKind::Engine {
                let stats = fleet.stats(name).await?;
                self.count_evictions(name, &stats);
                self.count_orders(name, &stats);
            }
        }
        Ok(())
    }

    fn count(&mut self, records: &[Record]) {
        for record in records {
            match &record.verdict {
                Verdict::Answered(_) => {
                    self.add_checks(Promise::WholeOwnAnswer, 1);
                    let served = matches!(record.plan.call, Call::Completion(_));
                    self.add_checks(Promise::RightVersion, u64::from(served));
                }
                Verdict::Refused(_) => self.add_checks(Promise::TrueRefusals, 1),
                Verdict::Disconnected { .. } | Verdict::Violated(_) => {}
            }
            let once = record.plan.runs_at_most_once();
            self.add_checks(Promise::AtMostOnce, u64::from(once));
        }
    }

    fn count_evictions(&mut self, target: &str, stats: &Value) {
        let unloads = stats["unloads"].as_u64().unwrap_or_default();
        self.add_checks(Promise::NoEvictionInUse, unloads);
        let while_serving = stats["unloads_while_serving"].as_u64().unwrap_or_default();
        if while_serving > 0 {
            let finding = format!("{target} unloaded {while_serving} adapters that were in use");
            self.record_violation(Promise::NoEvictionInUse, finding);
        }
    }

    /// Checks that the target executed no order of a superseded owner.
    ///
    /// Such an order may evict an adapter whose use the later owner has just granted. The
    /// eviction counter detects this only if the unload happens during a stream; the order counters
    /// always detect it.
    fn count_orders(&mut self, target: &str, stats: &Value) {
        let count = |name: &str| stats[name].as_u64().unwrap_or_default();
        self.add_checks(
            Promise::NoEvictionInUse,
            count("load_orders") + count("unload_orders"),
        );
        let carried_out = count("stale_orders") - count("fenced_orders");
        if carried_out > 0 {
            let finding = format!("{target} executed {carried_out} orders of a superseded owner");
            self.record_violation(Promise::NoEvictionInUse, finding);
        }
    }

    /// Checks that every request was eventually answered, which must hold in a run without faults.
    pub fn check_answered(&mut self, tries: &[Attempt]) {
        for one in tries.iter().filter(|one| one.last) {
            let promise = match one.record.plan.class {
                Class::Live => Promise::Answered,
                Class::Deferrable => Promise::DeferrableWaits,
            };
            let answered = matches!(one.record.verdict, Verdict::Answered(_));
            self.check(promise, answered, || {
                format!(
                    "{}: {}",
                    one.record.plan.request_id,
                    describe(&one.record.verdict)
                )
            });
        }
    }
}

/// Formats the result of a request in one line.
pub fn describe(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Answered(_) => "answered".to_owned(),
        Verdict::Refused(refusal) => {
            let outcome = match refusal.outcome {
                Outcome::NotRun => "not run",
                Outcome::Unknown => "outcome unknown",
                Outcome::CutShort => "cut short",
            };
            format!(
                "{outcome} ({} {}: {})",
                refusal.status, refusal.reason, refusal.detail
            )
        }
        Verdict::Disconnected { sent: false, .. } => "not connected".to_owned(),
        Verdict::Disconnected { detail, .. } => format!("disconnected ({detail})"),
        Verdict::Violated(violation) => violation.to_string(),
    }
}
