//! The answer to a call, and the checks that it passes before it is handed on.

mod body;
mod json_watch;
mod reader;
mod sse;
mod whole;

use std::sync::Arc;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, StatusCode, header};
use serde::Deserialize;

pub use body::AnswerBody;
pub use reader::BodyReader;
pub use sse::{Scanned, SseScanner};

use crate::error::{AdapterMissingSnafu, EngineError, MalformedSnafu, RefusedSnafu};
use crate::headers::retry_after;

/// The most of a refusal's body that is read, in bytes.
const MAX_REFUSAL: usize = 64 * 1024;
/// The most of a refusal's body that an error keeps, in bytes.
const MAX_MESSAGE: usize = 2 * 1024;
/// The largest whole answer of an engine, in bytes: it is held in memory to be checked.
const MAX_WHOLE: usize = 16 * 1024 * 1024;

/// The answer to a call.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers without those that concern one connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: AnswerBody,
}

/// What is known of an answer by the time it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerSummary {
    /// Whether the whole answer has been read, and passed its checks.
    pub complete: bool,
    /// Events of a stream with content; without a usage an estimate of the tokens.
    pub events: u32,
    /// What the engine counted itself.
    pub usage: Option<Usage>,
}

impl AnswerSummary {
    /// Returns the number of tokens generated, as well as it is known.
    pub fn tokens(&self) -> u32 {
        self.usage
            .map_or(self.events, |usage| usage.completion_tokens)
    }
}

/// The `usage` of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u32,
}

impl Answer {
    /// Takes an answer as it is; a cut one is still told from a whole one.
    pub(crate) fn unchecked(head: Parts, reader: BodyReader) -> Self {
        Self {
            status: head.status,
            headers: head.headers,
            body: AnswerBody::plain(reader),
        }
    }

    /// Takes an answer of an engine that `model` alone may have served.
    pub(crate) async fn checked(
        head: Parts,
        reader: BodyReader,
        model: Arc<str>,
    ) -> Result<Self, EngineError> {
        if !head.status.is_success() {
            let body = reader.read_whole(MAX_REFUSAL).await.unwrap_or_default();
            return Err(refusal(head.status, &head.headers, &body));
        }
        if head.headers.contains_key(header::CONTENT_ENCODING) {
            return MalformedSnafu {
                problem: "it is encoded",
            }
            .fail();
        }
        let body = match media_type(&head.headers) {
            "text/event-stream" => AnswerBody::stream(reader, SseScanner::new(model)),
            "application/json" => {
                let whole = reader.read_whole(MAX_WHOLE).await?;
                let summary = whole::check(&whole, &model)?;
                AnswerBody::whole(whole, summary)
            }
            other => {
                let problem = format!("its content type is {other:?}");
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

/// Refuses an answer of which a cut one would look like a whole one.
pub(crate) fn require_delimited(head: &Parts) -> Result<(), EngineError> {
    let bodyless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let delimited = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    if bodyless || delimited {
        return Ok(());
    }
    MalformedSnafu {
        problem: "it has neither a length nor chunks",
    }
    .fail()
}

/// Turns an answer that is no success into the error that it stands for.
pub(crate) fn refusal(status: StatusCode, headers: &HeaderMap, body: &Bytes) -> EngineError {
    let kept = &body[..body.len().min(MAX_MESSAGE)];
    let message: Arc<str> = String::from_utf8_lossy(kept).into();
    if status == StatusCode::NOT_FOUND && names_missing_model(body) {
        return AdapterMissingSnafu { message }.build();
    }
    RefusedSnafu {
        status,
        retry_after: retry_after(headers),
        message,
    }
    .build()
}

/// An error in either of the two forms that vLLM has had.
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

/// Tells a model that isn't there from a path that isn't there.
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
