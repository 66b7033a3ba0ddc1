//! Reading what an engine reports of itself: its load and its prefix cache.

use std::collections::HashSet;
use std::time::Duration;

use chervilshunt_core::EngineReport;
use chervilshunt_engine::{CacheEventKind, EngineClient};
use chervilshunt_model::{Epoch, TargetName};

use super::actor::Control;
use super::messages::{EngineNews, FromEngine};

/// The time between two looks at an engine.
///
/// The owner sees every request by its own permits, so reports only correct it, and a metrics page
/// counts against the bytes that a node may spend on control; see `docs/CAPACITY.md`.
const LOOK_EVERY: Duration = Duration::from_secs(5);
/// The most prefixes that are remembered of one engine; beyond it the memory starts anew, as events
/// come with gaps and a forgotten removal would otherwise stay for ever.
const MOST_PREFIXES: usize = 4_096;

/// The prefixes that an engine seems to hold, by events that come late and with gaps.
#[derive(Debug, Default)]
struct SeenPrefixes {
    after: u64,
    cached: HashSet<u64>,
}

impl SeenPrefixes {
    /// Takes in what happened since the last look; returns the prefixes now, if that could be asked.
    async fn look(&mut self, client: &EngineClient) -> Option<Vec<u64>> {
        let events = client.cache_events(self.after).await.ok()?;
        for event in events {
            // A lower number than the last one means that the engine has restarted, empty.
            if event.sequence < self.after || self.cached.len() >= MOST_PREFIXES {
                self.cached.clear();
            }
            self.after = event.sequence;
            match event.kind {
                CacheEventKind::Stored => self.cached.insert(event.prefix),
                CacheEventKind::Removed => self.cached.remove(&event.prefix),
            };
        }
        Some(self.cached.iter().copied().collect())
    }
}

impl Control {
    /// Looks at an engine again and again while this instance owns it under `epoch`.
    pub(super) fn watch_engine(&self, target: &TargetName, epoch: Epoch) {
        let (Some(owned), Some(address)) = (self.targets.get(target), self.address.clone()) else {
            return;
        };
        if owned.target.slots == 0 {
            return;
        }
        let (client, target) = (owned.client.clone(), target.clone());
        tokio::spawn(async move {
            let mut prefixes = SeenPrefixes::default();
            loop {
                tokio::time::sleep(LOOK_EVERY).await;
                let Some(news) = look(&client, epoch, &mut prefixes).await else {
                    continue;
                };
                let looked = FromEngine {
                    target: target.clone(),
                    news,
                };
                if !address.send(looked).await.unwrap_or(false) {
                    return;
                }
            }
        });
    }
}

/// Looks at an engine once; returns nothing if it answers but gives no report.
///
/// An engine that is gone or hangs fails no order as long as none is given, so that its owner would
/// go on granting permits for it, each of which costs a caller a try or its whole deadline. Only
/// one that answers neither question is lost: a page of metrics may be missing or malformed.
async fn look(
    client: &EngineClient,
    epoch: Epoch,
    prefixes: &mut SeenPrefixes,
) -> Option<EngineNews> {
    let Ok(report) = client.load_report().await else {
        let answers = client.inventory().await.is_ok();
        return (!answers).then_some(EngineNews::Unreachable);
    };
    let report = EngineReport {
        running: report.running,
        waiting: report.waiting,
        age: report.age.unwrap_or(LOOK_EVERY),
    };
    let cached = prefixes.look(client).await;
    Some(EngineNews::Looked {
        epoch,
        report,
        cached,
    })
}
