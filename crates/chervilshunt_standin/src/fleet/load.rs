//! Generates mixed load and verifies every response.
//!
//! Arrivals are open-loop: a slow response delays no other request. A request is retried on a
//! randomly chosen instance if the connection could not be opened, or after a refusal with outcome
//! `not_run`. If it may have run, it is retried only if it is idempotent or has an idempotency key.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilshunt_model::Class;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp, Zipf};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use super::deployment::PLAIN_SERVICE;
use super::wait::wait_until;
use crate::check::{
    Api, Call, Client, ClientOptions, CompletionCall, Outcome, PlainCall, Record, RequestPlan,
    Route, Verdict,
};

/// Exponent of the Zipf distribution of adapter popularity.
const SKEW: f64 = 1.1;

/// Tokens requested by most completions.
const TOKENS: Range<u32> = 4..40;

/// Tokens requested by long completions. They take a few seconds at the fleet's default step time,
/// so that faults often occur during streams that keep their adapters in use.
const LONG_TOKENS: Range<u32> = 400..1_200;

/// Upper limit of the wait before a refused request is retried. It is long because a retry before
/// the time given in `Retry-After` is refused again.
const LONGEST_PAUSE: Duration = Duration::from_secs(20);

/// Wait before a retry that needs no `Retry-After`, and before looking again for an instance.
const NEXT_INSTANCE_PAUSE: Duration = Duration::from_millis(50);

/// Parameters of the load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Mean arrival rate, in requests per second.
    pub rate: f64,
    /// Seed of the arrival times and of the choice of adapters, kinds of request and instances.
    pub seed: u64,
    /// The models to request, most popular first.
    pub models: Vec<Arc<str>>,
    /// Percentage of completions that request a long response.
    pub long_percent: u32,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// The client's timeout for one complete response.
    pub timeout: Duration,
}

/// One attempt of a request, with its result.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The id of the instance that it was sent to.
    pub instance: String,
    /// When it ended.
    pub ended: Instant,
    /// Whether no further attempt of the request follows.
    pub last: bool,
    /// The request and its result.
    pub record: Record,
}

/// A load generator that runs until it is stopped.
#[derive(Debug)]
pub struct Load {
    shared: Arc<Shared>,
    arrivals: Option<AbortOnDropHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    options: LoadOptions,
    client: Client,
    instances: Mutex<Vec<(String, SocketAddr)>>,
    models: Mutex<Vec<Arc<str>>>,
    tries: Mutex<Vec<Attempt>>,
    open: AtomicUsize,
}

impl Load {
    /// Starts sending requests to `instances`.
    pub fn start(options: LoadOptions, instances: Vec<(String, SocketAddr)>) -> Self {
        let load = Self::idle(options, instances);
        let arrivals = AbortOnDropHandle::new(tokio::spawn(arrive(Arc::clone(&load.shared))));
        Self {
            arrivals: Some(arrivals),
            ..load
        }
    }

    /// Creates a load generator without arrivals, for sending individual requests.
    pub fn idle(options: LoadOptions, instances: Vec<(String, SocketAddr)>) -> Self {
        // Each request opens a new connection: a pooled one may have been cut meanwhile, and a
        // request sent on it would fail although the system has no fault.
        let client = Client::new(ClientOptions {
            fresh_connections: true,
            ..Default::default()
        });
        let shared = Arc::new(Shared {
            client,
            instances: Mutex::new(instances),
            models: Mutex::new(options.models.clone()),
            tries: Mutex::default(),
            open: AtomicUsize::new(0),
            options,
        });
        Self {
            shared,
            arrivals: None,
        }
    }

    /// Replaces the instances among which requests are distributed.
    pub fn set_instances(&self, instances: Vec<(String, SocketAddr)>) {
        *lock(&self.shared.instances) = instances;
    }

    /// Adds a model as the most popular one.
    pub fn add_model(&self, model: Arc<str>) {
        lock(&self.shared.models).insert(0, model);
    }

    /// Reverses the popularity ranking: the least popular models become the most popular.
    pub fn shift_popularity(&self) {
        lock(&self.shared.models).reverse();
    }

    /// Returns all attempts so far, in the order in which they ended.
    pub fn attempts(&self) -> Vec<Attempt> {
        lock(&self.shared.tries).clone()
    }

    /// Returns the number of requests in flight.
    pub fn open(&self) -> usize {
        self.shared.open.load(Ordering::Relaxed)
    }

    /// Sends one additional request to an instance, without retries, and records the result.
    pub async fn send(&self, instance: &str, req: RequestPlan) -> Verdict {
        self.shared.send_once(instance, req).await
    }

    /// Like [`send`](Self::send), but in a spawned task.
    pub fn spawn(&self, instance: &str, req: RequestPlan) -> JoinHandle<Verdict> {
        let (shared, instance) = (Arc::clone(&self.shared), instance.to_owned());
        tokio::spawn(async move { shared.send_once(&instance, req).await })
    }

    /// Stops arrivals and waits for the requests in flight. Returns whether all ended within `bound`.
    pub async fn stop(&mut self, bound: Duration) -> bool {
        self.arrivals = None;
        let poll = || async { (self.open() == 0).then_some(()) };
        wait_until(bound, poll).await.is_some()
    }
}

impl Shared {
    async fn send_once(&self, instance: &str, req: RequestPlan) -> Verdict {
        let record = self.client.send(req).await;
        let verdict = record.verdict.clone();
        self.record(instance, record, true);
        verdict
    }

    /// Sends a request, retries it as long as that is safe, and records each attempt.
    async fn send_with_retries(&self, mut req: RequestPlan, mut rng: ChaCha8Rng) {
        let mut tries_left = self.options.max_attempts;
        loop {
            let chosen = lock(&self.instances).choose(&mut rng).cloned();
            let Some((instance, address)) = chosen else {
                tokio::time::sleep(NEXT_INSTANCE_PAUSE).await;
                continue;
            };
            req.to = address;
            let record = self.client.send(req.clone()).await;
            tries_left = tries_left.saturating_sub(1);
            let pause = pause_before_retry(&req, &record.verdict).filter(|_| tries_left > 0);
            self.record(&instance, record, pause.is_none());
            let Some(pause) = pause else {
                return;
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn record(&self, instance: &str, record: Record, last: bool) {
        let instance = instance.to_owned();
        let ended = Instant::now();
        lock(&self.tries).push(Attempt {
            instance,
            ended,
            last,
            record,
        });
    }
}

/// Returns the wait before a retry, or `None` if the request must not be retried.
fn pause_before_retry(req: &RequestPlan, verdict: &Verdict) -> Option<Duration> {
    let may_repeat = match &req.call {
        Call::Completion(_) => true,
        Call::Plain(call) => call.idempotent || req.key.is_some(),
    };
    match verdict {
        Verdict::Answered(_) | Verdict::Violated(_) => None,
        Verdict::Disconnected { sent: false, .. } => Some(NEXT_INSTANCE_PAUSE),
        Verdict::Disconnected { sent: true, .. } => may_repeat.then_some(NEXT_INSTANCE_PAUSE),
        Verdict::Refused(refusal) => match refusal.outcome {
            Outcome::NotRun => Some(refusal.retry_after?.min(LONGEST_PAUSE)),
            Outcome::Unknown | Outcome::CutShort => may_repeat.then_some(NEXT_INSTANCE_PAUSE),
        },
    }
}

async fn arrive(shared: Arc<Shared>) {
    let options = &shared.options;
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let Ok(gaps) = Exp::new(options.rate) else {
        return;
    };
    let mut next = Instant::now();
    for number in 0_u64.. {
        next += Duration::from_secs_f64(gaps.sample(&mut rng));
        tokio::time::sleep_until(next).await;
        let models = lock(&shared.models).clone();
        let req = draw(options, &models, number, &mut rng);
        let rng = ChaCha8Rng::seed_from_u64(rng.random());
        let shared = Arc::clone(&shared);
        shared.open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            shared.send_with_retries(req, rng).await;
            shared.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Draws the next request: 75% are completions (20% of all requests are deferrable completions),
/// 25% are calls to the plain service, of which about half have an idempotency key.
fn draw(
    options: &LoadOptions,
    models: &[Arc<str>],
    number: u64,
    rng: &mut ChaCha8Rng,
) -> RequestPlan {
    let id = format!("q{}-{number}", options.seed);
    let rank = Zipf::new(models.len() as f64, SKEW).map_or(1.0, |zipf| zipf.sample(rng));
    let model = &models[(rank as usize).clamp(1, models.len()) - 1];
    let long = rng.random_range(0..100) < options.long_percent;
    let tokens = rng.random_range(if long { LONG_TOKENS } else { TOKENS });
    let mut req = match rng.random_range(0..100) {
        0..45 => completion(&id, model, tokens, Api::Text, true),
        45..55 => completion(&id, model, tokens, Api::Chat, false),
        55..75 => {
            let req = completion(&id, model, tokens, Api::Chat, true);
            RequestPlan {
                class: Class::Deferrable,
                ..req
            }
        }
        75..87 => entry(&id, true),
        _ => entry(&id, false),
    };
    req.timeout = options.timeout;
    req
}

/// Builds the plan of a completion. The caller must set the address.
pub fn completion(id: &str, model: &str, tokens: u32, api: Api, stream: bool) -> RequestPlan {
    plan(
        id,
        Call::Completion(CompletionCall {
            model: model.into(),
            api,
            stream,
            max_tokens: tokens,
            prompt: format!("What is missing for {id}?").into(),
        }),
    )
}

/// Builds the plan of a call that may run at most once, with or without an idempotency key. The
/// caller must set the address.
pub fn entry(id: &str, keyed: bool) -> RequestPlan {
    let call = Call::Plain(PlainCall {
        service: PLAIN_SERVICE.into(),
        path: "/entries".into(),
        body: format!("entry {id}").into(),
        idempotent: false,
    });
    RequestPlan {
        key: keyed.then(|| id.into()),
        ..plan(id, call)
    }
}

fn plan(id: &str, call: Call) -> RequestPlan {
    RequestPlan {
        to: SocketAddr::from(([127, 0, 0, 1], 0)),
        route: Route::System,
        request_id: id.into(),
        call,
        class: Class::Live,
        key: None,
        deadline: None,
        timeout: Duration::from_secs(30),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
