//! Descriptions of the requests to send.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::Class;
use serde::{Deserialize, Serialize};

/// One request, with everything that is needed to verify its response.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// The address to send it to.
    pub to: SocketAddr,
    /// The kind of server at that address.
    pub route: Route,
    /// The request id, unique within a run. Retries of a request keep it.
    pub request_id: Arc<str>,
    /// The call to make.
    pub call: Call,
    /// The requested class.
    pub class: Class,
    /// The idempotency key, if any.
    pub key: Option<Arc<str>>,
    /// The requested deadline. `None` leaves it to the service's default.
    pub deadline: Option<Duration>,
    /// The client's timeout: a response that is not complete by then counts as overdue.
    pub timeout: Duration,
}

impl RequestPlan {
    /// Returns whether running the request more than once would violate a guarantee.
    pub const fn runs_at_most_once(&self) -> bool {
        match &self.call {
            Call::Completion(_) => self.key.is_some(),
            Call::Plain(call) => self.key.is_some() || !call.idempotent,
        }
    }
}

/// The kind of server that a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    /// An instance of the system.
    System,
    /// An engine stand-in without the system in between, for comparison.
    Direct,
}

/// The call that a request makes.
#[derive(Clone, Debug)]
pub enum Call {
    /// A completion from an adapter version or a base model.
    Completion(CompletionCall),
    /// A call to a plain service.
    Plain(PlainCall),
}

/// A completion from an adapter version or a base model.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// `adapter@version`, or the name of a base model.
    pub model: Arc<str>,
    /// The endpoint to use.
    pub api: Api,
    /// Whether to request a streamed response.
    pub stream: bool,
    /// The exact number of tokens that the response must have.
    pub max_tokens: u32,
    /// The prompt.
    pub prompt: Arc<str>,
}

/// The completion endpoints of the OpenAI API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Api {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The name of the service.
    pub service: Arc<str>,
    /// The path within the service, with a leading slash.
    pub path: Arc<str>,
    /// The request body.
    pub body: Arc<str>,
    /// Whether the call is idempotent and may be repeated.
    pub idempotent: bool,
}
