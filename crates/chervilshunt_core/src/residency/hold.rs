//! One target's hold on one adapter.

use chervilshunt_model::Moment;

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
    /// When the load was planned, an older version was found, or its end began.
    pub(crate) since: Moment,
    /// From when on it may be given up if nobody uses it.
    pub(crate) free_from: Moment,
    /// Whether a newer version has been named.
    pub(crate) outdated: bool,
    /// Questions that wait for the load to end.
    pub(crate) questions: Vec<u64>,
    /// The prompt tokens of their requests.
    pub(crate) waiting_tokens: u32,
    /// Until when somebody waits for it; none if it is loaded for whoever comes.
    pub(crate) wanted_until: Option<Moment>,
    /// Whether it is taken to come from the weight store rather than from the target's memory.
    pub(crate) from_store: bool,
    /// How many adapters the target has had since it last had this one, when the load was ordered; none
    /// if it never had it.
    pub(crate) had_since: Option<usize>,
    /// When the target accepted its load; none if nobody saw it begin.
    pub(crate) accepted_at: Option<Moment>,
}

impl Hold {
    pub(crate) fn new(state: HoldState, version: u64, now: Moment) -> Self {
        Self {
            state,
            version,
            last_used: now,
            since: now,
            free_from: now,
            outdated: false,
            questions: Vec::new(),
            waiting_tokens: 0,
            wanted_until: None,
            from_store: true,
            had_since: None,
            accepted_at: None,
        }
    }

    /// Takes note that its load has ended, and returns the questions that waited for it.
    pub(crate) fn ready(&mut self, now: Moment) -> Vec<u64> {
        self.state = HoldState::Ready;
        self.since = now;
        self.last_used = now;
        self.take_questions()
    }

    /// Takes the questions that wait for it.
    pub(crate) fn take_questions(&mut self) -> Vec<u64> {
        self.waiting_tokens = 0;
        std::mem::take(&mut self.questions)
    }

    /// Says whether new requests may use it.
    pub(crate) fn serves(&self) -> bool {
        self.state == HoldState::Ready && !self.outdated
    }

    /// Says whether its load has not been ordered.
    pub(crate) fn is_planned(&self) -> bool {
        self.state == HoldState::Planned
    }

    /// Says whether it is coming and no one is told of it yet.
    pub(crate) fn is_coming(&self) -> bool {
        matches!(
            self.state,
            HoldState::Planned | HoldState::Ordered | HoldState::Loading(_) | HoldState::Confirming
        )
    }

    /// Says whether it is going, and its place will be free.
    pub(crate) fn is_going(&self) -> bool {
        matches!(self.state, HoldState::Ending | HoldState::Unloading)
    }
}
