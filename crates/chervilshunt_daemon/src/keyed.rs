//! The state of the keyed attempts of this process, which claim keepers query after a takeover.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};

use chervilshunt_coord::ClaimOutcome;
use chervilshunt_model::AttemptId;

/// The number of ended attempts that are kept.
const MAX_ENDED_ATTEMPTS: usize = 50_000;

/// The attempts of this process to run requests with an idempotency key.
///
/// A claim keeper that took over a shard finds in its log that an attempt was claimed, but not how
/// it ended, and asks the process that made the attempt. An attempt that is not recorded here did
/// not run, as long as no ended attempt has been discarded; after that its outcome is unknown.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyedTries(Arc<Mutex<Tries>>);

#[derive(Debug, Default)]
struct Tries {
    running: HashSet<AttemptId>,
    ended: HashMap<AttemptId, ClaimOutcome>,
    discarded: bool,
}

/// The state of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TryState {
    /// The attempt has not ended.
    Running,
    /// The attempt has ended with this outcome.
    Ended(ClaimOutcome),
}

impl KeyedTries {
    /// Records an attempt; called before its claim is requested.
    pub(crate) fn begin(&self, attempt: AttemptId) {
        self.lock().running.insert(attempt);
    }

    /// Records the outcome of an attempt.
    pub(crate) fn end(&self, attempt: AttemptId, outcome: ClaimOutcome) {
        let mut tries = self.lock();
        tries.running.remove(&attempt);
        if tries.ended.len() >= MAX_ENDED_ATTEMPTS {
            tries.ended.clear();
            tries.discarded = true;
        }
        tries.ended.insert(attempt, outcome);
    }

    /// Returns the state of an attempt.
    pub(crate) fn state(&self, attempt: AttemptId) -> TryState {
        let tries = self.lock();
        if tries.running.contains(&attempt) {
            return TryState::Running;
        }
        let outcome = match tries.ended.get(&attempt) {
            Some(outcome) => outcome.clone(),
            None if tries.discarded => ClaimOutcome::Unknown,
            None => ClaimOutcome::NotRun,
        };
        TryState::Ended(outcome)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Tries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
