//! The fault run: starts a deployment with load and runs episodes one after another.

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
use super::fault::FaultKind;
use super::report::Report;

/// Number of instances.
const INSTANCES: usize = 7;

/// Number of engines.
const ENGINES: usize = 4;

/// Number of adapters: more than the engines have slots, so that loads and evictions go on.
const ADAPTERS: usize = 24;

/// Percentage of requests that stream for seconds.
const LONG_PERCENT: u32 = 5;

/// The maximum number of attempts of a request.
const MAX_ATTEMPTS: u32 = 6;

/// How long a caller waits for the end of one answer: longer than any fault stays active.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The time within which all requests must end after the last episode.
const END_BOUND: Duration = Duration::from_secs(90);

/// The duration of the instances' leases: shorter than most faults last, so that leases expire.
const LEASE_MS: u64 = 6_000;

/// The options of a run.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) seed: u64,
    pub(crate) length: Duration,
    pub(crate) rate: f64,
    pub(crate) kinds: Vec<FaultKind>,
    pub(crate) json: bool,
    pub(crate) keep_logs: bool,
}

impl Options {
    /// Returns whether this run's engines refuse outdated fencing numbers.
    ///
    /// They do so for odd seeds only, since engines that ignore fencing numbers are protected by a
    /// different safeguard, which has to be tested too.
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
    pub(crate) kinds: Vec<FaultKind>,
    started: Instant,
}

impl Run {
    /// Runs to the end and returns the report.
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
            max_attempts: MAX_ATTEMPTS,
            timeout: REQUEST_TIMEOUT,
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
        let finding =
            || format!("{open} requests were still open {END_BOUND:?} after the last fault");
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

    /// Logs the current step to standard error, so that a finding can be matched to it.
    pub(crate) fn log_progress(&self, episode: usize, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        eprintln!("{at:7.1} s  episode {episode}: {text}");
    }
}

fn settings() -> Value {
    json!({
        "lease": {"duration_ms": LEASE_MS, "renew_ms": LEASE_MS / 4, "margin_ms": LEASE_MS / 6},
        // A hanging call has to time out early enough for an outage to be noticed in time.
        "platform": {"timeout_ms": LEASE_MS / 6},
    })
}
