//! The run: a deployment, load, and episode after episode.

use std::time::Duration;

use chervilshunt_standin::fleet::{
    Evidence, Fleet, FleetError, FleetOptions, Load, LoadOptions, Promise, model_name,
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::change::Operators;
use super::episode::Episode;
use super::fault::Kind;
use super::report::Report;

/// Instances of the run.
const INSTANCES: usize = 7;

/// Engines of the run.
const ENGINES: usize = 4;

/// Adapters: more than the engines have slots, so that some are always loaded and evicted.
const ADAPTERS: usize = 24;

/// Requests of a hundred that stream for seconds.
const LONG_PERCENT: u32 = 5;

/// How often a request is sent at most.
const TRIES: u32 = 6;

/// How long a caller waits for the end of one answer: longer than any fault is held.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

/// How long requests may take to end after the last episode.
const END_BOUND: Duration = Duration::from_secs(90);

/// The instances' lease: shorter than most faults are held, so that it lapses.
const LEASE_MS: u64 = 6_000;

/// What a run was asked for.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) seed: u64,
    pub(crate) length: Duration,
    pub(crate) rate: f64,
    pub(crate) kinds: Vec<Kind>,
    pub(crate) json: bool,
    pub(crate) keep_logs: bool,
}

impl Options {
    /// Says whether this run's engines refuse old fencing numbers: every other seed's do, since
    /// what protects those that ignore them is another safeguard.
    pub(crate) const fn engines_check_fencing(&self) -> bool {
        self.seed % 2 == 1
    }
}

/// A deployment under load and faults.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) fleet: Fleet,
    pub(crate) load: Load,
    pub(crate) operators: Operators,
    pub(crate) evidence: Evidence,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) kinds: Vec<Kind>,
    started: Instant,
}

impl Run {
    /// Runs to the end and reports.
    pub(crate) async fn complete(options: &Options) -> Result<Report, FleetError> {
        let mut run = Self::start(options).await?;
        let result = run.episodes(options.length).await;
        let report = match result {
            Ok(episodes) => run.report(options, &episodes).await,
            Err(err) => Err(err),
        };
        let broken = !report.as_ref().is_ok_and(|report| report.held);
        if broken || options.keep_logs {
            eprintln!("logs are kept in {}", run.fleet.keep_logs().display());
        }
        report
    }

    async fn start(options: &Options) -> Result<Self, FleetError> {
        let fleet = Fleet::start(FleetOptions {
            instances: INSTANCES,
            engines: ENGINES,
            adapters: ADAPTERS,
            engines_check_fencing: options.engines_check_fencing(),
            links: true,
            settings: settings(),
            ..FleetOptions::default()
        })
        .await?;
        let load_options = LoadOptions {
            rate: options.rate,
            seed: options.seed,
            models: (0..ADAPTERS)
                .map(|number| model_name(number).into())
                .collect(),
            long_percent: LONG_PERCENT,
            max_attempts: TRIES,
            timeout: PATIENCE,
        };
        let load = Load::start(load_options, fleet.ready_instances());
        Ok(Self {
            fleet,
            load,
            operators: Operators::default(),
            evidence: Evidence::default(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            kinds: options.kinds.clone(),
            started: Instant::now(),
        })
    }

    async fn episodes(&mut self, length: Duration) -> Result<Vec<Episode>, FleetError> {
        let mut episodes = Vec::new();
        while self.started.elapsed() < length {
            episodes.push(self.episode(episodes.len()).await?);
        }
        Ok(episodes)
    }

    async fn report(
        &mut self,
        options: &Options,
        episodes: &[Episode],
    ) -> Result<Report, FleetError> {
        let ended = self.load.stop(END_BOUND).await;
        let open = self.load.open();
        let finding = || format!("{open} requests had no end {END_BOUND:?} after the last fault");
        self.evidence.check(Promise::WholeOwnAnswer, ended, finding);
        let tries = self.load.attempts();
        self.evidence.gather(&self.fleet, &tries).await?;
        Ok(Report::new(
            options,
            episodes,
            &tries,
            &self.operators,
            &self.evidence,
        ))
    }

    /// Tells on standard error what is being done, so that a finding can be placed.
    pub(crate) fn note(&self, episode: usize, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        eprintln!("{at:7.1} s  episode {episode}: {text}");
    }
}

fn settings() -> Value {
    json!({
        "lease": {"duration_ms": LEASE_MS, "renew_ms": LEASE_MS / 4, "margin_ms": LEASE_MS / 6},
        // A call that hangs has to be given up early enough to notice an outage in time.
        "platform": {"timeout_ms": LEASE_MS / 6},
    })
}
