//! What instances say to each other about changes of configuration.

use chervilshunt_model::{ChangeId, InstanceId, Revision};
use serde::{Deserialize, Serialize};

use super::model::PageKey;
use super::stamp::PageStamp;
use crate::holder::Holder;

/// A message about a change of configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ConfigMessage<C> {
    /// Asks for an acknowledgement.
    #[serde(rename = "p")]
    Prepare(Box<Prepare<C>>),
    /// Acknowledges a change, or says why not.
    #[serde(rename = "a")]
    Acknowledge {
        /// The change.
        change: ChangeId,
        /// The head's generation with the change under way.
        generation: u64,
        /// Who acknowledges.
        holder: Holder,
        /// Who waits for it; whoever else receives it passes it on.
        proposer: InstanceId,
        /// Why it can't, if so.
        refusal: Option<String>,
    },
    /// Says how a change ended.
    #[serde(rename = "d")]
    Decided {
        /// The change.
        change: ChangeId,
        /// The head's generation since.
        generation: u64,
        /// The revision if it was accepted.
        accepted: Option<Revision>,
    },
    /// Asks how a change ended.
    #[serde(rename = "q")]
    AskDecision {
        /// The change.
        change: ChangeId,
    },
    /// Passes a message on to others, so that nobody has to talk to everyone.
    #[serde(rename = "f")]
    Forward {
        /// To whom.
        to: Vec<InstanceId>,
        /// What.
        message: Box<Self>,
    },
}

/// Asks a live instance to acknowledge a change before it is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prepare<C> {
    /// The change.
    pub change: ChangeId,
    /// The head's generation with the change under way.
    pub generation: u64,
    /// The revision that the change builds on.
    pub base: Revision,
    /// What changes.
    pub body: C,
    /// The contents of the pages after it, to make sure that all come to the same.
    pub pages: Vec<(PageKey, PageStamp)>,
    /// Who waits for the acknowledgement.
    pub proposer: InstanceId,
}
