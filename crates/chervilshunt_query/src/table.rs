//! The tables that `show` can query.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The column with the name of the instance that reported the row.
pub const FROM_COLUMN: &str = "from";

/// The column with the age of a row in milliseconds.
pub const AGE_COLUMN: &str = "age_ms";

/// A table that `show` can query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Table {
    /// Adapters, each with the combined state of its versions.
    Adapters,
    /// Adapter versions, each with its state: loaded, pending, draining or idle.
    Versions,
    /// Services.
    Services,
    /// Targets with their owner and load.
    Targets,
    /// Instances of the system with the roles that they hold.
    Instances,
    /// Permits that are held.
    Permits,
    /// Adapter versions in the slots of targets: loaded, pending or draining.
    Loads,
    /// Configuration changes that were accepted recently or are in progress.
    Changes,
    /// Priorities.
    Priorities,
    /// Sites with their power caps and grants.
    Sites,
    /// Weight stores with their loads in progress.
    Stores,
}

impl Table {
    /// All tables, in the order in which `docs/LANGUAGE.md` lists them.
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

    /// Returns the table's name in the language.
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

    /// Returns whether the table has the column, and `where` may thus use it.
    pub fn has_column(self, name: &str) -> bool {
        self.columns().contains(&name) || name == FROM_COLUMN || name == AGE_COLUMN
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
