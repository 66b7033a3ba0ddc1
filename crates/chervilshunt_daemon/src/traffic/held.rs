//! The permits that this instance holds; a target's new owner queries them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use chervilshunt_core::Permit;
use chervilshunt_model::{AttemptId, TargetName};

/// All permits from their grant until their release has been acknowledged.
///
/// A new owner that is not informed of a permit could evict its adapter in the middle of an answer,
/// so a permit stays listed until the owner has acknowledged its release.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldPermits(Arc<Mutex<HashMap<AttemptId, Permit>>>);

impl HeldPermits {
    /// Adds a permit.
    pub(crate) fn insert(&self, permit: Permit) {
        self.lock().insert(permit.attempt, permit);
    }

    /// Removes a permit.
    pub(crate) fn remove(&self, attempt: AttemptId) {
        self.lock().remove(&attempt);
    }

    /// Returns the permits held for a target.
    pub(crate) fn of_target(&self, target: &TargetName) -> Vec<Permit> {
        self.lock()
            .values()
            .filter(|permit| permit.target == *target)
            .cloned()
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<AttemptId, Permit>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
