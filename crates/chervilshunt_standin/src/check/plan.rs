//! What a caller is about to ask for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::Class;
use serde::{Deserialize, Serialize};

/// One request, complete enough to check its answer.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Where it goes.
    pub to: SocketAddr,
    /// What stands at that address.
    pub route: Route,
    /// The request's id, unique within a run; a repeated try of a keyed request keeps it.
    pub request_id: Arc<str>,
    /// What is called.
    pub call: Call,
    /// The class that is asked for.
    pub class: Class,
    /// The idempotency key, if any.
    pub key: Option<Arc<str>>,
    /// The deadline that is asked for; none leaves it to the service.
    pub deadline: Option<Duration>,
    /// The time after which the caller calls the answer overdue.
    pub patience: Duration,
}

impl RequestPlan {
    /// Returns whether more than one run would break a promise.
    pub const fn runs_at_most_once(&self) -> bool {
        match &self.call {
            Call::Completion(_) => self.key.is_some(),
            Call::Plain(call) => self.key.is_some() || !call.idempotent,
        }
    }
}

/// What stands at the address that a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    /// An instance of the system.
    System,
    /// An engine stand-in itself, for comparison.
    Direct,
}

/// What is called.
#[derive(Clone, Debug)]
pub enum Call {
    /// A completion by an adapter version.
    Completion(CompletionCall),
    /// A call of a plain service.
    Plain(PlainCall),
}

/// A completion by an adapter version.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// `adapter@version`, or a base model.
    pub model: Arc<str>,
    /// Which of the two forms of the API is used.
    pub api: Api,
    /// Whether the answer comes as a stream.
    pub stream: bool,
    /// The number of tokens that the answer has to have.
    pub max_tokens: u32,
    /// The prompt.
    pub prompt: Arc<str>,
}

/// The two forms of OpenAI's API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Api {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The service.
    pub service: Arc<str>,
    /// The path below the service, with its leading slash.
    pub path: Arc<str>,
    /// The body that is posted.
    pub body: Arc<str>,
    /// Whether the service allows the call to be repeated.
    pub idempotent: bool,
}
