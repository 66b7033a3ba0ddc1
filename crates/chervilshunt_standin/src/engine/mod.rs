//! A stand-in for a model engine as vLLM's HTTP server shows it.
//!
//! It batches continuously: each step advances every running sequence by one token, and takes a
//! fixed time and a time per sequence. Nothing is computed; what matters is that an answer tells
//! truthfully which adapter served each token.

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
pub use meter::{EngineCounts, EngineStats, PowerChange, highest_power_together};

use crate::RunRecord;
use crate::command::Addresses;
use crate::runs::Runs;
use crate::serve::{self, Port};

/// A running engine stand-in; it serves until the runtime ends.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where its own paths are answered also while connections to the other are refused.
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

    /// Changes the faults in force, as `POST /standin/faults` does.
    pub fn set_faults(&self, change: &EngineFaultChange) {
        self.engine.set_faults(change);
    }

    /// Returns what became of the requests with this id.
    pub fn runs(&self, request_id: &str) -> RunRecord {
        self.engine.runs.get(request_id)
    }

    /// Returns every request's record.
    pub fn all_runs(&self) -> &Runs {
        &self.engine.runs
    }

    /// Returns the counters, as `GET /standin/stats` does.
    pub fn stats(&self) -> EngineStats {
        self.engine.stats()
    }

    /// Returns the changes of its power, oldest first, as `GET /standin/power` does.
    pub fn power_changes(&self) -> Vec<PowerChange> {
        self.engine.power_changes()
    }
}

/// Starts an engine stand-in on the present runtime.
///
/// # Errors
/// Fails if its address can't be listened on.
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
