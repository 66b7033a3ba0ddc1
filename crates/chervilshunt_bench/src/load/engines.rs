//! Engines that receive the same load directly, for comparison.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use chervilshunt_standin::check::{Call, RequestPlan, Route};
use chervilshunt_standin::fleet::HttpClient;
use http::Method;
use serde::Deserialize;

use super::error::{EngineModelsSnafu, LoadError};

/// Engines and the models that each has loaded.
#[derive(Debug)]
pub(crate) struct Engines(Vec<Engine>);

#[derive(Debug)]
struct Engine {
    address: SocketAddr,
    base_model: Arc<str>,
    loaded: HashSet<Arc<str>>,
}

#[derive(Debug, Deserialize)]
struct ModelList {
    data: Vec<Model>,
}

#[derive(Debug, Deserialize)]
struct Model {
    id: Arc<str>,
    parent: Option<Arc<str>>,
}

impl Engines {
    /// Requests the list of loaded models from each engine.
    ///
    /// # Errors
    /// Returns an error if an engine does not answer, or its list is malformed or has no base
    /// model.
    pub(crate) async fn fetch(addresses: &[SocketAddr]) -> Result<Self, LoadError> {
        let client = HttpClient::default();
        let mut engines = Vec::new();
        for address in addresses {
            let failed = |problem: String| {
                EngineModelsSnafu {
                    engine: *address,
                    problem,
                }
                .build()
            };
            let reply = client
                .call(Method::GET, *address, "/v1/models", None)
                .await
                .map_err(|error| failed(error.to_string()))?;
            let list: ModelList =
                serde_json::from_str(&reply.text).map_err(|error| failed(error.to_string()))?;
            let base = list.data.iter().find(|model| model.parent.is_none());
            let base = base.ok_or_else(|| failed("the list has no base model".to_owned()))?;
            engines.push(Engine {
                address: *address,
                base_model: Arc::clone(&base.id),
                loaded: list
                    .data
                    .iter()
                    .map(|model| Arc::clone(&model.id))
                    .collect(),
            });
        }
        Ok(Self(engines))
    }

    /// Returns the same request addressed directly to an engine, if it is a completion.
    ///
    /// Prefers an engine that has the model loaded. If none has, the request asks for the base
    /// model instead, which costs a stand-in the same.
    pub(crate) fn direct(&self, request: &RequestPlan, number: usize) -> Option<RequestPlan> {
        let Call::Completion(call) = &request.call else {
            return None;
        };
        let from = number % self.0.len().max(1);
        let in_turn = || self.0[from..].iter().chain(&self.0[..from]);
        let holder = in_turn().find(|engine| engine.loaded.contains(&call.model));
        let engine = holder.or_else(|| in_turn().next())?;
        let mut call = call.clone();
        if holder.is_none() {
            call.model = Arc::clone(&engine.base_model);
        }
        Some(RequestPlan {
            to: engine.address,
            route: Route::Direct,
            request_id: format!("{}-direct", request.request_id).into(),
            call: Call::Completion(call),
            key: None,
            ..request.clone()
        })
    }
}
