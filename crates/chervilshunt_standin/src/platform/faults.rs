//! The faults that the stand-in can be told to have.

use serde::{Deserialize, Serialize};

/// How the platform is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// It is up.
    #[default]
    No,
    /// Connections are refused, and those open are closed; only the control address answers.
    ///
    /// Where [`Faults::only`] names instances, their connections are accepted and closed instead.
    Refuse,
    /// Every call is answered with 503, and open watches break.
    Unavailable,
}

/// How lists are answered that ask for a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tables {
    /// By a table with a column for the version, for assignments.
    #[default]
    Full,
    /// By a table without that column.
    NoVersion,
    /// By the next form that the call names.
    None,
}

/// The faults in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Faults {
    /// Whether and how the platform is down.
    pub down: Down,
    /// How long each call waits before it takes effect, in milliseconds.
    pub slow_ms: u64,
    /// So many of the next writes take effect and then close the connection without an answer.
    pub lose_answer_after_write: u64,
    /// The resources, by plural, whose writes lose their answers; all if it is empty.
    ///
    /// Instances renew leases all the time: without it, which write loses its answer is chance.
    pub lose_answers_of: Vec<String>,
    /// Whether the platform answers 503 from the moment at which the last of those answers is lost.
    ///
    /// Whoever threw [`Faults::down`] by a call of its own would race the client's next call.
    pub down_after_lost: bool,
    /// So many of the next changes are never told by a watch.
    pub watch_gap: u64,
    /// Open watches end with `Expired`, and no version is recent enough to start one from.
    pub expire_watches: bool,
    /// Lists show the collection as it was before so many of its last changes.
    pub stale_reads: u64,
    /// Reads of one object show it as it was before so many of the collection's last changes.
    pub stale_gets: u64,
    /// Calls are accepted and stay unanswered, and watches fall silent. As with a process that is
    /// stopped and continued, writes that came meanwhile take effect once it is lifted.
    pub freeze: bool,
    /// The share of calls that are answered with 503 before they take effect, from 0 to 1.
    pub fail_ratio: f64,
    /// Reads a second beyond which calls are answered with 429; 0 for no bound.
    pub reads_per_second: u32,
    /// Writes a second beyond which calls are answered with 429; 0 for no bound.
    pub writes_per_second: u32,
    /// Instances whose connections are closed without an answer.
    pub cut: Vec<String>,
    /// The instances that the other faults hit; all if it is empty.
    pub only: Vec<String>,
    /// How long a change of an EndpointSlice stays unseen by readers, in milliseconds.
    pub instance_list_lag_ms: u64,
    /// How lists are answered that ask for a table.
    pub tables: Tables,
}

impl Faults {
    /// Says whether an instance's connections are closed without an answer.
    pub(crate) fn cuts(&self, instance: &str) -> bool {
        self.cut.iter().any(|cut| cut == instance)
            || (self.down == Down::Refuse && self.hits(instance))
    }

    /// Says whether the faults other than `cut` hit an instance.
    pub(crate) fn hits(&self, instance: &str) -> bool {
        self.only.is_empty() || self.only.iter().any(|only| only == instance)
    }

    /// Uses up one lost answer if a write of the resource by the instance loses its answer.
    pub(crate) fn loses_answer(&mut self, instance: &str, resource: &str) -> bool {
        let of = &self.lose_answers_of;
        let named = of.is_empty() || of.iter().any(|plural| plural == resource);
        if !named || !self.hits(instance) || self.lose_answer_after_write == 0 {
            return false;
        }
        self.lose_answer_after_write -= 1;
        if self.down_after_lost && self.lose_answer_after_write == 0 {
            self.down = Down::Unavailable;
        }
        true
    }

    /// Says whether the platform refuses every connection.
    pub(crate) fn refuses_all(&self) -> bool {
        self.down == Down::Refuse && self.only.is_empty()
    }

    /// Merges a patch into the faults in force.
    pub(crate) fn merge(&mut self, patch: FaultPatch) {
        fn set<T>(field: &mut T, value: Option<T>) {
            if let Some(value) = value {
                *field = value;
            }
        }
        set(&mut self.down, patch.down);
        set(&mut self.slow_ms, patch.slow_ms);
        set(
            &mut self.lose_answer_after_write,
            patch.lose_answer_after_write,
        );
        set(&mut self.lose_answers_of, patch.lose_answers_of);
        set(&mut self.down_after_lost, patch.down_after_lost);
        set(&mut self.watch_gap, patch.watch_gap);
        set(&mut self.expire_watches, patch.expire_watches);
        set(&mut self.stale_reads, patch.stale_reads);
        set(&mut self.stale_gets, patch.stale_gets);
        set(&mut self.freeze, patch.freeze);
        set(&mut self.fail_ratio, patch.fail_ratio);
        set(&mut self.reads_per_second, patch.reads_per_second);
        set(&mut self.writes_per_second, patch.writes_per_second);
        set(&mut self.cut, patch.cut);
        set(&mut self.only, patch.only);
        set(&mut self.instance_list_lag_ms, patch.instance_list_lag_ms);
        set(&mut self.tables, patch.tables);
    }
}

/// A change to the faults in force, as posted to `/standin/faults`; fields left out stay as is.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPatch {
    /// See [`Faults::down`].
    pub down: Option<Down>,
    /// See [`Faults::slow_ms`].
    pub slow_ms: Option<u64>,
    /// See [`Faults::lose_answer_after_write`].
    pub lose_answer_after_write: Option<u64>,
    /// See [`Faults::lose_answers_of`].
    pub lose_answers_of: Option<Vec<String>>,
    /// See [`Faults::down_after_lost`].
    pub down_after_lost: Option<bool>,
    /// See [`Faults::watch_gap`].
    pub watch_gap: Option<u64>,
    /// See [`Faults::expire_watches`].
    pub expire_watches: Option<bool>,
    /// See [`Faults::stale_reads`].
    pub stale_reads: Option<u64>,
    /// See [`Faults::stale_gets`].
    pub stale_gets: Option<u64>,
    /// See [`Faults::freeze`].
    pub freeze: Option<bool>,
    /// See [`Faults::fail_ratio`].
    pub fail_ratio: Option<f64>,
    /// See [`Faults::reads_per_second`].
    pub reads_per_second: Option<u32>,
    /// See [`Faults::writes_per_second`].
    pub writes_per_second: Option<u32>,
    /// See [`Faults::cut`].
    pub cut: Option<Vec<String>>,
    /// See [`Faults::only`].
    pub only: Option<Vec<String>>,
    /// See [`Faults::instance_list_lag_ms`].
    pub instance_list_lag_ms: Option<u64>,
    /// See [`Faults::tables`].
    pub tables: Option<Tables>,
}
