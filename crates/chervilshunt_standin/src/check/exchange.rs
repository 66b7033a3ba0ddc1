//! One request and its response, verified while it is read.

use std::error::Error as StdError;
use std::time::Instant;

use bytes::Bytes;
use eventsource_stream::{Event, EventStream, EventStreamError};
use futures_util::{Stream, StreamExt as _};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt as _, BodyStream, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use serde::Deserialize;

use super::refusal::{read_problem, read_refusal};
use super::text::check_text;
use super::verdict::{Answer, Timing, Verdict, Violation, ViolationKind};
use super::{Api, Call, CompletionCall, RequestPlan, Route};

/// Data of the event that terminates a stream in the OpenAI API.
const DONE: &str = "[DONE]";

/// Why a response could not be read completely.
#[derive(Debug)]
pub(crate) enum Failure {
    Violation(Violation),
    Disconnected { sent: bool, detail: String },
}

impl From<Violation> for Failure {
    fn from(violation: Violation) -> Self {
        Self::Violation(violation)
    }
}

/// A request in flight.
#[derive(Debug)]
pub(crate) struct Exchange<'a> {
    pub(crate) plan: &'a RequestPlan,
    pub(crate) start: Instant,
    pub(crate) timing: &'a mut Timing,
}

/// The checked fields of a completion object or of one chunk of a stream.
#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
    model: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Message>,
    message: Option<Message>,
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: u32,
}

/// The content of a completion accumulated so far.
#[derive(Debug, Default)]
struct CompletionContent {
    text: String,
    usage: Option<Usage>,
    finished: bool,
    wrong_model: Option<String>,
}

impl Exchange<'_> {
    pub(crate) async fn run(
        self,
        client: &HyperClient<HttpConnector, Full<Bytes>>,
        req: Request<Full<Bytes>>,
    ) -> Result<Verdict, Failure> {
        let response = client
            .request(req)
            .await
            .map_err(|error| Failure::Disconnected {
                sent: !error.is_connect(),
                detail: with_sources(&error),
            })?;
        if !response.status().is_success() {
            return self.refused(response).await;
        }
        match &self.plan.call {
            Call::Completion(call) if call.stream => self.streamed(call, response).await,
            Call::Completion(call) => self.whole(call, response).await,
            Call::Plain(_) => self.plain(response).await,
        }
    }

    async fn refused(self, response: Response<Incoming>) -> Result<Verdict, Failure> {
        let (head, body) = response.into_parts();
        let body = collect(body).await?;
        let id = &self.plan.request_id;
        let refusal = read_refusal(head.status, &head.headers, &body, id)?;
        Ok(Verdict::Refused(refusal))
    }

    async fn plain(mut self, response: Response<Incoming>) -> Result<Verdict, Failure> {
        let (head, body) = response.into_parts();
        self.record_first_token();
        self.check_headers(&head.headers, None)?;
        let body = collect(body).await?;
        let echoed: serde_json::Value = serde_json::from_slice(&body)
            .map_err(|error| malformed(format!("plain service sent invalid JSON: {error}")))?;
        let id = &*self.plan.request_id;
        if echoed["request"] != id {
            let detail = format!("response belongs to request {}", echoed["request"]);
            return Err(Violation::new(ViolationKind::WrongRequest, detail).into());
        }
        Ok(Verdict::Answered(answer(&head.headers, 0)))
    }

    async fn whole(
        mut self,
        call: &CompletionCall,
        response: Response<Incoming>,
    ) -> Result<Verdict, Failure> {
        let (head, body) = response.into_parts();
        self.record_first_token();
        self.check_headers(&head.headers, Some(call))?;
        let body = collect(body).await?;
        let completion: Completion = serde_json::from_slice(&body)
            .map_err(|error| malformed(format!("invalid completion object: {error}")))?;
        let mut content = CompletionContent::default();
        content.take(call, completion);
        content.check(call, &self.plan.request_id)?;
        Ok(Verdict::Answered(answer(&head.headers, call.max_tokens)))
    }

    async fn streamed(
        mut self,
        call: &CompletionCall,
        response: Response<Incoming>,
    ) -> Result<Verdict, Failure> {
        let (head, body) = response.into_parts();
        self.check_headers(&head.headers, Some(call))?;
        let kind = head.headers.get(CONTENT_TYPE);
        if !kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream")) {
            return Err(malformed(format!("stream has content type {kind:?}")).into());
        }
        let data = BodyStream::new(body)
            .filter_map(async |frame| frame.map(|frame| frame.into_data().ok()).transpose());
        let data = std::pin::pin!(data);
        let mut events = EventStream::new(data);
        let mut content = CompletionContent::default();
        let mut last = Instant::now();
        while let Some(event) = next_event(&mut events).await? {
            if event.event == "error" {
                let refusal = read_problem(event.data.as_bytes(), &self.plan.request_id)?;
                return Ok(Verdict::Refused(refusal));
            }
            if event.data == DONE {
                content.check(call, &self.plan.request_id)?;
                return Ok(Verdict::Answered(answer(&head.headers, call.max_tokens)));
            }
            let now = Instant::now();
            if self.record_first_token() {
                self.timing.longest_gap = self.timing.longest_gap.max(now - last);
            }
            last = now;
            let completion: Completion = serde_json::from_str(&event.data)
                .map_err(|error| malformed(format!("invalid chunk: {error}: {}", event.data)))?;
            content.take(call, completion);
        }
        let got = content.text.split_whitespace().count();
        let detail = format!("stream ended after {got} words without {DONE} or an error event");
        Err(Violation::new(ViolationKind::WrongTokens, detail).into())
    }

    /// Records the time of the first token. Returns whether one was already recorded.
    fn record_first_token(&mut self) -> bool {
        let first = self.timing.first.is_none();
        if first {
            self.timing.first = Some(self.start.elapsed());
        }
        !first
    }

    fn check_headers(
        &self,
        headers: &HeaderMap,
        call: Option<&CompletionCall>,
    ) -> Result<(), Violation> {
        let id = &*self.plan.request_id;
        if text(headers, "x-request-id") != Some(id) {
            let detail = format!("x-request-id: {:?}", headers.get("x-request-id"));
            return Err(Violation::new(ViolationKind::WrongRequest, detail));
        }
        if self.plan.route == Route::Direct {
            return Ok(());
        }
        for name in ["x-served-by", "x-target"] {
            if !headers.contains_key(name) {
                return Err(Violation::new(
                    ViolationKind::WrongHeader,
                    format!("header {name} is missing"),
                ));
            }
        }
        // A base model has no version. The header may hold `adapter@version` or the version alone.
        let model = call.map(|call| &*call.model);
        let version = model.and_then(|model| Some(model.split_once('@')?.1));
        let said = text(headers, "x-adapter-version");
        match (version, said) {
            (Some(version), Some(said)) if said != version && Some(said) != model => {
                let detail = format!("x-adapter-version: {said}");
                Err(Violation::new(ViolationKind::WrongModel, detail))
            }
            (Some(_), None) => {
                let detail = "header x-adapter-version is missing";
                Err(Violation::new(ViolationKind::WrongHeader, detail))
            }
            _ => Ok(()),
        }
    }
}

impl CompletionContent {
    fn take(&mut self, call: &CompletionCall, completion: Completion) {
        if let Some(model) = completion.model.filter(|model| **model != *call.model) {
            self.wrong_model = Some(model);
        }
        for choice in completion.choices {
            let text = match call.api {
                Api::Text => choice.text,
                Api::Chat => choice
                    .delta
                    .or(choice.message)
                    .and_then(|said| said.content),
            };
            self.text.push_str(text.as_deref().unwrap_or_default());
            self.finished |= choice.finish_reason.is_some();
        }
        self.usage = completion.usage.or(self.usage.take());
    }

    fn check(&self, call: &CompletionCall, request_id: &str) -> Result<(), Violation> {
        check_text(call, request_id, &self.text)?;
        if let Some(model) = &self.wrong_model {
            let detail = format!("response names model {model}");
            return Err(Violation::new(ViolationKind::WrongModel, detail));
        }
        if !self.finished {
            return Err(malformed("finish_reason is missing".to_owned()));
        }
        let tokens = self.usage.as_ref().map(|usage| usage.completion_tokens);
        if tokens != Some(call.max_tokens) {
            let detail = format!("{} tokens, usage reports {tokens:?}", call.max_tokens);
            return Err(Violation::new(ViolationKind::WrongUsage, detail));
        }
        Ok(())
    }
}

async fn next_event<S>(events: &mut EventStream<S>) -> Result<Option<Event>, Failure>
where
    S: Stream<Item = Result<Bytes, hyper::Error>> + Unpin,
{
    match events.next().await {
        None => Ok(None),
        Some(Ok(event)) => Ok(Some(event)),
        Some(Err(EventStreamError::Transport(error))) => Err(Failure::Disconnected {
            sent: true,
            detail: with_sources(&error),
        }),
        Some(Err(error)) => Err(malformed(format!("invalid event stream: {error}")).into()),
    }
}

async fn collect(body: Incoming) -> Result<Bytes, Failure> {
    match body.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(Failure::Disconnected {
            sent: true,
            detail: with_sources(&error),
        }),
    }
}

fn answer(headers: &HeaderMap, tokens: u32) -> Answer {
    Answer {
        tokens,
        served_by: text(headers, "x-served-by").map(Into::into),
        target: text(headers, "x-target").map(Into::into),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn malformed(detail: String) -> Violation {
    Violation::new(ViolationKind::Malformed, detail)
}

/// Formats an error followed by its chain of sources.
pub(crate) fn with_sources(error: &dyn StdError) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text.push_str(": ");
        text.push_str(&error.to_string());
        source = error.source();
    }
    text
}
