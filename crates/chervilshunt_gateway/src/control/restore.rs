//! Handles a restore of the platform's object service from an older copy.
//!
//! See `docs/design/store-restored.md`.

use std::sync::Arc;

use chervilshunt_coord::ExclusiveLeaseEvent;
use chervilshunt_model::StoreRevision;
use tokio::sync::watch;

use super::actor::Control;
use crate::crashes::rewrite_record;
use crate::dialect::{Content, Entry};

impl Control {
    /// Returns the channel that carries the service's newest era.
    pub(crate) fn era(&self) -> watch::Sender<u64> {
        self.era.clone()
    }

    /// Handles the era of an answer of the service.
    ///
    /// After a restore, entries of targets may be missing until they are written again, as after an
    /// outage. The newest known configuration and versions, and which targets are known to be
    /// leaving, stay as they are.
    pub(super) fn handle_era(&mut self, era: u64) {
        let known = self.known_era;
        if known.is_some_and(|known| era <= known) {
            return;
        }
        self.known_era = Some(era);
        self.lease_event(ExclusiveLeaseEvent::Era(era));
        self.era
            .send_if_modified(|newest| std::mem::replace(newest, era.max(*newest)) < era);
        let Some(known) = known else {
            return;
        };
        let now = self.now();
        self.missing_targets.record_outage(now);
        self.shared.quarantine().handle_restore();
        self.shared.record_streams_again();
        slog::warn!(self.shared.log, "platform restored from a copy"; "era" => era, "before" => known,
            "placing" => self.placer.is_some());
    }

    /// Removes entries of targets that were gone and that a restore has brought back. If such a
    /// target is alive, it writes its entry again.
    pub(super) fn without_restored_targets(
        &mut self,
        entries: Vec<Entry>,
        listed: StoreRevision,
    ) -> Vec<Entry> {
        if self.listed_era.is_some_and(|era| era < listed.era) {
            let dispatch = self.shared.dispatch();
            let gone = entries.iter().filter_map(|entry| match &entry.content {
                Content::Target(facts) if dispatch.is_removed_start(facts) => {
                    Some((facts.name.clone(), entry.revision))
                }
                _ => None,
            });
            self.restored_targets = gone.collect();
            drop(dispatch);
            for name in self.restored_targets.keys() {
                slog::info!(self.shared.log, "outdated target entry brought back by a restore"; "target" => name.as_str());
            }
        }
        self.listed_era = Some(listed.era);
        let is_written_again = |entry: &Entry| match &entry.content {
            Content::Target(facts) => {
                let restored_targets = self.restored_targets.get(&facts.name);
                restored_targets.is_none_or(|revision| entry.revision > *revision)
            }
            _ => true,
        };
        entries.into_iter().filter(is_written_again).collect()
    }

    /// Rewrites crash records that a restore has lost, if this instance is the placer.
    pub(super) fn record_lost_crashes(&self) {
        if self.placer.is_none() {
            return;
        }
        let lacking = self.shared.quarantine().missing_records();
        for fingerprint in lacking {
            let (shared, exchange) = (Arc::clone(&self.shared), Arc::clone(&self.exchange));
            tokio::spawn(async move { rewrite_record(shared, exchange, fingerprint).await });
        }
    }
}
