//! A stand-in for the platform's store: objects with revisions, conditional writes, lists and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head, write_answer};
use crate::json::{Json, quote};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    spec: String,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    spec: String,
    deleted: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
    is_silent: bool,
    /// How often the store has fallen silent.
    silences: usize,
}

/// The store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn object_text(name: &str, revision: u64, spec: &str) -> String {
    let name = quote(name);
    format!("{{\"metadata\":{{\"name\":{name},\"revision\":{revision}}},\"spec\":{spec}}}")
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object unconditionally, as operators and replicas do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.put_if(kind, name, spec, |_| true);
    }

    /// Writes an object if its present revision, if it exists, meets a condition. Returns whether it does, and the
    /// object as it is then.
    fn put_if(
        &self,
        kind: &str,
        name: &str,
        spec: &str,
        may_write: impl FnOnce(Option<u64>) -> bool,
    ) -> (bool, Option<Object>) {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        if !may_write(known.as_ref().map(|it| it.revision)) {
            return (false, known);
        }
        if known.as_ref().is_some_and(|it| it.spec == spec) {
            return (true, known);
        }
        state.revision += 1;
        let revision = state.revision;
        let spec = spec.to_owned();
        let object = Object {
            revision,
            spec: spec.clone(),
        };
        state.objects.insert(key, object.clone());
        let (kind, name) = (kind.to_owned(), name.to_owned());
        state.history.push(Change {
            revision,
            kind,
            name,
            spec,
            deleted: false,
        });
        drop(state);
        self.shared.1.notify_all();
        (true, Some(object))
    }

    /// Has the store accept calls and answer none, those that wait neither.
    pub fn set_silent(&self, is_silent: bool) {
        let mut state = self.lock();
        state.is_silent = is_silent;
        state.silences += usize::from(is_silent);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        let removed = state.objects.remove(&(kind.to_owned(), name.to_owned()));
        if let Some(removed) = removed {
            state.revision += 1;
            let revision = state.revision;
            let (kind, name) = (kind.to_owned(), name.to_owned());
            let spec = removed.spec;
            state.history.push(Change {
                revision,
                kind,
                name,
                spec,
                deleted: true,
            });
        }
        drop(state);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else {
                return;
            };
            let silences = self.lock().silences;
            let (method, target) = head.request_line();
            let (status, answer) = self.answer(method, target, &String::from_utf8_lossy(&body));
            thread::sleep(ANSWER_TIME);
            let is_lost = {
                let state = self.lock();
                state.is_silent || state.silences != silences
            };
            // A connection on which an answer is lost brings nothing further.
            while is_lost {
                thread::sleep(Duration::from_secs(60));
            }
            let headers = [("Content-Type", "application/json".to_owned())];
            if write_answer(&mut stream, status, &headers, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .collect();
        let path = path.strip_prefix("/objects/").unwrap_or(path);
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        match (method, name) {
            ("GET", None) => match query.get("watch").and_then(|it| it.parse().ok()) {
                Some(from) => {
                    let wait = query.get("wait_ms").and_then(|it| it.parse().ok());
                    self.watch(kind, from, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.list(kind),
            },
            ("GET", Some(name)) => self.get(kind, name),
            ("POST", None) => self.create(kind, body),
            ("PUT", Some(name)) => self.replace(kind, name, body),
            ("DELETE", Some(name)) => {
                self.remove(kind, name);
                ("200 OK", "{}".to_owned())
            }
            _ => ("400 Bad Request", "null".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let state = self.lock();
        let objects = state.objects.iter().filter(|((it, _), _)| it == kind);
        let items: Vec<String> = objects
            .map(|((_, name), it)| object_text(name, it.revision, &it.spec))
            .collect();
        let items = items.join(",");
        let as_of = state.revision;
        (
            "200 OK",
            format!("{{\"items\":[{items}],\"has_more\":false,\"as_of\":{as_of}}}"),
        )
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (&'static str, String) {
        let ends = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let events = state.history.iter();
            let events = events.filter(|it| it.revision > from && it.kind == kind);
            let events: Vec<String> = events
                .map(|it| {
                    let object = object_text(&it.name, it.revision, &it.spec);
                    format!("{{\"object\":{object},\"deleted\":{}}}", it.deleted)
                })
                .collect();
            let left = ends.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                return (
                    "200 OK",
                    format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"),
                );
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn get(&self, kind: &str, name: &str) -> (&'static str, String) {
        let state = self.lock();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(it) => ("200 OK", object_text(name, it.revision, &it.spec)),
            None => ("404 Not Found", "null".to_owned()),
        }
    }

    fn create(&self, kind: &str, body: &str) -> (&'static str, String) {
        let body = Json::read(body).unwrap_or(Json::Null);
        let metadata = body.get("metadata");
        let name = metadata.and_then(|it| it.get("name")).and_then(Json::text);
        let (Some(name), Some(spec)) = (name, body.get("spec")) else {
            return ("400 Bad Request", "null".to_owned());
        };
        self.written(
            name,
            self.put_if(kind, name, &spec.write(), |known| known.is_none()),
        )
    }

    fn replace(&self, kind: &str, name: &str, body: &str) -> (&'static str, String) {
        let body = Json::read(body).unwrap_or(Json::Null);
        let metadata = body.get("metadata");
        let revision = metadata
            .and_then(|it| it.get("revision"))
            .and_then(Json::number);
        let Some(spec) = body.get("spec") else {
            return ("400 Bad Request", "null".to_owned());
        };
        let may_write =
            |known: Option<u64>| known.is_some() && (revision.is_none() || revision == known);
        self.written(name, self.put_if(kind, name, &spec.write(), may_write))
    }

    fn written(
        &self,
        name: &str,
        (is_written, object): (bool, Option<Object>),
    ) -> (&'static str, String) {
        let status = if is_written { "200 OK" } else { "409 Conflict" };
        match object {
            Some(it) => (status, object_text(name, it.revision, &it.spec)),
            None => ("404 Not Found", "null".to_owned()),
        }
    }
}
