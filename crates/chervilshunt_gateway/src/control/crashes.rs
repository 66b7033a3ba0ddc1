//! The platform's crash records: requests that crash targets.

use std::collections::HashSet;
use std::sync::Arc;

use chervilshunt_core::{Fingerprint, StoredCrashes};
use chervilshunt_model::{Moment, StoreRevision};

use super::actor::Control;
use crate::crashes::remove_record;

impl Control {
    /// Applies a crash record as the platform has it.
    pub(super) fn crashes_recorded(&mut self, crashes: StoredCrashes, revision: StoreRevision) {
        let now = self.now();
        self.feed.crashes_recorded(&crashes, revision);
        let fingerprint = crashes.fingerprint;
        let count = crashes.record.targets.len();
        let mut quarantine = self.shared.quarantine();
        let is_new = quarantine.merge_stored(crashes, now);
        let refused_until = quarantine.refused_until(fingerprint, now);
        drop(quarantine);
        if is_new {
            slog::info!(self.shared.log, "crash record received";
                "content" => fingerprint.to_string(), "crashes" => count,
                "refused_for_s" => refused_until.map(|until| now.until(until).as_secs()));
        }
    }

    /// Returns the requests that records are about, taken from the records' names.
    pub(super) fn record_fingerprints(&self, names: &[Arc<str>]) -> Vec<Fingerprint> {
        let read = self.shared.dialect.store.decode_crashes_name;
        // A record under another name was not written by this system and identifies no request.
        names.iter().filter_map(|name| read(name).ok()).collect()
    }

    /// Handles the removal of records at the platform.
    pub(super) fn crashes_removed(&mut self, removed: &[Fingerprint], revision: StoreRevision) {
        self.feed.crashes_removed(removed, revision);
        for fingerprint in removed {
            if self.shared.quarantine().release(*fingerprint) {
                self.report_released(*fingerprint, "record removed");
            }
        }
    }

    /// Reconciles the quarantine with the records that the platform lists.
    pub(super) fn crashes_listed(
        &mut self,
        listed: &HashSet<Fingerprint>,
        revision: StoreRevision,
    ) {
        let gone = self.shared.quarantine().reconcile(listed);
        if gone.is_empty() {
            return;
        }
        self.feed.crashes_removed(&gone, revision);
        for fingerprint in gone {
            self.report_released(fingerprint, "record not listed");
        }
    }

    /// Drops crashes whose retention time has passed; the placer also removes their records.
    pub(super) fn expire_crashes(&self, now: Moment) {
        let expired = self.shared.quarantine().take_expired(now);
        for fingerprint in expired {
            self.report_released(fingerprint, "expired");
            if self.placer.is_some() {
                let (shared, exchange) = (Arc::clone(&self.shared), Arc::clone(&self.exchange));
                tokio::spawn(async move { remove_record(&shared, &exchange, fingerprint).await });
            }
        }
    }

    fn report_released(&self, fingerprint: Fingerprint, reason: &str) {
        slog::info!(self.shared.log, "request released";
            "content" => fingerprint.to_string(), "reason" => reason);
    }
}
