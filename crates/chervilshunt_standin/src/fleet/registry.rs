//! Maintains the list of instances and targets (`EndpointSlice` objects) in place of the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio_util::task::AbortOnDropHandle;

use super::error::FleetError;
use super::http::HttpClient;
use super::wait::wait_until;

/// Timeout of a request to the platform.
const WRITE_BOUND: Duration = Duration::from_secs(2);

/// Wait before a failed write is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The state in which an endpoint is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It accepts requests.
    Ready,
    /// It responds, but its readiness probe fails.
    Unready,
    /// It is terminating: it finishes its open requests and accepts no new ones.
    Leaving,
}

/// A listed instance or target.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The name of the instance or target.
    pub name: String,
    /// The service under which it is listed.
    pub service: String,
    /// The availability zone.
    pub zone: String,
    /// The addresses by port name. All have the same IP address.
    pub ports: BTreeMap<&'static str, SocketAddr>,
    /// The listed state.
    pub condition: Condition,
}

impl Endpoint {
    /// Returns an `EndpointSlice` object that contains only this endpoint.
    ///
    /// Ports are a property of the slice, so endpoints with different ports can't share one.
    fn slice(&self) -> Value {
        let ip = self
            .ports
            .values()
            .next()
            .map(|address| address.ip().to_string());
        let ports: Vec<_> = self
            .ports
            .iter()
            .map(|(name, address)| json!({"name": name, "port": address.port()}))
            .collect();
        json!({
            "apiVersion": "discovery.k8s.io/v1",
            "kind": "EndpointSlice",
            "metadata": {
                "name": self.slice_name(),
                "labels": {"kubernetes.io/service-name": self.service},
            },
            "addressType": "IPv4",
            "endpoints": [{
                "addresses": [ip],
                "conditions": {
                    "ready": self.condition == Condition::Ready,
                    "serving": self.condition != Condition::Unready,
                    "terminating": self.condition == Condition::Leaving,
                },
                "targetRef": {"kind": "Pod", "name": self.name},
                "zone": self.zone,
            }],
            "ports": ports,
        })
    }

    fn slice_name(&self) -> String {
        format!("{}-{}", self.service, self.name)
    }
}

/// Writes the list of endpoints to the platform, and retries each change until it is accepted.
#[derive(Debug)]
pub struct Registry {
    state: Arc<State>,
    _task: AbortOnDropHandle<()>,
}

#[derive(Debug)]
struct State {
    http: HttpClient,
    collection: String,
    platform: SocketAddr,
    /// Changes that the platform has not accepted yet, by slice name. `None` deletes the slice.
    pending: Mutex<BTreeMap<String, Option<Value>>>,
    changed: Notify,
}

impl Registry {
    /// Starts a task that writes changes to a platform.
    pub fn start(platform: SocketAddr, namespace: &str) -> Self {
        let state = Arc::new(State {
            http: HttpClient::new(WRITE_BOUND),
            collection: format!("/apis/discovery.k8s.io/v1/namespaces/{namespace}/endpointslices"),
            platform,
            pending: Mutex::default(),
            changed: Notify::new(),
        });
        let task = AbortOnDropHandle::new(tokio::spawn(write_pending(Arc::clone(&state))));
        Self { state, _task: task }
    }

    /// Adds or updates an endpoint.
    pub fn set(&self, endpoint: &Endpoint) {
        self.change(endpoint.slice_name(), Some(endpoint.slice()));
    }

    /// Removes an endpoint.
    pub fn remove(&self, endpoint: &Endpoint) {
        self.change(endpoint.slice_name(), None);
    }

    /// Waits until the platform has accepted every change. Returns whether it did within `bound`.
    pub async fn wait_written(&self, bound: Duration) -> bool {
        let poll = || async { self.state.pending().is_empty().then_some(()) };
        wait_until(bound, poll).await.is_some()
    }

    fn change(&self, name: String, slice: Option<Value>) {
        self.state.pending().insert(name, slice);
        self.state.changed.notify_one();
    }
}

impl State {
    fn pending(&self) -> MutexGuard<'_, BTreeMap<String, Option<Value>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn write(&self, name: &str, slice: Option<&Value>) -> Result<bool, FleetError> {
        let path = format!("{}/{name}", self.collection);
        let Some(slice) = slice else {
            let reply = self
                .http
                .call(Method::DELETE, self.platform, &path, None)
                .await?;
            return Ok(reply.status.is_success() || reply.status == StatusCode::NOT_FOUND);
        };
        let reply = self
            .http
            .call(Method::PUT, self.platform, &path, Some(slice))
            .await?;
        if reply.status != StatusCode::NOT_FOUND {
            return Ok(reply.status.is_success());
        }
        let collection = &self.collection;
        let reply = self
            .http
            .call(Method::POST, self.platform, collection, Some(slice))
            .await?;
        Ok(reply.status.is_success())
    }
}

async fn write_pending(state: Arc<State>) {
    loop {
        let next = state
            .pending()
            .first_key_value()
            .map(|(k, v)| (k.clone(), v.clone()));
        let Some((name, slice)) = next else {
            state.changed.notified().await;
            continue;
        };
        let written = state.write(&name, slice.as_ref()).await;
        if !written.unwrap_or(false) {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let mut pending = state.pending();
        // The slice may have changed again during the write.
        if pending.get(&name) == Some(&slice) {
            pending.remove(&name);
        }
    }
}
