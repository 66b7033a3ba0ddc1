//! The state of one claimed key.

use chervilshunt_model::{AttemptId, Moment};

use super::ClaimRequest;
use crate::claims::record::{ClaimKey, ClaimOutcome};
use crate::holder::Holder;

/// A claimed key and the state of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct TrackedClaim {
    pub(super) fingerprint: u64,
    pub(super) attempt: AttemptId,
    pub(super) entry: Holder,
    pub(super) state: ClaimState,
    /// The sequence number of the last page that mentions this claim.
    pub(super) last_page: Option<u64>,
    /// The earliest time of the next check of the instance that runs the request.
    pub(super) check_at: Moment,
}

/// The progress of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ClaimState {
    /// The claim is being recorded; the request may not be sent yet.
    Recording { refuse_at: Moment },
    /// The claim was granted, by this keeper or an earlier one.
    Running,
    /// The request has ended.
    Ended(ClaimOutcome),
}

impl TrackedClaim {
    /// Returns the request that this claim was made for.
    pub(super) fn request(&self, key: ClaimKey) -> ClaimRequest {
        ClaimRequest {
            key,
            fingerprint: self.fingerprint,
            attempt: self.attempt,
            entry: self.entry.clone(),
        }
    }

    pub(super) fn refuse_at(&self) -> Option<Moment> {
        match self.state {
            ClaimState::Recording { refuse_at } => Some(refuse_at),
            ClaimState::Running | ClaimState::Ended(_) => None,
        }
    }

    /// Returns whether `outcome` adds information to the current state.
    pub(super) fn accepts_outcome(&self, outcome: &ClaimOutcome) -> bool {
        match &self.state {
            ClaimState::Recording { .. } | ClaimState::Running => true,
            // The outcome was set to unknown because the instance was presumed dead, and now that
            // instance reports how the request ended. A late `NotRun` must not free the key, as
            // another keeper may already know the claim as unknown.
            ClaimState::Ended(ClaimOutcome::Unknown) => {
                matches!(outcome, ClaimOutcome::Done { .. })
            }
            ClaimState::Ended(ClaimOutcome::Done { .. } | ClaimOutcome::NotRun) => false,
        }
    }
}
