//! Protocol bugs that tests seed, to show that their checks find them.

/// A bug that a test can seed into a machine.
///
/// Outside this crate's own tests no bug can be seeded and the branches compile to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(dead_code, reason = "only tests construct bugs")]
pub(crate) enum Bug {
    /// A lease counts from the answer to its renewal, not from before it was sent.
    LeaseFromReply,
    /// The holder doesn't look at its lease before an order.
    LeaseNotChecked,
    /// A taker doesn't wait until the lease has been unchanged for its full time.
    TakerDoesNotWait,
    /// A taker raises the epoch without marking the lease lapsed.
    LapseNotMarked,
    /// A role changes hands without a higher epoch.
    EpochNotRaised,
    /// A holder that has handed a role over gives orders until the assignment says so.
    OrdersAfterRelease,
    /// The head moves before all live instances have acknowledged.
    HeadMovedBeforeAcks,
    /// A head with a lower generation than one seen before is taken.
    StaleHeadAccepted,
    /// An instance that acknowledged and hears no decision goes on taking work.
    UndecidedTakesWork,
    /// An instance that joins reads the head before its lease exists.
    HeadReadBeforeLease,
    /// A claim is granted before it is recorded.
    ClaimBeforeRecord,
    /// A claim keeper that starts doesn't read what was recorded.
    ClaimsNotRead,
    /// An instance vouches although it has promised not to.
    VouchDespitePromise,
    /// A write whose answer was lost is taken as not done.
    LostAnswerIsFailure,
    /// The promises of a hold are counted from their arrival, not from before they were asked for.
    HoldFromReply,
}

/// The bug seeded into a machine, if any.
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

    /// Seeds a bug.
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
