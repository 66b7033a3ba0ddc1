//! Measures the memory of an instance with many open streams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use chervilshunt_model::Class;
use chervilshunt_standin::check::{
    Api, Call, Client, ClientOptions, CompletionCall, RequestPlan, Route,
};
use futures_util::{StreamExt as _, stream};
use http::StatusCode;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde::Serialize;
use tokio::task::JoinHandle;

use super::error::{LoadError, StreamsSnafu};
use super::process::ProcessUsage;
use super::relay::refusal;

/// Streams opened concurrently; opening all at once would measure the burst instead.
const OPENING: usize = 32;

/// Interval at which memory is read.
const SAMPLE_PERIOD: Duration = Duration::from_millis(100);

/// Parameters of a memory measurement with open streams.
#[derive(Clone, Debug)]
pub struct OpenStreamsPlan {
    /// The callers' address of the instance.
    pub entry: SocketAddr,
    /// The process id of the instance.
    pub pid: u32,
    /// Models that the streams request in turn.
    pub models: Vec<Arc<str>>,
    /// Number of concurrent streams.
    pub streams: usize,
    /// Tokens per stream; must be enough that none ends while the streams are held open.
    pub tokens: u32,
    /// The time for which all streams are held open.
    pub hold: Duration,
    /// Whether the streams are left unread, as by stalled callers.
    pub stalled: bool,
    /// The time limit for opening a stream.
    pub timeout: Duration,
}

/// Result of a memory measurement with open streams.
#[derive(Clone, Debug, Serialize)]
pub struct OpenStreamsReport {
    /// Number of open streams.
    pub streams: usize,
    /// Whether they were left unread.
    pub stalled: bool,
    /// Resident memory before the streams were opened, in KiB.
    pub before_kib: u64,
    /// Peak resident memory while all streams were open, in KiB.
    pub peak_kib: u64,
    /// Memory added per stream, in KiB.
    pub kib_per_stream: f64,
    /// Events read while the streams were held open; 0 if they were left unread.
    pub events: u64,
}

/// Opens all streams, holds them open and samples the instance's memory meanwhile.
///
/// # Errors
/// Returns an error if a stream can't be opened or ends early, or the process can't be read.
pub async fn open_streams(plan: OpenStreamsPlan) -> Result<OpenStreamsReport, LoadError> {
    let process = ProcessUsage(plan.pid);
    let before_kib = process.resident_kib()?;
    let client = Client::new(ClientOptions::default());
    let opening = (0..plan.streams).map(|number| open(client.clone(), plan.clone(), number));
    let opened: Vec<_> = stream::iter(opening)
        .buffer_unordered(OPENING)
        .collect()
        .await;
    let mut bodies = Vec::new();
    let mut failures = Vec::new();
    for result in opened {
        match result {
            Ok(body) => bodies.push(body),
            Err(failure) => failures.push(failure),
        }
    }
    check(plan.streams, failures)?;
    let readers: Vec<_> = bodies
        .into_iter()
        .map(|body| hold(body, plan.stalled))
        .collect();
    let mut peak_kib = before_kib;
    let samples = plan.hold.as_millis() / SAMPLE_PERIOD.as_millis();
    for _ in 0..=samples {
        tokio::time::sleep(SAMPLE_PERIOD).await;
        peak_kib = peak_kib.max(process.resident_kib()?);
    }
    let ended = readers.iter().filter(|reader| reader.is_finished()).count();
    check(
        plan.streams,
        vec!["the stream ended while it was held open".to_owned(); ended],
    )?;
    let mut events = 0;
    for reader in readers {
        events += reader.stop().await;
    }
    #[expect(clippy::cast_precision_loss, reason = "there are few")]
    let kib_per_stream = peak_kib.saturating_sub(before_kib) as f64 / plan.streams.max(1) as f64;
    Ok(OpenStreamsReport {
        streams: plan.streams,
        stalled: plan.stalled,
        before_kib,
        peak_kib,
        kib_per_stream,
        events,
    })
}

/// Creates the request of a stream that is measured, not checked.
pub(crate) fn stream_plan(
    to: SocketAddr,
    model: &Arc<str>,
    tokens: u32,
    number: usize,
    timeout: Duration,
) -> RequestPlan {
    RequestPlan {
        to,
        route: Route::System,
        request_id: format!("stream-{}-{number}", std::process::id()).into(),
        call: Call::Completion(CompletionCall {
            model: Arc::clone(model),
            api: Api::Text,
            stream: true,
            max_tokens: tokens,
            prompt: format!("Stream {number}").into(),
        }),
        class: Class::Live,
        key: None,
        deadline: Some(timeout),
        timeout,
    }
}

/// Opens a stream and waits for its first body frame.
async fn open(client: Client, plan: OpenStreamsPlan, number: usize) -> Result<Incoming, String> {
    let model = &plan.models[number % plan.models.len()];
    let request = stream_plan(plan.entry, model, plan.tokens, number, plan.timeout);
    let opening = async {
        let response = client.open(&request).await?;
        if response.status() != StatusCode::OK {
            return Err(refusal(response.status(), response.into_body()).await);
        }
        let mut body = response.into_body();
        match body.frame().await {
            Some(Ok(_)) => Ok(body),
            Some(Err(error)) => Err(error.to_string()),
            None => Err("the stream has no events".to_owned()),
        }
    };
    let opened = tokio::time::timeout(plan.timeout, opening).await;
    opened.unwrap_or_else(|_| Err("the stream did not start in time".to_owned()))
}

/// An open stream, either read in a task that counts newlines, or left unread.
#[derive(Debug)]
enum OpenStream {
    Read(JoinHandle<()>, Arc<AtomicU64>),
    Stalled(Incoming),
}

fn hold(mut body: Incoming, stalled: bool) -> OpenStream {
    if stalled {
        return OpenStream::Stalled(body);
    }
    let events = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&events);
    let reading = tokio::spawn(async move {
        while let Some(Ok(frame)) = body.frame().await {
            if let Some(data) = frame.data_ref() {
                let newlines = memchr::memchr_iter(b'\n', data).count() as u64;
                counted.fetch_add(newlines, Relaxed);
            }
        }
    });
    OpenStream::Read(reading, events)
}

impl OpenStream {
    fn is_finished(&self) -> bool {
        match self {
            Self::Read(reading, _) => reading.is_finished(),
            Self::Stalled(_) => false,
        }
    }

    /// Closes the stream and returns the number of events read.
    async fn stop(self) -> u64 {
        match self {
            Self::Read(reading, newlines) => {
                reading.abort();
                drop(reading.await);
                newlines.load(Relaxed) / 2
            }
            Self::Stalled(body) => {
                drop(body);
                0
            }
        }
    }
}

/// Returns an error if any stream failed.
///
/// # Errors
/// Returns the number of failures and the first of them, unless `failures` is empty.
pub(crate) fn check(streams: usize, failures: Vec<String>) -> Result<(), LoadError> {
    let failed = failures.len();
    let Some(example) = failures.into_iter().next() else {
        return Ok(());
    };
    StreamsSnafu {
        failed,
        streams,
        example,
    }
    .fail()
}
