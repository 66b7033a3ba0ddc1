//! The state of an instance's roles, as it reports it for operators' queries over the whole
//! deployment.

use std::time::Duration;

use chervilshunt_core::{AdapterState, AdapterView, Permit};
use chervilshunt_model::{
    AdapterVersion, AttemptId, ChangeId, Class, Epoch, InstanceId, RegionName, Revision, SiteName,
    StoreName, TargetName, ZoneName,
};
use chervilshunt_query::Table;
use serde::{Deserialize, Serialize};

/// A snapshot of one instance's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct InstanceFacts {
    /// The id of the instance.
    pub(crate) instance: InstanceId,
    /// Its availability zone.
    pub(crate) zone: ZoneName,
    /// Its region.
    pub(crate) region: RegionName,
    /// Whether it accepts new requests.
    pub(crate) takes_work: bool,
    /// Whether it is shutting down.
    pub(crate) stopping: bool,
    /// The revision of the configuration that is in force on it.
    pub(crate) revision: Revision,
    /// The roles that it holds, in their text form.
    pub(crate) roles: Vec<String>,
    /// The targets that it owns.
    pub(crate) targets: Vec<TargetFacts>,
    /// The load schedulers that run on it.
    pub(crate) schedulers: Vec<SchedulerFacts>,
    /// The power allocators that run on it.
    pub(crate) allocators: Vec<AllocatorFacts>,
    /// Recent configuration changes.
    pub(crate) changes: ChangesFacts,
}

/// The configuration changes that one instance knows of.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ChangesFacts {
    /// The newest generation of the configuration head that the instance has read.
    pub(crate) generation: u64,
    /// The change that is in progress, if any.
    pub(crate) pending: Option<ChangeId>,
    /// The outcomes of recent changes, oldest first: the revision of an accepted change, or none
    /// for an abandoned one.
    pub(crate) outcomes: Vec<(ChangeId, Option<Revision>)>,
    /// For recent changes that were proposed through this instance, the number of changed objects.
    pub(crate) changed: Vec<(ChangeId, usize)>,
}

/// The state of one target as reported by its owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TargetFacts {
    /// The name of the target.
    pub(crate) target: TargetName,
    /// The fencing number of its current ownership.
    pub(crate) epoch: Epoch,
    /// Whether it answered the owner's last call.
    pub(crate) reachable: bool,
    /// The number of permits in use.
    pub(crate) running: usize,
    /// The number of queued requests.
    pub(crate) waiting: usize,
    /// Its share of the site's power, in watts.
    pub(crate) share_watts: f64,
    /// Adapter versions that are in its slots, are being loaded or unloaded, or are waited for.
    pub(crate) adapters: Vec<AdapterFacts>,
    /// The permits in use.
    pub(crate) permits: Vec<PermitFacts>,
}

/// The state of one adapter version on a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct AdapterFacts {
    /// The adapter version.
    pub(crate) model: AdapterVersion,
    /// Its state on the target.
    pub(crate) state: AdapterState,
    /// The number of requests that wait for it.
    pub(crate) waiters: usize,
    /// The class of the most urgent waiting request.
    pub(crate) class: Option<Class>,
    /// The time since its load was requested, in milliseconds.
    pub(crate) waited_ms: Option<u64>,
}

/// One permit in use.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PermitFacts {
    /// The attempt that the permit was granted to.
    pub(crate) attempt: AttemptId,
    /// The adapter version.
    pub(crate) model: Option<AdapterVersion>,
    /// The class of the request.
    pub(crate) class: Class,
    /// The entry instance that holds the permit.
    pub(crate) entry: InstanceId,
    /// The time since the permit was granted, in milliseconds.
    pub(crate) held_ms: u64,
}

/// The state of one load scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SchedulerFacts {
    /// The weight store.
    pub(crate) store: StoreName,
    /// The number of loads that have been granted a turn.
    pub(crate) in_progress: usize,
    /// The number of loads that wait for a turn.
    pub(crate) waiting: usize,
}

/// The state of one power allocator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct AllocatorFacts {
    /// The site.
    pub(crate) site: SiteName,
    /// The sum of all shares that are confirmed or may still be drawn, in watts.
    pub(crate) committed_watts: f64,
}

impl InstanceFacts {
    /// Removes everything that the given table does not show.
    ///
    /// The full state of an instance under full load takes some tens of kilobytes, mostly permits
    /// and adapters. If 369 other instances sent all of it for each query, a single query would
    /// cost more than an hour's worth of control traffic.
    pub(crate) fn shown_by(mut self, table: Table) -> Self {
        let shows = |tables: &[Table]| tables.contains(&table);
        if !shows(&[
            Table::Adapters,
            Table::Versions,
            Table::Targets,
            Table::Loads,
            Table::Permits,
        ]) {
            self.targets.clear();
        }
        for target in &mut self.targets {
            if !shows(&[Table::Permits]) {
                target.permits.clear();
            }
            if shows(&[Table::Permits]) {
                target.adapters.clear();
            }
        }
        if !shows(&[Table::Instances]) {
            self.roles.clear();
        }
        if !shows(&[Table::Stores]) {
            self.schedulers.clear();
        }
        if !shows(&[Table::Sites]) {
            self.allocators.clear();
        }
        if !shows(&[Table::Changes]) {
            self.changes = ChangesFacts::default();
        }
        self
    }
}

impl From<AdapterView> for AdapterFacts {
    fn from(view: AdapterView) -> Self {
        Self {
            model: view.model,
            state: view.state,
            waiters: view.waiters,
            class: view.class,
            waited_ms: view.load_requested_for.map(millis),
        }
    }
}

impl From<(&Permit, Duration)> for PermitFacts {
    fn from((permit, held): (&Permit, Duration)) -> Self {
        Self {
            attempt: permit.attempt,
            model: permit.model.clone(),
            class: permit.class,
            entry: permit.entry.clone(),
            held_ms: millis(held),
        }
    }
}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
