//! Reads request bodies within the memory that all of them together may take.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_core::{BodyMemory, BodyNumber};
use chervilshunt_model::Clock;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use snafu::{ResultExt as _, Snafu};
use tokio::sync::Notify;

/// How long a body waits for room that others give back.
const ROOM_WAIT: Duration = Duration::from_millis(200);
/// Smallest size of a body's buffer, in bytes.
const MIN_BUFFER: usize = 1_024;

/// Why a body was not read. Nothing has run then.
#[derive(Debug, Snafu)]
pub enum IntakeError {
    /// It is longer than it may be, or says so.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong {
        /// The largest size, in bytes.
        limit: usize,
    },
    /// It did not arrive in time.
    #[snafu(display("the body did not arrive within {} s", limit.as_secs_f64()))]
    TooSlow {
        /// The time that it had.
        limit: Duration,
    },
    /// There is no memory for it beside other bodies.
    #[snafu(display("other request bodies take up the memory for them"))]
    NoRoom,
    /// Its caller broke it off, or its framing is wrong.
    #[snafu(display("the body could not be read: {source}"))]
    Broken {
        /// The error of the HTTP library.
        source: hyper::Error,
    },
}

/// The limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Its largest size, in bytes.
    pub bytes: usize,
    /// The time in which it has to arrive.
    pub time: Duration,
    /// The largest buffer of the connection on which it arrives, in bytes. It is as full as the body allows, and
    /// counts as well.
    pub read_buffer: usize,
}

/// The most memory that a process is assumed to have if only the system says how much, in bytes: its limits may be
/// far above what the machine has.
const MAX_ASSUMED_MEMORY: usize = 256 * 1024 * 1024;

/// Returns the memory that this process can count on, in bytes, if the system limits it.
pub fn memory_limit() -> Option<usize> {
    use rustix::process::{Resource, getrlimit};
    let limits = [Resource::Data, Resource::As].map(|it| getrlimit(it).current);
    let least = limits.into_iter().flatten().min();
    let least = least.and_then(|it| usize::try_from(it).ok());
    least.map(|it| it.min(MAX_ASSUMED_MEMORY))
}

/// Reads the request bodies of one process. See `docs/design/request-bodies.md`.
#[derive(Debug)]
pub struct BodyIntake {
    clock: Clock,
    memory: Mutex<BodyMemory>,
    /// Notifies the readers of bodies that are dropped for others.
    evictions: Mutex<HashMap<BodyNumber, Arc<Notify>>>,
    /// Notifies those that wait for room.
    released: Notify,
}

impl BodyIntake {
    /// Creates the intake of a process that may have this much memory, in bytes, if that is known.
    pub fn new(clock: Clock, process_memory: Option<usize>) -> Arc<Self> {
        Arc::new(Self {
            clock,
            memory: Mutex::new(BodyMemory::new(process_memory)),
            evictions: Mutex::default(),
            released: Notify::new(),
        })
    }

    /// Reads a whole body, whose memory counts until nothing holds it any longer.
    ///
    /// # Errors
    /// Fails if it is too long or too slow, is broken off, or has to make room for others.
    pub async fn read(
        self: &Arc<Self>,
        body: Incoming,
        limits: BodyLimits,
    ) -> Result<Bytes, IntakeError> {
        let announced = body.size_hint().exact();
        if announced == Some(0) {
            return Ok(Bytes::new());
        }
        if announced.is_some_and(|it| it > limits.bytes as u64) {
            return Err(too_long(limits));
        }
        let mut held = HeldBody::begin(self);
        let evicted = Arc::clone(&held.evicted);
        let read = tokio::select! {
            read = tokio::time::timeout(limits.time, held.fill(body, limits)) => read,
            () = evicted.notified() => {
                metrics::counter!("chervilshunt_bodies_dropped_total").increment(1);
                return Err(IntakeError::NoRoom);
            }
        };
        read.unwrap_or(Err(IntakeError::TooSlow { limit: limits.time }))?;
        self.memory().read_whole(held.number);
        Ok(Bytes::from_owner(held))
    }

    fn memory(&self) -> MutexGuard<'_, BodyMemory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn evictions(&self) -> MutexGuard<'_, HashMap<BodyNumber, Arc<Notify>>> {
        self.evictions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Has the readers of bodies drop them.
    fn drop_bodies(&self, evicted: &[BodyNumber]) {
        let evictions = self.evictions();
        let evicted = evicted.iter().filter_map(|it| evictions.get(it));
        evicted.for_each(|it| it.notify_one());
    }

    /// Counts the growth of a body, for which others may have to be dropped.
    async fn make_room(
        &self,
        number: BodyNumber,
        bytes: usize,
        largest: usize,
    ) -> Result<(), IntakeError> {
        let waits_until = tokio::time::Instant::now() + ROOM_WAIT;
        loop {
            let mut released = std::pin::pin!(self.released.notified());
            released.as_mut().enable();
            let now = self.clock.now();
            let grown = self.memory().grow(number, bytes, largest, now);
            let Err(no_room) = grown else {
                return Ok(());
            };
            self.drop_bodies(&no_room.evicted);
            if !no_room.is_coming {
                metrics::counter!("chervilshunt_bodies_without_room_total").increment(1);
                return Err(IntakeError::NoRoom);
            }
            if tokio::time::timeout_at(waits_until, released)
                .await
                .is_err()
            {
                metrics::counter!("chervilshunt_bodies_without_room_total").increment(1);
                return Err(IntakeError::NoRoom);
            }
        }
    }
}

/// A body in memory. It gives its memory back on drop.
struct HeldBody {
    intake: Arc<BodyIntake>,
    number: BodyNumber,
    evicted: Arc<Notify>,
    buf: Vec<u8>,
}

impl HeldBody {
    fn begin(intake: &Arc<BodyIntake>) -> Self {
        let number = intake.memory().begin(intake.clock.now());
        let evicted = Arc::new(Notify::new());
        intake.evictions().insert(number, Arc::clone(&evicted));
        Self {
            intake: Arc::clone(intake),
            number,
            evicted,
            buf: Vec::new(),
        }
    }

    async fn fill(&mut self, mut body: Incoming, limits: BodyLimits) -> Result<(), IntakeError> {
        let announced = body.size_hint().exact();
        let announced = announced.and_then(|it| usize::try_from(it).ok());
        while let Some(frame) = body.frame().await {
            // What is no data are trailers, which are not forwarded.
            let Ok(data) = frame.context(BrokenSnafu)?.into_data() else {
                continue;
            };
            let needed = self.buf.len() + data.len();
            if needed > limits.bytes {
                return Err(too_long(limits));
            }
            if needed > self.buf.capacity() {
                let most = announced.unwrap_or(limits.bytes);
                let doubled = (self.buf.capacity() * 2).clamp(MIN_BUFFER.min(most), most);
                let capacity = needed.max(doubled);
                let memory = capacity + capacity.min(limits.read_buffer);
                let largest = limits.bytes + limits.read_buffer;
                self.intake.make_room(self.number, memory, largest).await?;
                self.buf.reserve_exact(capacity - self.buf.len());
            }
            self.buf.extend_from_slice(&data);
        }
        self.intake.evictions().remove(&self.number);
        Ok(())
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.buf = Vec::new();
        self.intake.evictions().remove(&self.number);
        let mut memory = self.intake.memory();
        memory.release(self.number);
        metrics::gauge!("chervilshunt_body_memory_bytes").set(memory.used() as f64);
        drop(memory);
        self.intake.released.notify_waiters();
    }
}

const fn too_long(limits: BodyLimits) -> IntakeError {
    IntakeError::TooLong {
        limit: limits.bytes,
    }
}
