//! Sends the requests of a plan at their scheduled times.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use chervilshunt_standin::check::{
    Client, ClientOptions, Finding, Outcome, Record, RequestPlan, Route, Verdict, fetch_runs,
    settle,
};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use snafu::{OptionExt, ensure};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use super::engines::Engines;
use super::error::{BadOptionSnafu, LoadError, RunsSnafu};
use super::mix::Mix;
use super::plan::LoadPlan;
use super::report::LoadRunReport;
use super::schedule::arrivals;
use super::summary::{self, SentRequest};

/// Pause before a retry if the refusal gives none.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Upper limit of the pause before a retry, also if the refusal asks for a longer one.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// A request with its scheduled time, as an offset from the start of the run.
#[derive(Clone, Debug)]
struct Scheduled {
    number: usize,
    at: Duration,
    plan: RequestPlan,
}

/// Sends the load and checks every answer.
///
/// # Errors
/// Returns an error if the plan is invalid, or a stand-in does not report what the checks need.
/// Violations are part of the report and not an error.
pub async fn run(plan: LoadPlan) -> Result<LoadRunReport, LoadError> {
    let scheduled = schedule(&plan).await?;
    let sent = send_all(&plan, scheduled).await;
    report(&plan, &sent).await
}

async fn schedule(plan: &LoadPlan) -> Result<Vec<Scheduled>, LoadError> {
    let bad = |problem: &str| BadOptionSnafu {
        problem: problem.to_owned(),
    };
    ensure!(!plan.entries.is_empty(), bad("no instance to send to"));
    ensure!(
        plan.tokens.0 <= plan.tokens.1,
        bad("the minimum number of tokens exceeds the maximum")
    );
    ensure!(
        plan.tokens.0 > 0,
        bad("the minimum number of tokens must be at least 1")
    );
    let engines = Engines::fetch(&plan.direct).await?;
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let run = std::process::id() ^ rng.next_u32();
    let mix = Mix::new(plan, run).context(bad("no models, or the skew is below 0"))?;
    let mut scheduled = Vec::new();
    for (number, at) in arrivals(plan.rate, plan.duration, &mut rng)
        .into_iter()
        .enumerate()
    {
        let request = mix.draw(number, &mut rng);
        let direct = engines.direct(&request, number);
        let plans = std::iter::once(request).chain(direct);
        scheduled.extend(plans.map(|plan| Scheduled { number, at, plan }));
    }
    Ok(scheduled)
}

async fn send_all(plan: &LoadPlan, scheduled: Vec<Scheduled>) -> Vec<SentRequest> {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let client = Client::new(ClientOptions {
        http2: plan.http2,
        ..ClientOptions::default()
    });
    let sender = Sender {
        client,
        entries: plan.entries.as_slice().into(),
        retries: plan.retries,
        warmup: plan.warmup,
        tx,
    };
    let runtime = Handle::current();
    // A dedicated thread wakes up within some ten microseconds of the scheduled time. The runtime's
    // timer only does so within a millisecond, an error as large as the latencies to be measured.
    let pacer = thread::spawn(move || pace(&runtime, &sender, scheduled));
    let mut sent = Vec::new();
    while let Some(record) = rx.recv().await {
        sent.push(record);
    }
    drop(pacer.join());
    sent
}

fn pace(runtime: &Handle, sender: &Sender, scheduled: Vec<Scheduled>) {
    let start = Instant::now();
    for request in scheduled {
        thread::sleep((start + request.at).saturating_duration_since(Instant::now()));
        runtime.spawn(sender.clone().send(request, start));
    }
}

/// Sends one request with its retries.
#[derive(Clone, Debug)]
struct Sender {
    client: Client,
    entries: Arc<[SocketAddr]>,
    retries: u32,
    warmup: Duration,
    tx: mpsc::UnboundedSender<SentRequest>,
}

impl Sender {
    async fn send(self, request: Scheduled, start: Instant) {
        let Scheduled { number, at, plan } = request;
        let lag = start.elapsed().saturating_sub(at);
        let mut record = self.client.send(plan).await;
        for tries in 0..=self.retries {
            let next = (tries < self.retries)
                .then(|| self.next_try(&record, tries))
                .flatten();
            let sent = SentRequest {
                record,
                number,
                tries,
                lag,
                measured: tries == 0 && at >= self.warmup,
            };
            // Can't fail: the receiver is open until all senders are dropped.
            drop(self.tx.send(sent));
            let Some((plan, pause)) = next else {
                return;
            };
            tokio::time::sleep(pause).await;
            record = self.client.send(plan).await;
        }
    }

    /// Returns the retry of a keyed request whose outcome is unknown to the caller, and the pause
    /// before it.
    fn next_try(&self, record: &Record, tries: u32) -> Option<(RequestPlan, Duration)> {
        let pause = match &record.verdict {
            Verdict::Refused(refusal) if refusal.outcome != Outcome::NotRun => refusal.retry_after,
            Verdict::Disconnected { sent: true, .. } => None,
            Verdict::Answered(_)
            | Verdict::Refused(_)
            | Verdict::Disconnected { .. }
            | Verdict::Violated(_) => return None,
        };
        let is_keyed = record.plan.key.is_some() && record.plan.route == Route::System;
        let at = self
            .entries
            .iter()
            .position(|entry| *entry == record.plan.to)?;
        let mut plan = record.plan.clone();
        plan.to = self.entries[(at + 1 + tries as usize) % self.entries.len()];
        let pause = pause.unwrap_or(RETRY_PAUSE).min(MAX_RETRY_PAUSE);
        is_keyed.then_some((plan, pause))
    }
}

async fn report(plan: &LoadPlan, sent: &[SentRequest]) -> Result<LoadRunReport, LoadError> {
    let findings = findings(plan, sent).await?;
    let found = findings
        .iter()
        .map(|finding| (&*finding.request_id, &finding.violation));
    let compared = !plan.direct.is_empty();
    Ok(LoadRunReport {
        passed: findings.is_empty(),
        seed: plan.seed,
        rate: plan.rate,
        seconds: plan.duration.as_secs_f64(),
        models: plan.models.len(),
        system: summary::path(sent, Route::System),
        direct: compared.then(|| summary::path(sent, Route::Direct)),
        added_first_token: compared.then(|| summary::added_first_token(sent)),
        send_lag: summary::latency(
            sent.iter()
                .filter(|sent| sent.tries == 0)
                .map(|sent| sent.lag),
        ),
        settled: !plan.standins.is_empty(),
        violations: summary::violations(found),
    })
}

/// Returns the violations that the client detected, and those that the stand-ins' run counts show.
async fn findings(plan: &LoadPlan, sent: &[SentRequest]) -> Result<Vec<Finding>, LoadError> {
    let (system, direct): (Vec<_>, Vec<_>) = sent
        .iter()
        .map(|sent| sent.record.clone())
        .partition(|record| record.plan.route == Route::System);
    let mut findings = client_violations(&direct);
    if plan.standins.is_empty() {
        findings.extend(client_violations(&system));
        return Ok(findings);
    }
    let runs = fetch_runs(&plan.standins).await;
    let runs = runs.map_err(|problem| RunsSnafu { problem }.build())?;
    findings.extend(settle(&system, &runs));
    Ok(findings)
}

fn client_violations(records: &[Record]) -> Vec<Finding> {
    let violated = records.iter().filter_map(|record| match &record.verdict {
        Verdict::Violated(violation) => Some(Finding {
            request_id: Arc::clone(&record.plan.request_id),
            violation: violation.clone(),
        }),
        Verdict::Answered(_) | Verdict::Refused(_) | Verdict::Disconnected { .. } => None,
    });
    violated.collect()
}
