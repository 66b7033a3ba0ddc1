//! Reads the body of an answer from its connection.

use std::future::Future as _;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::task::coop;
use tokio::time::{Instant, Sleep};

use super::events::EventScanner;
use super::framing::Framing;
use super::media_type;
use crate::call::Limits;
use crate::connection::TargetConnection;
use crate::error::{CallStage, EngineError, MalformedSnafu, TimeoutSnafu, TruncatedSnafu};
use crate::identity::AnswerProof;
use crate::pool::Pool;

/// The maximum number of bytes without a complete event in a stream of events.
pub(super) const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// The maximum size of a body whose length the headers do not state, unless it is a stream of events.
const MAX_UNSTATED_BYTES: u64 = 64 * 1024 * 1024;

/// The maximum number of chunks that are still read after the limit of a body. Its reader may have been
/// held up, and the answer is complete in the socket.
pub const MAX_READY_CHUNKS: u32 = 512;
/// The time that a reader waits after a limit before it gives up. After a process was held up, its timers
/// expire before it has looked at its sockets.
pub const FINAL_WAIT: Duration = Duration::from_millis(10);

/// Reads the body of an answer, and returns the connection to the pool at its end.
///
/// It reads only when polled, so that a slow caller applies backpressure to the target.
pub struct BodyReader {
    incoming: Incoming,
    /// `None` once the body has ended or failed.
    connection: Option<TargetConnection>,
    pool: Pool,
    idle: IdleTimer,
    /// When the body has to have ended, and the limit from which that follows.
    ends_by: (Instant, Duration),
    /// The number of times that it was polled after that.
    late_polls: u32,
    /// The number of bytes received.
    received: u64,
    is_reused: bool,
    proof: Option<AnswerProof>,
    framing: Framing,
    /// `None` if the answer is not a stream of events.
    events: Option<EventScanner>,
    /// The number of bytes of the last chunk that precede the event which is incomplete at its end.
    outside_event: usize,
    /// Whether the end of the body has been read, and the answer is complete.
    is_complete: bool,
}

impl std::fmt::Debug for BodyReader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BodyReader").finish_non_exhaustive()
    }
}

impl BodyReader {
    /// Reads the body of the answer with this head.
    pub(crate) fn new(
        head: &Parts,
        incoming: Incoming,
        connection: TargetConnection,
        proof: Option<AnswerProof>,
        pool: Pool,
        limits: Limits,
    ) -> Self {
        // An empty body of stated length is complete: the answer to HEAD, or a stream without events.
        let is_stream = is_event_stream(head) && !incoming.is_end_stream();
        let mut reader = Self {
            incoming,
            is_reused: connection.is_reused,
            connection: Some(connection),
            pool,
            idle: IdleTimer::new(limits),
            ends_by: (Instant::now() + limits.body, limits.body),
            late_polls: 0,
            received: 0,
            proof,
            framing: Framing::of(head),
            events: is_stream.then(EventScanner::default),
            outside_event: 0,
            is_complete: false,
        };
        reader.finish_if_ended();
        reader
    }

    /// Treats the body as a stream of events, although its head does not say what it is.
    pub fn assume_event_stream(&mut self) {
        if !self.is_complete {
            self.events.get_or_insert_default();
        }
    }

    /// Ends the body right after its last chunk if its length is known, as an HTTP server that
    /// forwards the body does not poll again after that many bytes. A stream is forwarded without
    /// its length, since its end is judged only then.
    fn finish_if_ended(&mut self) {
        if self.events.is_none() && self.incoming.is_end_stream() {
            self.finish();
        }
    }

    /// Ends a complete answer, and returns its connection to the pool.
    fn finish(&mut self) {
        self.is_complete = true;
        if let Some(connection) = self.connection.take() {
            self.pool.put(connection);
        }
    }

    /// Returns whether the answer comes on a connection that had been opened for an earlier request.
    pub const fn is_on_reused_connection(&self) -> bool {
        self.is_reused
    }

    /// Returns what shows that the answer belongs to its request; `None` if nothing does, and nothing
    /// has to.
    pub const fn proof(&self) -> Option<AnswerProof> {
        self.proof
    }

    /// Returns what marks the end of the body.
    pub const fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns how far the events of a stream have been read; `None` if the answer is not a stream
    /// of events.
    pub const fn events(&self) -> Option<&EventScanner> {
        self.events.as_ref()
    }

    /// Returns how many bytes of the last chunk precede the event that is incomplete at its end; 0 if
    /// the answer is not a stream of events.
    pub const fn outside_event(&self) -> usize {
        self.outside_event
    }

    /// Returns the remaining size of the body, as far as the headers state it. That of a stream is
    /// unknown, since it may be broken off in spite of its length.
    pub fn size_hint(&self) -> SizeHint {
        match self.events {
            Some(_) => SizeHint::default(),
            None => self.incoming.size_hint(),
        }
    }

    /// Returns whether the end of the body has been read, and the answer is complete.
    pub const fn is_end_stream(&self) -> bool {
        self.is_complete
    }

    /// Polls for the next chunk; yields `None` after the end of the body or an error.
    pub fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, EngineError>>> {
        if self.connection.is_none() {
            return Poll::Ready(None);
        }
        // A timer would not expire while the target keeps this task busy.
        let (ends_by, limit) = self.ends_by;
        if Instant::now() >= ends_by {
            self.late_polls += 1;
            if self.late_polls > MAX_READY_CHUNKS {
                return self.fail_timeout(limit);
            }
        }
        let Some(connection) = &mut self.connection else {
            return Poll::Ready(None);
        };
        let had_budget = coop::has_budget_remaining();
        // Chunks arrive only while `drive` runs below, so that the connection's wake-up is
        // sufficient; a second one would poll the reader twice per chunk.
        let mut noop_cx = Context::from_waker(Waker::noop());
        let mut polled = Pin::new(&mut self.incoming).poll_frame(&mut noop_cx);
        if polled.is_pending() {
            connection.drive(cx);
            polled = Pin::new(&mut self.incoming).poll_frame(&mut noop_cx);
        }
        match polled {
            Poll::Ready(Some(Ok(frame))) => {
                self.idle.reset();
                if let Some(data) = frame.data_ref() {
                    self.received += data.len() as u64;
                    if let Some(events) = &mut self.events {
                        self.outside_event = events.scan(data);
                    }
                }
                if let Some(problem) = self.excess() {
                    return self.fail_truncated(problem);
                }
                self.finish_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(err))) => self.fail_truncated(err.to_string()),
            Poll::Ready(None) => {
                if let Some(problem) = self.incompleteness() {
                    return self.fail_truncated(problem.to_owned());
                }
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending if connection.has_ended() => {
                self.fail_truncated("the connection was closed".to_owned())
            }
            Poll::Pending => self.poll_idle(had_budget, cx),
        }
    }

    /// Reads the complete body into memory.
    ///
    /// # Errors
    /// Fails if the body is truncated, stalls beyond the idle limit or exceeds `max` bytes.
    pub async fn read_whole(mut self, max: usize) -> Result<Bytes, EngineError> {
        let mut first: Option<Bytes> = None;
        let mut joined = BytesMut::new();
        while let Some(chunk) = std::future::poll_fn(|cx| self.poll_chunk(cx)).await {
            let Ok(data) = chunk?.into_data() else {
                continue;
            };
            if joined.len() + first.as_ref().map_or(0, Bytes::len) + data.len() > max {
                return MalformedSnafu {
                    problem: format!("the answer's body exceeds {max} bytes"),
                }
                .fail();
            }
            match (&first, joined.is_empty()) {
                (None, true) => first = Some(data),
                (Some(_), _) => {
                    joined.extend_from_slice(&first.take().unwrap_or_default());
                    joined.extend_from_slice(&data);
                }
                (None, false) => joined.extend_from_slice(&data),
            }
        }
        Ok(first.unwrap_or_else(|| joined.freeze()))
    }

    /// Returns why an answer whose body has ended is not complete all the same.
    fn incompleteness(&self) -> Option<&'static str> {
        let events = self.events.as_ref()?;
        if events.is_inside_event() {
            return Some("the stream ended inside an event");
        }
        // The end of a connection alone does not show that a stream without any event is complete.
        let shows_nothing = self.framing == Framing::Connection && !events.has_events();
        shows_nothing.then_some("the connection ended before the first event")
    }

    /// Returns what of the body is more than any answer has.
    fn excess(&self) -> Option<String> {
        match &self.events {
            Some(events) if events.bytes_since_event() > MAX_EVENT_BYTES => Some(format!(
                "the stream has more than {MAX_EVENT_BYTES} bytes without a complete event"
            )),
            Some(_) => None,
            None if self.framing != Framing::Length && self.received > MAX_UNSTATED_BYTES => Some(
                format!("the answer has more than {MAX_UNSTATED_BYTES} bytes and states no length"),
            ),
            None => None,
        }
    }

    fn fail_truncated<T>(&mut self, problem: String) -> Poll<Option<Result<T, EngineError>>> {
        self.connection = None;
        Poll::Ready(Some(TruncatedSnafu { problem }.fail()))
    }

    fn poll_idle<T>(
        &mut self,
        had_budget: bool,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<T, EngineError>>> {
        let (ends_by, limit) = self.ends_by;
        if !self.idle.poll_expired(ends_by, had_budget, cx) {
            return Poll::Pending;
        }
        let is_over = Instant::now() >= ends_by;
        self.fail_timeout(if is_over { limit } else { self.idle.limit })
    }

    fn fail_timeout<T>(&mut self, limit: Duration) -> Poll<Option<Result<T, EngineError>>> {
        self.connection = None;
        let address = self.pool.address;
        Poll::Ready(Some(
            TimeoutSnafu {
                address,
                stage: CallStage::Body,
                limit,
            }
            .fail(),
        ))
    }
}

/// Polls a timer after a body that is still pending, in a task that `had_budget` before it was read. Bytes without end that
/// belong to no chunk use up that budget each time, and a timer does not expire without one.
pub fn poll_timer(timer: Pin<&mut Sleep>, had_budget: bool, cx: &mut Context<'_>) -> Poll<()> {
    if had_budget && !coop::has_budget_remaining() {
        pin!(coop::unconstrained(timer)).poll(cx)
    } else {
        timer.poll(cx)
    }
}

/// Returns whether an answer is a stream of events. Its `Content-Type` decides: neither the path nor
/// the request shows whether a target answers with a stream, an error document or something else.
fn is_event_stream(head: &Parts) -> bool {
    head.status.is_success() && media_type(&head.headers).eq_ignore_ascii_case("text/event-stream")
}

/// A timer that expires when no chunk has been received within the limit.
///
/// The timer is not reset at each chunk, as that would cost more than reading the chunk. When it
/// fires, it is set again for the time that remains since the last chunk.
struct IdleTimer {
    /// The current limit. Until the first chunk it is at least the limit for the headers, since an
    /// engine may send the headers of a stream immediately while the sequence is still queued.
    limit: Duration,
    later_limit: Duration,
    last: Instant,
    sleep: Option<Pin<Box<Sleep>>>,
    /// When it expires after it has expired once; see [`FINAL_WAIT`].
    final_end: Option<Instant>,
}

impl IdleTimer {
    fn new(limits: Limits) -> Self {
        Self {
            limit: limits.head.max(limits.idle),
            later_limit: limits.idle,
            last: Instant::now(),
            sleep: None,
            final_end: None,
        }
    }

    fn reset(&mut self) {
        self.last = Instant::now();
        self.final_end = None;
        if self.limit != self.later_limit {
            self.limit = self.later_limit;
            self.sleep = None;
        }
    }

    /// Polls whether no chunk has been received within the limit, or `ends_by` has passed.
    fn poll_expired(&mut self, ends_by: Instant, had_budget: bool, cx: &mut Context<'_>) -> bool {
        loop {
            let end = ends_by.min(self.last + self.limit);
            let end = self.final_end.unwrap_or(end);
            let sleep = self
                .sleep
                .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(end)));
            if poll_timer(sleep.as_mut(), had_budget, cx).is_pending() {
                return false;
            }
            let now = Instant::now();
            if now < end {
                sleep.as_mut().reset(end);
            } else if self.final_end.is_some() {
                return true;
            } else {
                self.final_end = Some(now + FINAL_WAIT);
                sleep.as_mut().reset(now + FINAL_WAIT);
            }
        }
    }
}
