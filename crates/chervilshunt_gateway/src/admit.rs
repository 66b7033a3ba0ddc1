//! Messages about requests for a place at a plain service.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{ChargeResult, Fingerprint, GrantNumber};
use chervilshunt_model::{ServiceName, TargetName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::peers::{ChargeRequest, is_false};

/// A request for a place at a plain service, and for the charge to its team's quota.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct AdmitRequest {
    /// The service.
    #[serde(rename = "s")]
    pub(crate) service: ServiceName,
    /// The charge; `None` if the request has been charged or has no quota.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub(crate) charge: Option<ChargeRequest>,
    /// The team of a request that is not charged now.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub(crate) team: Option<Arc<str>>,
    /// What is left of the time to the first byte that the request should have.
    #[serde(rename = "o")]
    pub(crate) objective_left: Duration,
    /// What is left of the time that the caller waits.
    #[serde(rename = "l")]
    pub(crate) time_left: Duration,
    /// The request's priority; 0 is the most urgent.
    #[serde(rename = "u", default, skip_serializing_if = "is_zero")]
    pub(crate) priority: u8,
    /// Identifies the request across its caller's attempts.
    #[serde(rename = "k")]
    pub(crate) content: Fingerprint,
    /// Whether a target has failed or rejected the request before.
    #[serde(rename = "r", default, skip_serializing_if = "is_false")]
    pub(crate) is_repeat: bool,
    /// The sender's availability zone.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub(crate) zone: Option<ZoneName>,
    /// Targets that the request must not be sent to.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) avoid: Vec<TargetName>,
}

/// The placer's answer to an [`AdmitRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct AdmitAnswer {
    /// The result of the charge, if one was asked for. The charge has the number of the grant, and
    /// is given back if the request is refused.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub(crate) charge: Option<ChargeResult>,
    /// The number of the grant.
    #[serde(rename = "n")]
    pub(crate) number: GrantNumber,
    /// Whether and where the request may run.
    #[serde(rename = "o")]
    pub(crate) outcome: AdmitOutcome,
    /// The mean time that a request occupies a slot of the service, for the time without a placer.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub(crate) slot_time: Option<Duration>,
}

/// Whether and where a request to a plain service may run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum AdmitOutcome {
    /// It may be sent to this target.
    #[serde(rename = "a")]
    At(TargetName),
    /// It may not run now.
    #[serde(rename = "b")]
    Busy {
        /// When its caller should return; `None` if there is no such time.
        #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
        retry_in: Option<Duration>,
    },
    /// The placer knows no target that the request may be sent to, and the sender decides.
    #[serde(rename = "n")]
    NoTarget,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(priority: &u8) -> bool {
    *priority == 0
}

#[cfg(test)]
mod tests;
