//! Messages between instances about configuration changes.

use chervilshunt_model::{ChangeId, InstanceId, Revision};
use serde::{Deserialize, Serialize};

use super::model::PageKey;
use super::stamp::PageStamp;
use crate::holder::Holder;

/// A message about a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ConfigMessage<C> {
    /// Asks for an acknowledgement.
    #[serde(rename = "p")]
    Prepare(Box<Prepare<C>>),
    /// Acknowledges a change or refuses to.
    #[serde(rename = "a")]
    Acknowledge {
        /// The change.
        change: ChangeId,
        /// The head's generation in which the change is pending.
        generation: u64,
        /// The acknowledging instance and its incarnation.
        holder: Holder,
        /// The proposer, which waits for this message; any other receiver forwards it there.
        proposer: InstanceId,
        /// The reason of a refusal; `None` in an acknowledgement.
        refusal: Option<String>,
    },
    /// Announces the outcome of a change.
    #[serde(rename = "d")]
    Decided {
        /// The change.
        change: ChangeId,
        /// The head's generation after the decision.
        generation: u64,
        /// The new revision if the change was accepted.
        accepted: Option<Revision>,
    },
    /// Asks for the outcome of a change.
    #[serde(rename = "q")]
    AskDecision {
        /// The change.
        change: ChangeId,
    },
    /// Asks the receiver to forward a message to other instances, so that no instance has to
    /// contact all others.
    #[serde(rename = "f")]
    Forward {
        /// The instances to forward to.
        to: Vec<InstanceId>,
        /// The message to forward.
        message: Box<Self>,
    },
}

/// A request to a live instance to acknowledge a change before it is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prepare<C> {
    /// The change.
    pub change: ChangeId,
    /// The head's generation in which the change is pending.
    pub generation: u64,
    /// The revision to which the change applies.
    pub base: Revision,
    /// The change itself.
    pub body: C,
    /// The stamps of the changed pages, to verify that all instances compute the same content.
    pub pages: Vec<(PageKey, PageStamp)>,
    /// The proposer, which waits for the acknowledgement.
    pub proposer: InstanceId,
}
