//! The registry of engine clients, shared by control and traffic threads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use crate::client::EngineClient;
use crate::identity::IdHeader;

/// The clients by target address; their connection pools outlive roles and requests.
#[derive(Clone, Debug, Default)]
pub struct EngineClients {
    clients: Arc<Mutex<HashMap<SocketAddr, EngineClient>>>,
    id_header: IdHeader,
}

impl EngineClients {
    /// Creates a registry of clients that compare this header of requests and answers.
    pub fn new(id_header: IdHeader) -> Self {
        Self {
            clients: Arc::default(),
            id_header,
        }
    }

    /// Returns the client of the target at `address`, which is created on first use.
    pub fn client(&self, address: SocketAddr) -> EngineClient {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients
            .entry(address)
            .or_insert_with(|| EngineClient::with_id_header(address, self.id_header.clone()))
            .clone()
    }

    /// Removes the clients of targets that no longer exist, with their idle connections.
    pub fn retain(&self, is_kept: impl Fn(&SocketAddr) -> bool) {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.retain(|address, _| is_kept(address));
    }
}
