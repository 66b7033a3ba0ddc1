//! Operators that change the configuration concurrently, and the checks on the results.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_standin::check::{Api, RequestPlan, Verdict};
use chervilshunt_standin::fleet::{
    Evidence, Fleet, HttpClient, Load, Promise, Statements, adapter_name, completion,
    create_version, describe, wait_until,
};
use futures_util::future::join_all;
use http::StatusCode;
use rand::seq::IndexedRandom as _;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;

use super::run::REQUEST_TIMEOUT;

/// The time within which every instance of a healed deployment must know an accepted revision.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(15);

/// The time limit for querying an instance's revision. While faults are active, waiting longer for
/// a paused instance would extend the pause past the timeout of the requests that wait for it.
const REVISION_QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// The site whose power cap operators change concurrently.
const SITE: &str = "hall";

/// A query sent only for the revision in its response.
const REVISION_QUERY: &str = "show sites";

/// Statuses that refuse a change definitively: it must not be in force afterwards.
const REFUSALS: [StatusCode; 3] = [
    StatusCode::BAD_REQUEST,
    StatusCode::CONFLICT,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// The outcome of a change, as the operator that sent it received it.
#[derive(Clone, Debug, PartialEq)]
enum ChangeOutcome {
    Accepted(u64),
    Refused,
    Unknown,
}

/// Records the responses that operators received, as the expected state of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    next: usize,
    /// The outcome of each version's creation, by version.
    versions: BTreeMap<String, ChangeOutcome>,
    /// Accepted caps by revision.
    caps: BTreeMap<u64, f64>,
    /// Caps whose outcome or revision is unknown.
    unknown_caps: Vec<f64>,
    /// The highest revision that was accepted.
    accepted: u64,
    /// The highest revision that each instance has reported.
    seen: BTreeMap<String, u64>,
    /// Requests for new versions whose answers have not been checked yet.
    version_requests: Vec<VersionRequest>,
    pub(crate) changes: u64,
    pub(crate) refused: u64,
}

/// A request for a version whose creation was just accepted.
#[derive(Debug)]
struct VersionRequest {
    id: String,
    revision: u64,
    sent: JoinHandle<Verdict>,
}

impl Operators {
    /// Creates a version at one instance and, if that is accepted, requests it at every instance.
    pub(crate) async fn create(&mut self, fleet: &Fleet, load: &Load, rng: &mut ChaCha8Rng) {
        let Some(statements) = random_statements(fleet, rng) else {
            return;
        };
        self.next += 1;
        let model = format!("{}@r{}", adapter_name(0), self.next);
        let answer = self.send(&statements, &create_version(&model)).await;
        self.versions.insert(model.clone(), answer.clone());
        if let ChangeOutcome::Accepted(revision) = answer {
            self.request_everywhere(fleet, load, &model, revision);
        }
    }

    /// Sends two cap changes concurrently, each to a randomly chosen instance and conditional on
    /// the same revision, and checks that at most one is accepted.
    pub(crate) async fn race(
        &mut self,
        fleet: &Fleet,
        evidence: &mut Evidence,
        rng: &mut ChaCha8Rng,
    ) {
        let (Some(a), Some(b)) = (random_statements(fleet, rng), random_statements(fleet, rng))
        else {
            return;
        };
        let Ok(shown) = a.run_local(REVISION_QUERY).await else {
            return;
        };
        let revision = shown["revision"].as_u64().unwrap_or_default();
        self.next += 1;
        let caps = [self.next as f64 * 2.0, self.next as f64 * 2.0 + 1.0].map(|cap| cap + 50_000.0);
        let text = |cap: f64| format!("if revision = {revision} set site {SITE} cap_watts={cap}");
        let (texts, senders) = (caps.map(text), [&a, &b]);
        let (first, second) = tokio::join!(
            submit_change(senders[0], &texts[0]),
            submit_change(senders[1], &texts[1]),
        );
        let both = matches!(
            (&first, &second),
            (ChangeOutcome::Accepted(_), ChangeOutcome::Accepted(_))
        );
        let finding = || format!("two changes conditional on revision {revision} were accepted");
        evidence.check(Promise::ConfigurationHolds, !both, finding);
        for (cap, answer) in caps.into_iter().zip([first, second]) {
            self.record_outcome(&answer);
            match answer {
                ChangeOutcome::Accepted(revision) => drop(self.caps.insert(revision, cap)),
                ChangeOutcome::Unknown => self.unknown_caps.push(cap),
                ChangeOutcome::Refused => {}
            }
        }
    }

    async fn send(&mut self, statements: &Statements, text: &str) -> ChangeOutcome {
        let answer = submit_change(statements, text).await;
        self.record_outcome(&answer);
        answer
    }

    fn record_outcome(&mut self, answer: &ChangeOutcome) {
        self.changes += 1;
        match answer {
            ChangeOutcome::Accepted(revision) => self.accepted = self.accepted.max(*revision),
            ChangeOutcome::Refused => self.refused += 1,
            ChangeOutcome::Unknown => {}
        }
    }

    /// Queries the revision of each instance and checks that it never decreases.
    pub(crate) async fn watch_revisions(&mut self, fleet: &Fleet, evidence: &mut Evidence) {
        let http = HttpClient::new(REVISION_QUERY_TIMEOUT);
        let asked = fleet.instances().iter().map(|(id, instance)| {
            let statements = Statements::new(http.clone(), instance.operators());
            async move { Some((id, statements.run_local(REVISION_QUERY).await.ok()?)) }
        });
        for (id, shown) in join_all(asked).await.into_iter().flatten() {
            let revision = shown["revision"].as_u64().unwrap_or_default();
            let seen = self.seen.entry(id.clone()).or_default();
            let back = || format!("the revision of {id} decreased from {seen} to {revision}");
            evidence.check(Promise::ConfigurationHolds, revision >= *seen, back);
            *seen = revision.max(*seen);
        }
    }

    /// Requests a version that was just accepted at every instance.
    ///
    /// The answers are checked once faults are healed, as a paused instance answers only then.
    fn request_everywhere(&mut self, fleet: &Fleet, load: &Load, model: &str, revision: u64) {
        for (id, address) in fleet.ready_instances() {
            let req = completion(&format!("new-{model}-{id}"), model, 2, Api::Text, true);
            let req = RequestPlan {
                to: address,
                timeout: REQUEST_TIMEOUT,
                ..req
            };
            let sent = load.spawn(&id, req);
            self.version_requests
                .push(VersionRequest { id, revision, sent });
        }
    }

    /// Checks the answers to [`Self::request_everywhere`]: none may be a 404 for the version.
    async fn check_version_requests(&mut self, evidence: &mut Evidence) {
        for VersionRequest { id, revision, sent } in std::mem::take(&mut self.version_requests) {
            let Ok(verdict) = sent.await else {
                continue;
            };
            let unknown = matches!(&verdict, Verdict::Refused(refusal) if refusal.status == 404);
            let finding = || format!("{id} after revision {revision}: {}", describe(&verdict));
            evidence.check(Promise::ConfigurationHolds, !unknown, finding);
        }
    }

    /// Discards the recorded revision of an instance that restarts under its own id.
    pub(crate) fn forget(&mut self, id: &str) {
        self.seen.remove(id);
    }

    /// Checks a healed deployment: accepted changes are in force at every instance, refused ones at
    /// none.
    pub(crate) async fn check(&mut self, fleet: &Fleet, evidence: &mut Evidence) {
        self.check_version_requests(evidence).await;
        for (id, _) in fleet.ready_instances() {
            let Ok(statements) = fleet.statements_at(&id) else {
                continue;
            };
            let accepted = self.accepted;
            let look = || async {
                let shown = statements.run_local(REVISION_QUERY).await.ok()?;
                (shown["revision"].as_u64()? >= accepted).then_some(())
            };
            let known = wait_until(PROPAGATION_TIMEOUT, look).await.is_some();
            let behind = || format!("{id} has not reached revision {accepted} after healing");
            evidence.check(Promise::ConfigurationHolds, known, behind);
            if known {
                self.check_versions(&id, &statements, evidence).await;
                self.check_cap(&id, &statements, evidence).await;
            }
        }
    }

    async fn check_versions(&self, id: &str, statements: &Statements, evidence: &mut Evidence) {
        let query = format!("show versions where name ~ {}@r", adapter_name(0));
        let Some(shown) = column(statements, &query, "name").await else {
            return;
        };
        for (model, answer) in &self.versions {
            let there = shown.contains(model);
            let held = match answer {
                ChangeOutcome::Accepted(_) => there,
                ChangeOutcome::Refused => !there,
                ChangeOutcome::Unknown => true,
            };
            let finding =
                || format!("{id}: creation of {model} was {answer:?}, in force there: {there}");
            evidence.check(Promise::ConfigurationHolds, held, finding);
        }
    }

    /// Checks that the cap is the last accepted one, or one whose outcome is unknown.
    async fn check_cap(&self, id: &str, statements: &Statements, evidence: &mut Evidence) {
        let Some((_, accepted)) = self.caps.last_key_value() else {
            return;
        };
        let query = format!("show sites where name = {SITE}");
        let Some(shown) = column(statements, &query, "cap_watts").await else {
            return;
        };
        let cap = shown
            .first()
            .and_then(|cap| cap.parse::<f64>().ok())
            .unwrap_or_default();
        let held = cap == *accepted || self.unknown_caps.contains(&cap);
        let finding = || format!("{id}: the cap is {cap}, but the last accepted cap is {accepted}");
        evidence.check(Promise::ConfigurationHolds, held, finding);
    }
}

async fn submit_change(statements: &Statements, text: &str) -> ChangeOutcome {
    let Ok(reply) = statements.try_run(text).await else {
        return ChangeOutcome::Unknown;
    };
    if REFUSALS.contains(&reply.status) {
        return ChangeOutcome::Refused;
    }
    let accepted = reply.json()["results"][0]["accepted"].as_u64();
    accepted.map_or(ChangeOutcome::Unknown, ChangeOutcome::Accepted)
}

async fn column(statements: &Statements, query: &str, name: &str) -> Option<Vec<String>> {
    let answer = statements.run_local(query).await.ok()?;
    let result = &answer["results"][0];
    let columns = result["columns"].as_array()?;
    let index = columns.iter().position(|column| column == name)?;
    let rows = result["rows"].as_array()?.iter();
    Some(
        rows.filter_map(|row| row[index].as_str().map(str::to_owned))
            .collect(),
    )
}

fn random_statements(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Option<Statements> {
    let instances = fleet.ready_instances();
    let (id, _) = instances.choose(rng)?;
    fleet.statements_at(id).ok()
}
