//! Parses the members of a completion request's body that routing needs.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use chervilshunt_model::{Class, prefix_hash};
use serde_json::{Map, Value};

use super::problem::{Problem, Reason};

/// The maximum number of generated tokens if the request does not set one.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// The approximate number of bytes per token of English text.
const BYTES_PER_TOKEN: usize = 4;
/// The engine priority of deferrable work. Live work has 0, and lower values are scheduled first.
const DEFERRABLE_ENGINE_PRIORITY: u32 = 10;

/// The parsed body of a completion request, which is serialized again for the engine.
#[derive(Debug)]
pub(crate) struct Completion {
    body: Map<String, Value>,
    /// The model name as the caller sent it.
    pub(crate) model: String,
    /// The estimated length of the prompt, in tokens.
    pub(crate) prompt_tokens: u32,
    /// The maximum number of tokens to generate.
    pub(crate) max_tokens: u32,
    /// A hash of the start of the prompt.
    pub(crate) prefix: u64,
    /// Whether the caller asked for a stream of server-sent events.
    pub(crate) stream: bool,
}

impl Completion {
    /// Parses a body.
    ///
    /// # Errors
    /// Returns a problem if the body is not a JSON object, or if a member that routing needs is
    /// missing or has the wrong type.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, Problem> {
        let body: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|error| bad(format!("the body must be a JSON object: {error}")))?;
        let Some(model) = body.get("model").and_then(Value::as_str).map(str::to_owned) else {
            return Err(bad(
                "set the model as a string, \"model\": \"ADAPTER@VERSION\"".to_owned(),
            ));
        };
        let given = |name: &str| body.get(name).filter(|value| !value.is_null());
        let stream = match given("stream") {
            None => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(bad("\"stream\" must be true or false".to_owned())),
        };
        let max_tokens = match given("max_tokens").or_else(|| given("max_completion_tokens")) {
            None => DEFAULT_MAX_TOKENS,
            Some(value) => value
                .as_u64()
                .and_then(|value| u32::try_from(value).ok())
                .filter(|value| *value > 0)
                .ok_or_else(|| bad("\"max_tokens\" must be an integer of at least 1".to_owned()))?,
        };
        let prompt = match given("messages").or_else(|| given("prompt")) {
            Some(Value::String(prompt)) => prompt.as_bytes().to_vec(),
            Some(prompt @ Value::Array(_)) => serde_json::to_vec(prompt).unwrap_or_default(),
            _ => {
                return Err(bad(
                    "set \"messages\" to a list, or \"prompt\" to a string or list".to_owned(),
                ));
            }
        };
        let prefix = prefix_hash(&model, &prompt);
        let prompt_tokens =
            u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX);
        Ok(Self {
            body,
            model,
            prompt_tokens,
            max_tokens,
            prefix,
            stream,
        })
    }

    /// Serializes the body for the engine, with the engine priority of the request's class.
    pub(crate) fn into_engine_body(mut self, class: Class) -> Bytes {
        let priority = match class {
            Class::Live => 0,
            Class::Deferrable => DEFERRABLE_ENGINE_PRIORITY,
        };
        self.body.insert("priority".to_owned(), priority.into());
        serde_json::to_vec(&self.body).unwrap_or_default().into()
    }
}

fn bad(detail: String) -> Problem {
    Problem::not_run(Reason::BadRequest, detail)
}
