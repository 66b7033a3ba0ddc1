//! Statements at an operators' port.

use std::net::SocketAddr;

use http::Method;
use serde_json::{Value, json};

use super::error::FleetError;
use super::http::{HttpClient, Reply};

const PATH: &str = "/v1/statements";

/// Sends operators' statements to one instance.
#[derive(Clone, Debug)]
pub struct Statements {
    http: HttpClient,
    address: SocketAddr,
}

impl Statements {
    /// Sends to the operators' port at `address`.
    pub const fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Runs statements that have to be accepted, and returns the answer's JSON.
    ///
    /// # Errors
    /// Fails if no whole answer comes, or a refusal.
    pub async fn run(&self, text: &str) -> Result<Value, FleetError> {
        let body = json!({"text": text, "local": false});
        self.http
            .json(Method::POST, self.address, PATH, Some(&body))
            .await
    }

    /// Runs statements that this instance answers from what it knows itself.
    ///
    /// # Errors
    /// Fails if no whole answer comes, or a refusal.
    pub async fn run_local(&self, text: &str) -> Result<Value, FleetError> {
        let body = json!({"text": text, "local": true});
        self.http
            .json(Method::POST, self.address, PATH, Some(&body))
            .await
    }

    /// Runs statements and returns the answer whatever it is.
    ///
    /// # Errors
    /// Fails if no whole answer comes.
    pub async fn try_run(&self, text: &str) -> Result<Reply, FleetError> {
        let body = json!({"text": text, "local": false});
        self.http
            .call(Method::POST, self.address, PATH, Some(&body))
            .await
    }
}
