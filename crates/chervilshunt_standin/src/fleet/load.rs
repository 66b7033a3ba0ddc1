//! Mixed load from callers who check every answer.
//!
//! Arrivals are open-loop: a slow answer holds up no other request. A caller goes to another
//! instance where a connection is not taken, comes back after a refusal that says `not_run`, and
//! repeats what may have run only if it is idempotent or has a key.

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

/// How uneven the popularity of adapters is.
const SKEW: f64 = 1.1;

/// Tokens of most answers.
const TOKENS: Range<u32> = 4..40;

/// Tokens of a long answer: a few seconds at the fleet's usual step, so that many a fault meets
/// streams that pin their adapters.
const LONG_TOKENS: Range<u32> = 400..1_200;

/// The longest wait before a refused request comes back: whoever comes back before the time that
/// the refusal names is refused again.
const LONGEST_PAUSE: Duration = Duration::from_secs(20);

/// The wait before a caller tries another instance.
const NEXT_INSTANCE_PAUSE: Duration = Duration::from_millis(50);

/// What load to make.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Requests a second.
    pub rate: f64,
    /// Seeds arrivals, adapters, kinds and instances.
    pub seed: u64,
    /// The models asked for, the most popular first.
    pub models: Vec<Arc<str>>,
    /// Of a hundred requests, how many ask for a long answer if they are completions.
    pub long_percent: u32,
    /// How often a request is sent at most.
    pub tries: u32,
    /// How long a caller waits for the end of one answer.
    pub patience: Duration,
}

/// One try of a request with what became of it.
#[derive(Clone, Debug)]
pub struct Try {
    /// The instance that it was sent to.
    pub instance: String,
    /// When it ended.
    pub ended: Instant,
    /// Whether the caller leaves it at that.
    pub last: bool,
    /// What became of it.
    pub record: Record,
}

/// Load that runs until it is stopped.
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
    tries: Mutex<Vec<Try>>,
    open: AtomicUsize,
}

impl Load {
    /// Starts to send requests to these instances.
    pub fn start(options: LoadOptions, instances: Vec<(String, SocketAddr)>) -> Self {
        let load = Self::idle(options, instances);
        let arrivals = AbortOnDropHandle::new(tokio::spawn(arrive(Arc::clone(&load.shared))));
        Self {
            arrivals: Some(arrivals),
            ..load
        }
    }

    /// Makes load without arrivals, to send requests one by one.
    pub fn idle(options: LoadOptions, instances: Vec<(String, SocketAddr)>) -> Self {
        // A connection for each request: one that is kept may have been cut meanwhile, and the
        // request sent on it would end in an error that no fault of the system explains.
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

    /// Replaces the instances that requests are balanced over.
    pub fn set_instances(&self, instances: Vec<(String, SocketAddr)>) {
        *lock(&self.shared.instances) = instances;
    }

    /// Makes a model the most popular one.
    pub fn add_model(&self, model: Arc<str>) {
        lock(&self.shared.models).insert(0, model);
    }

    /// Turns popularity round: the coldest models become the busiest.
    pub fn shift_popularity(&self) {
        lock(&self.shared.models).reverse();
    }

    /// Returns every try so far, in the order in which they ended.
    pub fn tries(&self) -> Vec<Try> {
        lock(&self.shared.tries).clone()
    }

    /// Returns the number of requests that wait for their end.
    pub fn open(&self) -> usize {
        self.shared.open.load(Ordering::Relaxed)
    }

    /// Sends one request beside the load to an instance, and notes what became of it.
    pub async fn send(&self, instance: &str, req: RequestPlan) -> Verdict {
        self.shared.send_once(instance, req).await
    }

    /// Does the same on a task of its own.
    pub fn spawn(&self, instance: &str, req: RequestPlan) -> JoinHandle<Verdict> {
        let (shared, instance) = (Arc::clone(&self.shared), instance.to_owned());
        tokio::spawn(async move { shared.send_once(&instance, req).await })
    }

    /// Stops arrivals and waits for every request to end; says whether all have within `bound`.
    pub async fn stop(&mut self, bound: Duration) -> bool {
        self.arrivals = None;
        let look = || async { (self.open() == 0).then_some(()) };
        wait_until(bound, look).await.is_some()
    }
}

impl Shared {
    async fn send_once(&self, instance: &str, req: RequestPlan) -> Verdict {
        let record = self.client.send(req).await;
        let verdict = record.verdict.clone();
        self.note(instance, record, true);
        verdict
    }

    /// Sends a request, again and again as far as that is safe, and notes each try.
    async fn follow(&self, mut req: RequestPlan, mut rng: ChaCha8Rng) {
        let mut tries_left = self.options.tries;
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
            self.note(&instance, record, pause.is_none());
            let Some(pause) = pause else {
                return;
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn note(&self, instance: &str, record: Record, last: bool) {
        let instance = instance.to_owned();
        let ended = Instant::now();
        lock(&self.tries).push(Try {
            instance,
            ended,
            last,
            record,
        });
    }
}

/// Returns how long to wait before a request may be sent again; none if it may not.
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
            shared.follow(req, rng).await;
            shared.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Draws the next request: three quarters completions, a fifth of all deferrable, the rest calls
/// of the plain service of which half have a key.
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
    req.patience = options.patience;
    req
}

/// Plans a completion; where it goes is yet to be filled in.
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

/// Plans a call that may run at most once, with or without a key.
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
        patience: Duration::from_secs(30),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
