//! The answer to a call, and its validation before it is passed on.

mod body;
mod events;
mod framing;
mod json_scanner;
mod reader;
mod sse;
mod whole;

use std::sync::Arc;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, StatusCode, header};
use serde::Deserialize;

pub use body::AnswerBody;
pub use events::EventScanner;
pub use framing::Framing;
pub use reader::{BodyReader, FINAL_WAIT, MAX_READY_CHUNKS, poll_timer};
pub use sse::{ScanResult, SseScanner};

use crate::error::{AdapterMissingSnafu, EngineError, MalformedSnafu, RefusedSnafu};
use crate::headers::retry_after;
use crate::identity::AnswerProof;

/// The maximum size of an error response's body that is read.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;
/// The maximum length of an error response's body that an error keeps.
const MAX_ERROR_MESSAGE_BYTES: usize = 2 * 1024;
/// The maximum size of an engine's non-streaming answer, which is buffered for validation.
const MAX_BUFFERED_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The answer to a call.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: AnswerBody,
}

/// A summary of an answer, as far as it has been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerSummary {
    /// Whether the complete answer has been read and is valid.
    pub complete: bool,
    /// The number of stream events with content, which estimates the tokens if there is no usage.
    pub events: u32,
    /// The token counts that the engine reported.
    pub usage: Option<Usage>,
}

impl AnswerSummary {
    /// Returns the number of generated tokens, or an estimate if the engine reported no usage.
    pub fn tokens(&self) -> u32 {
        self.usage
            .map_or(self.events, |usage| usage.completion_tokens)
    }
}

/// The `usage` of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// The number of tokens in the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// The number of generated tokens.
    #[serde(default)]
    pub completion_tokens: u32,
}

impl Answer {
    /// Returns an answer whose content is not validated; truncation is still detected.
    pub(crate) fn unchecked(head: Parts, reader: BodyReader) -> Self {
        Self {
            status: head.status,
            headers: head.headers,
            body: AnswerBody::plain(reader),
        }
    }

    /// Returns an engine's answer, validated to be from `model` only.
    ///
    /// A non-streaming answer is read and validated before this returns.
    pub(crate) async fn checked(
        head: Parts,
        reader: BodyReader,
        model: Arc<str>,
    ) -> Result<Self, EngineError> {
        if !head.status.is_success() {
            let proof = reader.proof();
            let body = reader
                .read_whole(MAX_ERROR_BODY_BYTES)
                .await
                .unwrap_or_default();
            return Err(error_from_response(
                head.status,
                &head.headers,
                &body,
                proof,
            ));
        }
        if head.headers.contains_key(header::CONTENT_ENCODING) {
            return MalformedSnafu {
                problem: "the answer has a content encoding",
            }
            .fail();
        }
        let body = match media_type(&head.headers) {
            "text/event-stream" => AnswerBody::stream(reader, SseScanner::new(model)),
            "application/json" => {
                let whole = reader.read_whole(MAX_BUFFERED_ANSWER_BYTES).await?;
                let summary = whole::check(&whole, &model)?;
                AnswerBody::whole(whole, summary)
            }
            other => {
                let problem = format!("the answer's content type is {other:?}");
                return MalformedSnafu { problem }.fail();
            }
        };
        Ok(Self {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

/// Converts an unsuccessful answer into an error.
pub(crate) fn error_from_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: &Bytes,
    proof: Option<AnswerProof>,
) -> EngineError {
    let kept = &body[..body.len().min(MAX_ERROR_MESSAGE_BYTES)];
    let message: Arc<str> = String::from_utf8_lossy(kept).into();
    if status == StatusCode::NOT_FOUND && names_missing_model(body) {
        return AdapterMissingSnafu { proof, message }.build();
    }
    RefusedSnafu {
        status,
        retry_after: retry_after(headers),
        proof,
        message,
    }
    .build()
}

/// An error body in either of the two formats that vLLM has used.
#[derive(Deserialize)]
struct ErrorBody {
    #[serde(default)]
    error: ErrorDetail,
    #[serde(default, rename = "type")]
    kind: String,
}

#[derive(Default, Deserialize)]
struct ErrorDetail {
    #[serde(default, rename = "type")]
    kind: String,
}

/// Returns whether a 404 body reports a missing model rather than an unknown path.
fn names_missing_model(body: &Bytes) -> bool {
    const KIND: &str = "NotFoundError";
    serde_json::from_slice::<ErrorBody>(body)
        .is_ok_and(|body| body.kind == KIND || body.error.kind == KIND)
}

fn media_type(headers: &HeaderMap) -> &str {
    let value = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    let essence = value.unwrap_or_default().split(';').next();
    essence.unwrap_or_default().trim()
}
