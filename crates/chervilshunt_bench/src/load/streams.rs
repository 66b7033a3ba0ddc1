//! What an instance's memory does with many open streams.

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
use super::process::Watched;
use super::relay::refusal;

/// Streams that are being opened at a time; a burst of all would measure the burst.
const OPENING: usize = 32;

/// How often memory is read.
const SAMPLE_PERIOD: Duration = Duration::from_millis(100);

/// Streams that are held open.
#[derive(Clone, Debug)]
pub struct OpenStreamsPlan {
    /// The instance.
    pub entry: SocketAddr,
    /// Its process.
    pub pid: u32,
    /// Models that the streams ask for in turn.
    pub models: Vec<Arc<str>>,
    /// Streams at a time.
    pub streams: usize,
    /// Tokens of each stream; enough that none ends while the streams are held.
    pub tokens: u32,
    /// How long all streams are held open.
    pub hold: Duration,
    /// Whether the streams are left unread, as by callers that have stalled.
    pub stalled: bool,
    /// The time after which the opening of streams is given up.
    pub patience: Duration,
}

/// What memory was used.
#[derive(Clone, Debug, Serialize)]
pub struct OpenStreamsReport {
    /// Streams that were open.
    pub streams: usize,
    /// Whether they were left unread.
    pub stalled: bool,
    /// Resident memory before, in KiB.
    pub before_kib: u64,
    /// The most resident memory while all streams were open, in KiB.
    pub peak_kib: u64,
    /// What each stream added, in KiB.
    pub kib_per_stream: f64,
    /// Events read while all were open.
    pub events: u64,
}

/// Opens all streams, holds them and reads the instance's memory.
///
/// # Errors
/// Fails if a stream can't be opened or ends too early, or the process can't be read.
pub async fn open_streams(plan: OpenStreamsPlan) -> Result<OpenStreamsReport, LoadError> {
    let watched = Watched(plan.pid);
    let before_kib = watched.resident_kib()?;
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
        peak_kib = peak_kib.max(watched.resident_kib()?);
    }
    let ended = readers.iter().filter(|reader| reader.is_finished()).count();
    check(
        plan.streams,
        vec!["it ended while it was held".to_owned(); ended],
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

/// Makes the plan of a stream that is measured rather than checked.
pub(crate) fn stream_plan(
    to: SocketAddr,
    model: &Arc<str>,
    tokens: u32,
    number: usize,
    patience: Duration,
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
        deadline: Some(patience),
        timeout: patience,
    }
}

/// Opens a stream and waits for its first bytes.
async fn open(client: Client, plan: OpenStreamsPlan, number: usize) -> Result<Incoming, String> {
    let model = &plan.models[number % plan.models.len()];
    let request = stream_plan(plan.entry, model, plan.tokens, number, plan.patience);
    let opening = async {
        let response = client.open(&request).await?;
        if response.status() != StatusCode::OK {
            return Err(refusal(response.status(), response.into_body()).await);
        }
        let mut body = response.into_body();
        match body.frame().await {
            Some(Ok(_)) => Ok(body),
            Some(Err(error)) => Err(error.to_string()),
            None => Err("it has no events".to_owned()),
        }
    };
    let opened = tokio::time::timeout(plan.patience, opening).await;
    opened.unwrap_or_else(|_| Err("it did not begin in time".to_owned()))
}

/// A stream that is held open.
#[derive(Debug)]
enum Held {
    Read(JoinHandle<()>, Arc<AtomicU64>),
    Stalled(Incoming),
}

fn hold(mut body: Incoming, stalled: bool) -> Held {
    if stalled {
        return Held::Stalled(body);
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
    Held::Read(reading, events)
}

impl Held {
    fn is_finished(&self) -> bool {
        match self {
            Self::Read(reading, _) => reading.is_finished(),
            Self::Stalled(_) => false,
        }
    }

    /// Closes the stream and returns the events that were read of it.
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

/// Fails if any stream did.
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
