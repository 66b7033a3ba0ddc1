//! Bugs that tests seed into the state machines, to verify that the checks detect them.

/// A bug that a test can seed into one of the state machines.
///
/// Bugs can only be seeded with feature `seeded-bugs`, which only this crate's own tests enable.
/// Without it, the branches that check for bugs compile to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(
    not(feature = "seeded-bugs"),
    allow(unreachable_pub, reason = "public to the tests alone")
)]
pub enum Bug {
    /// A new owner evicts adapters before it knows the permits granted by the previous one.
    EvictsInTakeover,
    /// A new owner trusts reports of idle adapters from when old permits could still be used.
    TrustsEarlyReports,
    /// Releasing one permit removes the pins of all permits for the same adapter.
    ReleaseFreesAllPins,
    /// A new owner ignores permits that instances hold from before its takeover.
    TakeoverForgetsPermits,
    /// An owner grants one permit more than the batch and the power share allow.
    GrantsBeyondBatch,
    /// An owner treats an attempt that was already settled as a new one.
    ForgetsSettledAttempts,
    /// An owner handles the rejection of its fencing number like any other refusal.
    IgnoresFencedAnswer,
    /// An owner processes a duplicated answer to an order a second time.
    HandlesAnswerTwice,
    /// An owner loads as soon as it has requested a turn, without waiting for the grant.
    LoadsWithoutTurn,
    /// The allocator raises a share before the decrease that makes room for it is confirmed.
    RaisesBeforeConfirmed,
    /// The allocator accepts a late confirmation of an older share as one of the newest share.
    AcceptsStaleConfirmation,
    /// A new allocator assumes that targets draw nothing until they confirm a share.
    ForgetsDrawAtTakeover,
    /// The scheduler grants one turn more than the store's concurrency.
    GrantsBeyondConcurrency,
    /// The scheduler returns a rate token for the duplicated end of a turn.
    CountsEndTwice,
    /// The scheduler never times out a turn whose end is not reported.
    NeverTimesOut,
}

/// The bug seeded into a state machine, if any.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bugs {
    #[cfg(feature = "seeded-bugs")]
    seeded: Option<Bug>,
}

impl Bugs {
    /// Creates the state with `bug` seeded.
    #[cfg(feature = "seeded-bugs")]
    pub(crate) const fn seeded(bug: Bug) -> Self {
        Self { seeded: Some(bug) }
    }

    /// Returns whether `bug` is seeded.
    #[cfg(feature = "seeded-bugs")]
    pub(crate) fn has(self, bug: Bug) -> bool {
        self.seeded == Some(bug)
    }

    /// Returns whether `bug` is seeded, which it never is without the feature.
    #[cfg(not(feature = "seeded-bugs"))]
    #[allow(clippy::unused_self, reason = "the same signature as in tests")]
    pub(crate) const fn has(self, _bug: Bug) -> bool {
        false
    }
}
