//! A stand-in for a rate-limited weight store.
//!
//! Up to the configured concurrency, loads run in parallel at full speed. Beyond that they share
//! the total rate, so more concurrent loads do not raise the throughput and each one takes longer.

mod command;
#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
pub use command::run;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Empty};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::command::Addresses;
use crate::serve::{self, Answer, Port};

/// Interval at which a load in progress re-reads the number of active loads and updates its
/// progress.
const PROGRESS_PERIOD: Duration = Duration::from_millis(5);

/// Configuration of a weight-store stand-in.
#[derive(Clone, Debug)]
pub struct WeightsStandinConfig {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Address that serves `/standin/…` even while connections to the main address are refused.
    pub control: SocketAddr,
    /// Number of concurrent loads that run at full speed.
    pub concurrency: u32,
    /// Total rate of loads per second.
    pub loads_per_second: f64,
    /// Seed of the random faults.
    pub seed: u64,
}

impl Default for WeightsStandinConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            concurrency: 2,
            loads_per_second: 6.0,
            seed: 1,
        }
    }
}

/// A partial update of the fault switches; absent fields leave their switch unchanged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightsFaultChange {
    /// Refuses new connections and closes the existing ones.
    pub down: Option<bool>,
    /// The fraction of loads that fail, from 0 to 1.
    pub load_fails: Option<f64>,
    /// Added to the duration of each load, in milliseconds.
    pub slow_ms: Option<u64>,
}

/// Counters of a weight-store stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsStats {
    /// Loads requested.
    pub asked: u64,
    /// Loads that succeeded.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Loads in progress.
    pub active: u32,
    /// The highest number of concurrent loads.
    pub highest_active: u32,
}

/// A running weight-store stand-in; it serves until the runtime shuts down.
#[derive(Clone, Debug)]
pub struct WeightsStandin {
    /// Address of the weight store.
    pub address: SocketAddr,
    /// Address that serves `/standin/…` even while connections to the main address are refused.
    pub control: SocketAddr,
    store: Arc<Store>,
}

impl WeightsStandin {
    pub(crate) fn addresses(&self) -> Addresses {
        Addresses {
            main: self.address,
            control: self.control,
        }
    }

    /// Updates the fault switches, as `POST /standin/faults` does.
    pub fn set_faults(&self, change: &WeightsFaultChange) {
        self.store.set_faults(change);
    }

    /// Returns the counters, as `GET /standin/stats` does.
    pub fn stats(&self) -> WeightsStats {
        self.store.lock().stats
    }
}

/// Starts a weight-store stand-in on the current Tokio runtime.
///
/// # Errors
/// Fails if one of its addresses cannot be bound.
pub async fn start_weights(cfg: WeightsStandinConfig) -> io::Result<WeightsStandin> {
    let port = Port::new();
    let (listen, control) = (cfg.listen, cfg.control);
    let store = Arc::new(Store::new(cfg, port.clone()));
    let shared = Arc::clone(&store);
    let opened = serve::listen(listen, control, port, move |req| {
        answer(Arc::clone(&shared), req)
    })
    .await?;
    Ok(WeightsStandin {
        address: opened.main,
        control: opened.control,
        store,
    })
}

/// Fetches weights from a weight store and returns whether it succeeded.
pub(crate) async fn fetch(store: SocketAddr, source: &str) -> bool {
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{store}/weights/{source}");
    let Ok(uri) = uri.parse() else {
        return false;
    };
    let Ok(response) = client.get(uri).await else {
        return false;
    };
    response.status() == StatusCode::OK && response.into_body().collect().await.is_ok()
}

#[derive(Debug)]
struct Store {
    cfg: WeightsStandinConfig,
    port: Port,
    state: Mutex<StoreState>,
}

#[derive(Debug)]
struct StoreState {
    stats: WeightsStats,
    load_fails: f64,
    slow: Duration,
    rng: ChaCha8Rng,
}

/// A guard that counts a load as active until it ends, even if its client disconnects.
struct ActiveLoad<'a>(&'a Store);

impl Drop for ActiveLoad<'_> {
    fn drop(&mut self) {
        self.0.lock().stats.active -= 1;
    }
}

impl Store {
    fn new(cfg: WeightsStandinConfig, port: Port) -> Self {
        let state = StoreState {
            stats: WeightsStats::default(),
            load_fails: 0.0,
            slow: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
        };
        Self {
            cfg,
            port,
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, change: &WeightsFaultChange) {
        let mut state = self.lock();
        state.load_fails = change.load_fails.unwrap_or(state.load_fails);
        state.slow = change.slow_ms.map_or(state.slow, Duration::from_millis);
        drop(state);
        if let Some(down) = change.down {
            self.port.set_open(!down);
        }
    }

    fn begin(&self) -> ActiveLoad<'_> {
        let mut state = self.lock();
        state.stats.asked += 1;
        state.stats.active += 1;
        state.stats.highest_active = state.stats.highest_active.max(state.stats.active);
        ActiveLoad(self)
    }

    /// Returns the current speed of one load, in loads per second.
    fn speed(&self) -> f64 {
        let active = self.lock().stats.active.max(self.cfg.concurrency).max(1);
        self.cfg.loads_per_second / f64::from(active)
    }

    async fn load(&self) -> bool {
        let _active = self.begin();
        let slow = self.lock().slow;
        tokio::time::sleep(slow).await;
        let mut done = 0.0;
        let mut last = Instant::now();
        while done < 1.0 {
            tokio::time::sleep(PROGRESS_PERIOD).await;
            let now = Instant::now();
            done += self.speed() * (now - last).as_secs_f64();
            last = now;
        }
        let mut state = self.lock();
        let fails = state.load_fails.clamp(0.0, 1.0);
        let succeeded = !state.rng.random_bool(fails);
        state.stats.loads += u64::from(succeeded);
        state.stats.failed_loads += u64::from(!succeeded);
        succeeded
    }
}

async fn answer(store: Arc<Store>, req: Request<Incoming>) -> Answer {
    match (req.method(), req.uri().path()) {
        (&Method::POST, "/standin/faults") => {
            let change = match serve::read_faults::<WeightsFaultChange>(req).await? {
                Ok(change) => change,
                Err(refusal) => return Ok(refusal),
            };
            store.set_faults(&change);
            Ok(serve::json(StatusCode::OK, &serde_json::json!({})))
        }
        (&Method::GET, "/standin/stats") => {
            let stats = store.lock().stats;
            Ok(serve::json(StatusCode::OK, &stats))
        }
        (&Method::GET, path) if path.starts_with("/weights/") => {
            if store.load().await {
                Ok(serve::text(StatusCode::OK, "weights"))
            } else {
                Ok(serve::text(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "the load failed",
                ))
            }
        }
        _ => Ok(serve::text(StatusCode::NOT_FOUND, "no such path")),
    }
}
