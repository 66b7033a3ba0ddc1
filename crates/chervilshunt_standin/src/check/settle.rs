//! Compares the responses that callers received with what the stand-ins ran.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::rt::TokioExecutor;

use super::verdict::{Outcome, Record, Verdict, Violation, ViolationKind};
use super::{Call, CompletionCall};
use crate::RunRecord;

/// The runs that stand-ins recorded, by request id.
pub type RunLog = HashMap<Arc<str>, RunRecord>;

/// A violation and the request that it concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The id of the request.
    pub request_id: Arc<str>,
    /// The violation.
    pub violation: Violation,
}

/// Fetches the recorded runs of every stand-in and merges them.
///
/// # Errors
/// Returns a message that names the stand-in whose runs could not be fetched. Without them the
/// records can't be checked.
pub async fn fetch_runs(standins: &[SocketAddr]) -> Result<RunLog, String> {
    let client: HyperClient<_, Empty<Bytes>> =
        HyperClient::builder(TokioExecutor::new()).build_http();
    let mut runs = RunLog::new();
    for standin in standins {
        let failed = |problem: String| format!("can't fetch the runs of {standin}: {problem}");
        let uri = format!("http://{standin}/standin/runs")
            .parse()
            .map_err(|error| failed(format!("{error}")))?;
        let response = client
            .get(uri)
            .await
            .map_err(|error| failed(error.to_string()))?;
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| failed(error.to_string()))?.to_bytes();
        let log: RunLog =
            serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))?;
        add(&mut runs, log);
    }
    Ok(runs)
}

/// Merges the runs of one stand-in into those of others.
fn add(runs: &mut RunLog, log: RunLog) {
    for (request_id, record) in log {
        let sum = runs.entry(request_id).or_default();
        sum.runs += record.runs;
        sum.models.extend(record.models);
    }
}

/// Returns all violations: those that the client detected, and those that only the runs reveal.
///
/// Records with the same request id are attempts of one request.
pub fn settle(records: &[Record], runs: &RunLog) -> Vec<Finding> {
    let mut tries: BTreeMap<&Arc<str>, Vec<&Record>> = BTreeMap::new();
    for record in records {
        tries
            .entry(&record.plan.request_id)
            .or_default()
            .push(record);
    }
    let none = RunRecord::default();
    let mut findings = Vec::new();
    for (request_id, tries) in tries {
        let run = runs.get(request_id).unwrap_or(&none);
        let seen = tries.iter().filter_map(|record| match &record.verdict {
            Verdict::Violated(violation) => Some(violation.clone()),
            Verdict::Answered(_) | Verdict::Refused(_) | Verdict::Disconnected { .. } => None,
        });
        let violations = seen.chain(settle_one(&tries, run));
        findings.extend(violations.map(|violation| Finding {
            request_id: Arc::clone(request_id),
            violation,
        }));
    }
    findings
}

fn settle_one(tries: &[&Record], run: &RunRecord) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut violated = |kind, detail: String| violations.push(Violation::new(kind, detail));
    if tries.iter().all(|record| says_not_run(record)) && run.runs > 0 {
        let detail = format!("reported as \"not run\", ran {} times", run.runs);
        violated(ViolationKind::FalseNotRun, detail);
    }
    if tries.iter().any(|record| record.plan.runs_at_most_once()) && run.runs > 1 {
        let detail = format!("may run at most once, ran {} times", run.runs);
        violated(ViolationKind::DoubleRun, detail);
    }
    for record in tries {
        if !matches!(record.verdict, Verdict::Answered(_)) {
            continue;
        }
        if run.runs == 0 {
            let detail = "answered, but no stand-in ran it".to_owned();
            violated(ViolationKind::AnswerWithoutRun, detail);
        } else if let Call::Completion(CompletionCall { model, .. }) = &record.plan.call
            && !run.models.contains(model)
        {
            let detail = format!("answered by {model}, but only {:?} ran", run.models);
            violated(ViolationKind::AnswerWithoutRun, detail);
        }
    }
    violations
}

/// Returns whether the caller could conclude that the request did not run: it was refused as not
/// run, or never sent.
fn says_not_run(record: &Record) -> bool {
    match &record.verdict {
        Verdict::Refused(refusal) => refusal.outcome == Outcome::NotRun,
        Verdict::Disconnected { sent, .. } => !sent,
        Verdict::Answered(_) | Verdict::Violated(_) => false,
    }
}
