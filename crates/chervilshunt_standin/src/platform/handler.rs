//! Handling of one call to the object API: faults are applied first, then the operation, then the
//! response is sent.

use std::io;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::answer::{AnswerBody, failure, json_answer, list_json, refusal};
use super::call::{Call, Verb, instance_of, shape_of};
use super::faults::{Down, FaultPatch, Faults};
use super::path::{Collection, ObjectPath, Query};
use super::rate::RateWindow;
use super::stats::Counters;
use super::store::{Store, StoreError, StoredObject, Write};
use super::watch::WatchSession;

/// Maximum size of an object, in bytes.
const MAX_OBJECT_BYTES: usize = 1024 * 1024;

/// The plural of the resource that `instance_list_lag_ms` delays.
const INSTANCE_LIST: &str = "endpointslices";

/// The state shared by all connections.
#[derive(Debug)]
pub(crate) struct Api {
    store: Mutex<Store>,
    pub(crate) faults: watch::Sender<Faults>,
    /// Updated with the new revision after each write; wakes the watches.
    pub(crate) written: watch::Sender<u64>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) bookmark_interval: Duration,
    rates: Mutex<[RateWindow; 2]>,
    rng: Mutex<ChaCha8Rng>,
}

/// The result of a call; an error closes the connection without a response.
pub(crate) type CallResult = io::Result<Response<AnswerBody>>;

impl Api {
    pub(crate) fn new(history: usize, bookmark_interval: Duration, seed: u64) -> Self {
        Self {
            store: Mutex::new(Store::new(history)),
            faults: watch::Sender::default(),
            written: watch::Sender::default(),
            counters: Arc::default(),
            bookmark_interval,
            rates: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Locks the store. The guard must not be held across an await.
    pub(crate) fn store(&self) -> MutexGuard<'_, Store> {
        lock(&self.store)
    }

    /// Handles one call.
    pub(crate) async fn handle(self: Arc<Self>, req: Request<Incoming>) -> CallResult {
        if req.uri().path().starts_with("/standin/") {
            return self.control(req).await;
        }
        let Some(path) = ObjectPath::parse(req.uri().path()) else {
            let message = "there is no such path below the API server";
            return Ok(failure(StatusCode::NOT_FOUND, "NotFound", message));
        };
        let query = match Query::parse(req.uri().query().unwrap_or_default()) {
            Ok(query) => query,
            Err(problem) => {
                return Ok(failure(StatusCode::BAD_REQUEST, "BadRequest", &problem));
            }
        };
        let Some(verb) = Verb::of(req.method(), &path, &query) else {
            let message = "the resource does not take this method";
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Ok(failure(status, "MethodNotAllowed", message));
        };
        let instance = instance_of(req.headers());
        self.counters
            .call(verb.as_str(), &path.collection.plural, &instance);
        let tables = self.faults.borrow().tables;
        let shape = shape_of(req.headers(), &path.collection, tables);
        let call = Call {
            verb,
            path,
            query,
            instance,
            shape,
        };
        if self.faults.borrow().cuts(&call.instance) {
            return Err(broken());
        }
        let body = match read_body(req).await? {
            Ok(body) => body,
            Err(answer) => return Ok(*answer),
        };
        // A write continues after its client disconnects, as in a server that was slow or
        // suspended: a write that the client has given up on may still take effect.
        let task = tokio::spawn(self.call(call, body));
        task.await.unwrap_or_else(|_err| Err(broken()))
    }

    async fn call(self: Arc<Self>, call: Call, body: Value) -> CallResult {
        if let Some(answer) = self.apply_faults(&call).await? {
            return Ok(answer);
        }
        match call.verb {
            Verb::Get => Ok(self.get(&call)),
            Verb::List => Ok(self.list(&call)),
            Verb::Watch => Ok(self.watch(call)),
            Verb::Create | Verb::Update | Verb::Delete => self.write(&call, body),
        }
    }

    /// Applies the faults that precede the call's operation, and returns the error response if the
    /// call fails by one of them.
    async fn apply_faults(&self, call: &Call) -> io::Result<Option<Response<AnswerBody>>> {
        let mut faults = self.faults.subscribe();
        let frozen = |faults: &Faults| faults.freeze && faults.hits(&call.instance);
        let thawed = faults.wait_for(|faults| !frozen(faults)).await;
        let state = thawed.map_err(|_closed| broken())?.clone();
        if !state.hits(&call.instance) {
            return Ok(None);
        }
        if state.slow_ms > 0 {
            sleep(Duration::from_millis(state.slow_ms)).await;
        }
        let failed = state.down == Down::Unavailable
            || (state.fail_ratio > 0.0 && lock(&self.rng).random::<f64>() < state.fail_ratio);
        if failed {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let message = "the platform is unavailable";
            return Ok(Some(failure(status, "ServiceUnavailable", message)));
        }
        let per_second = if call.verb.writes() {
            state.writes_per_second
        } else {
            state.reads_per_second
        };
        let window = usize::from(call.verb.writes());
        if !lock(&self.rates)[window].admits(per_second, Instant::now()) {
            let status = StatusCode::TOO_MANY_REQUESTS;
            let message = "too many calls";
            return Ok(Some(failure(status, "TooManyRequests", message)));
        }
        Ok(None)
    }

    fn get(&self, call: &Call) -> Response<AnswerBody> {
        let faults = self.faults.borrow().clone();
        let name = call.name();
        let at = self.read_revision(call, &faults, faults.stale_gets);
        match self.store().get(&call.path.collection, name, at) {
            Ok(object) => json_answer(StatusCode::OK, call.object_json(&object)),
            Err(err) => refusal(&call.path.collection, name, &err),
        }
    }

    fn list(&self, call: &Call) -> Response<AnswerBody> {
        let faults = self.faults.borrow().clone();
        let collection = &call.path.collection;
        let at = self.read_revision(call, &faults, faults.stale_reads);
        let query = &call.query;
        let listed = self.store().list(
            collection,
            &query.selector,
            query.limit,
            query.after.as_ref(),
            at,
        );
        match listed {
            Ok(page) => {
                let text = list_json(collection, &page, call.shape);
                json_answer(StatusCode::OK, text)
            }
            Err(err) => refusal(collection, "", &err),
        }
    }

    fn watch(self: Arc<Self>, call: Call) -> Response<AnswerBody> {
        let collection = call.path.collection;
        let from = call
            .query
            .resource_version
            .unwrap_or_else(|| self.store().revision());
        let expired = {
            let faults = self.faults.borrow();
            faults.expire_watches && faults.hits(&call.instance)
        };
        if expired || self.store().changes_after(&collection, from).is_err() {
            return refusal(&collection, "", &StoreError::Expired);
        }
        let ends_at = call.query.timeout_seconds;
        let ends_at = ends_at.map(|seconds| Instant::now() + Duration::from_secs(seconds));
        let session = WatchSession {
            api: self,
            collection,
            selector: call.query.selector,
            instance: call.instance,
            bookmarks: call.query.bookmarks,
            from,
            ends_at,
        };
        session.start()
    }

    fn write(&self, call: &Call, body: Value) -> CallResult {
        let written = self.apply(call, body);
        let name = call.name();
        let object = match written {
            Ok(object) => object,
            Err(err) => return Ok(refusal(&call.path.collection, name, &err)),
        };
        self.counters.writes.fetch_add(1, Ordering::Relaxed);
        let revision = self.store().revision();
        self.written.send_replace(revision);
        if self.loses_answer(call) {
            return Err(broken());
        }
        let status = match call.verb {
            Verb::Create => StatusCode::CREATED,
            Verb::Get | Verb::List | Verb::Watch | Verb::Update | Verb::Delete => StatusCode::OK,
        };
        Ok(json_answer(status, call.object_json(&object)))
    }

    fn apply(&self, call: &Call, body: Value) -> Result<Arc<StoredObject>, StoreError> {
        let collection = &call.path.collection;
        let mut store = self.store();
        let hidden = self.faults.borrow().watch_gap > 0;
        let write = Write {
            at: Instant::now(),
            hidden,
        };
        let written = match call.verb {
            Verb::Create => store.create(collection, body, write),
            Verb::Update => store.update(collection, call.name(), body, write),
            Verb::Delete => {
                let expected = &body["preconditions"]["resourceVersion"];
                let expected = expected.as_str().and_then(|text| text.parse().ok());
                store.delete(collection, call.name(), expected, write)
            }
            Verb::Get | Verb::List | Verb::Watch => Err(StoreError::NotFound),
        };
        if hidden && written.is_ok() {
            self.faults.send_modify(|faults| faults.watch_gap -= 1);
        }
        written
    }

    fn loses_answer(&self, call: &Call) -> bool {
        let mut lost = false;
        self.faults.send_if_modified(|faults| {
            lost = faults.loses_answer(&call.instance, &call.path.collection.plural);
            lost
        });
        lost
    }

    /// Returns the revision that a read shows. It is older than the current one if the collection
    /// lags or the read is stale.
    fn read_revision(&self, call: &Call, faults: &Faults, stale: u64) -> u64 {
        let store = self.store();
        let collection = &call.path.collection;
        let lag = self.lag(collection, faults, &call.instance);
        let visible = match lag {
            Duration::ZERO => store.revision(),
            lag => Instant::now()
                .checked_sub(lag)
                .map_or(1, |seen| store.revision_at(seen)),
        };
        if stale == 0 || !faults.hits(&call.instance) {
            return visible;
        }
        visible.min(store.revision_before(collection, stale))
    }

    /// Returns the delay until readers see a write to a collection.
    pub(crate) fn lag(&self, collection: &Collection, faults: &Faults, instance: &str) -> Duration {
        if collection.plural == INSTANCE_LIST && faults.hits(instance) {
            Duration::from_millis(faults.instance_list_lag_ms)
        } else {
            Duration::ZERO
        }
    }

    async fn control(&self, req: Request<Incoming>) -> CallResult {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        match (&method, path.as_str()) {
            (&Method::POST, "/standin/faults") => {
                let body = match read_body(req).await? {
                    Ok(body) => body,
                    Err(answer) => return Ok(*answer),
                };
                match serde_json::from_value::<FaultPatch>(body) {
                    Ok(patch) => self.faults.send_modify(|faults| faults.merge(patch)),
                    Err(err) => {
                        let problem = err.to_string();
                        let status = StatusCode::BAD_REQUEST;
                        return Ok(failure(status, "BadRequest", &problem));
                    }
                }
                Ok(as_json(&*self.faults.borrow()))
            }
            (&Method::GET, "/standin/faults") => Ok(as_json(&*self.faults.borrow())),
            (&Method::GET, "/standin/stats") => Ok(as_json(&self.counters.snapshot())),
            _ => Ok(failure(
                StatusCode::NOT_FOUND,
                "NotFound",
                "the stand-in has /standin/faults and /standin/stats",
            )),
        }
    }
}

/// Reads a JSON body; an empty body yields null. The inner error is the response to an invalid
/// body.
async fn read_body(req: Request<Incoming>) -> io::Result<Result<Value, Box<Response<AnswerBody>>>> {
    let bytes = match Limited::new(req.into_body(), MAX_OBJECT_BYTES)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            let message = "the object is larger than 1 MiB";
            let answer = failure(status, "RequestEntityTooLarge", message);
            return Ok(Err(Box::new(answer)));
        }
        Err(err) => return Err(io::Error::other(err)),
    };
    if bytes.is_empty() {
        return Ok(Ok(Value::Null));
    }
    Ok(serde_json::from_slice(&bytes).map_err(|err| {
        let problem = format!("the body is not valid JSON: {err}");
        Box::new(failure(StatusCode::BAD_REQUEST, "BadRequest", &problem))
    }))
}

fn as_json(value: &impl serde::Serialize) -> Response<AnswerBody> {
    let text = serde_json::to_string(value).unwrap_or_default();
    json_answer(StatusCode::OK, text)
}

fn broken() -> io::Error {
    io::ErrorKind::ConnectionReset.into()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
