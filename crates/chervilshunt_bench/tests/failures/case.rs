//! A deployment under load with checked answers, for one test.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_standin::check::{Api, RequestPlan, Verdict};
use chervilshunt_standin::fleet::{
    Attempt, Evidence, Fleet, FleetOptions, Load, LoadOptions, Promise, completion, describe,
    entry, model_name, wait_until,
};
use serde_json::{Value, json};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum number of deployments that run concurrently: each has seven processes or more.
const MAX_CONCURRENT_DEPLOYMENTS: usize = 2;

/// How long a test waits for an expected condition before it fails.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// How long a caller waits for the end of one answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The maximum number of attempts of a request of the load.
const MAX_ATTEMPTS: u32 = 10;

/// The duration of instance leases: short, so that leases expire within a test.
const LEASE_MS: u64 = 5_000;

/// Long enough for a lease to expire and for the roles of its holder to be taken over.
pub(crate) const LEASE_TAKEOVER_TIME: Duration = Duration::from_millis(2 * LEASE_MS);

/// A deployment under load with checked answers.
#[derive(Debug)]
pub(crate) struct Case {
    pub(crate) fleet: Fleet,
    pub(crate) load: Load,
    pub(crate) evidence: Evidence,
    sent: usize,
    _deployment_permit: OwnedSemaphorePermit,
}

impl Case {
    /// Starts a deployment and a load of `rate` requests per second on it.
    pub(crate) async fn start(options: FleetOptions, rate: f64) -> Self {
        let deployment_permit = acquire_deployment_permit().await;
        let settings = json!({
            "lease": {"duration_ms": LEASE_MS, "renew_ms": LEASE_MS / 4, "margin_ms": LEASE_MS / 6},
            // A hanging call has to time out early enough for an outage to be noticed in time.
            "platform": {"timeout_ms": LEASE_MS / 6},
        });
        let fleet = Fleet::start(FleetOptions {
            settings,
            ..options
        })
        .await;
        let fleet = fleet.unwrap_or_else(|err| panic!("the deployment failed to start: {err}"));
        let models = (0..fleet.options().adapters).map(|number| model_name(number).into());
        let load_options = LoadOptions {
            long_percent: 0,
            rate,
            seed: 1,
            models: models.collect(),
            max_attempts: MAX_ATTEMPTS,
            timeout: REQUEST_TIMEOUT,
        };
        let load = Load::start(load_options, fleet.ready_instances());
        Self {
            fleet,
            load,
            evidence: Evidence::default(),
            sent: 0,
            _deployment_permit: deployment_permit,
        }
    }

    /// Lets the load run for a while.
    pub(crate) async fn run_for(&self, time: Duration) {
        tokio::time::sleep(time).await;
    }

    /// Sends a completion to an instance and returns the verdict on its answer.
    pub(crate) async fn complete(&mut self, id: &str, model: &str, tokens: u32) -> Verdict {
        let req = self.plan_completion(id, model, tokens);
        self.load.send(id, req).await
    }

    /// Plans a streamed completion at an instance, with a unique request id.
    pub(crate) fn plan_completion(&mut self, id: &str, model: &str, tokens: u32) -> RequestPlan {
        let name = self.name();
        self.with_destination(id, completion(&name, model, tokens, Api::Text, true))
    }

    /// Plans a call that may run at most once, with a unique request id.
    pub(crate) fn plan_entry(&mut self, id: &str, keyed: bool) -> RequestPlan {
        let name = self.name();
        self.with_destination(id, entry(&name, keyed))
    }

    /// Returns the plan with its destination changed to the given instance.
    pub(crate) fn with_destination(&self, id: &str, req: RequestPlan) -> RequestPlan {
        let instance = self.fleet.instance(id).unwrap();
        RequestPlan {
            to: instance.callers(),
            timeout: REQUEST_TIMEOUT,
            ..req
        }
    }

    fn name(&mut self) -> String {
        self.sent += 1;
        format!("t{}", self.sent)
    }

    /// Retries a completion at an instance until it is answered; panics after [`WAIT_TIMEOUT`].
    pub(crate) async fn until_answered(&mut self, id: &str, model: &str) {
        let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let verdict = self.complete(id, model, 3).await;
            if matches!(verdict, Verdict::Answered(_)) {
                return;
            }
            let description = describe(&verdict);
            assert!(
                tokio::time::Instant::now() < end,
                "{id} did not recover within {WAIT_TIMEOUT:?}: {model}: {description}"
            );
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    /// Returns the cells of one column of a query, answered from the instance's local state.
    pub(crate) async fn column(&self, id: &str, query: &str, column: &str) -> Vec<String> {
        let answer = self
            .fleet
            .statements_at(id)
            .unwrap()
            .run_local(query)
            .await
            .unwrap();
        let result = &answer["results"][0];
        let columns = result["columns"].as_array().unwrap();
        let index = columns.iter().position(|name| name == column);
        let index = index.unwrap_or_else(|| panic!("{query} has no column {column}"));
        let rows = result["rows"].as_array().unwrap().iter();
        rows.filter_map(|row| row[index].as_str().map(str::to_owned))
            .collect()
    }

    /// Waits until a target has an owner other than `but`, as queried across all instances at `id`.
    pub(crate) async fn owner(&self, id: &str, target: &str, but: Option<&str>) -> String {
        let query = format!("show targets where name = {target}");
        let look = || async {
            let answer = self.fleet.statements_at(id).ok()?.run(&query).await.ok()?;
            let mut owners = cells(&answer, "owner").into_iter();
            owners.find(|owner| Some(owner.as_str()) != but)
        };
        let found = wait_until(WAIT_TIMEOUT, look).await;
        found.unwrap_or_else(|| panic!("{target} got no owner other than {but:?}"))
    }

    /// Returns a ready instance that is not in `but`.
    pub(crate) fn other_instance(&self, but: &[&str]) -> String {
        let mut ids = self.fleet.ready_instances().into_iter().map(|(id, _)| id);
        ids.find(|id| !but.contains(&id.as_str()))
            .expect("no other instance is ready")
    }

    /// Sets fault switches of a stand-in.
    pub(crate) async fn set_faults(&self, standin: &str, switches: Value) {
        self.fleet.set_faults(standin, switches).await.unwrap();
    }

    /// Returns one of a stand-in's counters.
    pub(crate) async fn count(&self, standin: &str, counter: &str) -> u64 {
        let stats = self.fleet.stats(standin).await.unwrap();
        stats[counter]
            .as_u64()
            .unwrap_or_else(|| panic!("{standin} has no counter {counter}"))
    }

    /// Returns how often the targets ran a request.
    pub(crate) async fn runs(&self, req: &RequestPlan) -> u32 {
        let controls = self.fleet.target_controls().unwrap();
        let runs = chervilshunt_standin::check::fetch_runs(&controls)
            .await
            .unwrap();
        runs.get(&req.request_id).map_or(0, |record| record.runs)
    }

    /// Stops the load, checks every promise and returns all attempts.
    pub(crate) async fn finish(mut self) -> Vec<Attempt> {
        let ended = self.load.stop(REQUEST_TIMEOUT * 2).await;
        assert!(ended, "{} requests are still open", self.load.open());
        let tries = self.load.attempts();
        self.evidence.gather(&self.fleet, &tries).await.unwrap();
        let broken: Vec<_> = self.evidence.violations().iter().take(10).collect();
        assert!(broken.is_empty(), "promises were broken: {broken:#?}");
        // Without any answers the checks on answers would pass vacuously.
        let answers = self.evidence.checks(Promise::WholeOwnAnswer);
        assert!(answers > 0, "no request was answered");
        tries
    }
}

/// Returns the cells of one column of a query result, without those that are not strings.
fn cells(answer: &Value, column: &str) -> Vec<String> {
    let result = &answer["results"][0];
    let columns = result["columns"].as_array().unwrap();
    let index = columns.iter().position(|name| name == column);
    let index = index.unwrap_or_else(|| panic!("no column {column} in {answer}"));
    let rows = result["rows"].as_array().unwrap().iter();
    rows.filter_map(|row| row[index].as_str().map(str::to_owned))
        .collect()
}

/// Waits until another deployment may run.
async fn acquire_deployment_permit() -> OwnedSemaphorePermit {
    static DEPLOYMENT_PERMITS: std::sync::OnceLock<Arc<Semaphore>> = std::sync::OnceLock::new();
    let permits =
        DEPLOYMENT_PERMITS.get_or_init(|| Arc::new(Semaphore::new(MAX_CONCURRENT_DEPLOYMENTS)));
    Arc::clone(permits)
        .acquire_owned()
        .await
        .expect("nothing closes the semaphore")
}

/// Returns whether a request was answered completely.
pub(crate) const fn answered(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Answered(_))
}

/// Describes the final attempts that were not answered.
pub(crate) fn unanswered(tries: &[Attempt]) -> Vec<String> {
    let last = tries
        .iter()
        .filter(|one| one.last && !answered(&one.record.verdict));
    last.map(|one| {
        format!(
            "{}: {}",
            one.record.plan.request_id,
            describe(&one.record.verdict)
        )
    })
    .collect()
}
