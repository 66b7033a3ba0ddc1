//! Handlers for completions and chat completions.

use std::future::poll_fn;
use std::sync::Arc;

use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};

use super::batch::Sequence;
use super::routes::{error, read_json};
use super::state::Engine;
use super::stream::{TokenStream, token_text};
use crate::serve::{self, ATTEMPT_ID, Answer, Cut, REQUEST_ID, header_text};

/// A header specific to the stand-in: with the value `0`, all tokens are sent as fast as the
/// connection accepts them.
const STEP_MS: HeaderName = HeaderName::from_static("x-step-ms");

/// Number of tokens generated if the request does not set `max_tokens`; the same default as
/// OpenAI's API.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// The API endpoint that a call uses: text completion or chat completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Style {
    Text,
    Chat,
}

/// The fields of a request body that the stand-in reads; others are ignored.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: Arc<str>,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    messages: Value,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: i64,
}

/// A completion request as submitted to the engine.
#[derive(Debug)]
pub(crate) struct CompletionRequest {
    pub(crate) request_id: Arc<str>,
    pub(crate) model: Arc<str>,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) priority: i64,
    /// Whether all tokens are produced immediately, without the batch.
    pub(crate) bypass_batch: bool,
}

/// Responds to a completion or chat completion.
pub(crate) async fn answer(engine: &Engine, req: Request<Incoming>, style: Style) -> Answer {
    engine.lock().meter.count.completions += 1;
    let headers = req.headers().clone();
    let body = match read_json::<CompletionBody>(req).await? {
        Ok(body) => body,
        Err(refusal) => return Ok(serve::echo_ids(&headers, refusal)),
    };
    let model = Arc::clone(&body.model);
    let prompt = prompt_text(&body);
    let prompt_tokens = prompt.split_whitespace().count();
    let request = CompletionRequest {
        request_id: header_text(&headers, &REQUEST_ID).into(),
        model: body.model,
        prompt,
        max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        priority: body.priority,
        bypass_batch: headers.get(STEP_MS).is_some_and(|value| value == "0"),
    };
    let Some(sequence) = engine.submit(request) else {
        engine.lock().meter.count.adapters_missing += 1;
        let message = format!("The model `{model}` does not exist.");
        let refusal = error(StatusCode::NOT_FOUND, "NotFoundError", &message);
        return Ok(serve::echo_ids(&headers, refusal));
    };
    let faults = engine.lock().faults;
    let call = Call {
        id: header_text(&headers, &ATTEMPT_ID).to_owned(),
        style,
        prompt_tokens,
        cut_after: faults.cut_after_tokens,
        cut_inside_event: faults.cut_inside_event,
        sequence_guard: CancelOnDrop(sequence),
    };
    let response = if body.stream {
        call.stream().await?
    } else {
        call.non_streaming(engine).await?
    };
    Ok(serve::echo_ids(&headers, response))
}

/// A call whose sequence has been queued or is complete.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) style: Style,
    pub(crate) prompt_tokens: usize,
    pub(crate) cut_after: Option<u32>,
    pub(crate) cut_inside_event: bool,
    pub(crate) sequence_guard: CancelOnDrop,
}

/// Cancels the sequence when dropped, for example because the client disconnected.
#[derive(Debug)]
pub(crate) struct CancelOnDrop(pub(crate) Arc<Sequence>);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.0.cancel();
    }
}

impl Call {
    /// Waits for the first token before it sends the response head, so that a call that fails
    /// before it is cut off without a response.
    async fn stream(self) -> Answer {
        self.wait_for(1).await?;
        if self.cut_after == Some(0) {
            return Err(Cut);
        }
        let mut response = Response::new(TokenStream::new(self).boxed_unsync());
        let kind = HeaderValue::from_static("text/event-stream; charset=utf-8");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        Ok(response)
    }

    async fn non_streaming(self, engine: &Engine) -> Answer {
        self.wait_for(self.sequence_guard.0.max_tokens).await?;
        let late = engine.lock().faults.answer_late;
        tokio::time::sleep(late).await;
        let body = self.response_body().to_string();
        match self.cut_after {
            None => {}
            Some(0) => return Err(Cut),
            Some(_) => return Ok(serve::cut_halfway(&body)),
        }
        let mut response = Response::new(serve::full(body));
        let kind = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        Ok(response)
    }

    async fn wait_for(&self, tokens: u32) -> Result<(), Cut> {
        let sequence = &self.sequence_guard.0;
        poll_fn(|cx| sequence.poll_tokens(tokens - 1, cx))
            .await
            .map(|_| ())
            .ok_or(Cut)
    }

    fn response_body(&self) -> Value {
        let sequence = &self.sequence_guard.0;
        let text: String = (0..sequence.max_tokens)
            .map(|token| token_text(sequence, token))
            .collect();
        let model = self.reported_model();
        let (object, choice) = match self.style {
            Style::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": "length"}),
            ),
            Style::Chat => (
                "chat.completion",
                json!({"index": 0, "message": {"role": "assistant", "content": text},
                    "finish_reason": "length"}),
            ),
        };
        json!({
            "id": self.id, "object": object, "created": 0, "model": &*model,
            "choices": [choice], "usage": self.usage(),
        })
    }

    /// Returns the first model other than the requested one that served any token, or else the
    /// requested model.
    fn reported_model(&self) -> Arc<str> {
        let sequence = &self.sequence_guard.0;
        sequence
            .served_models()
            .into_iter()
            .find(|model| *model != sequence.requested_model)
            .unwrap_or_else(|| Arc::clone(&sequence.requested_model))
    }

    pub(crate) fn usage(&self) -> Value {
        let generated = self.sequence_guard.0.max_tokens;
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": generated,
            "total_tokens": self.prompt_tokens + generated as usize,
        })
    }
}

fn prompt_text(body: &CompletionBody) -> String {
    if let Some(prompt) = body.prompt.as_str() {
        return prompt.to_owned();
    }
    let messages = body.messages.as_array().into_iter().flatten();
    messages
        .filter_map(|message| message.get("content")?.as_str())
        .collect::<Vec<_>>()
        .join("\n")
}
