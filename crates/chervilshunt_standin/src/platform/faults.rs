//! Fault injection for the platform stand-in.

use serde::{Deserialize, Serialize};

/// The kind of outage of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// The platform is up.
    #[default]
    No,
    /// Refuses new connections and closes the open ones; only the control address responds.
    ///
    /// If [`Faults::only`] names instances, their connections are accepted and then closed instead.
    Refuse,
    /// Responds to every call with 503 and breaks open watches.
    Unavailable,
}

/// The response to lists that request a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tables {
    /// For assignments, a table with a version column.
    #[default]
    Full,
    /// For assignments, a table without the version column.
    NoVersion,
    /// The next representation that the request accepts.
    None,
}

/// The faults currently in effect.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Faults {
    /// The kind of outage, if any.
    pub down: Down,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Number of subsequent writes that take effect and then close the connection without a
    /// response.
    pub lose_answer_after_write: u64,
    /// The resources, by plural, whose writes lose their responses; all resources if empty.
    ///
    /// Instances renew leases continuously, so without this filter it is random which write loses
    /// its response.
    pub lose_answers_of: Vec<String>,
    /// Whether `down` changes to `unavailable` at the moment when the last of those responses is
    /// lost.
    ///
    /// Setting [`Faults::down`] by a separate call would race with the client's next call.
    pub down_after_lost: bool,
    /// Number of subsequent changes that are omitted from all watches.
    pub watch_gap: u64,
    /// Ends open watches with `Expired` and rejects new ones, whatever their start version.
    pub expire_watches: bool,
    /// Lists show the collection as it was before this many of its latest changes.
    pub stale_reads: u64,
    /// Reads of a single object show it as it was before this many of the collection's latest
    /// changes.
    pub stale_gets: u64,
    /// Accepts calls without responding, and stops sending on watches. As with a process that is
    /// suspended and resumed, writes received in the meantime take effect once the fault is
    /// cleared.
    pub freeze: bool,
    /// The fraction of calls that receive 503 before they take effect, from 0 to 1.
    pub fail_ratio: f64,
    /// Reads per second beyond which calls receive 429; 0 means no limit.
    pub reads_per_second: u32,
    /// Writes per second beyond which calls receive 429; 0 means no limit.
    pub writes_per_second: u32,
    /// Instances whose connections are closed without a response.
    pub cut: Vec<String>,
    /// The instances affected by the other faults; all instances if empty.
    pub only: Vec<String>,
    /// Delay until readers see a change to an EndpointSlice, in milliseconds.
    pub instance_list_lag_ms: u64,
    /// The response to lists that request a table.
    pub tables: Tables,
}

impl Faults {
    /// Returns whether the connections of an instance are closed without a response.
    pub(crate) fn cuts(&self, instance: &str) -> bool {
        self.cut.iter().any(|cut| cut == instance)
            || (self.down == Down::Refuse && self.hits(instance))
    }

    /// Returns whether the faults other than `cut` affect an instance.
    pub(crate) fn hits(&self, instance: &str) -> bool {
        self.only.is_empty() || self.only.iter().any(|only| only == instance)
    }

    /// Returns whether this write by the instance loses its response, and if so decrements the
    /// number of responses still to lose.
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

    /// Returns whether all connections are refused.
    pub(crate) fn refuses_all(&self) -> bool {
        self.down == Down::Refuse && self.only.is_empty()
    }

    /// Applies a patch to the current faults.
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

/// A partial update of the faults, as posted to `/standin/faults`; absent fields leave their fault
/// unchanged.
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
