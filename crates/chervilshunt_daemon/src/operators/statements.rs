//! Operators' statements: questions to the whole deployment, and changes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use chervilshunt_mesh::Mesh;
use chervilshunt_model::{ChangeId, InstanceId, Revision};
use chervilshunt_query::{Show, Statement, Table, parse};
use serde::{Deserialize, Serialize};
use xtra::prelude::*;

use super::tables::{Rows, Sources, Told};
use crate::control::{
    Control, GetFacts, ProposalOutcome, ProposalRefusal, ProposalRefusalKind, Propose,
};
use crate::routing::SharedRouting;
use crate::wire::PeerMessage;

/// The time that an instance has to answer a question.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// When to ask another instance about a change that this one can't end.
const STOPPED_RETRY: Duration = Duration::from_secs(1);
/// Instances that are asked at a time, so that a question does not open 370 connections at once.
const ASKED_AT_A_TIME: usize = 32;

/// Answers operators' statements.
#[derive(Clone, Debug)]
pub(crate) struct Statements {
    /// This instance.
    pub(crate) me: InstanceId,
    /// The control state.
    pub(crate) control: Address<Control>,
    /// The way to other instances.
    pub(crate) mesh: Mesh<PeerMessage>,
    /// What is in force.
    pub(crate) routing: SharedRouting,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Request {
    text: String,
    #[serde(default)]
    local: bool,
    /// The id of the script's first change group, by which a change whose outcome is unknown is
    /// sent again without taking effect twice.
    #[serde(default)]
    id: Option<String>,
}

impl Request {
    /// Returns the id for the script's first change group: the client's, or a new one; none if the
    /// client's can't be read.
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

/// Why a script was refused, as a problem document.
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
    /// What is known of the refused statement.
    outcome: StatementOutcome,
    /// Statements before the refused one, which have taken effect.
    done: usize,
    /// When trying again is worth it.
    #[serde(skip)]
    pub(crate) retry_after: Option<Duration>,
}

/// What is known of a statement that was refused.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum StatementOutcome {
    /// It has not taken effect, and won't by this try.
    NotRun,
    /// It may have taken effect, or may yet.
    Unknown,
}

impl Refusal {
    /// Makes the refusal of a request that can't be read.
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
    /// Runs a script, statement by statement.
    ///
    /// # Errors
    /// Refuses the whole script if it does not parse, and stops at the first refused change.
    pub(crate) async fn run(&self, body: &[u8]) -> Result<Answer, Refusal> {
        let req: Request = serde_json::from_slice(body).map_err(|error| {
            Refusal::malformed(format!("send {{\"text\": \"STATEMENTS\"}}: {error}"))
        })?;
        let statements = parse(&req.text).map_err(|errors| {
            let Some(first) = errors.first() else {
                return Refusal::malformed("the text does not parse".to_owned());
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
            return Err(Refusal::malformed("\"id\" takes a UUID".to_owned()));
        };
        let mut groups = 0;
        let mut results = Vec::new();
        let mut silent = Vec::new();
        for (done, statement) in statements.into_iter().enumerate() {
            let result = match statement {
                Statement::Show(show) => {
                    let (rows, mut unheard) = self.show(&show, req.local).await;
                    silent.append(&mut unheard);
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
        // An instance that ends may have begun the change, and another then ends it.
        let stopped = || {
            ProposalOutcome::Refused(ProposalRefusal {
                kind: ProposalRefusalKind::Unknown,
                detail: "the instance ended; ask another one, under the same id".to_owned(),
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
        let (told, silent) = self.ask_all(show.table, local).await;
        let sources = Sources {
            here: &self.me,
            deployment: &routing.deployment,
            owners: &routing.owners,
            told: &told,
            now: Instant::now(),
        };
        (sources.show(show), silent)
    }

    /// Asks all live instances for what they know, as far as the table shows it.
    async fn ask_all(&self, table: Table, local: bool) -> (Vec<Told>, Vec<InstanceId>) {
        let mut told = Vec::new();
        let asked_at = Instant::now();
        if let Ok(facts) = self.control.send(GetFacts).await {
            told.push(Told { facts, asked_at });
        }
        if local {
            return (told, Vec::new());
        }
        let routing = self.routing.get();
        let limit = Arc::new(tokio::sync::Semaphore::new(ASKED_AT_A_TIME));
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
                    Ok(PeerMessage::Facts(facts)) => Ok(Told {
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
                Ok(Ok(one)) => told.push(one),
                Ok(Err(instance)) => silent.push(instance),
                Err(_panicked) => {}
            }
        }
        told.sort_by(|left, right| left.facts.instance.cmp(&right.facts.instance));
        (told, silent)
    }
}
