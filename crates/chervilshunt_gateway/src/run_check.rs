//! Finds out whether a target's process has ended, after a connection to it has.
//!
//! See `docs/design/quarantine.md`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilshunt_core::{RunCheck, RunFinding, RunVerdict, TargetStart};
use chervilshunt_engine::{CallStage, ConnectionUse, EngineError, Limits};
use chervilshunt_model::{Moment, ServiceName, TargetName};
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use http::Request;
use http_body_util::Full;
use hyper::body::Bytes;
use tokio::task::JoinSet;

use crate::reports::{MAX_REPORT_BYTES, TARGET_CALL_LIMITS, single_call_client};
use crate::shared::Shared;
use crate::transit::probe;

/// Interval at which it is checked whether other requests or the platform show the same; it grows with the time
/// that the check takes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which an open question of one check replaces those of others.
const SHARED_QUESTION_TIME: Duration = Duration::from_millis(250);
/// Number of other targets that are tried before one counts as crashed.
const COMPARED_TARGETS: usize = 3;

/// One run of a target, a connection of which has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TargetRun {
    pub(crate) target: TargetName,
    pub(crate) service: ServiceName,
    pub(crate) address: SocketAddr,
    /// The start of the target when the request was sent.
    pub(crate) started: Option<TargetStart>,
}

/// Whether a run of a target goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    Alive,
    Ended,
    /// Nothing has shown either in time.
    Unknown,
}

impl RunState {
    /// Returns the name used in logs and metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        }
    }
}

/// What has shown the state of a run.
#[derive(Clone, Copy, Debug)]
enum Evidence {
    Question(RunFinding),
    /// The run has begun to answer a request that was sent after the end of the connection.
    OtherAnswer,
    /// The platform's list of targets has another run, or none.
    Platform,
    TimeOut,
}

impl Evidence {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Question(finding) => finding.as_str(),
            Self::OtherAnswer => "other_answer",
            Self::Platform => "platform",
            Self::TimeOut => "timeout",
        }
    }
}

/// The questions that are open, the last one to each run.
#[derive(Debug, Default)]
pub(crate) struct OpenQuestions(Mutex<HashMap<TargetRun, Moment>>);

impl OpenQuestions {
    fn lock(&self) -> MutexGuard<'_, HashMap<TargetRun, Moment>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a question to a run, unless another check has asked it lately and waits for the answer.
    fn begin(&self, run: &TargetRun, now: Moment) -> Option<OpenQuestion<'_>> {
        let mut open = self.lock();
        let asked_at = open.get(run);
        if asked_at.is_some_and(|at| now.since(*at) < SHARED_QUESTION_TIME) {
            return None;
        }
        open.insert(run.clone(), now);
        Some(OpenQuestion {
            questions: self,
            run: run.clone(),
            asked_at: now,
        })
    }
}

/// A question that is open until this is dropped.
struct OpenQuestion<'a> {
    questions: &'a OpenQuestions,
    run: TargetRun,
    asked_at: Moment,
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        let mut open = self.questions.lock();
        if open.get(&self.run) == Some(&self.asked_at) {
            open.remove(&self.run);
        }
    }
}

/// Finds out whether a run goes on after `ended_at`, when a connection to it ended.
///
/// That an address accepts connections shows nothing: the listener of a process may be closed after its
/// connections. The target is asked until it answers, or refuses, or something else shows its end.
pub(crate) async fn check_run(
    shared: &Arc<Shared>,
    run: &TargetRun,
    ended_at: Moment,
    limit: Duration,
) -> RunState {
    let mut check = RunCheck::new(shared.clock.now());
    let found = find_state(shared, run, ended_at, limit, &mut check);
    let found = tokio::time::timeout(limit, found).await;
    let (state, evidence) = found.unwrap_or((RunState::Unknown, Evidence::TimeOut));
    let after = shared.clock.now().since(ended_at);
    slog::info!(shared.log, "target checked";
        "target" => run.target.as_str(), "state" => state.as_str(),
        "evidence" => evidence.as_str(), "questions" => check.questions(),
        "after_ms" => after.as_millis() as u64);
    metrics::counter!("chervilshunt_target_checks_total",
        "state" => state.as_str(), "evidence" => evidence.as_str())
    .increment(1);
    metrics::histogram!("chervilshunt_target_check_seconds").record(after.as_secs_f64());
    state
}

async fn find_state(
    shared: &Arc<Shared>,
    run: &TargetRun,
    ended_at: Moment,
    limit: Duration,
    check: &mut RunCheck,
) -> (RunState, Evidence) {
    let mut watched = pin!(watch(shared, run, ended_at));
    let mut questions = FuturesUnordered::new();
    let mut question_due = pin!(tokio::time::sleep(Duration::ZERO));
    loop {
        let finding = tokio::select! {
            biased;
            found = &mut watched => return found,
            Some(finding) = questions.next() => finding,
            () = &mut question_due => {
                let now = shared.clock.now();
                let delay = match shared.open_questions.begin(run, now) {
                    Some(question) => {
                        check.asked(now);
                        questions.push(ask(shared, run, limit, question));
                        now.until(check.next_question_at())
                    }
                    None => POLL_INTERVAL,
                };
                question_due.set(tokio::time::sleep(delay));
                continue;
            }
        };
        let now = shared.clock.now();
        let evidence = Evidence::Question(finding);
        match check.record(finding, now) {
            RunVerdict::Alive => return (RunState::Alive, evidence),
            RunVerdict::Ended => return (RunState::Ended, evidence),
            RunVerdict::EndedIfLinksWork => {
                if reaches_others(shared, &run.target).await {
                    return (RunState::Ended, evidence);
                }
                slog::info!(shared.log, "target not reached, like all others";
                    "target" => run.target.as_str());
                // Only the platform can tell a crash of all targets from failed links.
                return watched.await;
            }
            RunVerdict::Unknown => {
                let delay = now.until(check.next_question_at());
                question_due.set(tokio::time::sleep(delay));
            }
        }
    }
}

/// Waits until other requests or the platform show whether a run goes on.
async fn watch(shared: &Shared, run: &TargetRun, ended_at: Moment) -> (RunState, Evidence) {
    // The entry of a leaving target may be removed long before its process ends.
    let was_staying = shared.dispatch().is_staying(&run.target);
    loop {
        {
            let dispatch = shared.dispatch();
            let is_listed = dispatch.target(&run.target).is_some();
            if (was_staying || is_listed) && dispatch.has_run_ended(&run.target, run.started) {
                return (RunState::Ended, Evidence::Platform);
            }
            if dispatch.has_answered_since(&run.target, run.started, ended_at) {
                return (RunState::Alive, Evidence::OtherAnswer);
            }
        }
        let waited = shared.clock.now().since(ended_at);
        let interval = (waited / 10).clamp(POLL_INTERVAL, MAX_POLL_INTERVAL);
        tokio::time::sleep(interval).await;
    }
}

/// Asks a target for a sign of life, on a connection of its own, and waits for the answer for up to `limit`.
async fn ask(
    shared: &Shared,
    run: &TargetRun,
    limit: Duration,
    open: OpenQuestion<'_>,
) -> RunFinding {
    let (question, has_report) = question(shared, run);
    let limits = Limits {
        connect: TARGET_CALL_LIMITS.connect,
        head: limit,
        idle: limit,
        body: limit,
    };
    let client = single_call_client(shared, run.address);
    let answer = client.forward(question, ConnectionUse::NEW, limits);
    let (head, body) = match answer.await {
        Ok(answer) => answer,
        Err(error) => return finding(&error),
    };
    if shared
        .dialect
        .headers
        .name_other_target(&head.headers, &run.target)
    {
        return RunFinding::Replaced;
    }
    if has_report && head.status.is_success() {
        let body = match body.read_whole(MAX_REPORT_BYTES).await {
            Ok(body) => body,
            Err(error) => return finding(&error),
        };
        let report = (shared.dialect.targets.decode_report)(&body);
        let stated = report.ok().and_then(|it| it.started);
        if let (Some(stated), Some(started)) = (stated, run.started)
            && stated != started
        {
            return RunFinding::Replaced;
        }
    }
    // Other checks of this run wait for the same answer.
    let now = shared.clock.now();
    shared
        .dispatch()
        .answer_began(&run.target, run.started, open.asked_at, now);
    RunFinding::Answered
}

/// Returns the request that asks a target for a sign of life, and whether its answer is a report. An engine
/// reports without waiting for a slot; a target of a plain service has health checks only.
fn question(shared: &Shared, run: &TargetRun) -> (Request<Full<Bytes>>, bool) {
    let dialect = &shared.dialect.targets;
    let health_check = || {
        let routes = shared.routes.load();
        let service = routes.as_ref()?.services.get(&run.service)?;
        let path = service.health_path.as_deref()?;
        service.placement.is_none().then_some(())?;
        (dialect.health_query)(&run.target, path)
    };
    match health_check() {
        Some(req) => (req, false),
        None => ((dialect.report_query)(&run.target), true),
    }
}

fn finding(error: &EngineError) -> RunFinding {
    match error {
        EngineError::NotSent { source, .. }
            if source.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            RunFinding::Refused
        }
        EngineError::NotSent {
            was_open: false, ..
        }
        | EngineError::Timeout {
            stage: CallStage::Connect,
            ..
        } => RunFinding::Unreachable,
        EngineError::Timeout { .. } => RunFinding::Silent,
        // The connection ended, or what came on it is no answer.
        _ => RunFinding::Closed,
    }
}

/// Returns whether this instance reaches another target of the service, if there is any. To an
/// instance that has lost its links, all targets refuse connections, and every request that was
/// in progress would be taken for one that crashes targets.
async fn reaches_others(shared: &Arc<Shared>, target: &TargetName) -> bool {
    let others = shared
        .dispatch()
        .targets_to_compare(target, COMPARED_TARGETS, rand::random);
    if others.is_empty() {
        return true;
    }
    let probes = others.into_iter().map(|it| probe(Arc::clone(shared), it));
    let answers = JoinSet::from_iter(probes).join_all().await;
    answers.contains(&true)
}
