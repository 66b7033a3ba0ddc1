//! The body of an answer, which yields only data that has been validated.

use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::reader::{BodyReader, MAX_EVENT_BYTES};
use super::{AnswerSummary, SseScanner};
use crate::error::{EngineError, MalformedSnafu, TruncatedSnafu};

/// The body of an answer. Dropping it cancels the call.
///
/// For a stream, it yields only complete and validated events. Text that is appended to a truncated
/// stream therefore starts on a new line.
pub struct AnswerBody {
    source: Source,
    /// Validated chunks that have not been yielded.
    ready: VecDeque<Bytes>,
    summary: AnswerSummary,
}

enum Source {
    /// The complete body is in `ready`.
    Whole,
    Plain(Box<BodyReader>),
    Stream(Box<CheckedStream>),
}

struct CheckedStream {
    reader: BodyReader,
    scanner: SseScanner,
    /// The chunks of an event that is not complete yet.
    buffered: VecDeque<Bytes>,
    buffered_bytes: usize,
    /// The error in the event that follows the validated ones.
    failure: Option<EngineError>,
}

impl fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerBody")
            .field("summary", &self.summary())
            .finish_non_exhaustive()
    }
}

impl AnswerBody {
    pub(crate) fn whole(body: Bytes, summary: AnswerSummary) -> Self {
        Self {
            source: Source::Whole,
            ready: VecDeque::from([body]),
            summary,
        }
    }

    pub(crate) fn plain(reader: BodyReader) -> Self {
        Self {
            source: Source::Plain(Box::new(reader)),
            ready: VecDeque::new(),
            summary: AnswerSummary::default(),
        }
    }

    pub(crate) fn stream(reader: BodyReader, scanner: SseScanner) -> Self {
        let stream = CheckedStream {
            reader,
            scanner,
            buffered: VecDeque::new(),
            buffered_bytes: 0,
            failure: None,
        };
        Self {
            source: Source::Stream(Box::new(stream)),
            ready: VecDeque::new(),
            summary: AnswerSummary::default(),
        }
    }

    /// Returns a summary of the answer so far.
    pub fn summary(&self) -> AnswerSummary {
        match &self.source {
            Source::Whole => self.summary,
            Source::Plain(reader) => {
                let complete = self.summary.complete || reader.is_end_stream();
                AnswerSummary {
                    complete,
                    ..self.summary
                }
            }
            Source::Stream(stream) => AnswerSummary {
                complete: self.summary.complete,
                events: stream.scanner.events(),
                usage: stream.scanner.usage(),
            },
        }
    }

    /// Waits until the first chunk has been validated, and buffers it.
    ///
    /// Nothing has been passed on to the caller by then, so that a failure can still be answered
    /// with an error status, or an idempotent call can be retried on another target.
    ///
    /// # Errors
    /// Returns the error that reading the first chunk of the body gives.
    pub async fn buffer_first_chunk(&mut self) -> Result<(), EngineError> {
        if !self.ready.is_empty() {
            return Ok(());
        }
        let polled = std::future::poll_fn(|cx| self.poll_checked(cx)).await;
        if let Some(frame) = polled.transpose()?
            && let Ok(data) = frame.into_data()
        {
            self.ready.push_front(data);
        }
        Ok(())
    }

    fn poll_checked(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, EngineError>>> {
        if let Some(chunk) = self.ready.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let polled = match &mut self.source {
            Source::Whole => Poll::Ready(None),
            Source::Plain(reader) => reader.poll_chunk(cx),
            Source::Stream(stream) => stream.poll_events(&mut self.ready, cx),
        };
        if matches!(polled, Poll::Ready(None)) {
            self.summary.complete = true;
        }
        polled
    }
}

impl CheckedStream {
    fn poll_events(
        &mut self,
        ready: &mut VecDeque<Bytes>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, EngineError>>> {
        loop {
            if let Some(chunk) = ready.pop_front() {
                return Poll::Ready(Some(Ok(Frame::data(chunk))));
            }
            if let Some(err) = self.failure.take() {
                return Poll::Ready(Some(Err(err)));
            }
            match self.reader.poll_chunk(cx) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(chunk) => self.take(chunk, ready),
                    Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
                },
                Poll::Ready(None) => return Poll::Ready(self.end(ready)),
                other => return other,
            }
        }
    }

    /// Scans a chunk and moves the data of complete events to `ready`.
    fn take(&mut self, mut chunk: Bytes, ready: &mut VecDeque<Bytes>) {
        let scanned = self.scanner.scan(&chunk);
        self.failure = scanned.failure;
        if scanned.valid_bytes > 0 {
            ready.append(&mut self.buffered);
            self.buffered_bytes = 0;
            ready.push_back(chunk.split_to(scanned.valid_bytes));
        }
        if !chunk.is_empty() {
            self.buffered_bytes += chunk.len();
            self.buffered.push_back(chunk);
        }
        if self.buffered_bytes > MAX_EVENT_BYTES && self.failure.is_none() {
            self.failure = Some(
                MalformedSnafu {
                    problem: "an event is too long",
                }
                .build(),
            );
        }
    }

    fn end(&mut self, ready: &mut VecDeque<Bytes>) -> Option<Result<Frame<Bytes>, EngineError>> {
        if !self.scanner.is_done() {
            return Some(
                TruncatedSnafu {
                    problem: "the stream ended without [DONE]",
                }
                .fail(),
            );
        }
        ready.append(&mut self.buffered);
        ready.pop_front().map(|chunk| Ok(Frame::data(chunk)))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = EngineError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, EngineError>>> {
        self.poll_checked(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.ready.is_empty()
            && match &self.source {
                Source::Whole => true,
                Source::Plain(reader) => reader.is_end_stream(),
                Source::Stream(_) => false,
            }
    }

    fn size_hint(&self) -> SizeHint {
        // Buffered chunks are part of the remaining body. Without them, hyper may treat the body as
        // empty, and the caller would receive headers with a content length but no body.
        let ready: usize = self.ready.iter().map(Bytes::len).sum();
        let ready = ready as u64;
        match &self.source {
            Source::Whole => SizeHint::with_exact(ready),
            Source::Plain(reader) => {
                let rest = reader.size_hint();
                let mut hint = SizeHint::new();
                hint.set_lower(rest.lower() + ready);
                if let Some(upper) = rest.upper() {
                    hint.set_upper(upper + ready);
                }
                hint
            }
            Source::Stream(_) => SizeHint::default(),
        }
    }
}
