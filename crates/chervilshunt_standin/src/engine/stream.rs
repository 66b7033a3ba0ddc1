//! Streaming response bodies and the text of tokens.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame};
use serde_json::Value;

use super::batch::Sequence;
use super::completion::{Call, Style};
use crate::serve::Cut;

/// The event that ends an SSE stream of OpenAI's API.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// An SSE stream with one event per token.
#[derive(Debug)]
pub(crate) struct TokenStream {
    call: Call,
    /// The start of each event, up to the model name.
    head: String,
    taken: u32,
    /// Whether the poll that precedes a cut has passed. The cut waits for it so that the preceding
    /// events are flushed.
    flushed: bool,
    done: bool,
}

impl TokenStream {
    pub(crate) fn new(call: Call) -> Self {
        let object = match call.style {
            Style::Text => "text_completion",
            Style::Chat => "chat.completion.chunk",
        };
        let id = Value::from(call.id.as_str());
        let head = format!("data: {{\"id\":{id},\"object\":\"{object}\",\"created\":0,\"model\":");
        Self {
            call,
            head,
            taken: 0,
            flushed: false,
            done: false,
        }
    }

    fn event(&self, token: u32) -> Bytes {
        let sequence = &self.call.sequence_guard.0;
        let last = token + 1 == sequence.max_tokens;
        let model = sequence.served_at(token).map_or_else(
            || Value::from(&*sequence.requested_model),
            |served| Value::from(&*served.model),
        );
        let text = Value::from(token_text(sequence, token));
        let finish = if last { "\"length\"" } else { "null" };
        let mut buf = BytesMut::with_capacity(self.head.len() + 192);
        buf.extend_from_slice(self.head.as_bytes());
        let choice = match self.call.style {
            Style::Text => format!("\"text\":{text}"),
            Style::Chat => format!("\"delta\":{{\"content\":{text}}}"),
        };
        let rest =
            format!("{model},\"choices\":[{{\"index\":0,{choice},\"finish_reason\":{finish}}}]");
        buf.extend_from_slice(rest.as_bytes());
        if last {
            buf.extend_from_slice(format!(",\"usage\":{}", self.call.usage()).as_bytes());
        }
        buf.extend_from_slice(b"}\n\n");
        buf.freeze()
    }

    fn poll_cut(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if std::mem::take(&mut self.call.cut_inside_event) {
            let mut event = self.event(self.taken);
            event.truncate(event.len() / 2);
            return Poll::Ready(Some(Ok(Frame::data(event))));
        }
        if std::mem::replace(&mut self.flushed, true) {
            return Poll::Ready(Some(Err(Cut)));
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl Body for TokenStream {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if self.done {
            return Poll::Ready(None);
        }
        if self
            .call
            .cut_after
            .is_some_and(|tokens| self.taken >= tokens)
        {
            return self.poll_cut(cx);
        }
        if self.taken == self.call.sequence_guard.0.max_tokens {
            self.done = true;
            return Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(DONE)))));
        }
        let produced = ready!(self.call.sequence_guard.0.poll_tokens(self.taken, cx));
        if produced.is_none() {
            return Poll::Ready(Some(Err(Cut)));
        }
        let event = self.event(self.taken);
        self.taken += 1;
        Poll::Ready(Some(Ok(Frame::data(event))))
    }
}

/// Returns the text of a token, which contains its number. The first token, and each one served by
/// a different model than the one before, also names the model.
pub(crate) fn token_text(sequence: &Sequence, token: u32) -> String {
    let begun = sequence
        .served_at(token)
        .filter(|served| served.from_token == token);
    match (begun, token) {
        (Some(served), 0) => head_text(&served.model, &sequence.request_id),
        (Some(served), _) => format!(" served={} TOKEN_{}", served.model, token - 1),
        (None, 0) => head_text(&sequence.requested_model, &sequence.request_id),
        (None, _) => format!(" TOKEN_{}", token - 1),
    }
}

fn head_text(model: &Arc<str>, request_id: &Arc<str>) -> String {
    format!("served={model} request={request_id}")
}
