//! One target's hold on one adapter.

use chervilshunt_model::{InstanceId, Moment};

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
    uses: Vec<(InstanceId, u32)>,
    /// Questions that wait for the load to be accepted.
    pub(crate) questions: Vec<u64>,
}

impl Hold {
    pub(crate) fn new(state: HoldState, version: u64, now: Moment) -> Self {
        Self {
            state,
            version,
            last_used: now,
            since: now,
            outdated: false,
            uses: Vec::new(),
            questions: Vec::new(),
        }
    }

    /// Takes in how many requests an instance has under way with it.
    pub(crate) fn set_use(&mut self, from: &InstanceId, in_flight: u32) {
        self.clear_use(from);
        if in_flight > 0 {
            self.uses.push((from.clone(), in_flight));
        }
    }

    /// Forgets what an instance had under way.
    pub(crate) fn clear_use(&mut self, from: &InstanceId) {
        self.uses.retain(|(instance, _)| instance != from);
    }

    /// Returns the requests under way with it.
    pub(crate) fn in_flight(&self) -> u32 {
        self.uses.iter().map(|(_, count)| count).sum()
    }

    /// Says whether new requests may be told of it.
    pub(crate) fn serves(&self) -> bool {
        self.state == HoldState::Ready && !self.outdated
    }

    /// Says whether it is coming and no one is told of it yet.
    pub(crate) fn is_coming(&self) -> bool {
        matches!(
            self.state,
            HoldState::Planned
                | HoldState::Ordered
                | HoldState::Loading(_)
                | HoldState::Confirming
        )
    }

    /// Says whether it may be given up: it is there and no request uses it.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.state, HoldState::Ready | HoldState::Ending) && self.in_flight() == 0
    }
}
