//! Protocol bugs that tests seed into the state machines to prove that their checks detect them.

/// A protocol bug that a test can seed into a state machine.
///
/// No bug can be seeded outside this crate's tests, where the branches for them compile to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(dead_code, reason = "only tests construct bugs")]
pub(crate) enum Bug {
    /// The lease's validity is counted from the reply to a renewal instead of from before the
    /// renewal was sent.
    LeaseFromReply,
    /// The holder does not check that its lease is valid before it sends an order.
    LeaseNotChecked,
    /// An instance takes over without waiting for the lease to stay unchanged for its full
    /// duration.
    TakeoverDoesNotWait,
    /// An instance raises the epoch for a takeover without marking the old lease lapsed.
    LapseNotMarked,
    /// A role passes to another holder without a higher epoch.
    EpochNotRaised,
    /// A holder that has released a role keeps sending orders until the assignment records the
    /// handover.
    OrdersAfterRelease,
    /// The head moves to the new revision before all live instances have acknowledged the change.
    HeadMovedBeforeAcks,
    /// A head with a lower generation than one already seen is accepted.
    StaleHeadAccepted,
    /// An instance that acknowledged a change and receives no decision keeps taking work.
    UndecidedTakesWork,
    /// A joining instance reads the head before its lease exists.
    HeadReadBeforeLease,
    /// A claim is granted before it is recorded in the platform.
    ClaimBeforeRecord,
    /// A claim keeper starts without reading the claims recorded by earlier keepers.
    ClaimsNotRead,
    /// An instance vouches although it has promised not to vouch.
    VouchDespitePromise,
    /// A write with a lost answer is treated as a failed write.
    LostAnswerIsFailure,
    /// The promises behind a hold are counted from their arrival instead of from before they were
    /// requested.
    HoldFromReply,
}

/// The bug seeded into a state machine, if any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Bugs {
    #[cfg(test)]
    seeded: Option<Bug>,
}

impl Bugs {
    /// No bug is seeded.
    pub(crate) const NONE: Self = Self {
        #[cfg(test)]
        seeded: None,
    };

    /// Returns a value with `bug` seeded.
    #[cfg(test)]
    pub(crate) const fn seeded(bug: Bug) -> Self {
        Self { seeded: Some(bug) }
    }

    /// Returns whether `bug` is seeded.
    #[cfg(test)]
    pub(crate) fn has(self, bug: Bug) -> bool {
        self.seeded == Some(bug)
    }

    /// Returns whether `bug` is seeded.
    #[cfg(not(test))]
    #[allow(clippy::unused_self, reason = "the same signature as in tests")]
    pub(crate) const fn has(self, _bug: Bug) -> bool {
        false
    }
}
