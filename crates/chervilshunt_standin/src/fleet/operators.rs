//! Runs statements through the operators' port of an instance.

use std::net::SocketAddr;

use http::Method;
use serde_json::{Value, json};

use super::error::FleetError;
use super::http::{HttpClient, Reply};

const PATH: &str = "/v1/statements";

/// A client for the operators' statements of one instance.
#[derive(Clone, Debug)]
pub struct Statements {
    http: HttpClient,
    address: SocketAddr,
}

impl Statements {
    /// Creates a client for the operators' port at `address`.
    pub const fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Runs statements that must be accepted, and returns the JSON body of the response.
    ///
    /// # Errors
    /// Returns an error if no complete response is received or the statements are refused.
    pub async fn run(&self, text: &str) -> Result<Value, FleetError> {
        let body = json!({"text": text, "local": false});
        self.http
            .json(Method::POST, self.address, PATH, Some(&body))
            .await
    }

    /// Runs statements that the instance answers from its local state.
    ///
    /// # Errors
    /// Returns an error if no complete response is received or the statements are refused.
    pub async fn run_local(&self, text: &str) -> Result<Value, FleetError> {
        let body = json!({"text": text, "local": true});
        self.http
            .json(Method::POST, self.address, PATH, Some(&body))
            .await
    }

    /// Runs statements and returns the response regardless of its status.
    ///
    /// # Errors
    /// Returns an error if no complete response is received.
    pub async fn try_run(&self, text: &str) -> Result<Reply, FleetError> {
        let body = json!({"text": text, "local": false});
        self.http
            .call(Method::POST, self.address, PATH, Some(&body))
            .await
    }
}
