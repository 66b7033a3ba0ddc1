//! Messages between instances about leases while the platform is unreachable.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::holder::Holder;

/// A message about extending a lease or marking it lapsed.
///
/// Durations count from when the request was sent, on the requester's clock, because the answer may
/// have been delayed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ElectorMessage {
    /// Asks an elector to promise that it will not vouch.
    #[serde(rename = "p")]
    AskPromise {
        /// The number of this request, repeated in the answer.
        number: u64,
        /// The address of the elector. A process that listens on another address is not that
        /// elector.
        address: SocketAddr,
    },
    /// Answers [`Self::AskPromise`].
    #[serde(rename = "q")]
    Promise {
        /// The number of the request.
        number: u64,
        /// How long the promise is valid, in milliseconds; 0 if none was made.
        for_ms: u64,
    },
    /// Asks an elector to vouch that it can reach the platform.
    #[serde(rename = "v")]
    AskVouch {
        /// The number of this request, repeated in the answer.
        number: u64,
        /// The address of the elector. A process that listens on another address is not that
        /// elector.
        address: SocketAddr,
        /// The holder whose lease has expired.
        about: Holder,
    },
    /// Answers [`Self::AskVouch`]. An elector that vouches makes no promise for this time.
    #[serde(rename = "w")]
    Vouch {
        /// The number of the request.
        number: u64,
        /// The holder whose lease has expired.
        about: Holder,
        /// How long the vouch is valid, in milliseconds; 0 if the elector does not vouch.
        for_ms: u64,
    },
    /// Asks an instance of the same zone for how long a majority of the electors has promised.
    #[serde(rename = "h")]
    AskMajorityPromise {
        /// The number of this request, repeated in the answer.
        number: u64,
        /// The version of the electorate.
        electorate: u64,
    },
    /// Answers [`Self::AskMajorityPromise`].
    #[serde(rename = "i")]
    MajorityPromise {
        /// The number of the request.
        number: u64,
        /// How long the majority's promises are valid, in milliseconds; 0 if there is no majority.
        for_ms: u64,
    },
}
