//! Orders to an engine, and the query for the adapters that it holds.

use std::time::Duration;

use bytes::Bytes;
use chervilshunt_model::{AdapterVersion, Epoch};
use http::header::{CONTENT_TYPE, HOST, HeaderValue};
use http::{Method, Request, StatusCode, Uri};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::EngineClient;
use crate::answer::error_from_response;
use crate::call::{ConnectionUse, Limits};
use crate::client::Fetched;
use crate::error::{EngineError, FencedSnafu, MalformedSnafu};
use crate::headers::FENCING_TOKEN;

/// The time limits of an order.
///
/// They are long because a load waits for the weight store, and an order that times out may still
/// be executed.
const ORDER_LIMITS: Limits = Limits {
    connect: Duration::from_secs(1),
    head: Duration::from_secs(60),
    idle: Duration::from_secs(5),
    body: Duration::from_secs(5),
};
/// The time limits of a query.
const QUERY_LIMITS: Limits = Limits {
    connect: Duration::from_secs(1),
    head: Duration::from_secs(2),
    idle: Duration::from_secs(2),
    body: Duration::from_secs(2),
};
/// The maximum size of an answer to an order or a query.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// The text in vLLM's answer to a load of an adapter that it already holds.
const ALREADY_LOADED: &str = "already been loaded";

#[derive(Serialize)]
struct LoadBody<'a> {
    lora_name: &'a str,
    lora_path: &'a str,
}

#[derive(Serialize)]
struct UnloadBody<'a> {
    lora_name: &'a str,
}

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ModelEntry>,
}

#[derive(Deserialize)]
struct ModelEntry {
    id: String,
    /// The base model; only adapters have one.
    parent: Option<String>,
}

impl EngineClient {
    /// Orders the engine to load an adapter version.
    ///
    /// If the adapter is loaded already, this succeeds, so that an order whose answer was lost can
    /// be repeated.
    ///
    /// # Errors
    /// [`EngineError::Fenced`] if a higher epoch has given orders; see [`EngineError::outcome`].
    pub async fn load(
        &self,
        model: &AdapterVersion,
        source: &str,
        epoch: Epoch,
    ) -> Result<(), EngineError> {
        let name = model.to_string();
        let body = LoadBody {
            lora_name: &name,
            lora_path: source,
        };
        let answer = self.order("/v1/load_lora_adapter", &body, epoch).await?;
        match check_order(&answer) {
            Err(EngineError::Refused {
                status: StatusCode::BAD_REQUEST,
                message,
                ..
            }) if message.contains(ALREADY_LOADED) => Ok(()),
            result => result,
        }
    }

    /// Orders the engine to unload an adapter version.
    ///
    /// If the adapter is not loaded, this succeeds, so that an order whose answer was lost can be
    /// repeated.
    ///
    /// # Errors
    /// [`EngineError::Fenced`] if a higher epoch has given orders; see [`EngineError::outcome`].
    pub async fn unload(&self, model: &AdapterVersion, epoch: Epoch) -> Result<(), EngineError> {
        let name = model.to_string();
        let answer = self
            .order(
                "/v1/unload_lora_adapter",
                &UnloadBody { lora_name: &name },
                epoch,
            )
            .await?;
        match check_order(&answer) {
            Err(EngineError::AdapterMissing { .. }) => Ok(()),
            result => result,
        }
    }

    /// Returns the adapter versions that the engine holds.
    ///
    /// # Errors
    /// Fails if the engine is unreachable or its answer is invalid.
    pub async fn inventory(&self) -> Result<Vec<AdapterVersion>, EngineError> {
        let body = self.get("/v1/models", ConnectionUse::NEW).await?;
        let list: ModelList = match serde_json::from_slice(&body) {
            Ok(list) => list,
            Err(err) => {
                return MalformedSnafu {
                    problem: err.to_string(),
                }
                .fail();
            }
        };
        let adapters = list.data.into_iter().filter(|entry| entry.parent.is_some());
        // A name without a version is not an adapter of this system and cannot be requested.
        Ok(adapters
            .filter_map(|entry| AdapterVersion::parse(&entry.id).ok())
            .collect())
    }

    async fn order<T: Serialize>(
        &self,
        path: &'static str,
        body: &T,
        epoch: Epoch,
    ) -> Result<Fetched, EngineError> {
        let text = match serde_json::to_vec(body) {
            Ok(text) => text,
            Err(err) => {
                return MalformedSnafu {
                    problem: err.to_string(),
                }
                .fail();
            }
        };
        let mut req = self.request(Method::POST, path, text.into());
        let json = HeaderValue::from_static("application/json");
        req.headers_mut().insert(CONTENT_TYPE, json);
        req.headers_mut()
            .insert(FENCING_TOKEN, HeaderValue::from(epoch.get()));
        let answer = self.fetch(req, ConnectionUse::NEW, ORDER_LIMITS, MAX_ANSWER_BYTES);
        answer.await
    }

    /// Sends a read-only GET request and returns the body of the answer.
    pub(crate) async fn get(&self, path: &str, using: ConnectionUse) -> Result<Bytes, EngineError> {
        let req = self.request(Method::GET, path, Bytes::new());
        let answer = self.fetch(req, using, QUERY_LIMITS, MAX_ANSWER_BYTES);
        let answer = answer.await?;
        check_order(&answer)?;
        Ok(answer.body)
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
        if let Ok(host) = HeaderValue::from_str(&self.address().to_string()) {
            req.headers_mut().insert(HOST, host);
        }
        req
    }
}

fn check_order(answer: &Fetched) -> Result<(), EngineError> {
    let head = &answer.head;
    if head.status.is_success() {
        return Ok(());
    }
    let err = error_from_response(head.status, &head.headers, &answer.body, answer.proof);
    match err {
        EngineError::Refused {
            status: StatusCode::PRECONDITION_FAILED,
            message,
            ..
        } => FencedSnafu { message }.fail(),
        err => Err(err),
    }
}
