//! The sequence of steps that the quickstart performs.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::command::Options;
use super::report::{print_event, print_progress, print_refusals};
use crate::check::{Api, Outcome, RequestPlan, Verdict};
use crate::fleet::{
    Evidence, Fleet, FleetError, FleetOptions, Load, LoadOptions, Promise, TargetKind, completion,
    create_version, describe, model_name,
};

/// The adapter version that the quickstart adds under load.
pub(crate) const NEW_VERSION: &str = "adapter-0000@v2";

/// Power cap of the site, below the 2,000 W that four engines with full batches would draw.
const CAP_WATTS: f64 = 1_200.0;

/// The target that the quickstart drains.
const DRAINED_TARGET: &str = "engine-4";

/// Targets whose answers have neither a length nor chunks.
const UNFRAMED_TARGETS: [&str; 2] = ["engine-1", "desk-1"];

/// Time limit for an accepted configuration to take effect at every instance.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

/// Time during which a draining target may still receive new requests.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Time limit for a graceful shutdown. The longest response takes far less.
const SHUTDOWN_BOUND: Duration = Duration::from_secs(30);

/// Time limit for requests in flight to end after arrivals have stopped.
const END_BOUND: Duration = Duration::from_secs(60);

/// Number of streams opened at the instance before it is shut down.
const OPEN_STREAMS: usize = 4;

/// Tokens of each of those streams, so that it lasts a few seconds.
const STREAM_TOKENS: u32 = 400;

/// Wait for those streams to start before the shutdown.
const STREAM_START_WAIT: Duration = Duration::from_millis(500);

/// A cheap query, sent only for the revision in its response.
const REVISION_QUERY: &str = "show sites";

/// Tokens of the completions that request the new version.
const TOKENS: u32 = 8;

/// Maximum number of attempts per request of the load.
const TRIES: u32 = 5;

/// The client's timeout for one complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(40);

/// The state of a quickstart run: a deployment under load and the results so far.
#[derive(Debug)]
pub(crate) struct Script {
    options: Options,
    pub(crate) fleet: Fleet,
    load: Load,
    started: Instant,
    evidence: Evidence,
    /// The revision of the accepted change and the time of its acceptance.
    accepted: Option<(u64, Instant)>,
    /// The highest revision that each instance has reported.
    revisions: BTreeMap<String, u64>,
}

impl Script {
    /// Starts the deployment and the load.
    pub(crate) async fn start(options: Options) -> Result<Self, FleetError> {
        println!("starting the platform, four engines, a plain service and three instances …");
        let fleet = Fleet::start(FleetOptions {
            instances: 3,
            engines: 4,
            cap_watts: CAP_WATTS,
            ..FleetOptions::default()
        })
        .await?;
        for target in UNFRAMED_TARGETS {
            fleet.set_faults(target, json!({"unframed": true})).await?;
        }
        let models = (0..fleet.options().adapters).map(|number| model_name(number).into());
        let load_options = LoadOptions {
            long_percent: 0,
            rate: options.rate,
            seed: options.seed,
            models: models.collect(),
            max_attempts: TRIES,
            timeout: RESPONSE_TIMEOUT,
        };
        let load = Load::start(load_options, fleet.ready_instances());
        Ok(Self {
            options,
            fleet,
            load,
            started: Instant::now(),
            evidence: Evidence::default(),
            accepted: None,
            revisions: BTreeMap::new(),
        })
    }

    /// Runs all steps and returns the results of the checks.
    pub(crate) async fn run(&mut self) -> Result<Evidence, FleetError> {
        let fifth = self.options.load / 5;
        self.watch_until(fifth).await;
        self.change_configuration().await?;
        self.watch_until(fifth * 2).await;
        let drained = self.drain_target().await?;
        self.watch_until(fifth * 3).await;
        self.stop_instance().await?;
        self.watch_until(fifth * 5).await;
        let ended = self.load.stop(END_BOUND).await;
        self.event("load stopped");
        let open = self.load.open();
        let of_all = || format!("{open} requests still in flight after {END_BOUND:?}");
        self.evidence.check(Promise::WholeOwnAnswer, ended, of_all);

        self.check_drained(drained).await?;
        self.watch_revisions().await;
        let tries = self.load.attempts();
        self.evidence.gather(&self.fleet, &tries).await?;
        self.evidence.check_answered(&tries);
        print_refusals(&tries);
        Ok(self.evidence.clone())
    }

    /// Prints progress and checks revisions and power every second, until `at` after the start.
    async fn watch_until(&mut self, at: Duration) {
        let end = self.started + at;
        while Instant::now() < end {
            let second = Instant::now() + Duration::from_secs(1);
            tokio::time::sleep_until(second.min(end)).await;
            print_progress(
                self.started.elapsed(),
                &self.load.attempts(),
                self.load.open(),
            );
            self.watch_revisions().await;
            self.watch_power().await;
        }
    }

    fn event(&self, event: &str) {
        print_event(self.started.elapsed(), event);
    }

    /// Adds an adapter version and requests it from every instance as soon as it is accepted.
    async fn change_configuration(&mut self) -> Result<(), FleetError> {
        let sent = Instant::now();
        let accepted = self
            .fleet
            .statements()?
            .run(&create_version(NEW_VERSION))
            .await?;
        let revision = accepted["results"][0]["accepted"]
            .as_u64()
            .unwrap_or_default();
        let took = sent.elapsed();
        self.event(&format!(
            "revision {revision} with {NEW_VERSION} accepted in {took:.0?}"
        ));
        let in_time = took < IN_FORCE_BOUND;
        self.accepted = Some((revision, Instant::now()));
        let late = || format!("revision {revision} took {took:?} to be accepted");
        self.evidence
            .check(Promise::ConfigurationHolds, in_time, late);

        for (number, (id, address)) in self.fleet.ready_instances().into_iter().enumerate() {
            let name = format!("new-version-{number}");
            let req = completion(&name, NEW_VERSION, TOKENS, Api::Text, true);
            let verdict = self
                .load
                .send(&id, RequestPlan { to: address, ..req })
                .await;
            let used = matches!(verdict, Verdict::Answered(_));
            let refused = || format!("{id} after revision {revision}: {}", describe(&verdict));
            self.evidence
                .check(Promise::ConfigurationHolds, used, refused);
        }
        self.load.add_model(NEW_VERSION.into());
        Ok(())
    }

    /// Drains a target and returns its number of completions 3 s later.
    async fn drain_target(&mut self) -> Result<u64, FleetError> {
        let drain = format!("drain target {DRAINED_TARGET}");
        self.fleet.statements()?.run(&drain).await?;
        self.event(&format!("{DRAINED_TARGET} is draining"));
        self.watch_until(self.started.elapsed() + DRAIN_BOUND).await;
        self.completions(DRAINED_TARGET).await
    }

    async fn completions(&self, target: &str) -> Result<u64, FleetError> {
        let stats = self.fleet.stats(target).await?;
        Ok(stats["completions"].as_u64().unwrap_or_default())
    }

    async fn check_drained(&mut self, after_bound: u64) -> Result<(), FleetError> {
        let at_end = self.completions(DRAINED_TARGET).await?;
        let rested = at_end == after_bound;
        let more = || {
            format!(
                "{DRAINED_TARGET} received {} more completions",
                at_end - after_bound
            )
        };
        self.evidence.check(Promise::NoWorkForLeaving, rested, more);
        Ok(())
    }

    /// Gracefully shuts down an instance that has open streams.
    async fn stop_instance(&mut self) -> Result<(), FleetError> {
        let Some((id, _)) = self.fleet.ready_instances().pop() else {
            return Ok(());
        };
        let streams = self.open_streams(&id).await?;
        self.fleet.terminate(&id)?;
        self.load.set_instances(self.fleet.ready_instances());
        self.event(&format!(
            "requested the shutdown of {id} with {} open streams",
            streams.len()
        ));
        let status = self.fleet.wait_terminated(&id, SHUTDOWN_BOUND).await?;
        self.event(&format!("{id} exited ({status})"));
        let clean = || format!("{id} exited with {status}");
        self.evidence
            .check(Promise::GracefulShutdown, status.success(), clean);

        for stream in streams {
            let verdict = stream.await.ok();
            let whole = matches!(verdict, Some(Verdict::Answered(_)));
            let told = verdict
                .as_ref()
                .map_or_else(|| "failed".to_owned(), describe);
            let cut = || format!("open stream at {id}: {told}");
            self.evidence.check(Promise::GracefulShutdown, whole, cut);
        }
        let tries = self.load.attempts();
        let at_instance = tries.iter().filter(|one| one.instance == id);
        let broken = at_instance.filter(|one| was_cut(&one.record.verdict));
        for one in broken {
            let finding = format!("at {id}: {}", describe(&one.record.verdict));
            self.evidence
                .record_violation(Promise::GracefulShutdown, finding);
        }
        Ok(())
    }

    /// Opens long streams at an instance and gives them time to start.
    async fn open_streams(&self, id: &str) -> Result<Vec<JoinHandle<Verdict>>, FleetError> {
        let address = self.fleet.instance(id)?.callers();
        let streams = (0..OPEN_STREAMS).map(|number| {
            let model = model_name(number);
            let req = completion(
                &format!("leaving-{number}"),
                &model,
                STREAM_TOKENS,
                Api::Text,
                true,
            );
            self.load.spawn(id, RequestPlan { to: address, ..req })
        });
        let streams = streams.collect();
        tokio::time::sleep(STREAM_START_WAIT).await;
        Ok(streams)
    }

    /// Checks the revision of each instance: it must not be lower than one that the instance reported
    /// before, nor lower than an accepted one whose time limit for taking effect has passed.
    async fn watch_revisions(&mut self) {
        for id in self.fleet.instances().keys().cloned().collect::<Vec<_>>() {
            let Ok(statements) = self.fleet.statements_at(&id) else {
                continue;
            };
            let due = match self.accepted {
                Some((revision, at)) if at.elapsed() > IN_FORCE_BOUND => revision,
                Some(_) | None => 0,
            };
            // A terminating instance may have exited already; the checks of the shutdown cover it.
            let Ok(answer) = statements.run_local(REVISION_QUERY).await else {
                continue;
            };
            let revision = answer["revision"].as_u64().unwrap_or_default();
            let seen = self.revisions.entry(id.clone()).or_default();
            let least = due.max(*seen);
            *seen = revision.max(*seen);
            let behind = || format!("{id} has revision {revision}, expected at least {least}");
            self.evidence
                .check(Promise::ConfigurationHolds, revision >= least, behind);
        }
    }

    /// Checks that the sum of the power draw reported by the engines is within the site's cap.
    async fn watch_power(&mut self) {
        let engines = self.fleet.targets().iter();
        let engines = engines.filter(|(_, target)| target.kind == TargetKind::Engine);
        let stats = join_all(engines.map(|(name, _)| self.fleet.stats(name))).await;
        let watts = |stats: &Value| stats["watts"].as_f64().unwrap_or_default();
        let drawn: f64 = stats.iter().flatten().map(watts).sum();
        let cap = self.fleet.options().cap_watts;
        let over = || format!("engines drew {drawn} W of {cap} W");
        self.evidence.check(Promise::PowerCap, drawn <= cap, over);
    }
}

/// Returns whether an attempt that may have run received no complete response.
fn was_cut(verdict: &Verdict) -> bool {
    match verdict {
        Verdict::Answered(_) | Verdict::Disconnected { sent: false, .. } => false,
        Verdict::Refused(refusal) => refusal.outcome != Outcome::NotRun,
        Verdict::Disconnected { sent: true, .. } | Verdict::Violated(_) => true,
    }
}
