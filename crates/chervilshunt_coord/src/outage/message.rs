//! What instances say to each other about the platform's failure.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::holder::Holder;

/// A message about the platform's failure.
///
/// Durations count from the question, not from the answer, on the clock of who asked: the answer
/// may have been on its way for long.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HoldMessage {
    /// Asks an elector to promise that it will not vouch.
    #[serde(rename = "p")]
    AskPromise {
        /// Under which number the answer comes back.
        number: u64,
        /// Where the elector listens; whoever listens elsewhere is another one.
        address: SocketAddr,
    },
    /// Promises not to vouch for a while, or doesn't.
    #[serde(rename = "q")]
    Promise {
        /// The number of the question.
        number: u64,
        /// For how long, in milliseconds; 0 for no promise.
        for_ms: u64,
    },
    /// Asks an elector to vouch that it can reach the platform.
    #[serde(rename = "v")]
    AskVouch {
        /// Under which number the answer comes back.
        number: u64,
        /// Where the elector listens; whoever listens elsewhere is another one.
        address: SocketAddr,
        /// Whose lease has run out.
        about: Holder,
    },
    /// Vouches, and will promise nothing for a while; or doesn't.
    #[serde(rename = "w")]
    Vouch {
        /// The number of the question.
        number: u64,
        /// Whose lease has run out.
        about: Holder,
        /// For how long, in milliseconds; 0 if it does not vouch.
        for_ms: u64,
    },
    /// Asks an instance of the same zone how long a majority of the electors has promised.
    #[serde(rename = "h")]
    AskHold {
        /// Under which number the answer comes back.
        number: u64,
        /// The version of the electorate.
        electorate: u64,
    },
    /// Says how long a majority of the electors has promised.
    #[serde(rename = "i")]
    HoldFor {
        /// The number of the question.
        number: u64,
        /// For how long, in milliseconds; 0 if there is no majority.
        for_ms: u64,
    },
}
