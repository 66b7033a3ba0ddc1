//! Reads an answer's body from the connection that it comes on.

use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep};

use crate::call::Limits;
use crate::connection::Connection;
use crate::error::{BrokenOffSnafu, EngineError, MalformedSnafu, Stage, TimeoutSnafu};
use crate::pool::Pool;

/// Reads an answer's body, and gives the connection back when all of it has come.
///
/// It reads only when it is polled, so that a slow caller holds back the target.
pub struct BodyReader {
    incoming: Incoming,
    /// None once the body has ended or failed.
    connection: Option<Connection>,
    pool: Pool,
    idle: IdleTimer,
}

impl std::fmt::Debug for BodyReader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BodyReader").finish_non_exhaustive()
    }
}

impl BodyReader {
    pub(crate) fn new(
        incoming: Incoming,
        connection: Connection,
        pool: Pool,
        limits: Limits,
    ) -> Self {
        let mut reader = Self {
            incoming,
            connection: Some(connection),
            pool,
            idle: IdleTimer::new(limits),
        };
        reader.finish_if_ended();
        reader
    }

    /// Returns whether the whole body has come.
    pub(crate) fn is_finished(&self) -> bool {
        self.connection.is_none() && self.incoming.is_end_stream()
    }

    /// Gives the connection back right after the last piece of a body of known length: a server
    /// that has written that many bytes doesn't ask for the end.
    fn finish_if_ended(&mut self) {
        if self.incoming.is_end_stream()
            && let Some(connection) = self.connection.take()
        {
            self.pool.put(connection);
        }
    }

    /// Returns how long the body is, as far as its head says.
    pub fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }

    /// Returns whether the whole body has been read.
    pub fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    /// Returns the next piece; none when the whole body has come.
    pub fn poll_piece(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, EngineError>>> {
        let Some(connection) = &mut self.connection else {
            return Poll::Ready(None);
        };
        // Pieces come only while `drive` runs below, so that no other wake-up than the
        // connection's is needed; a second one would poll each piece's reader twice.
        let mut quiet = Context::from_waker(Waker::noop());
        let mut polled = Pin::new(&mut self.incoming).poll_frame(&mut quiet);
        if polled.is_pending() {
            connection.drive(cx);
            polled = Pin::new(&mut self.incoming).poll_frame(&mut quiet);
        }
        match polled {
            Poll::Ready(Some(Ok(frame))) => {
                self.idle.reset();
                self.finish_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(err))) => self.break_off(err.to_string()),
            Poll::Ready(None) => {
                if let Some(connection) = self.connection.take() {
                    self.pool.put(connection);
                }
                Poll::Ready(None)
            }
            Poll::Pending if connection.has_ended() => {
                self.break_off("the connection was closed".to_owned())
            }
            Poll::Pending => self.poll_idle(cx),
        }
    }

    /// Reads the whole body into memory.
    ///
    /// # Errors
    /// Fails if it breaks off, stalls or is longer than `max` bytes.
    pub async fn read_whole(mut self, max: usize) -> Result<Bytes, EngineError> {
        let mut first: Option<Bytes> = None;
        let mut joined = BytesMut::new();
        while let Some(piece) = std::future::poll_fn(|cx| self.poll_piece(cx)).await {
            let Ok(data) = piece?.into_data() else {
                continue;
            };
            if joined.len() + first.as_ref().map_or(0, Bytes::len) + data.len() > max {
                return MalformedSnafu {
                    problem: format!("it is longer than {max} bytes"),
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

    fn break_off<T>(&mut self, problem: String) -> Poll<Option<Result<T, EngineError>>> {
        self.connection = None;
        Poll::Ready(Some(BrokenOffSnafu { problem }.fail()))
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
                stage: Stage::Body,
                limit,
            }
            .fail(),
        ))
    }
}

/// Fires when nothing has come for a while.
///
/// The timer is not moved at each piece, which would cost more than reading it; when it fires it is
/// set anew for what is left since the last piece.
struct IdleTimer {
    /// The limit in force: until the first piece that of the head, since an engine may send the
    /// head of a stream at once and let the sequence wait.
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
