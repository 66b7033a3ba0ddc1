//! A stand-in for an LLM engine with the HTTP API of vLLM's server.
//!
//! It implements continuous batching: each step advances every running sequence by one token and
//! takes a fixed time plus a time per sequence. No model is evaluated; what matters is that a
//! response states correctly which adapter served each token.

mod batch;
mod cache;
mod command;
mod completion;
mod config;
mod faults;
mod meter;
mod orders;
mod reports;
mod routes;
mod slots;
mod state;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

pub use command::run;
pub use config::EngineStandinConfig;
pub use faults::EngineFaultChange;
pub use meter::{EngineCounts, EngineStats, PowerChange, peak_combined_power};

use crate::RunRecord;
use crate::command::Addresses;
use crate::runs::Runs;
use crate::serve::{self, Port};

/// A running engine stand-in; it serves until the runtime shuts down.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    /// Address of the API.
    pub address: SocketAddr,
    /// Address that serves `/standin/…` even while connections to the main address are refused.
    pub control: SocketAddr,
    engine: Arc<state::Engine>,
}

impl EngineStandin {
    pub(crate) fn addresses(&self) -> Addresses {
        Addresses {
            main: self.address,
            control: self.control,
        }
    }

    /// Updates the fault switches, as `POST /standin/faults` does.
    pub fn set_faults(&self, change: &EngineFaultChange) {
        self.engine.set_faults(change);
    }

    /// Returns the run record of the requests with this id.
    pub fn runs(&self, request_id: &str) -> RunRecord {
        self.engine.runs.get(request_id)
    }

    /// Returns the run records of all requests.
    pub fn all_runs(&self) -> &Runs {
        &self.engine.runs
    }

    /// Returns the statistics, as `GET /standin/stats` does.
    pub fn stats(&self) -> EngineStats {
        self.engine.stats()
    }

    /// Returns the recorded power changes, oldest first, as `GET /standin/power` does.
    pub fn power_changes(&self) -> Vec<PowerChange> {
        self.engine.power_changes()
    }
}

/// Starts an engine stand-in on the current Tokio runtime.
///
/// # Errors
/// Fails if one of its addresses cannot be bound.
pub async fn start_engine(cfg: EngineStandinConfig) -> io::Result<EngineStandin> {
    let (listen, control) = (cfg.listen, cfg.control);
    let port = Port::new();
    let engine = state::Engine::new(cfg, port.clone());
    engine.start_background();
    let shared = Arc::clone(&engine);
    let opened = serve::listen(listen, control, port, move |req| {
        routes::answer(Arc::clone(&shared), req)
    })
    .await?;
    Ok(EngineStandin {
        address: opened.main,
        control: opened.control,
        engine,
    })
}
