//! The state of one adapter on one target.

use chervilshunt_model::Moment;

/// The stages of loading and unloading an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdapterStage {
    /// The load is planned but not ordered.
    Planned,
    /// The load has been ordered, and its answer is outstanding or was lost.
    Ordered,
    /// The adapter is being loaded; at the given time, the target is asked whether the load has
    /// ended.
    Loading(Moment),
    /// The target has been asked whether the load has ended.
    Confirming,
    /// Requests can use the adapter.
    Ready,
    /// The adapter is to be unloaded as soon as nothing uses it.
    Ending,
    /// The unload has been ordered.
    Unloading,
}

/// One adapter on one target.
#[derive(Clone, Debug)]
pub(crate) struct AdapterEntry {
    pub(crate) state: AdapterStage,
    pub(crate) version: u64,
    pub(crate) last_used: Moment,
    /// When the load was planned or ended, the version became outdated, or the unload was decided.
    pub(crate) since: Moment,
    /// The time from which the adapter may be evicted if unused.
    pub(crate) free_from: Moment,
    /// Whether a newer version has been announced.
    pub(crate) outdated: bool,
    /// The placement requests that wait for the load to end.
    pub(crate) waiting_requests: Vec<u64>,
    /// The prompt tokens of the waiting requests.
    pub(crate) waiting_tokens: u32,
    /// The latest time until which a request waits for the adapter, or `None` if it is loaded ahead
    /// of requests.
    pub(crate) needed_until: Option<Moment>,
    /// Whether the load is expected to come from the weight store rather than from the target's
    /// memory.
    pub(crate) from_store: bool,
    /// How many other adapters the target had since it last had this one, at the time the load was
    /// ordered; `None` if it never had it.
    pub(crate) adapters_since: Option<usize>,
    /// When the target accepted the load, or `None` if its start was not observed.
    pub(crate) accepted_at: Option<Moment>,
    /// Whether a check after its expected duration found the load still in progress.
    pub(crate) was_overdue: bool,
}

impl AdapterEntry {
    pub(crate) fn new(state: AdapterStage, version: u64, now: Moment) -> Self {
        Self {
            state,
            version,
            last_used: now,
            since: now,
            free_from: now,
            outdated: false,
            waiting_requests: Vec::new(),
            waiting_tokens: 0,
            needed_until: None,
            from_store: true,
            adapters_since: None,
            accepted_at: None,
            was_overdue: false,
        }
    }

    /// Marks the load as ended, and returns the placement requests that waited for it.
    pub(crate) fn ready(&mut self, now: Moment) -> Vec<u64> {
        self.state = AdapterStage::Ready;
        self.since = now;
        self.last_used = now;
        self.take_waiting_requests()
    }

    /// Removes and returns the placement requests that wait for the adapter.
    pub(crate) fn take_waiting_requests(&mut self) -> Vec<u64> {
        self.waiting_tokens = 0;
        std::mem::take(&mut self.waiting_requests)
    }

    /// Returns whether new requests may use the adapter.
    pub(crate) fn serves(&self) -> bool {
        self.state == AdapterStage::Ready && !self.outdated
    }

    /// Returns whether the load has not been ordered yet.
    pub(crate) fn is_planned(&self) -> bool {
        self.state == AdapterStage::Planned
    }

    /// Returns whether the adapter is planned or loading, and therefore not announced yet.
    pub(crate) fn is_load_pending(&self) -> bool {
        matches!(
            self.state,
            AdapterStage::Planned
                | AdapterStage::Ordered
                | AdapterStage::Loading(_)
                | AdapterStage::Confirming
        )
    }

    /// Returns whether the adapter is being unloaded, so that its slot will become free.
    pub(crate) fn is_leaving(&self) -> bool {
        matches!(self.state, AdapterStage::Ending | AdapterStage::Unloading)
    }
}
