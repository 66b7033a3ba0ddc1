//! What `show` can show.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The column that names the instance that said so.
pub const FROM_COLUMN: &str = "from";

/// The column that says how old a row is, in milliseconds.
pub const AGE_COLUMN: &str = "age_ms";

/// What `show` can show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Table {
    /// Adapters, each with the state that its versions have together.
    Adapters,
    /// Versions, each with its state: loaded, pending, draining or idle.
    Versions,
    /// Services.
    Services,
    /// Targets with their owner and load.
    Targets,
    /// Instances of the system with the roles that they hold.
    Instances,
    /// Permits that are out.
    Permits,
    /// Adapter versions in the slots of targets: loaded, pending or draining.
    Loads,
    /// Changes of configuration that were accepted of late, or are on their way.
    Changes,
    /// Priorities.
    Priorities,
    /// Sites with their power.
    Sites,
    /// Weight stores with the loads in progress.
    Stores,
}

impl Table {
    /// All tables, in the order in which the language's page lists them.
    pub const ALL: [Self; 11] = [
        Self::Adapters,
        Self::Versions,
        Self::Services,
        Self::Targets,
        Self::Instances,
        Self::Permits,
        Self::Loads,
        Self::Changes,
        Self::Priorities,
        Self::Sites,
        Self::Stores,
    ];

    /// Returns the name that the language uses.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Adapters => "adapters",
            Self::Versions => "versions",
            Self::Services => "services",
            Self::Targets => "targets",
            Self::Instances => "instances",
            Self::Permits => "permits",
            Self::Loads => "loads",
            Self::Changes => "changes",
            Self::Priorities => "priorities",
            Self::Sites => "sites",
            Self::Stores => "stores",
        }
    }

    /// Returns the table's own columns, in the order in which they are shown.
    ///
    /// [`FROM_COLUMN`] and [`AGE_COLUMN`] follow them in every answer.
    pub const fn columns(self) -> &'static [&'static str] {
        match self {
            Self::Adapters => &["name", "service", "priority", "versions", "state"],
            Self::Versions => &["name", "source", "state", "targets"],
            Self::Services => &[
                "name",
                "kind",
                "base_model",
                "priority",
                "idempotent",
                "deadline_ms",
            ],
            Self::Targets => &[
                "name",
                "service",
                "address",
                "zone",
                "site",
                "store",
                "slots",
                "max_batch",
                "fencing",
                "lifecycle",
                "idle_watts",
                "watts_per_sequence",
                "owner",
                "epoch",
                "reachable",
                "running",
                "waiting",
                "loaded",
                "share_watts",
            ],
            Self::Instances => &["name", "zone", "region", "state", "revision", "roles"],
            Self::Permits => &["attempt", "target", "version", "class", "entry", "held_ms"],
            Self::Loads => &[
                "target",
                "version",
                "state",
                "class",
                "waiters",
                "waited_ms",
            ],
            Self::Changes => &["id", "revision", "state", "changed"],
            Self::Priorities => &["name", "class", "weight"],
            Self::Sites => &["name", "cap_watts", "granted_watts", "allocator"],
            Self::Stores => &[
                "name",
                "concurrency",
                "loads_per_second",
                "scheduler",
                "in_progress",
                "waiting",
            ],
        }
    }

    /// Returns whether `where` may name the column.
    pub fn has_column(self, name: &str) -> bool {
        self.columns().contains(&name) || name == FROM_COLUMN || name == AGE_COLUMN
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
