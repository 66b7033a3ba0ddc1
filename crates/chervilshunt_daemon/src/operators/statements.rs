//! Operators' statements: queries over the whole deployment, and configuration changes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use chervilshunt_mesh::Mesh;
use chervilshunt_model::{ChangeId, InstanceId, Revision};
use chervilshunt_query::{Show, Statement, Table, parse};
use serde::{Deserialize, Serialize};
use xtra::prelude::*;

use super::tables::{InstanceReport, Rows, Sources};
use crate::control::{
    Control, GetFacts, ProposalOutcome, ProposalRefusal, ProposalRefusalKind, Propose,
};
use crate::routing::SharedRouting;
use crate::wire::PeerMessage;

/// The time limit for an instance's answer to a query.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// The retry delay for a change that was interrupted because this instance stopped.
const STOPPED_RETRY: Duration = Duration::from_secs(1);
/// The number of instances that are queried concurrently, so that one query does not open 370
/// connections at once.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// Runs operators' statements.
#[derive(Clone, Debug)]
pub(crate) struct Statements {
    /// The id of this instance.
    pub(crate) me: InstanceId,
    /// The control actor.
    pub(crate) control: Address<Control>,
    /// Connections to other instances.
    pub(crate) mesh: Mesh<PeerMessage>,
    /// The current routing snapshot.
    pub(crate) routing: SharedRouting,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Request {
    text: String,
    #[serde(default)]
    local: bool,
    /// The id of the script's first change group. A change whose outcome is unknown can be sent
    /// again under the same id without taking effect twice.
    #[serde(default)]
    id: Option<String>,
}

impl Request {
    /// Returns the id of the script's first change group: the client's or a new one, or none if the
    /// client's id is malformed.
    fn change_id(&self) -> Option<ChangeId> {
        match &self.id {
            Some(text) => ChangeId::parse(text),
            None => Some(ChangeId::random()),
        }
    }
}

/// The answer to a script.
#[derive(Debug, Serialize)]
pub(crate) struct Answer {
    revision: Revision,
    results: Vec<StatementResult>,
    silent: Vec<InstanceId>,
}

#[derive(Debug, Serialize)]
#[serde(untagged)]
enum StatementResult {
    Rows(Rows),
    Accepted { accepted: Revision, changed: usize },
}

/// The refusal of a script, rendered as a problem document.
#[derive(Debug, Serialize)]
pub(crate) struct Refusal {
    r#type: &'static str,
    title: &'static str,
    pub(crate) status: u16,
    pub(crate) detail: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    line: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    column: Option<usize>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    expected: Vec<String>,
    /// Whether the refused statement may have taken effect.
    outcome: StatementOutcome,
    /// The number of statements before the refused one; they have taken effect.
    done: usize,
    /// The time after which a retry may succeed.
    #[serde(skip)]
    pub(crate) retry_after: Option<Duration>,
}

/// Whether a refused statement may have taken effect.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum StatementOutcome {
    /// It has not taken effect and, unless sent again, never will.
    NotRun,
    /// It may have taken effect, or may still do so.
    Unknown,
}

impl Refusal {
    /// Creates the refusal of a malformed request.
    pub(crate) fn malformed(detail: String) -> Self {
        Self {
            r#type: "/problems/bad_statement",
            title: "Bad Request",
            status: 400,
            detail,
            line: None,
            column: None,
            expected: Vec::new(),
            outcome: StatementOutcome::NotRun,
            done: 0,
            retry_after: None,
        }
    }

    fn of_change(refused: ProposalRefusal, done: usize) -> Self {
        let (r#type, status, outcome) = match refused.kind {
            ProposalRefusalKind::Conflict => {
                ("/problems/change_conflict", 409, StatementOutcome::NotRun)
            }
            ProposalRefusalKind::NotBegun => {
                ("/problems/change_not_begun", 503, StatementOutcome::NotRun)
            }
            ProposalRefusalKind::GivenUp => {
                ("/problems/change_given_up", 503, StatementOutcome::NotRun)
            }
            ProposalRefusalKind::Unknown => {
                ("/problems/change_unknown", 503, StatementOutcome::Unknown)
            }
        };
        let title = match refused.kind {
            ProposalRefusalKind::Conflict => "Conflict",
            ProposalRefusalKind::NotBegun
            | ProposalRefusalKind::GivenUp
            | ProposalRefusalKind::Unknown => "Service Unavailable",
        };
        Self {
            r#type,
            title,
            status,
            outcome,
            done,
            retry_after: refused.retry_after,
            ..Self::malformed(refused.detail)
        }
    }
}

impl Statements {
    /// Runs a script one statement at a time.
    ///
    /// # Errors
    /// Returns a refusal if the script does not parse, in which case no statement runs, or at the
    /// first change that is refused.
    pub(crate) async fn run(&self, body: &[u8]) -> Result<Answer, Refusal> {
        let req: Request = serde_json::from_slice(body).map_err(|error| {
            Refusal::malformed(format!("send {{\"text\": \"STATEMENTS\"}}: {error}"))
        })?;
        let statements = parse(&req.text).map_err(|errors| {
            let Some(first) = errors.first() else {
                return Refusal::malformed("the statements could not be parsed".to_owned());
            };
            Refusal {
                line: Some(first.line),
                column: Some(first.column),
                expected: first.expected.clone(),
                ..Refusal::malformed(chervilshunt_query::render_errors(
                    &req.text,
                    "statement",
                    &errors,
                ))
            }
        })?;
        let Some(id) = req.change_id() else {
            return Err(Refusal::malformed("\"id\" must be a UUID".to_owned()));
        };
        let mut groups = 0;
        let mut results = Vec::new();
        let mut silent = Vec::new();
        for (done, statement) in statements.into_iter().enumerate() {
            let result = match statement {
                Statement::Show(show) => {
                    let (rows, mut unreachable) = self.show(&show, req.local).await;
                    silent.append(&mut unreachable);
                    StatementResult::Rows(rows)
                }
                Statement::Change(group) => {
                    let changed = group.changes.len();
                    let set = group.into_change_set(id.of_group(groups));
                    groups += 1;
                    match self.propose(set).await {
                        ProposalOutcome::Accepted(accepted) => {
                            StatementResult::Accepted { accepted, changed }
                        }
                        ProposalOutcome::Refused(refused) => {
                            return Err(Refusal::of_change(refused, done));
                        }
                    }
                }
            };
            results.push(result);
        }
        silent.sort();
        silent.dedup();
        Ok(Answer {
            revision: self.routing.get().deployment.revision,
            results,
            silent,
        })
    }

    async fn propose(&self, set: chervilshunt_model::ChangeSet) -> ProposalOutcome {
        // If this instance stops after it began the change, another instance completes it.
        let stopped = || {
            ProposalOutcome::Refused(ProposalRefusal {
                kind: ProposalRefusalKind::Unknown,
                detail: "the instance is stopping; retry at another instance with the same id"
                    .to_owned(),
                retry_after: Some(STOPPED_RETRY),
            })
        };
        match self.control.send(Propose(set)).await {
            Ok(rx) => rx.await.unwrap_or_else(|_dropped| stopped()),
            Err(_stopped) => stopped(),
        }
    }

    async fn show(&self, show: &Show, local: bool) -> (Rows, Vec<InstanceId>) {
        let routing = self.routing.get();
        let (reports, silent) = self.ask_all(show.table, local).await;
        let sources = Sources {
            here: &self.me,
            deployment: &routing.deployment,
            owners: &routing.owners,
            reports: &reports,
            now: Instant::now(),
        };
        (sources.show(show), silent)
    }

    /// Collects from all live instances the state that the table shows, and returns it with the
    /// instances that did not answer.
    async fn ask_all(&self, table: Table, local: bool) -> (Vec<InstanceReport>, Vec<InstanceId>) {
        let mut reports = Vec::new();
        let asked_at = Instant::now();
        if let Ok(facts) = self.control.send(GetFacts).await {
            reports.push(InstanceReport { facts, asked_at });
        }
        if local {
            return (reports, Vec::new());
        }
        let routing = self.routing.get();
        let limit = Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_QUERIES));
        let mut asked = tokio::task::JoinSet::new();
        for peer in routing.peers().filter(|peer| peer.instance != self.me) {
            let (mesh, limit) = (self.mesh.clone(), Arc::clone(&limit));
            asked.spawn(async move {
                let _turn = limit.acquire_owned().await;
                let asked_at = Instant::now();
                let answer = mesh
                    .request(&peer, PeerMessage::FactsAsked(table), ANSWER_TIMEOUT)
                    .await;
                match answer {
                    Ok(PeerMessage::Facts(facts)) => Ok(InstanceReport {
                        facts: *facts,
                        asked_at,
                    }),
                    Ok(_) | Err(_) => Err(peer.instance),
                }
            });
        }
        let mut silent = Vec::new();
        while let Some(answer) = asked.join_next().await {
            match answer {
                Ok(Ok(one)) => reports.push(one),
                Ok(Err(instance)) => silent.push(instance),
                Err(_panicked) => {}
            }
        }
        reports.sort_by(|left, right| left.facts.instance.cmp(&right.facts.instance));
        (reports, silent)
    }
}
