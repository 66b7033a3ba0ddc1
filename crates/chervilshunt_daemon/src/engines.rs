//! One client for each target address, shared by control and traffic threads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use chervilshunt_engine::EngineClient;

/// The clients by address; their connection pools outlive roles and requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engines(Arc<Mutex<HashMap<SocketAddr, EngineClient>>>);

impl Engines {
    /// Returns the client of the target at `address`.
    pub(crate) fn client(&self, address: SocketAddr) -> EngineClient {
        let mut clients = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        clients
            .entry(address)
            .or_insert_with(|| EngineClient::new(address))
            .clone()
    }
}
