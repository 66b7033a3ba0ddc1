//! Measures how many SSE events per second one instance relays.

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
use super::process::ProcessUsage;
use super::streams::{check, stream_plan};

/// Parameters of a relay measurement, which reads streams as fast as they arrive.
#[derive(Clone, Debug)]
pub struct RelayPlan {
    /// The callers' address of the instance, or an engine's address to measure its own throughput.
    pub entry: SocketAddr,
    /// Models that the streams request in turn.
    pub models: Vec<Arc<str>>,
    /// Number of concurrent streams.
    pub streams: usize,
    /// Tokens per stream.
    pub tokens: u32,
    /// The process id of the instance, to report its processor time.
    pub pid: Option<u32>,
    /// The time limit of each stream.
    pub timeout: Duration,
}

/// Result of a relay measurement.
#[derive(Clone, Debug, Serialize)]
pub struct RelayReport {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Events received.
    pub events: u64,
    /// Bytes received.
    pub bytes: u64,
    /// Time from the first request to the last event, in seconds.
    pub seconds: f64,
    /// Events received per second.
    pub events_per_second: f64,
    /// Processor time of the instance, in seconds.
    pub instance_cpu_seconds: Option<f64>,
    /// Processor time of the instance per event, in microseconds.
    pub instance_cpu_us_per_event: Option<f64>,
}

/// Events and bytes read from one stream, or from several.
#[derive(Clone, Copy, Debug, Default)]
struct StreamCounts {
    events: u64,
    bytes: u64,
}

/// Reads all streams concurrently and counts their events.
///
/// # Errors
/// Returns an error if a stream fails or is incomplete, or the process can't be read.
pub async fn relay(plan: RelayPlan) -> Result<RelayReport, LoadError> {
    let process = plan.pid.map(ProcessUsage);
    let before = process.map(ProcessUsage::cpu).transpose()?;
    let start = Instant::now();
    let client = Client::default();
    let reading = (0..plan.streams).map(|number| {
        let (client, plan) = (client.clone(), plan.clone());
        tokio::spawn(async move {
            let reading = read_stream(&client, &plan, number);
            let result = tokio::time::timeout(plan.timeout, reading).await;
            result.unwrap_or_else(|_| Err("timed out".to_owned()))
        })
    });
    let results = join_all(reading).await;
    let seconds = start.elapsed().as_secs_f64();
    let cpu = match (process, before) {
        (Some(process), Some(before)) => Some(process.cpu()?.saturating_sub(before)),
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
    results: impl Iterator<Item = Result<StreamCounts, String>>,
) -> Result<StreamCounts, LoadError> {
    let mut total = StreamCounts::default();
    let mut failures = Vec::new();
    for result in results {
        match result {
            Ok(counts) => {
                total.events += counts.events;
                total.bytes += counts.bytes;
            }
            Err(failure) => failures.push(failure),
        }
    }
    check(streams, failures)?;
    Ok(total)
}

async fn read_stream(
    client: &Client,
    plan: &RelayPlan,
    number: usize,
) -> Result<StreamCounts, String> {
    let model = &plan.models[number % plan.models.len()];
    let request = stream_plan(plan.entry, model, plan.tokens, number, plan.timeout);
    let response = client.open(&request).await?;
    if response.status() != StatusCode::OK {
        return Err(refusal(response.status(), response.into_body()).await);
    }
    let mut body = response.into_body();
    let mut counts = StreamCounts::default();
    let mut newlines = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Some(data) = frame.data_ref() {
            newlines += memchr::memchr_iter(b'\n', data).count();
            counts.bytes += data.len() as u64;
        }
    }
    // Each event is one line followed by an empty one; the last event is the end marker.
    counts.events = newlines as u64 / 2;
    let wanted = u64::from(plan.tokens) + 1;
    if counts.events != wanted {
        return Err(format!("got {} events, expected {wanted}", counts.events));
    }
    Ok(counts)
}

/// Formats the status and body of a response that is not a stream.
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
