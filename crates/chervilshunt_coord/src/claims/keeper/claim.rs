//! One claimed key.

use chervilshunt_model::{AttemptId, Moment};

use super::ClaimRequest;
use crate::claims::record::{ClaimKey, ClaimOutcome};
use crate::holder::Holder;

/// A claimed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Claim {
    pub(super) fingerprint: u64,
    pub(super) attempt: AttemptId,
    pub(super) entry: Holder,
    pub(super) state: ClaimState,
    /// The last page that says something of it.
    pub(super) last_page: Option<u64>,
    /// When it may be looked after the instance that runs it.
    pub(super) check_at: Moment,
}

/// How far a claimed request has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ClaimState {
    /// The claim is being recorded; nobody may send the request yet.
    Recording { give_up_at: Moment },
    /// The claim was granted, now or by an earlier keeper.
    Running,
    /// The request has ended.
    Ended(ClaimOutcome),
}

impl Claim {
    /// Returns the request that it was made for.
    pub(super) fn request(&self, key: ClaimKey) -> ClaimRequest {
        ClaimRequest {
            key,
            fingerprint: self.fingerprint,
            attempt: self.attempt,
            entry: self.entry.clone(),
        }
    }

    pub(super) fn gives_up_at(&self) -> Option<Moment> {
        match self.state {
            ClaimState::Recording { give_up_at } => Some(give_up_at),
            ClaimState::Running | ClaimState::Ended(_) => None,
        }
    }

    /// Returns whether this outcome tells more than what is known.
    pub(super) fn may_become(&self, outcome: &ClaimOutcome) -> bool {
        match &self.state {
            ClaimState::Recording { .. } | ClaimState::Running => true,
            // It was called unknown because its instance was taken for dead, and now that one
            // says what became of it. That it did not run comes too late to free the key: another
            // keeper may know it as unknown.
            ClaimState::Ended(ClaimOutcome::Unknown) => {
                matches!(outcome, ClaimOutcome::Done { .. })
            }
            ClaimState::Ended(ClaimOutcome::Done { .. } | ClaimOutcome::NotRun) => false,
        }
    }
}
