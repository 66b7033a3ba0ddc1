//! The software versions at which streams began.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::dispatch::SoftwareVersion;

/// The longest time for which a stream is remembered. Callers that wait longer have to begin anew.
pub(super) const MAX_LIFETIME: Duration = Duration::from_secs(120);
/// Time between a caller's deadline and the moment at which its stream is forgotten.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);
/// Time after which a generation of streams is closed.
const GENERATION_TIME: Duration = Duration::from_secs(60);
/// The number of streams after which a generation is closed earlier, which bounds the memory.
const GENERATION_STREAMS: usize = 100_000;
/// The number of streams in one message, so that other messages are not delayed by it.
const STREAMS_PER_MESSAGE: usize = 1_000;

/// Identifies a stream by the caller's attempt that brought its first event, and by its team: another
/// team's attempt of the same id is another stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Creates the key of an attempt.
    pub fn new(attempt: &str, team: Option<&str>) -> Self {
        let mut hasher = Xxh3Default::new();
        hasher.update(&(attempt.len() as u64).to_le_bytes());
        hasher.update(attempt.as_bytes());
        if let Some(team) = team {
            hasher.update(team.as_bytes());
        }
        Self(hasher.digest())
    }
}

impl From<u64> for StreamKey {
    fn from(hash: u64) -> Self {
        Self(hash)
    }
}

impl From<StreamKey> for u64 {
    fn from(key: StreamKey) -> Self {
        key.0
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service of the target that began it.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The version of that target's software.
    #[serde(rename = "r")]
    pub software: SoftwareVersion,
}

/// Streams that have begun at the same service and software version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStreams {
    /// Where they began.
    #[serde(rename = "o")]
    pub origin: StreamOrigin,
    /// The streams, with the time for which to remember each, in seconds.
    #[serde(rename = "k")]
    pub streams: Vec<(StreamKey, u16)>,
}

/// A remembered stream.
#[derive(Clone, Debug)]
struct Remembered {
    origin: Arc<StreamOrigin>,
    until: Moment,
    /// Whether this instance has passed on its first event.
    is_own: bool,
}

/// The streams that an instance knows of: its own, and those that others have told it.
///
/// They are kept in two generations, of which the older one is dropped as a whole. So the memory is
/// bounded without a search for what has expired.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    recent: HashMap<StreamKey, Remembered>,
    older: HashMap<StreamKey, Remembered>,
    recent_since: Moment,
    /// The origins that are in use, so that thousands of streams share one.
    origins: Vec<Arc<StreamOrigin>>,
    /// Streams that have not been told to others yet.
    untold: Vec<(StreamKey, Arc<StreamOrigin>, Moment)>,
}

impl StreamOrigins {
    /// Records that this instance passes on the first event of a stream whose caller waits for at most
    /// `caller_waits`. It is to be told to others.
    pub fn began(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        caller_waits: Duration,
        now: Moment,
    ) {
        let lifetime = (caller_waits + DEADLINE_MARGIN).min(MAX_LIFETIME);
        let origin = self.shared(origin);
        let until = now + lifetime;
        self.untold.push((key, Arc::clone(&origin), until));
        self.remember(key, origin, until, true, now);
    }

    /// Records that a stream of this instance has reached its caller as a whole. Others need not be told
    /// of it again.
    pub fn completed(&mut self, key: StreamKey) {
        for streams in [&mut self.recent, &mut self.older] {
            if let Some(stream) = streams.get_mut(&key) {
                stream.is_own = false;
            }
        }
    }

    /// Records streams of which another instance tells.
    pub fn told(&mut self, begun: &[BegunStreams], now: Moment) {
        for BegunStreams { origin, streams } in begun {
            let origin = self.shared(origin.clone());
            for (key, seconds) in streams {
                let until = expiry(*seconds, now);
                self.remember(*key, Arc::clone(&origin), until, false, now);
            }
        }
    }

    /// Returns where a stream began, if that is known.
    pub fn origin(&self, key: StreamKey, now: Moment) -> Option<&StreamOrigin> {
        let stream = self.recent.get(&key).or_else(|| self.older.get(&key));
        stream
            .filter(|it| now < it.until)
            .map(|it| it.origin.as_ref())
    }

    /// Returns what others have to be told, once.
    pub fn take_untold(&mut self, now: Moment) -> Vec<BegunStreams> {
        let untold = std::mem::take(&mut self.untold);
        grouped(untold, now)
    }

    /// Returns this instance's own streams that have not been completed, for an instance that has been
    /// told of none, in messages of limited length.
    pub fn own(&self, now: Moment) -> Vec<Vec<BegunStreams>> {
        self.messages(now, |it| it.is_own)
    }

    /// Returns all known streams, for an instance that has been told of none, in messages of limited
    /// length.
    pub fn all(&self, now: Moment) -> Vec<Vec<BegunStreams>> {
        self.messages(now, |_| true)
    }

    /// Returns the number of remembered streams.
    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len()
    }

    /// Returns whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn messages(
        &self,
        now: Moment,
        is_included: impl Fn(&Remembered) -> bool,
    ) -> Vec<Vec<BegunStreams>> {
        let streams = self.older.iter().chain(&self.recent);
        let streams = streams.filter(|(_, it)| now < it.until && is_included(it));
        let streams: Vec<_> = streams
            .map(|(key, it)| (*key, Arc::clone(&it.origin), it.until))
            .collect();
        let parts = streams.chunks(STREAMS_PER_MESSAGE);
        parts.map(|part| grouped(part.to_vec(), now)).collect()
    }

    fn remember(
        &mut self,
        key: StreamKey,
        origin: Arc<StreamOrigin>,
        until: Moment,
        is_own: bool,
        now: Moment,
    ) {
        if now.since(self.recent_since) >= GENERATION_TIME
            || self.recent.len() >= GENERATION_STREAMS
        {
            self.older = std::mem::take(&mut self.recent);
            self.recent_since = now;
            let used = |it: &Arc<StreamOrigin>| Arc::strong_count(it) > 1;
            self.origins.retain(used);
        }
        // What was known first stands: a stream's origin does not change.
        let known = self.older.get(&key).or_else(|| self.recent.get(&key));
        let known = known.filter(|it| now < it.until);
        let origin = known.map_or(origin, |it| Arc::clone(&it.origin));
        let is_own = is_own || known.is_some_and(|it| it.is_own);
        let until = known.map_or(until, |it| it.until.max(until));
        let stream = Remembered {
            origin,
            until,
            is_own,
        };
        self.recent.insert(key, stream);
    }

    fn shared(&mut self, origin: StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(known) = self.origins.iter().find(|it| ***it == origin) {
            return Arc::clone(known);
        }
        let origin = Arc::new(origin);
        self.origins.push(Arc::clone(&origin));
        origin
    }
}

/// Returns when a stream is forgotten that another instance remembers for so many seconds.
pub(super) fn expiry(seconds: u16, now: Moment) -> Moment {
    now + Duration::from_secs(seconds.into()).min(MAX_LIFETIME)
}

/// Groups streams by their origins, with the time that is left of each.
pub(super) fn grouped(
    streams: Vec<(StreamKey, Arc<StreamOrigin>, Moment)>,
    now: Moment,
) -> Vec<BegunStreams> {
    let mut begun: Vec<BegunStreams> = Vec::new();
    for (key, origin, until) in streams {
        let seconds = now.until(until).as_secs_f64().ceil();
        let stream = (key, seconds as u16);
        match begun.iter_mut().find(|it| it.origin == *origin) {
            Some(it) => it.streams.push(stream),
            None => begun.push(BegunStreams {
                origin: origin.as_ref().clone(),
                streams: vec![stream],
            }),
        }
    }
    begun
}
