//! One target's hold on one adapter.

use chervilshunt_model::Moment;

use crate::dispatch::Lane;

/// How far a hold has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HoldState {
    /// The load is planned; nothing has been ordered.
    Planned,
    /// The load has been ordered, and an answer is due or was lost.
    Ordered,
    /// It is being loaded; the target is asked at that moment whether it has it.
    Loading(Moment),
    /// The target has been asked whether it has it.
    Confirming,
    /// Requests can use it.
    Ready,
    /// It is to be given up as soon as nothing uses it.
    Ending,
    /// Giving it up has been ordered.
    Unloading,
}

/// One target's hold on one adapter.
#[derive(Clone, Debug)]
pub(crate) struct Hold {
    pub(crate) state: HoldState,
    pub(crate) version: u64,
    pub(crate) last_used: Moment,
    /// When the load was planned or an older version was found.
    pub(crate) since: Moment,
    /// Whether a newer version has been named.
    pub(crate) outdated: bool,
    /// Questions that wait for the load to end.
    pub(crate) questions: Vec<u64>,
    /// Until when somebody waits for it; none if it is loaded for whoever comes.
    pub(crate) wanted_until: Option<Moment>,
    /// What those who wait for it mostly make a target do.
    pub(crate) lane: Lane,
    /// When the target accepted its load from the weight store; none if it came from the target's
    /// memory, or nobody saw it begin.
    pub(crate) fetched_since: Option<Moment>,
}

impl Hold {
    pub(crate) fn new(state: HoldState, version: u64, now: Moment) -> Self {
        Self {
            state,
            version,
            last_used: now,
            since: now,
            outdated: false,
            questions: Vec::new(),
            wanted_until: None,
            lane: Lane::General,
            fetched_since: None,
        }
    }

    /// Says whether new requests may be told of it.
    pub(crate) fn serves(&self) -> bool {
        self.state == HoldState::Ready && !self.outdated
    }

    /// Says whether a request that wants it can wait for it or have it back.
    pub(crate) fn is_useful(&self) -> bool {
        let there = matches!(self.state, HoldState::Ready | HoldState::Ending);
        (there || self.is_coming()) && !self.outdated
    }

    /// Says whether it is coming and no one is told of it yet.
    pub(crate) fn is_coming(&self) -> bool {
        matches!(
            self.state,
            HoldState::Planned | HoldState::Ordered | HoldState::Loading(_) | HoldState::Confirming
        )
    }
}
