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
pub(crate) struct KeyedAttempts(Arc<Mutex<Attempts>>);

#[derive(Debug, Default)]
struct Attempts {
    running: HashSet<AttemptId>,
    ended: HashMap<AttemptId, ClaimOutcome>,
    discarded: bool,
}

/// The state of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// The attempt has not ended.
    Running,
    /// The attempt has ended with this outcome.
    Ended(ClaimOutcome),
}

impl KeyedAttempts {
    /// Records an attempt; called before its claim is requested.
    pub(crate) fn begin(&self, attempt: AttemptId) {
        self.lock().running.insert(attempt);
    }

    /// Records the outcome of an attempt.
    pub(crate) fn end(&self, attempt: AttemptId, outcome: ClaimOutcome) {
        let mut attempts = self.lock();
        attempts.running.remove(&attempt);
        if attempts.ended.len() >= MAX_ENDED_ATTEMPTS {
            attempts.ended.clear();
            attempts.discarded = true;
        }
        attempts.ended.insert(attempt, outcome);
    }

    /// Returns the state of an attempt.
    pub(crate) fn state(&self, attempt: AttemptId) -> AttemptState {
        let attempts = self.lock();
        if attempts.running.contains(&attempt) {
            return AttemptState::Running;
        }
        let outcome = match attempts.ended.get(&attempt) {
            Some(outcome) => outcome.clone(),
            None if attempts.discarded => ClaimOutcome::Unknown,
            None => ClaimOutcome::NotRun,
        };
        AttemptState::Ended(outcome)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Attempts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
