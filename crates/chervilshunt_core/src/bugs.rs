//! Bugs that tests seed, to show that their checks find them.

/// A bug that a test can seed into one of the machines.
///
/// Without feature `seeded-bugs`, which only this crate's own tests switch on, none can be seeded
/// and the branches compile to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(
    not(feature = "seeded-bugs"),
    allow(unreachable_pub, reason = "public to the tests alone")
)]
pub enum Bug {
    /// An owner evicts before it knows the permits of the earlier one.
    EvictsInTakeover,
    /// The release of one permit takes the pins of all permits for its adapter off.
    ReleaseFreesAllPins,
    /// An owner leaves out permits that instances hold from before it took over.
    TakeoverForgetsPermits,
    /// An owner grants one permit more than the batch and the share of power bear.
    GrantsBeyondBatch,
    /// An owner treats an attempt that was settled as a new one.
    ForgetsSettledAttempts,
    /// An owner takes the refusal of its fencing number for an ordinary refusal.
    IgnoresFencedAnswer,
    /// An owner acts on the doubled answer to an order once more.
    TakesAnswerTwice,
    /// An owner loads as soon as it has asked for its turn.
    LoadsWithoutTurn,
    /// An allocator raises a share before the one that pays for it is confirmed as lowered.
    RaisesBeforeConfirmed,
    /// An allocator takes a crossed confirmation of an older share for the newest.
    TakesCrossedConfirmation,
    /// A new allocator takes targets to draw nothing until they confirm a share.
    ForgetsDrawAtTakeover,
    /// A scheduler gives one turn more than the store bears side by side.
    GrantsBeyondConcurrency,
    /// A scheduler gives the rate back for the doubled end of a turn.
    CountsEndTwice,
    /// A scheduler waits for the end of a turn for ever.
    NeverTimesOut,
}

/// The bug seeded into a machine, if any.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bugs {
    #[cfg(feature = "seeded-bugs")]
    seeded: Option<Bug>,
}

impl Bugs {
    /// Seeds a bug.
    #[cfg(feature = "seeded-bugs")]
    pub(crate) const fn seeded(bug: Bug) -> Self {
        Self { seeded: Some(bug) }
    }

    /// Returns whether `bug` is seeded.
    #[cfg(feature = "seeded-bugs")]
    pub(crate) fn has(self, bug: Bug) -> bool {
        self.seeded == Some(bug)
    }

    /// Returns whether `bug` is seeded.
    #[cfg(not(feature = "seeded-bugs"))]
    #[allow(clippy::unused_self, reason = "the same signature as in tests")]
    pub(crate) const fn has(self, _bug: Bug) -> bool {
        false
    }
}
