//! The keyed tries that this process runs or has run, for claim keepers that ask after them.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};

use chervilshunt_coord::ClaimOutcome;
use chervilshunt_model::AttemptId;

/// The most tries that are remembered after their end.
const REMEMBERED: usize = 50_000;

/// The keyed tries of this process.
///
/// A keeper that took over reads in its log that a try was claimed, not how it ended. This process
/// can say so, and of a try that it never heard of it can say that it did not run: that is true as
/// long as it has forgotten none.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyedTries(Arc<Mutex<Tries>>);

#[derive(Debug, Default)]
struct Tries {
    running: HashSet<AttemptId>,
    ended: HashMap<AttemptId, ClaimOutcome>,
    forgot: bool,
}

/// What is known of a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TryState {
    /// It runs.
    Running,
    /// It has ended like this.
    Ended(ClaimOutcome),
}

impl KeyedTries {
    /// Notes a try, before its claim is asked for.
    pub(crate) fn begin(&self, attempt: AttemptId) {
        self.lock().running.insert(attempt);
    }

    /// Notes how a try ended.
    pub(crate) fn end(&self, attempt: AttemptId, outcome: ClaimOutcome) {
        let mut tries = self.lock();
        tries.running.remove(&attempt);
        if tries.ended.len() >= REMEMBERED {
            tries.ended.clear();
            tries.forgot = true;
        }
        tries.ended.insert(attempt, outcome);
    }

    /// Returns what became of a try.
    pub(crate) fn state(&self, attempt: AttemptId) -> TryState {
        let tries = self.lock();
        if tries.running.contains(&attempt) {
            return TryState::Running;
        }
        let outcome = match tries.ended.get(&attempt) {
            Some(outcome) => outcome.clone(),
            None if tries.forgot => ClaimOutcome::Unknown,
            None => ClaimOutcome::NotRun,
        };
        TryState::Ended(outcome)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Tries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
