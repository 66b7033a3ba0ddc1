//! Rows for operators: objects of the configuration joined with what instances know of them.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_core::AdapterState;
use chervilshunt_model::{
    AdapterVersion, Deployment, InstanceId, Site, SiteName, StoreName, Target, TargetName,
    WeightStore,
};
use chervilshunt_query::{AGE_COLUMN, FROM_COLUMN, FieldTexts, Show, Table};
use serde::Serialize;

use crate::facts::{AdapterFacts, InstanceFacts, TargetFacts};

/// The answer to one question.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Rows {
    columns: Vec<&'static str>,
    rows: Vec<Vec<Option<String>>>,
}

/// What one instance said, and how long ago.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    /// What it said.
    pub(crate) facts: InstanceFacts,
    /// How old that is.
    pub(crate) age: Duration,
}

/// What is shown of a question: the configuration in force here and what the instances told.
#[derive(Debug)]
pub(crate) struct Sources<'a> {
    /// The instance that answers.
    pub(crate) here: &'a InstanceId,
    /// The configuration in force here.
    pub(crate) deployment: &'a Deployment,
    /// What the instances told, this one among them.
    pub(crate) told: &'a [Told],
}

/// The state of an adapter version over all targets, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Presence {
    Loaded,
    Pending,
    Draining,
    Idle,
}

impl Presence {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Loaded => "loaded",
            Self::Pending => "pending",
            Self::Draining => "draining",
            Self::Idle => "idle",
        }
    }

    const fn of(state: AdapterState) -> Self {
        match state {
            AdapterState::Serving | AdapterState::Idle => Self::Loaded,
            AdapterState::Pending | AdapterState::Loading | AdapterState::Unknown => Self::Pending,
            AdapterState::Draining | AdapterState::Unloading => Self::Draining,
        }
    }
}

/// Where a row's live cells come from.
struct Origin {
    from: String,
    age: Duration,
}

/// One row: cells by column, with where it comes from.
struct Row {
    cells: Vec<(&'static str, Option<String>)>,
    origin: Origin,
}

impl Row {
    fn new(origin: Origin) -> Self {
        Self {
            cells: Vec::new(),
            origin,
        }
    }

    fn cell(mut self, column: &'static str, value: impl ToString) -> Self {
        self.cells.push((column, Some(value.to_string())));
        self
    }

    fn fields(mut self, object: &impl FieldTexts) -> Self {
        let texts = object.field_texts().into_iter();
        self.cells.extend(texts.map(|text| (text.field, text.text)));
        self
    }

    fn get(&self, column: &str) -> Option<&str> {
        let found = self.cells.iter().find(|(name, _)| *name == column)?;
        found.1.as_deref()
    }
}

impl Sources<'_> {
    /// Answers a question.
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
            Table::Adapters => self.adapters(),
            Table::Versions => self.versions(),
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
            Table::Instances => self.told.iter().map(instance_row).collect(),
            Table::Permits => self.permits(),
            Table::Loads => self.loads(),
            Table::Changes => self.changes(),
            Table::Sites => self.sites(),
            Table::Stores => self.stores(),
        }
    }

    /// Starts the row of an object of the configuration in force here.
    fn configured(&self, name: impl ToString) -> Row {
        let origin = Origin {
            from: self.here.to_string(),
            age: Duration::ZERO,
        };
        Row::new(origin).cell("name", name)
    }

    /// Returns each owned target with the instance that told of it.
    fn owned(&self) -> impl Iterator<Item = (&Told, &TargetFacts)> {
        self.told
            .iter()
            .flat_map(|told| told.facts.targets.iter().map(move |facts| (told, facts)))
    }

    /// Returns where each adapter version is present.
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
            let Some((told, facts)) = owner else {
                return self.configured(name).fields(target);
            };
            let adapters = facts.adapters.iter();
            let loaded = adapters.filter(|held| Presence::of(held.state) == Presence::Loaded);
            Row::new(origin_of(told))
                .cell("name", name)
                .fields(target)
                .cell("owner", &told.facts.instance)
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
        let permits = self.owned().flat_map(|(told, facts)| {
            facts
                .permits
                .iter()
                .map(move |permit| (told, &facts.target, permit))
        });
        permits
            .map(|(told, target, permit)| {
                let row = Row::new(origin_of(told))
                    .cell("attempt", permit.attempt)
                    .cell("target", target)
                    .cell("class", permit.class)
                    .cell("entry", &permit.entry);
                match &permit.model {
                    Some(model) => row.cell("version", model),
                    None => row,
                }
            })
            .collect()
    }

    fn loads(&self) -> Vec<Row> {
        let held = self.owned().flat_map(|(told, facts)| {
            facts
                .adapters
                .iter()
                .map(move |held| (told, &facts.target, held))
        });
        held.map(|(told, target, held)| {
            Row::new(origin_of(told))
                .cell("target", target)
                .cell("version", &held.model)
                .cell("state", Presence::of(held.state).as_str())
                .cell("waiters", held.waiters)
        })
        .collect()
    }

    fn changes(&self) -> Vec<Row> {
        let row = |told: &Told| {
            Row::new(origin_of(told))
                .cell("revision", told.facts.revision)
                .cell("state", "in_force")
        };
        self.told.iter().map(row).collect()
    }

    fn sites(&self) -> Vec<Row> {
        let row = |(name, site): (&SiteName, &Site)| {
            let allocators = self
                .told
                .iter()
                .flat_map(|told| told.facts.allocators.iter().map(move |facts| (told, facts)));
            let allocator = allocators
                .into_iter()
                .find(|(_, facts)| facts.site == *name);
            let Some((told, facts)) = allocator else {
                return self.configured(name).fields(site);
            };
            Row::new(origin_of(told))
                .cell("name", name)
                .fields(site)
                .cell("granted_watts", format!("{:.0}", facts.committed_watts))
                .cell("allocator", &told.facts.instance)
        };
        self.deployment.sites.iter().map(row).collect()
    }

    fn stores(&self) -> Vec<Row> {
        let row = |(name, store): (&StoreName, &WeightStore)| {
            let scheduler = self.told.iter().find(|told| {
                told.facts
                    .schedulers
                    .iter()
                    .any(|facts| facts.store == *name)
            });
            let Some(told) = scheduler else {
                return self.configured(name).fields(store);
            };
            Row::new(origin_of(told))
                .cell("name", name)
                .fields(store)
                .cell("scheduler", &told.facts.instance)
        };
        self.deployment.stores.iter().map(row).collect()
    }
}

fn origin_of(told: &Told) -> Origin {
    Origin {
        from: told.facts.instance.to_string(),
        age: told.age,
    }
}

fn instance_row(told: &Told) -> Row {
    let facts = &told.facts;
    let state = match (facts.stopping, facts.takes_work) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "pending",
    };
    Row::new(origin_of(told))
        .cell("name", &facts.instance)
        .cell("zone", &facts.zone)
        .cell("region", &facts.region)
        .cell("state", state)
        .cell("revision", facts.revision)
        .cell("roles", facts.roles.join(","))
}
