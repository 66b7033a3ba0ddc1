//! Watches, which stream changes and bookmarks as JSON lines until the client or a fault ends them.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde_json::json;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use super::answer::{AnswerBody, status_json};
use super::faults::{Down, Faults};
use super::handler::Api;
use super::path::{Collection, Selector};
use super::stats::OpenWatch;
use super::store::{Change, StoreError, StoredObject};

/// Number of events buffered for a client that reads slowly.
const BUFFERED_EVENTS: usize = 64;

/// A client's watch on one collection.
pub(crate) struct WatchSession {
    pub(crate) api: Arc<Api>,
    pub(crate) collection: Collection,
    pub(crate) selector: Selector,
    pub(crate) instance: String,
    pub(crate) bookmarks: bool,
    pub(crate) from: u64,
    pub(crate) ends_at: Option<Instant>,
}

/// The reason why a watch ends.
enum End {
    /// The client disconnected, or the requested duration has elapsed.
    Closed,
    /// A fault breaks the connection.
    Broken,
    /// The watch's current revision is no longer in the history, or the `expire_watches` fault ends
    /// the watch.
    Expired,
}

impl WatchSession {
    /// Starts the watch and returns the streaming response.
    pub(crate) fn start(self) -> Response<AnswerBody> {
        let (tx, rx) = mpsc::channel(BUFFERED_EVENTS);
        let guard = self.api.counters.open_watch();
        tokio::spawn(self.run(tx, guard));
        let frames = stream::unfold(rx, async |mut rx| Some((rx.recv().await?, rx)));
        let mut answer = Response::new(BodyExt::boxed(StreamBody::new(frames)));
        answer.headers_mut().insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/json"),
        );
        answer
    }

    async fn run(self, tx: mpsc::Sender<io::Result<Frame<Bytes>>>, _guard: OpenWatch) {
        let lines = LineSender { tx };
        match self.follow(&lines).await {
            End::Closed => {}
            End::Broken => lines.break_off().await,
            End::Expired => {
                let gone = status_json(StatusCode::GONE, "Expired", "too old resource version");
                let _sent = lines.send("ERROR", &gone).await;
            }
        }
    }

    async fn follow(&self, lines: &LineSender) -> End {
        let mut faults = self.api.faults.subscribe();
        let mut written = self.api.written.subscribe();
        let mut at = self.from;
        let mut next_bookmark = Instant::now() + self.api.bookmark_interval;
        loop {
            let state = faults.borrow_and_update().clone();
            if let Some(end) = self.end_by(&state) {
                return end;
            }
            if state.freeze && state.hits(&self.instance) {
                if !lines.wait_for_change(&mut faults).await {
                    return End::Closed;
                }
                continue;
            }
            written.borrow_and_update();
            let Ok(visible) = self.read(at, &state) else {
                return End::Expired;
            };
            at = visible.upto;
            let bookmark_due = self.bookmarks && Instant::now() >= next_bookmark;
            if !self.send_events(lines, &visible, bookmark_due).await {
                return End::Closed;
            }
            if Instant::now() >= next_bookmark {
                next_bookmark = Instant::now() + self.api.bookmark_interval;
            }
            let wake_at = [visible.next_visible, self.ends_at].into_iter().flatten();
            let wake_at = wake_at.fold(next_bookmark, Instant::min);
            tokio::select! {
                changed = written.changed() => if changed.is_err() { return End::Closed },
                changed = faults.changed() => if changed.is_err() { return End::Closed },
                () = lines.closed() => return End::Closed,
                () = sleep_until(wake_at) => {}
            }
            if self.ends_at.is_some_and(|end| Instant::now() >= end) {
                return End::Closed;
            }
        }
    }

    /// Returns the reason for ending the watch if a fault in effect ends it.
    fn end_by(&self, faults: &Faults) -> Option<End> {
        let hit = faults.hits(&self.instance);
        if faults.cuts(&self.instance) || (hit && faults.down == Down::Unavailable) {
            return Some(End::Broken);
        }
        (hit && faults.expire_watches).then_some(End::Expired)
    }

    /// Sends the events that were read, and a bookmark if `bookmark` is set. Returns whether the
    /// client is still connected.
    async fn send_events(
        &self,
        lines: &LineSender,
        visible: &VisibleChanges,
        bookmark: bool,
    ) -> bool {
        for event in &visible.events {
            if !lines.send(event.kind, &event.object.json).await {
                return false;
            }
        }
        !bookmark || lines.send("BOOKMARK", &self.bookmark(visible.upto)).await
    }

    /// Reads the events that became visible after revision `at`.
    fn read(&self, at: u64, faults: &Faults) -> Result<VisibleChanges, StoreError> {
        let lag = self.api.lag(&self.collection, faults, &self.instance);
        let hit = faults.hits(&self.instance);
        let store = self.api.store();
        let now = Instant::now();
        let upto = match lag {
            Duration::ZERO => store.revision(),
            lag => now
                .checked_sub(lag)
                .map_or(at, |seen| store.revision_at(seen))
                .max(at),
        };
        let changes = store.changes_after(&self.collection, at)?;
        let events = changes
            .take_while(|change| change.revision <= upto)
            .filter(|change| !(hit && change.hidden))
            .filter_map(|change| self.event(change))
            .collect();
        let next_visible = store
            .next_write_after(upto)
            .map(|write| write + lag)
            .filter(|_| lag > Duration::ZERO);
        Ok(VisibleChanges {
            events,
            upto,
            next_visible,
        })
    }

    /// Returns the event that a change causes on this watch, considering its selector.
    fn event(&self, change: &Change) -> Option<Event> {
        let matching = |object: &Option<Arc<StoredObject>>| {
            let object = object.as_ref()?;
            self.selector
                .matches(&object.labels)
                .then(|| Arc::clone(object))
        };
        let (kind, object) = match (matching(&change.before), matching(&change.after)) {
            (None, None) => return None,
            (None, Some(after)) => ("ADDED", after),
            (Some(_), Some(after)) => ("MODIFIED", after),
            (Some(before), None) => {
                let last = change.deleted.as_ref().or(change.after.as_ref());
                ("DELETED", last.map_or(before, Arc::clone))
            }
        };
        Some(Event { kind, object })
    }

    fn bookmark(&self, revision: u64) -> String {
        json!({
            "apiVersion": self.collection.api_version(),
            "metadata": { "resourceVersion": revision.to_string() },
        })
        .to_string()
    }
}

/// The result of one read from the store.
struct VisibleChanges {
    events: Vec<Event>,
    upto: u64,
    /// The time when the next delayed write becomes visible.
    next_visible: Option<Instant>,
}

struct Event {
    kind: &'static str,
    object: Arc<StoredObject>,
}

/// The stream of JSON lines to the client.
struct LineSender {
    tx: mpsc::Sender<io::Result<Frame<Bytes>>>,
}

impl LineSender {
    /// Sends an event and returns whether the client is still connected.
    async fn send(&self, kind: &str, object: &str) -> bool {
        let line = format!("{{\"type\":\"{kind}\",\"object\":{object}}}\n");
        self.tx.send(Ok(Frame::data(line.into()))).await.is_ok()
    }

    async fn break_off(&self) {
        let broken = io::Error::from(io::ErrorKind::ConnectionReset);
        let _sent = self.tx.send(Err(broken)).await;
    }

    /// Waits until the faults change and returns whether the client is still connected.
    async fn wait_for_change(&self, faults: &mut watch::Receiver<Faults>) -> bool {
        tokio::select! {
            changed = faults.changed() => changed.is_ok(),
            () = self.closed() => false,
        }
    }

    async fn closed(&self) {
        self.tx.closed().await;
    }
}
