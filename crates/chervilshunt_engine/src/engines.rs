//! The registry of engine clients, shared by control and traffic threads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use crate::client::EngineClient;

/// The clients by target address; their connection pools outlive roles and requests.
#[derive(Clone, Debug, Default)]
pub struct EngineClients(Arc<Mutex<HashMap<SocketAddr, EngineClient>>>);

impl EngineClients {
    /// Returns the client of the target at `address`, which is created on first use.
    pub fn client(&self, address: SocketAddr) -> EngineClient {
        let mut clients = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        clients
            .entry(address)
            .or_insert_with(|| EngineClient::new(address))
            .clone()
    }

    /// Removes the clients of targets that no longer exist, with their idle connections.
    pub fn retain(&self, is_kept: impl Fn(&SocketAddr) -> bool) {
        let mut clients = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        clients.retain(|address, _| is_kept(address));
    }
}
