//! What the quickstart does, in its order.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::Value;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::command::Options;
use super::report::{print_event, print_progress, print_refusals};
use crate::check::{Api, Outcome, RequestPlan, Verdict};
use crate::fleet::{
    Evidence, Fleet, FleetError, FleetOptions, Load, LoadOptions, Promise, TargetKind, completion,
    create_version, describe, model_name,
};

/// The version that the quickstart adds while it runs.
pub(crate) const NEW_VERSION: &str = "adapter-0000@v2";

/// The site's cap, below the 2,000 W that four engines with full batches would draw.
const CAP_WATTS: f64 = 1_200.0;

/// The target that it drains.
const DRAINED: &str = "engine-4";

/// How long an accepted configuration may take to be in force at every instance.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

/// How long a leaving target may still get new work.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// How long a graceful shutdown may take; the longest answer takes far less.
const SHUTDOWN_BOUND: Duration = Duration::from_secs(30);

/// How long requests may take to end after the load.
const END_BOUND: Duration = Duration::from_secs(60);

/// Streams that are open at the instance that is shut down.
const OPEN_STREAMS: usize = 4;

/// Tokens of those streams: several seconds' worth.
const LONG: u32 = 400;

/// How long they are given to begin.
const OPENING: Duration = Duration::from_millis(500);

/// A query whose answer's revision is all that matters.
const REVISION_QUERY: &str = "show sites";

/// Tokens of the answers that the script asks for itself.
const TOKENS: u32 = 8;

/// How often a request of the load is sent at most.
const TRIES: u32 = 5;

/// How long a caller waits for the end of one answer.
const PATIENCE: Duration = Duration::from_secs(40);

/// A deployment under load.
#[derive(Debug)]
pub(crate) struct Script {
    options: Options,
    pub(crate) fleet: Fleet,
    load: Load,
    started: Instant,
    evidence: Evidence,
    /// The revision that was accepted, and when.
    accepted: Option<(u64, Instant)>,
    /// The highest revision that each instance has reported.
    revisions: BTreeMap<String, u64>,
}

impl Script {
    /// Starts the deployment and the load.
    pub(crate) async fn start(options: Options) -> Result<Self, FleetError> {
        println!("starting a platform, four engines, a plain service and three instances …");
        let fleet = Fleet::start(FleetOptions {
            instances: 3,
            engines: 4,
            cap_watts: CAP_WATTS,
            ..FleetOptions::default()
        })
        .await?;
        let models = (0..fleet.options().adapters).map(|number| model_name(number).into());
        let load_options = LoadOptions {
            long_percent: 0,
            rate: options.rate,
            seed: options.seed,
            models: models.collect(),
            tries: TRIES,
            patience: PATIENCE,
        };
        let load = Load::start(load_options, fleet.balanced());
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

    /// Runs to the end, and returns what was found out about each promise.
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
        self.event("the load has ended");
        let open = self.load.open();
        let of_all = || format!("{open} requests had no end after {END_BOUND:?}");
        self.evidence.check(Promise::WholeOwnAnswer, ended, of_all);

        self.check_drained(drained).await?;
        self.watch_revisions().await;
        let tries = self.load.tries();
        self.evidence.gather(&self.fleet, &tries).await?;
        self.evidence.check_answered(&tries);
        print_refusals(&tries);
        Ok(self.evidence.clone())
    }

    /// Shows progress each second until a point of the load.
    async fn watch_until(&mut self, at: Duration) {
        let end = self.started + at;
        while Instant::now() < end {
            let second = Instant::now() + Duration::from_secs(1);
            tokio::time::sleep_until(second.min(end)).await;
            print_progress(self.started.elapsed(), &self.load.tries(), self.load.open());
            self.watch_revisions().await;
            self.watch_power().await;
        }
    }

    fn event(&self, event: &str) {
        print_event(self.started.elapsed(), event);
    }

    /// Adds an adapter version and asks every instance for it as soon as it is accepted.
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

        for (number, (id, address)) in self.fleet.balanced().into_iter().enumerate() {
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

    /// Drains a target; returns the completions that it had been asked for 3 s later.
    async fn drain_target(&mut self) -> Result<u64, FleetError> {
        let drain = format!("drain target {DRAINED}");
        self.fleet.statements()?.run(&drain).await?;
        self.event(&format!("{DRAINED} drains"));
        self.watch_until(self.started.elapsed() + DRAIN_BOUND).await;
        self.completions(DRAINED).await
    }

    async fn completions(&self, target: &str) -> Result<u64, FleetError> {
        let stats = self.fleet.stats(target).await?;
        Ok(stats["completions"].as_u64().unwrap_or_default())
    }

    async fn check_drained(&mut self, after_bound: u64) -> Result<(), FleetError> {
        let at_end = self.completions(DRAINED).await?;
        let rested = at_end == after_bound;
        let more = || format!("{DRAINED} got {} more completions", at_end - after_bound);
        self.evidence.check(Promise::NoWorkForLeaving, rested, more);
        Ok(())
    }

    /// Shuts an instance down while it has requests.
    async fn stop_instance(&mut self) -> Result<(), FleetError> {
        let Some((id, _)) = self.fleet.balanced().pop() else {
            return Ok(());
        };
        let streams = self.open_streams(&id).await?;
        self.fleet.terminate(&id)?;
        self.load.set_instances(self.fleet.balanced());
        self.event(&format!(
            "{id} is asked to shut down with {} streams open",
            streams.len()
        ));
        let status = self.fleet.wait_terminated(&id, SHUTDOWN_BOUND).await?;
        self.event(&format!("{id} has ended ({status})"));
        let clean = || format!("{id} ended with {status}");
        self.evidence
            .check(Promise::GracefulShutdown, status.success(), clean);

        for stream in streams {
            let verdict = stream.await.ok();
            let whole = matches!(verdict, Some(Verdict::Answered(_)));
            let told = verdict
                .as_ref()
                .map_or_else(|| "failed".to_owned(), describe);
            let cut = || format!("a stream open at {id}: {told}");
            self.evidence.check(Promise::GracefulShutdown, whole, cut);
        }
        let tries = self.load.tries();
        let at_instance = tries.iter().filter(|one| one.instance == id);
        let broken = at_instance.filter(|one| was_cut(&one.record.verdict));
        for one in broken {
            let finding = format!("at {id}: {}", describe(&one.record.verdict));
            self.evidence.broken(Promise::GracefulShutdown, finding);
        }
        Ok(())
    }

    /// Opens streams at an instance that last for a while, and waits until they have begun.
    async fn open_streams(&self, id: &str) -> Result<Vec<JoinHandle<Verdict>>, FleetError> {
        let address = self.fleet.instance(id)?.callers();
        let streams = (0..OPEN_STREAMS).map(|number| {
            let model = model_name(number);
            let req = completion(&format!("leaving-{number}"), &model, LONG, Api::Text, true);
            self.load.spawn(id, RequestPlan { to: address, ..req })
        });
        let streams = streams.collect();
        tokio::time::sleep(OPENING).await;
        Ok(streams)
    }

    /// Asks each instance for its revision: it must never be lower than before, nor lower than an
    /// accepted one whose time has come.
    async fn watch_revisions(&mut self) {
        for id in self.fleet.instances().keys().cloned().collect::<Vec<_>>() {
            let Ok(statements) = self.fleet.statements_at(&id) else {
                continue;
            };
            let due = match self.accepted {
                Some((revision, at)) if at.elapsed() > IN_FORCE_BOUND => revision,
                Some(_) | None => 0,
            };
            // An instance that leaves may be gone by now; the shutdown's own checks see to it.
            let Ok(answer) = statements.run_local(REVISION_QUERY).await else {
                continue;
            };
            let revision = answer["revision"].as_u64().unwrap_or_default();
            let seen = self.revisions.entry(id.clone()).or_default();
            let least = due.max(*seen);
            *seen = revision.max(*seen);
            let behind = || format!("{id} has revision {revision} after {least}");
            self.evidence
                .check(Promise::ConfigurationHolds, revision >= least, behind);
        }
    }

    /// Adds up what the engines draw now, by their own meters.
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

/// Says whether a caller got neither its whole answer nor a refusal before anything ran.
fn was_cut(verdict: &Verdict) -> bool {
    match verdict {
        Verdict::Answered(_) | Verdict::Disconnected { sent: false, .. } => false,
        Verdict::Refused(refusal) => refusal.outcome != Outcome::NotRun,
        Verdict::Disconnected { sent: true, .. } | Verdict::Violated(_) => true,
    }
}
