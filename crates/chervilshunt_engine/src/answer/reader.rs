//! Reads the body of an answer from its connection.

use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep};

use super::events::EventScanner;
use super::framing::Framing;
use super::media_type;
use crate::call::Limits;
use crate::connection::TargetConnection;
use crate::error::{CallStage, EngineError, MalformedSnafu, TimeoutSnafu, TruncatedSnafu};
use crate::pool::Pool;

/// Reads the body of an answer, and returns the connection to the pool at its end.
///
/// It reads only when polled, so that a slow caller applies backpressure to the target.
pub struct BodyReader {
    incoming: Incoming,
    /// `None` once the body has ended or failed.
    connection: Option<TargetConnection>,
    pool: Pool,
    idle: IdleTimer,
    is_reused: bool,
    framing: Framing,
    /// `None` if the answer is not a stream of events.
    events: Option<EventScanner>,
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
        pool: Pool,
        limits: Limits,
    ) -> Self {
        let mut reader = Self {
            incoming,
            is_reused: connection.is_reused,
            connection: Some(connection),
            pool,
            idle: IdleTimer::new(limits),
            framing: Framing::of(head),
            events: is_event_stream(head).then(EventScanner::default),
        };
        reader.finish_if_ended();
        reader
    }

    /// Returns whether the complete body has been received.
    pub(crate) fn is_finished(&self) -> bool {
        self.connection.is_none() && self.incoming.is_end_stream()
    }

    /// Returns the connection to the pool right after the last chunk of a body of known length, as
    /// an HTTP server that forwards the body does not poll again after that many bytes.
    fn finish_if_ended(&mut self) {
        if self.incoming.is_end_stream()
            && let Some(connection) = self.connection.take()
        {
            self.pool.put(connection);
        }
    }

    /// Returns whether the answer comes on a connection that had been opened for an earlier request.
    pub const fn is_on_reused_connection(&self) -> bool {
        self.is_reused
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

    /// Returns the remaining size of the body, as far as the headers state it.
    pub fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }

    /// Returns whether the end of the body has been read.
    pub fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    /// Polls for the next chunk; yields `None` after the end of the body or an error.
    pub fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, EngineError>>> {
        let Some(connection) = &mut self.connection else {
            return Poll::Ready(None);
        };
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
                if let (Some(events), Some(data)) = (&mut self.events, frame.data_ref()) {
                    events.scan(data);
                }
                self.finish_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(err))) => self.fail_truncated(err.to_string()),
            Poll::Ready(None) => {
                if let Some(connection) = self.connection.take() {
                    self.pool.put(connection);
                }
                Poll::Ready(None)
            }
            Poll::Pending if connection.has_ended() => {
                self.fail_truncated("the connection was closed".to_owned())
            }
            Poll::Pending => self.poll_idle(cx),
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

    fn fail_truncated<T>(&mut self, problem: String) -> Poll<Option<Result<T, EngineError>>> {
        self.connection = None;
        Poll::Ready(Some(TruncatedSnafu { problem }.fail()))
    }

    fn poll_idle<T>(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<T, EngineError>>> {
        if !self.idle.poll_expired(cx) {
            return Poll::Pending;
        }
        self.connection = None;
        let (address, limit) = (self.pool.address, self.idle.limit);
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

/// Returns whether an answer is a stream of events. Its own `Content-Type` decides: neither the path
/// nor the request shows whether a target answers with a stream, an error document or something else.
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
}

impl IdleTimer {
    fn new(limits: Limits) -> Self {
        Self {
            limit: limits.head.max(limits.idle),
            later_limit: limits.idle,
            last: Instant::now(),
            sleep: None,
        }
    }

    fn reset(&mut self) {
        self.last = Instant::now();
        if self.limit != self.later_limit {
            self.limit = self.later_limit;
            self.sleep = None;
        }
    }

    fn poll_expired(&mut self, cx: &mut Context<'_>) -> bool {
        loop {
            let end = self.last + self.limit;
            let sleep = self
                .sleep
                .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(end)));
            if sleep.as_mut().poll(cx).is_pending() {
                return false;
            }
            if Instant::now() >= end {
                return true;
            }
            sleep.as_mut().reset(end);
        }
    }
}
