//! Applies what the platform reports: configuration, targets, versions and the lease.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chervilshunt_coord::ExclusiveLeaseEvent;
use chervilshunt_core::{
    Dispatch, EntryChange, ResidencyEvent, RouteTable, TargetFacts, TargetStart, Weights,
};
use chervilshunt_mesh::Peer;
use chervilshunt_model::{InstanceId, Moment, StoreRevision, TargetName};

use super::actor::Control;
use super::messages::StoreEvent;
use crate::dialect::{Change, Content, Entry, Kind};
use crate::peers::PeerMessage;

/// Time for which a target whose entry has gone is still used while the platform has had no
/// failures. Entries lapse during outages of the platform's service that are too short to be
/// noticed by any call of this instance, and are back soon; a target that leaves without notice
/// serves on for seconds.
const MISSING_GRACE: Duration = Duration::from_millis(600);
/// The same time after an outage of the platform's service, counted from the last failed call: the
/// entries of live targets are back within two seconds.
const OUTAGE_GRACE: Duration = Duration::from_millis(2_300);
/// Maximum number of targets that are logged because the configuration does not have their services.
const MAX_REPORTED_SERVICES: usize = 1_000;
/// Time by which the clock of a target may be ahead of this one.
const MAX_CLOCK_ERROR: Duration = Duration::from_hours(24);
/// Share of the targets whose entries disappear together from which this is taken for a lapse of
/// entries.
const LAPSE_SHARE: f64 = 0.34;

/// Targets whose entries have gone, and until when they are still used.
#[derive(Debug, Default)]
pub(super) struct MissingTargets {
    due: HashMap<TargetName, Moment>,
    last_outage: Option<Moment>,
}

impl MissingTargets {
    /// Returns when the next target has to be removed.
    pub(super) fn next_wakeup(&self) -> Option<Moment> {
        self.due.values().copied().min()
    }

    /// Records an event after which entries may be missing that are written again soon.
    pub(super) fn record_outage(&mut self, now: Moment) {
        self.last_outage = Some(now);
    }

    fn grace_end(&self, lapsed: bool, now: Moment) -> Moment {
        let calm = now + MISSING_GRACE;
        let trouble = self.last_outage.map(|at| at + OUTAGE_GRACE);
        let lapse = lapsed.then(|| now + OUTAGE_GRACE);
        [Some(calm), trouble, lapse]
            .into_iter()
            .flatten()
            .max()
            .unwrap_or(calm)
    }

    fn take_due(&mut self, now: Moment) -> Vec<TargetName> {
        let due = self.due.iter().filter(|(_, at)| **at <= now);
        let due: Vec<TargetName> = due.map(|(name, _)| name.clone()).collect();
        for name in &due {
            self.due.remove(name);
        }
        due
    }
}

impl Control {
    /// Handles an event from the platform's object service.
    pub(super) fn handle_store_event(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Listed(kind, entries, revision) => {
                self.handle_era(revision.era);
                self.apply_list(kind, entries, revision);
                self.record_poll(kind, revision);
            }
            StoreEvent::Changed(kind, changes) => {
                let revision = changes.revision;
                self.handle_era(revision.era);
                let mut removed = Vec::new();
                for change in changes.changes {
                    match change {
                        Change::Put(entry) => self.apply_entry(*entry),
                        // An entry that can't be decoded counts as removed until its target writes
                        // it again.
                        Change::Removed(name) | Change::Unreadable(name) => {
                            removed.push(name);
                        }
                    }
                }
                match kind {
                    Kind::Targets => {
                        let removed = removed.into_iter().map(TargetName::new);
                        self.handle_missing_targets(removed.collect(), revision);
                    }
                    Kind::Crashes => {
                        let removed = self.record_fingerprints(&removed);
                        self.crashes_removed(&removed, revision);
                    }
                    Kind::Configuration | Kind::Versions | Kind::Lease => {}
                }
                self.record_poll(kind, revision);
            }
            StoreEvent::CallFailed(kind) => {
                self.reaches_platform = false;
                self.feed.record_failure(kind);
                self.record_outage(kind);
            }
            StoreEvent::Recovered(kind) => self.record_outage(kind),
        }
    }

    /// Records that the platform failed until now. Only calls about targets show when entries of
    /// targets may have lapsed.
    fn record_outage(&mut self, kind: Kind) {
        self.lease_event(ExclusiveLeaseEvent::PlatformLost);
        match kind {
            Kind::Targets => {
                let now = self.now();
                self.missing_targets.record_outage(now);
            }
            // No instance can become the placer while the platform is unavailable.
            Kind::Lease => self.shared.set_placer_decided(),
            Kind::Configuration | Kind::Versions | Kind::Crashes => {}
        }
    }

    /// Records that everything of a kind is known up to a revision.
    fn record_poll(&mut self, kind: Kind, revision: StoreRevision) {
        self.reaches_platform = true;
        let now = self.now();
        let is_overdue = self.feed.record_answer(kind, now);
        self.follow_modes.guide(kind).polled(revision, now);
        if is_overdue {
            self.broadcast_status(now);
        }
    }

    fn apply_list(&mut self, kind: Kind, mut entries: Vec<Entry>, revision: StoreRevision) {
        if kind == Kind::Targets {
            entries = self.without_restored_targets(entries, revision);
        }
        let names: Vec<Arc<str>> = entries.iter().map(|it| Arc::clone(&it.name)).collect();
        for entry in entries {
            self.apply_entry(entry);
        }
        match kind {
            Kind::Targets => {
                let names: Vec<TargetName> = names.into_iter().map(TargetName::new).collect();
                self.shared.set_targets_known(names.len());
                let known = self.shared.dispatch();
                let unlisted = known.targets().filter(|it| !names.contains(&it.name));
                let unlisted = unlisted.map(|it| it.name.clone()).collect();
                drop(known);
                self.handle_missing_targets(unlisted, revision);
            }
            Kind::Crashes => {
                let listed = self.record_fingerprints(&names);
                self.crashes_listed(&listed.into_iter().collect(), revision);
                self.record_lost_crashes();
            }
            Kind::Lease if names.is_empty() => self.lease_event(ExclusiveLeaseEvent::Seen(None)),
            Kind::Lease | Kind::Configuration | Kind::Versions => {}
        }
    }

    fn apply_entry(&mut self, entry: Entry) {
        let revision = entry.revision;
        match entry.content {
            Content::Configuration(table) => self.apply_configuration(table, revision),
            Content::Target(facts) => {
                self.restored_targets.remove(&facts.name);
                self.apply_listed_target(facts, revision);
            }
            Content::Version(weights, version) => self.apply_version(weights, version, revision),
            Content::Crashes(crashes) => self.crashes_recorded(crashes, revision),
            Content::Lease(seen) => self.lease_event(ExclusiveLeaseEvent::Seen(Some(seen))),
        }
    }

    /// Applies a configuration unless the current one is at least as new.
    fn apply_configuration(&mut self, table: RouteTable, revision: StoreRevision) {
        let known = self.shared.routes.load_full();
        let known = known.map(|known| known.version);
        if known.is_some_and(|known| known >= table.version) {
            return;
        }
        slog::info!(self.shared.log, "configuration in force";
            "version" => table.version, "before" => known,
            "routes" => table.route_count(), "services" => table.services.len());
        metrics::gauge!("chervilshunt_configuration_version").set(table.version as f64);
        self.feed.configuration_changed(revision);
        let table = Arc::new(table);
        self.shared.routes.store(Some(Arc::clone(&table)));
        self.plan_limits(&table);
        self.apply_quotas(&table, self.now());
    }

    /// Passes the limits of what targets may hold to the planner.
    pub(super) fn plan_limits(&mut self, table: &RouteTable) {
        for spec in table.services.values() {
            if let Some(limits) = &spec.placement {
                self.plan(ResidencyEvent::Limits(spec.name.clone(), limits.clone()));
            }
        }
        if self.placer.is_some() {
            let targets: Vec<_> = self.shared.dispatch().targets().cloned().collect();
            for facts in targets {
                self.plan(ResidencyEvent::TargetListed(facts));
            }
        }
    }

    /// Applies a target's entry from the platform.
    fn apply_listed_target(&mut self, facts: TargetFacts, revision: StoreRevision) {
        let now = self.now();
        self.update_target(facts, revision, |dispatch, facts| {
            dispatch.target_listed(facts, now)
        });
    }

    /// Applies a target's entry from the placer.
    pub(super) fn apply_forwarded_target(&mut self, facts: TargetFacts, revision: StoreRevision) {
        let now = self.now();
        self.update_target(facts, revision, |dispatch, facts| {
            dispatch.target_forwarded(facts, now)
        });
    }

    fn update_target(
        &mut self,
        facts: TargetFacts,
        revision: StoreRevision,
        take: impl FnOnce(&mut Dispatch, TargetFacts) -> EntryChange,
    ) {
        let name = facts.name.clone();
        if !self.is_start_plausible(&facts, SystemTime::now()) {
            return;
        }
        let mut dispatch = self.shared.dispatch();
        let before = dispatch.target(&name).cloned();
        let change = take(&mut dispatch, facts);
        // These facts include what the target itself has reported, which its entry may not show
        // yet.
        let facts = dispatch.target(&name).cloned();
        drop(dispatch);
        if let Some(facts) = facts.filter(|_| change != EntryChange::Outdated) {
            self.handle_target_change(facts, before, change, revision);
        }
    }

    /// Returns whether an entry states a start that its target can have. One in the far future, of another
    /// writer, would make all later entries of the target outdated.
    fn is_start_plausible(&mut self, facts: &TargetFacts, now: SystemTime) -> bool {
        let latest = now.duration_since(UNIX_EPOCH).unwrap_or_default() + MAX_CLOCK_ERROR;
        let started = facts.started.map(|it| Duration::from_millis(it.0));
        let Some(started) = started.filter(|it| *it > latest) else {
            self.of_future_starts.remove(&facts.name);
            return true;
        };
        if self.of_future_starts.len() < MAX_REPORTED_SERVICES
            && self.of_future_starts.insert(facts.name.clone())
        {
            slog::warn!(self.shared.log, "target entry ignored: its start is in the future";
                "target" => facts.name.as_str(), "started_ms" => started.as_millis() as u64);
        }
        false
    }

    fn handle_target_change(
        &mut self,
        facts: TargetFacts,
        before: Option<TargetFacts>,
        change: EntryChange,
        revision: StoreRevision,
    ) {
        self.report_unknown_service(&facts);
        let was_absent = self.missing_targets.due.remove(&facts.name).is_some();
        let before = before.as_ref();
        if was_absent || before.is_none_or(|before| before.needs_broadcast(&facts)) {
            self.feed.target_changed(&facts, revision);
        }
        // Of the first list only the length is logged: one line for each of thousands of targets
        // would be most of the work of an instance that starts.
        let is_logged = before.is_some() || self.shared.are_targets_known();
        let was_leaving = before.map(|it| it.leaving.is_some());
        if is_logged && was_leaving != Some(facts.leaving.is_some()) {
            slog::info!(self.shared.log, "target";
                "target" => facts.name.as_str(), "service" => facts.service.as_str(),
                "address" => facts.address.to_string(), "leaving" => facts.leaving.is_some());
        }
        let same_models = match before {
            Some(before) => before.lists_same_models(&facts),
            None => facts.models.is_empty(),
        };
        if is_logged && !same_models {
            let models_before = before.map(TargetFacts::model_versions).unwrap_or_default();
            slog::info!(self.shared.log, "target models";
                "target" => facts.name.as_str(), "models" => ?facts.model_versions(),
                "before" => ?models_before);
        }
        if change == EntryChange::Restarted {
            slog::info!(self.shared.log, "target restarted";
                "target" => facts.name.as_str(), "started" => facts.started.map(|it| it.0));
            // A connection to the previous start is useless, and may never report an error.
            self.shared.engines.retain(|it| *it != facts.address);
        }
        self.plan(ResidencyEvent::TargetListed(facts));
    }

    /// Logs once that the configuration does not have the service of a target, which gets no requests therefore.
    fn report_unknown_service(&mut self, facts: &TargetFacts) {
        let routes = self.shared.routes.load();
        let is_known = |it: &Arc<RouteTable>| it.services.contains_key(&facts.service);
        if routes.as_ref().is_none_or(is_known) {
            self.of_unknown_services.remove(&facts.name);
            return;
        }
        if self.of_unknown_services.len() < MAX_REPORTED_SERVICES
            && self.of_unknown_services.insert(facts.name.clone())
        {
            slog::warn!(self.shared.log, "target of unknown service";
                "target" => facts.name.as_str(), "service" => facts.service.as_str());
        }
    }

    /// Handles a report, by another instance or by a request of this one, that a target is leaving.
    pub(super) fn handle_leaving(
        &mut self,
        target: &TargetName,
        started: Option<TargetStart>,
        from: &InstanceId,
    ) {
        let mut dispatch = self.shared.dispatch();
        let is_new = dispatch.leaving_reported(target, started);
        let facts = dispatch.target(target).cloned();
        drop(dispatch);
        if is_new {
            slog::info!(self.shared.log, "target reported as leaving";
                "target" => target.as_str(), "by" => from.as_str());
        }
        let Some(placer) = &self.placer else {
            return;
        };
        // A leave that a request of this instance has discovered is recorded already, so it doesn't
        // count as new.
        if is_new || from == self.own_id() {
            let peers: Vec<Peer> = placer.presence.peers().collect();
            for peer in peers.iter().filter(|it| it.instance != *from) {
                self.send(peer, PeerMessage::Leaving(target.clone(), started));
            }
        }
        if let Some(facts) = facts {
            self.plan(ResidencyEvent::TargetListed(facts));
        }
    }

    /// Applies the newest version of some weights unless a newer one is known.
    pub(super) fn apply_version(
        &mut self,
        weights: Weights,
        version: u64,
        revision: StoreRevision,
    ) {
        let now = self.now();
        let known = self.versions.get(&weights).copied();
        if known.is_some_and(|known| known > version) {
            return;
        }
        self.versions.insert(weights.clone(), version);
        if known != Some(version) {
            self.feed.version_announced(&weights, version, revision);
            slog::info!(self.shared.log, "version announced";
                "weights" => weights.to_string(), "version" => version,
                "previous_version" => known, "revision" => revision.number);
        }
        self.shared
            .dispatch()
            .version_announced(weights.clone(), version, now);
        if known != Some(version) {
            self.shared.version_announced.send_replace(());
        }
        self.plan(ResidencyEvent::VersionAnnounced(weights, version));
    }

    /// Handles the disappearance of targets' entries.
    pub(super) fn handle_missing_targets(
        &mut self,
        names: Vec<TargetName>,
        revision: StoreRevision,
    ) {
        if names.is_empty() {
            return;
        }
        self.feed.targets_gone(&names, revision);
        let now = self.now();
        let dispatch = self.shared.dispatch();
        // Entries of other programs name no target, or one of a service that nobody uses. They show nothing
        // about the entries of the others.
        let counts = |name: &TargetName| !self.of_unknown_services.contains(name);
        let known = dispatch.targets().filter(|it| counts(&it.name)).count();
        let mut missing = names;
        missing.retain(|it| dispatch.target(it).is_some());
        drop(dispatch);
        let together = missing.iter().filter(|it| counts(it)).count();
        let lapsed = together > 1 && together as f64 >= known as f64 * LAPSE_SHARE;
        let end = self.missing_targets.grace_end(lapsed, now);
        for name in missing {
            slog::info!(self.shared.log, "target not listed";
                "target" => name.as_str(), "used_for_ms" => now.until(end).as_millis() as u64);
            self.missing_targets.due.insert(name, end);
        }
    }

    /// Removes targets whose grace period has ended.
    pub(super) fn remove_missing_targets(&mut self, now: Moment) {
        let due = self.missing_targets.take_due(now);
        if due.is_empty() {
            return;
        }
        for name in due {
            slog::info!(self.shared.log, "target removed"; "target" => name.as_str());
            self.shared.dispatch().target_gone(&name);
            self.of_unknown_services.remove(&name);
            self.plan(ResidencyEvent::TargetGone(name));
        }
        let dispatch = self.shared.dispatch();
        let addresses: Vec<_> = dispatch.targets().map(|it| it.address).collect();
        drop(dispatch);
        self.shared
            .engines
            .retain(|address| addresses.contains(address));
    }
}
