//! Operators' statements: questions to the whole deployment, and changes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use chervilshunt_mesh::Mesh;
use chervilshunt_model::{ChangeId, InstanceId, Revision};
use chervilshunt_query::{Show, Statement, parse};
use serde::{Deserialize, Serialize};
use xtra::prelude::*;

use super::tables::{Rows, Sources, Told};
use crate::control::{AskFacts, Control, Propose, Proposed};
use crate::routing::SharedRouting;
use crate::wire::PeerMessage;

/// The time that an instance has to answer a question.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
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
    /// Statements before the refused one, which have taken effect.
    done: usize,
}

impl Refusal {
    fn malformed(detail: String) -> Self {
        Self {
            r#type: "/problems/bad_statement",
            title: "Bad Request",
            status: 400,
            detail,
            line: None,
            column: None,
            expected: Vec::new(),
            done: 0,
        }
    }

    fn of_change(refused: Proposed, done: usize) -> Self {
        let (status, title, detail) = match refused {
            Proposed::Accepted(_) => (500, "Internal Server Error", String::new()),
            Proposed::Conflict(detail) => (409, "Conflict", detail),
            Proposed::NotNow(detail) => (503, "Service Unavailable", detail),
        };
        Self {
            r#type: "/problems/change_refused",
            title,
            status,
            done,
            ..Self::malformed(detail)
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
                    let set = group.into_change_set(ChangeId::random());
                    match self.propose(set).await {
                        Proposed::Accepted(accepted) => {
                            StatementResult::Accepted { accepted, changed }
                        }
                        refused => return Err(Refusal::of_change(refused, done)),
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

    async fn propose(&self, set: chervilshunt_model::ChangeSet) -> Proposed {
        let answer = self.control.send(Propose(set)).await;
        let stopped = || Proposed::NotNow("the instance is shutting down".to_owned());
        match answer {
            Ok(rx) => rx.await.unwrap_or_else(|_dropped| stopped()),
            Err(_stopped) => stopped(),
        }
    }

    async fn show(&self, show: &Show, local: bool) -> (Rows, Vec<InstanceId>) {
        let routing = self.routing.get();
        let (told, silent) = self.ask_all(local).await;
        let sources = Sources {
            here: &self.me,
            deployment: &routing.deployment,
            told: &told,
        };
        (sources.show(show), silent)
    }

    /// Asks all live instances for what they know.
    async fn ask_all(&self, local: bool) -> (Vec<Told>, Vec<InstanceId>) {
        let mut told = Vec::new();
        if let Ok(facts) = self.control.send(AskFacts).await {
            told.push(Told {
                facts,
                age: Duration::ZERO,
            });
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
                let sent = Instant::now();
                let answer = mesh
                    .request(&peer, PeerMessage::FactsAsked, ANSWER_TIMEOUT)
                    .await;
                match answer {
                    Ok(PeerMessage::Facts(facts)) => Ok(Told {
                        facts: *facts,
                        age: sent.elapsed(),
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
