//! How many SSE events a second come through one instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chervilshunt_standin::check::Client;
use futures_util::future::join_all;
use http::StatusCode;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde::Serialize;

use super::error::LoadError;
use super::process::Watched;
use super::streams::{check, stream_plan};

/// Streams that are read as fast as they come.
#[derive(Clone, Debug)]
pub struct RelayPlan {
    /// The instance, or an engine to learn what it can produce.
    pub entry: SocketAddr,
    /// Models that the streams ask for in turn.
    pub models: Vec<Arc<str>>,
    /// Streams at a time.
    pub streams: usize,
    /// Tokens of each stream.
    pub tokens: u32,
    /// The process of the instance, whose processor time is to be reported.
    pub pid: Option<u32>,
    /// The time after which the streams are given up.
    pub patience: Duration,
}

/// What came through.
#[derive(Clone, Debug, Serialize)]
pub struct RelayReport {
    /// Streams at a time.
    pub streams: usize,
    /// Events that came through.
    pub events: u64,
    /// Bytes that they took.
    pub bytes: u64,
    /// From the first request to the last event, in seconds.
    pub seconds: f64,
    /// Events a second.
    pub events_per_second: f64,
    /// Processor time of the instance, in seconds.
    pub instance_cpu_seconds: Option<f64>,
    /// Processor time of the instance for one event, in microseconds.
    pub instance_cpu_us_per_event: Option<f64>,
}

/// What was read of one stream.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    events: u64,
    bytes: u64,
}

/// Reads all streams at once and counts their events.
///
/// # Errors
/// Fails if a stream does not come through to its last event.
pub async fn relay(plan: RelayPlan) -> Result<RelayReport, LoadError> {
    let watched = plan.pid.map(Watched);
    let before = watched.map(Watched::cpu).transpose()?;
    let start = Instant::now();
    let client = Client::default();
    let reading = (0..plan.streams).map(|number| {
        let (client, plan) = (client.clone(), plan.clone());
        tokio::spawn(async move {
            let reading = read_stream(&client, &plan, number);
            let result = tokio::time::timeout(plan.patience, reading).await;
            result.unwrap_or_else(|_| Err("it took too long".to_owned()))
        })
    });
    let results = join_all(reading).await;
    let seconds = start.elapsed().as_secs_f64();
    let cpu = match (watched, before) {
        (Some(watched), Some(before)) => Some(watched.cpu()?.saturating_sub(before)),
        _ => None,
    };
    let results = results
        .into_iter()
        .map(|joined| joined.unwrap_or_else(|error| Err(error.to_string())));
    let total = sum(plan.streams, results)?;
    #[expect(
        clippy::cast_precision_loss,
        reason = "there are far fewer than 2^53 events"
    )]
    let events = total.events as f64;
    Ok(RelayReport {
        streams: plan.streams,
        events: total.events,
        bytes: total.bytes,
        seconds,
        events_per_second: events / seconds,
        instance_cpu_seconds: cpu.map(|cpu| cpu.as_secs_f64()),
        instance_cpu_us_per_event: cpu.map(|cpu| cpu.as_secs_f64() * 1e6 / events),
    })
}

fn sum(
    streams: usize,
    results: impl Iterator<Item = Result<Tally, String>>,
) -> Result<Tally, LoadError> {
    let mut total = Tally::default();
    let mut failures = Vec::new();
    for result in results {
        match result {
            Ok(tally) => {
                total.events += tally.events;
                total.bytes += tally.bytes;
            }
            Err(failure) => failures.push(failure),
        }
    }
    check(streams, failures)?;
    Ok(total)
}

async fn read_stream(client: &Client, plan: &RelayPlan, number: usize) -> Result<Tally, String> {
    let model = &plan.models[number % plan.models.len()];
    let request = stream_plan(plan.entry, model, plan.tokens, number, plan.patience);
    let response = client.open(&request).await?;
    if response.status() != StatusCode::OK {
        return Err(refusal(response.status(), response.into_body()).await);
    }
    let mut body = response.into_body();
    let mut tally = Tally::default();
    let mut newlines = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Some(data) = frame.data_ref() {
            newlines += memchr::memchr_iter(b'\n', data).count();
            tally.bytes += data.len() as u64;
        }
    }
    // An event is one line and an empty one; the last is the end mark.
    tally.events = newlines as u64 / 2;
    let wanted = u64::from(plan.tokens) + 1;
    if tally.events != wanted {
        return Err(format!("{} events in place of {wanted}", tally.events));
    }
    Ok(tally)
}

/// Describes an answer that is no stream.
pub(crate) async fn refusal(status: StatusCode, body: Incoming) -> String {
    let body = body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    let text = body.map(|body| String::from_utf8_lossy(&body).into_owned());
    format!(
        "{status}: {}",
        text.unwrap_or_else(|error| error.to_string())
    )
}
