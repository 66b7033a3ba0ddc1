//! Polls engines for their load and the events of their prefix caches.

use std::collections::HashSet;
use std::time::Duration;

use chervilshunt_core::{AdapterReport, EngineReport};
use chervilshunt_engine::{CacheEventKind, EngineClient, LoadReport};
use chervilshunt_model::{AdapterVersion, Epoch, TargetName};

use super::actor::Control;
use super::messages::{EngineUpdate, FromEngine};

/// Interval between polls of an engine.
///
/// The owner counts requests by its own permits, so load reports only correct that count, and every
/// metrics page counts against the control traffic budget of a node; see `docs/CAPACITY.md`.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of prefixes that are remembered for one engine.
///
/// The set is cleared when it is full. Events can be lost, and a prefix whose removal was missed
/// would otherwise stay in the set forever.
const MAX_PREFIXES: usize = 4_096;

/// The prefixes that an engine has cached, according to events that arrive late and with gaps.
#[derive(Debug, Default)]
struct CachedPrefixes {
    /// Sequence number of the last event.
    last_sequence: u64,
    cached: HashSet<u64>,
}

impl CachedPrefixes {
    /// Applies the events since the last poll and returns the cached prefixes, or `None` if the
    /// events could not be read.
    async fn poll(&mut self, client: &EngineClient) -> Option<Vec<u64>> {
        let events = client.cache_events(self.last_sequence).await.ok()?;
        for event in events {
            // A sequence number below the last one means that the engine restarted with an empty
            // cache.
            if event.sequence < self.last_sequence || self.cached.len() >= MAX_PREFIXES {
                self.cached.clear();
            }
            self.last_sequence = event.sequence;
            match event.kind {
                CacheEventKind::Stored => self.cached.insert(event.prefix),
                CacheEventKind::Removed => self.cached.remove(&event.prefix),
            };
        }
        Some(self.cached.iter().copied().collect())
    }
}

impl Control {
    /// Polls an engine periodically while this instance owns it under `epoch`.
    pub(super) fn watch_engine(&self, target: &TargetName, epoch: Epoch) {
        let (Some(owned), Some(address)) = (self.targets.get(target), self.address.clone()) else {
            return;
        };
        if owned.target.slots == 0 {
            return;
        }
        let (client, target) = (owned.client.clone(), target.clone());
        tokio::spawn(async move {
            let mut prefixes = CachedPrefixes::default();
            loop {
                tokio::time::sleep(POLL_INTERVAL).await;
                let Some(update) = poll_engine(&client, epoch, &mut prefixes).await else {
                    continue;
                };
                let polled = FromEngine {
                    target: target.clone(),
                    update,
                };
                if !address.send(polled).await.unwrap_or(false) {
                    return;
                }
            }
        });
    }
}

/// Polls an engine once. Returns `None` if the engine answers but provides no load report.
///
/// Without polling, an engine that has crashed or hangs would go unnoticed while no order is sent
/// to it. Its owner would keep granting permits for it, each of which costs a caller an attempt or
/// its whole deadline. An engine counts as unreachable only if the inventory call fails too, as its
/// metrics page may be missing or malformed.
async fn poll_engine(
    client: &EngineClient,
    epoch: Epoch,
    prefixes: &mut CachedPrefixes,
) -> Option<EngineUpdate> {
    let Ok(report) = client.load_report().await else {
        let answers = client.inventory().await.is_ok();
        return (!answers).then_some(EngineUpdate::Unreachable);
    };
    let adapters = adapter_report(&report);
    let report = EngineReport {
        running: report.running,
        waiting: report.waiting,
        age: report.age.unwrap_or(POLL_INTERVAL),
    };
    let cached = prefixes.poll(client).await;
    Some(EngineUpdate::Polled {
        epoch,
        report,
        adapters,
        cached,
    })
}

/// Returns which adapters are in use, if the report shows that and when it was taken.
fn adapter_report(report: &LoadReport) -> Option<AdapterReport> {
    let running = report.running_adapters.iter();
    let running: Result<Vec<AdapterVersion>, _> =
        running.map(|name| AdapterVersion::parse(name)).collect();
    Some(AdapterReport {
        running: running.ok()?,
        waiting: report.waiting,
        age: report.age?,
    })
}
