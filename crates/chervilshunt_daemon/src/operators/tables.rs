//! Query results for operators: configuration objects joined with the state that instances report.

mod row;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use chervilshunt_model::{
    AdapterVersion, ChangeId, Deployment, InstanceId, Revision, Site, SiteName, StoreName, Target,
    TargetName, WeightStore,
};
use chervilshunt_query::{AGE_COLUMN, FROM_COLUMN, Show, Table};
use serde::Serialize;

use self::row::{Origin, Presence, Row, by_name};
use crate::facts::{AdapterFacts, InstanceFacts, TargetFacts};

/// The result of one query.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Rows {
    columns: Vec<&'static str>,
    rows: Vec<Vec<Option<String>>>,
}

/// The state reported by one instance.
#[derive(Clone, Debug)]
pub(crate) struct InstanceReport {
    /// The reported state.
    pub(crate) facts: InstanceFacts,
    /// When the instance was asked, which is the earliest time that the state can date from.
    pub(crate) asked_at: Instant,
}

/// The data that a query reads: the local configuration and the instances' reports.
#[derive(Debug)]
pub(crate) struct Sources<'a> {
    /// The instance that runs the query.
    pub(crate) here: &'a InstanceId,
    /// The configuration in force on this instance.
    pub(crate) deployment: &'a Deployment,
    /// The owner of each target, as far as this instance knows it.
    pub(crate) owners: &'a HashMap<TargetName, InstanceId>,
    /// The reports of all instances that answered, including this one.
    pub(crate) reports: &'a [InstanceReport],
    /// The current time.
    pub(crate) now: Instant,
}

impl Sources<'_> {
    /// Runs a query.
    pub(crate) fn show(&self, show: &Show) -> Rows {
        let columns: Vec<&'static str> = show
            .table
            .columns()
            .iter()
            .copied()
            .chain([FROM_COLUMN, AGE_COLUMN])
            .collect();
        let rows = self
            .rows(show.table)
            .into_iter()
            .map(|row| {
                let origin = &row.origin;
                let (from, age) = (origin.from.clone(), origin.age.as_millis());
                row.cell(FROM_COLUMN, from).cell(AGE_COLUMN, age)
            })
            .filter(|row| show.matches(|column| row.get(column)))
            .map(|row| {
                columns
                    .iter()
                    .map(|column| row.get(column).map(str::to_owned))
                    .collect()
            })
            .collect();
        Rows { columns, rows }
    }

    fn rows(&self, table: Table) -> Vec<Row> {
        match table {
            Table::Adapters => by_name(self.adapters()),
            Table::Versions => by_name(self.versions()),
            Table::Services => {
                let services = self.deployment.services.iter();
                services
                    .map(|(name, object)| self.configured(name).fields(object))
                    .collect()
            }
            Table::Priorities => {
                let priorities = self.deployment.priorities.iter();
                priorities
                    .map(|(name, object)| self.configured(name).fields(object))
                    .collect()
            }
            Table::Targets => self.targets(),
            Table::Instances => self
                .reports
                .iter()
                .map(|report| self.instance_row(report))
                .collect(),
            Table::Permits => self.permits(),
            Table::Loads => self.loads(),
            Table::Changes => self.changes(),
            Table::Sites => self.sites(),
            Table::Stores => self.stores(),
        }
    }

    /// Starts a row for an object of this instance's configuration.
    fn configured(&self, name: impl ToString) -> Row {
        let origin = Origin {
            from: self.here.to_string(),
            age: Duration::ZERO,
        };
        Row::new(origin).cell("name", name)
    }

    /// Returns the origin of a row that is filled from an instance's report.
    fn origin_of(&self, report: &InstanceReport) -> Origin {
        Origin {
            from: report.facts.instance.to_string(),
            age: self.now.saturating_duration_since(report.asked_at),
        }
    }

    /// Returns each owned target with the report that contains it.
    ///
    /// If two instances report the same target, the one with the lower epoch has lost contact with
    /// the platform and does not know yet that it was superseded, so only the higher epoch is kept.
    fn owned(&self) -> impl Iterator<Item = (&InstanceReport, &TargetFacts)> {
        let reported = || {
            let reports = self.reports.iter();
            reports.flat_map(|report| {
                report
                    .facts
                    .targets
                    .iter()
                    .map(move |facts| (report, facts))
            })
        };
        let mut epochs = HashMap::new();
        for (_, facts) in reported() {
            let highest = epochs.entry(&facts.target).or_insert(facts.epoch);
            *highest = facts.epoch.max(*highest);
        }
        reported().filter(move |(_, facts)| epochs.get(&facts.target) == Some(&facts.epoch))
    }

    /// Returns the targets and states of each adapter version.
    fn presence(&self) -> BTreeMap<&AdapterVersion, Vec<(&TargetName, Presence)>> {
        let mut presence: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (_, target) in self.owned() {
            for AdapterFacts { model, state, .. } in &target.adapters {
                presence
                    .entry(model)
                    .or_default()
                    .push((&target.target, Presence::of(*state)));
            }
        }
        presence
    }

    fn adapters(&self) -> Vec<Row> {
        let presence = self.presence();
        let best = |name: &_| {
            let versions = presence.iter().filter(|(model, _)| model.adapter == *name);
            let states = versions.flat_map(|(_, places)| places.iter().map(|(_, state)| *state));
            states.min().unwrap_or(Presence::Idle)
        };
        let loaded_adapters: std::collections::BTreeSet<_> =
            presence.keys().map(|model| &model.adapter).collect();
        self.deployment
            .adapters
            .iter()
            .map(|(name, adapter)| {
                let versions: Vec<&str> = adapter
                    .versions
                    .iter()
                    .map(|(version, _)| version.as_str())
                    .collect();
                let state = if loaded_adapters.contains(name) {
                    best(name)
                } else {
                    Presence::Idle
                };
                self.configured(name)
                    .fields(adapter)
                    .cell("versions", versions.join(","))
                    .cell("state", state.as_str())
            })
            .collect()
    }

    fn versions(&self) -> Vec<Row> {
        let presence = self.presence();
        let versions = self.deployment.adapters.iter().flat_map(|(name, adapter)| {
            let versions = adapter.versions.iter();
            versions.map(move |(version, object)| {
                (
                    AdapterVersion {
                        adapter: name.clone(),
                        version: version.clone(),
                    },
                    object,
                )
            })
        });
        versions
            .map(|(model, object)| {
                let places = presence.get(&model).map(Vec::as_slice).unwrap_or_default();
                let state = places
                    .iter()
                    .map(|(_, state)| *state)
                    .min()
                    .unwrap_or(Presence::Idle);
                let targets: Vec<&str> = places.iter().map(|(target, _)| target.as_str()).collect();
                self.configured(&model)
                    .fields(object)
                    .cell("state", state.as_str())
                    .cell("targets", targets.join(","))
            })
            .collect()
    }

    fn targets(&self) -> Vec<Row> {
        let row = |(name, target): (&TargetName, &Target)| {
            let owner = self.owned().find(|(_, facts)| facts.target == *name);
            let Some((report, facts)) = owner else {
                // The owner is known from the local routing even if it did not answer.
                let row = self.configured(name).fields(target);
                return row.optional("owner", self.owners.get(name));
            };
            let adapters = facts.adapters.iter();
            let loaded = adapters.filter(|held| Presence::of(held.state) == Presence::Loaded);
            Row::new(self.origin_of(report))
                .cell("name", name)
                .fields(target)
                .cell("owner", &report.facts.instance)
                .cell("epoch", facts.epoch)
                .cell("reachable", facts.reachable)
                .cell("running", facts.running)
                .cell("waiting", facts.waiting)
                .cell("loaded", loaded.count())
                .cell("share_watts", format!("{:.0}", facts.share_watts))
        };
        self.deployment.targets.iter().map(row).collect()
    }

    fn permits(&self) -> Vec<Row> {
        let permits = self.owned().flat_map(|(report, facts)| {
            facts
                .permits
                .iter()
                .map(move |permit| (report, &facts.target, permit))
        });
        permits
            .map(|(report, target, permit)| {
                let row = Row::new(self.origin_of(report))
                    .cell("attempt", permit.attempt)
                    .cell("target", target)
                    .cell("class", permit.class)
                    .cell("entry", &permit.entry)
                    .cell("held_ms", permit.held_ms);
                row.optional("version", permit.model.as_ref())
            })
            .collect()
    }

    fn loads(&self) -> Vec<Row> {
        let held = self.owned().flat_map(|(report, facts)| {
            facts
                .adapters
                .iter()
                .map(move |held| (report, &facts.target, held))
        });
        held.map(|(report, target, held)| {
            Row::new(self.origin_of(report))
                .cell("target", target)
                .cell("version", &held.model)
                .cell("state", Presence::of(held.state).as_str())
                .optional("class", held.class)
                .cell("waiters", held.waiters)
                .optional("waited_ms", held.waited_ms)
        })
        .collect()
    }

    /// Lists configuration changes as reported by the instance with the newest configuration head.
    fn changes(&self) -> Vec<Row> {
        let newest = self
            .reports
            .iter()
            .max_by_key(|report| report.facts.changes.generation);
        let Some(report) = newest else {
            return Vec::new();
        };
        let changes = &report.facts.changes;
        let over = changes.outcomes.iter().map(|(id, revision)| {
            let state = revision.map_or("given_up", |revision| self.spread_of(revision));
            (*id, *revision, state)
        });
        let pending = changes.pending.map(|id| (id, None, "pending"));
        let row = |(id, revision, state): (ChangeId, Option<Revision>, &'static str)| {
            Row::new(self.origin_of(report))
                .cell("id", id)
                .optional("revision", revision)
                .cell("state", state)
                .optional("changed", self.changed_by(id))
        };
        over.chain(pending).map(row).collect()
    }

    /// Returns the state of an accepted change: in force once all instances that answered have it.
    fn spread_of(&self, revision: Revision) -> &'static str {
        let in_force = self
            .reports
            .iter()
            .all(|report| report.facts.revision >= revision);
        if in_force { "in_force" } else { "accepted" }
    }

    /// Returns the number of objects in a change, if the instance that proposed it still has it.
    fn changed_by(&self, id: ChangeId) -> Option<usize> {
        let proposed = self
            .reports
            .iter()
            .flat_map(|report| &report.facts.changes.changed);
        proposed
            .into_iter()
            .find(|(proposed, _)| *proposed == id)
            .map(|(_, changed)| *changed)
    }

    fn sites(&self) -> Vec<Row> {
        let row = |(name, site): (&SiteName, &Site)| {
            let allocators = self.reports.iter().flat_map(|report| {
                report
                    .facts
                    .allocators
                    .iter()
                    .map(move |facts| (report, facts))
            });
            let allocator = allocators
                .into_iter()
                .find(|(_, facts)| facts.site == *name);
            let Some((report, facts)) = allocator else {
                return self.configured(name).fields(site);
            };
            Row::new(self.origin_of(report))
                .cell("name", name)
                .fields(site)
                .cell("granted_watts", format!("{:.0}", facts.committed_watts))
                .cell("allocator", &report.facts.instance)
        };
        self.deployment.sites.iter().map(row).collect()
    }

    fn stores(&self) -> Vec<Row> {
        let row = |(name, store): (&StoreName, &WeightStore)| {
            let schedulers = self.reports.iter().flat_map(|report| {
                report
                    .facts
                    .schedulers
                    .iter()
                    .map(move |facts| (report, facts))
            });
            let scheduler = schedulers
                .into_iter()
                .find(|(_, facts)| facts.store == *name);
            let Some((report, facts)) = scheduler else {
                return self.configured(name).fields(store);
            };
            Row::new(self.origin_of(report))
                .cell("name", name)
                .fields(store)
                .cell("scheduler", &report.facts.instance)
                .cell("in_progress", facts.in_progress)
                .cell("waiting", facts.waiting)
        };
        self.deployment.stores.iter().map(row).collect()
    }

    fn instance_row(&self, report: &InstanceReport) -> Row {
        let facts = &report.facts;
        let state = match (facts.stopping, facts.takes_work) {
            (true, _) => "draining",
            (false, true) => "ready",
            (false, false) => "pending",
        };
        Row::new(self.origin_of(report))
            .cell("name", &facts.instance)
            .cell("zone", &facts.zone)
            .cell("region", &facts.region)
            .cell("state", state)
            .cell("revision", facts.revision)
            .cell("roles", facts.roles.join(","))
    }
}
