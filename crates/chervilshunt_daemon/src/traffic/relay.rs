//! Relays a target's answer to the caller and releases the permit at its end.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use chervilshunt_core::ReleaseOutcome;
use chervilshunt_engine::{Answer, AnswerBody, EngineError};
use chervilshunt_model::{Class, Moment, RequestId};
use http::{Response, header};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use snafu::Snafu;

use super::body::ResponseBody;
use super::claims::{Claim, KeptAnswer};
use super::metrics;
use super::now;
use super::permits::HeldPermit;
use super::problem::{Problem, Reason};
use super::serve::{OpenSlot, Traffic, answer_head, set_header};

/// The response header that names the target.
const TARGET: &str = "x-target";
/// The response header that names the adapter version.
const ADAPTER_VERSION: &str = "x-adapter-version";

/// The error that aborts an interrupted answer, so that the caller sees a failed connection rather
/// than an answer that looks complete.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was interrupted: {source}"))]
pub(crate) struct RelayError {
    source: EngineError,
}

/// The state of a request that is kept until the last byte of its answer.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) traffic: Traffic,
    pub(super) permit: HeldPermit,
    /// The claim of a keyed request, and the part of its answer that is kept for a retry.
    pub(super) claim: Option<(Claim, KeptAnswer)>,
    pub(super) status: u16,
    /// Counts the request as open until dropped.
    pub(super) _slot: OpenSlot,
    pub(super) request: RequestId,
    pub(super) class: Class,
    pub(super) stream: bool,
    /// When the request arrived.
    pub(super) arrived: Moment,
    /// When the call to the target was opened.
    pub(super) opened: Moment,
    /// The time from opening the call to the first piece of the answer.
    pub(super) first_byte: Duration,
}

/// Creates the response to the caller from the target's answer.
pub(super) fn relayed(relay: Relay, answer: Answer, model: Option<&str>) -> Response<ResponseBody> {
    metrics::first_byte(relay.class, now().since(relay.arrived));
    let mut res = answer_head(answer.status, &answer.headers);
    // With the length of a stream, its last byte would end it before its end is judged.
    if answer.body.size_hint().exact().is_none() {
        res.headers_mut().remove(header::CONTENT_LENGTH);
    }
    set_header(&mut res, TARGET, relay.permit.target().as_str());
    if let Some(model) = model {
        set_header(&mut res, ADAPTER_VERSION, model);
    }
    let body = RelayBody {
        relay: Some(relay),
        body: answer.body,
        appended: None,
    };
    res.map(|()| body.boxed_unsync())
}

/// The body of a target's answer, relayed to the caller.
///
/// It is polled only as fast as the caller reads, so that back-pressure reaches the target. When
/// the caller disconnects, it is dropped, which cancels the call and releases the permit.
#[derive(Debug)]
struct RelayBody {
    /// None once the answer has ended.
    relay: Option<Relay>,
    body: AnswerBody,
    /// The final event that reports the interruption of a stream.
    appended: Option<Bytes>,
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if self.relay.is_none() {
            return Poll::Ready(self.appended.take().map(|event| Ok(Frame::data(event))));
        }
        match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
            Some(Ok(frame)) => {
                self.keep(&frame);
                if self.body.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => Poll::Ready(self.broken_off(error)),
            None => {
                self.finish();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.relay.is_none() && self.appended.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl RelayBody {
    /// Keeps a short answer of a keyed request for a retry by its caller.
    fn keep(&mut self, frame: &Frame<Bytes>) {
        let claim = self.relay.as_mut().and_then(|relay| relay.claim.as_mut());
        if let (Some((_, kept)), Some(piece)) = (claim, frame.data_ref()) {
            kept.push(piece);
        }
    }

    /// Completes the claim and releases the permit after the whole answer.
    fn finish(&mut self) {
        let Some(mut relay) = self.relay.take() else {
            return;
        };
        if let Some((claim, kept)) = &mut relay.claim {
            claim.answered(relay.status, kept.whole());
        }
        let tokens = self.body.summary().tokens();
        metrics::answered(relay.class, tokens, now().since(relay.arrived));
        relay.permit.set_outcome(ReleaseOutcome::Finished {
            tokens,
            first_byte_ms: millis(relay.first_byte),
            total_ms: millis(now().since(relay.opened)),
        });
    }

    /// Ends an interrupted answer in a way that the caller can distinguish from a complete one: a
    /// stream with an error event, any other answer with an error.
    fn broken_off(&mut self, error: EngineError) -> Option<Result<Frame<Bytes>, RelayError>> {
        let mut relay = self.relay.take()?;
        relay.permit.set_outcome(ReleaseOutcome::TargetFailed);
        let problem = Problem::cut_short(Reason::BrokenOff, error.to_string());
        relay.traffic.report(&problem, &relay.request);
        if relay.stream {
            return Some(Ok(Frame::data(error_event(
                &problem.to_json(&relay.request),
            ))));
        }
        Some(Err(RelayError { source: error }))
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn error_event(document: &Bytes) -> Bytes {
    let mut event = BytesMut::with_capacity(document.len() + 32);
    event.put_slice(b"event: error\ndata: ");
    event.put_slice(document);
    event.put_slice(b"\n\n");
    event.freeze()
}
