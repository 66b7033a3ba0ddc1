//! What one instance knows of its own roles, for operators' questions about the whole deployment.

use std::time::Duration;

use chervilshunt_core::{AdapterState, AdapterView, Permit};
use chervilshunt_model::{
    AdapterVersion, AttemptId, ChangeId, Class, Epoch, InstanceId, RegionName, Revision, SiteName,
    StoreName, TargetName, ZoneName,
};
use chervilshunt_query::Table;
use serde::{Deserialize, Serialize};

/// One instance's state at one moment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct InstanceFacts {
    /// The instance.
    pub(crate) instance: InstanceId,
    /// Its availability zone.
    pub(crate) zone: ZoneName,
    /// Its region.
    pub(crate) region: RegionName,
    /// Whether it takes new work.
    pub(crate) takes_work: bool,
    /// Whether it is shutting down.
    pub(crate) stopping: bool,
    /// The revision of the configuration that it has in force.
    pub(crate) revision: Revision,
    /// The roles that it holds, as text.
    pub(crate) roles: Vec<String>,
    /// The targets that it owns.
    pub(crate) targets: Vec<TargetFacts>,
    /// The load schedulers that it runs.
    pub(crate) schedulers: Vec<SchedulerFacts>,
    /// The power allocators that it runs.
    pub(crate) allocators: Vec<AllocatorFacts>,
    /// The changes of configuration of late.
    pub(crate) changes: ChangesFacts,
}

/// The changes of configuration that one instance knows of.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ChangesFacts {
    /// The generation of the configuration's head that it has seen; a higher one is newer.
    pub(crate) generation: u64,
    /// The change under way.
    pub(crate) pending: Option<ChangeId>,
    /// The outcomes of the latest changes, oldest first: none for one that was given up.
    pub(crate) outcomes: Vec<(ChangeId, Option<Revision>)>,
    /// The objects changed by the latest changes that were proposed at the instance.
    pub(crate) changed: Vec<(ChangeId, usize)>,
}

/// One target as its owner sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TargetFacts {
    /// The target.
    pub(crate) target: TargetName,
    /// The fencing number under which it is owned.
    pub(crate) epoch: Epoch,
    /// Whether it answered last time.
    pub(crate) reachable: bool,
    /// Permits that are out.
    pub(crate) running: usize,
    /// Requests that wait.
    pub(crate) waiting: usize,
    /// Its share of power, in watts.
    pub(crate) share_watts: f64,
    /// Adapter versions in its slots, on their way, or waited for.
    pub(crate) adapters: Vec<AdapterFacts>,
    /// Permits that are out, one by one.
    pub(crate) permits: Vec<PermitFacts>,
}

/// One adapter version at a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct AdapterFacts {
    /// The adapter version.
    pub(crate) model: AdapterVersion,
    /// Its state there.
    pub(crate) state: AdapterState,
    /// Requests that wait for it.
    pub(crate) waiters: usize,
    /// The class of the most urgent of them.
    pub(crate) class: Option<Class>,
    /// How long its load has been wanted, in milliseconds.
    pub(crate) waited_ms: Option<u64>,
}

/// One permit that is out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PermitFacts {
    /// The try.
    pub(crate) attempt: AttemptId,
    /// The adapter version.
    pub(crate) model: Option<AdapterVersion>,
    /// The class.
    pub(crate) class: Class,
    /// The instance that uses it.
    pub(crate) entry: InstanceId,
    /// The time since its grant, in milliseconds.
    pub(crate) held_ms: u64,
}

/// One load scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SchedulerFacts {
    /// The weight store.
    pub(crate) store: StoreName,
    /// Loads that have their turn.
    pub(crate) in_progress: usize,
    /// Loads that wait for their turn.
    pub(crate) waiting: usize,
}

/// One power allocator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct AllocatorFacts {
    /// The site.
    pub(crate) site: SiteName,
    /// The sum of shares that are kept or may still be drawn, in watts.
    pub(crate) committed_watts: f64,
}

impl InstanceFacts {
    /// Leaves out what a table does not show.
    ///
    /// An instance in full load knows some tens of kilobytes, most of it permits and adapters; told
    /// by 369 others for each question that is more than an hour's worth of control traffic.
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

/// Returns whole milliseconds, for the wire.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
