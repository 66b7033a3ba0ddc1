//! Messages to the control actor.

use chervilshunt_core::{OrderAnswer, OrderNumber, TargetReport};
use chervilshunt_mesh::Inbound;
use chervilshunt_model::{StoreRevision, TargetName};
use xtra::Address;

use super::actor::Control;
use crate::dialect::{Changes, Entry, Kind};
use crate::peers::PeerMessage;

/// The first message, with the actor's own address.
#[derive(Debug)]
pub(crate) struct Begin(pub(crate) Address<Control>);

/// A message from a peer, or the loss of its connection.
#[derive(Debug)]
pub(crate) struct PeerEvent(pub(crate) Inbound<PeerMessage>);

/// Events from the platform's object service.
#[derive(Debug)]
pub(crate) enum StoreEvent {
    /// All objects of a kind, and the revision of the list.
    Listed(Kind, Vec<Entry>, StoreRevision),
    /// Changes of a kind; there may be none.
    Changed(Kind, Changes),
    /// A call has failed.
    CallFailed(Kind),
    /// A call has succeeded after failures.
    Recovered(Kind),
}

/// The result of an order to a target.
#[derive(Debug)]
pub(crate) struct OrderResult(pub(crate) OrderNumber, pub(crate) OrderAnswer);

/// The report of what a target holds; `None` if the target could not be queried.
#[derive(Debug)]
pub(crate) struct TargetQueried(pub(crate) TargetName, pub(crate) Option<TargetReport>);

/// A scheduled wake-up.
#[derive(Debug)]
pub(crate) struct Tick;

/// It is time to report this instance's open requests to the placer.
#[derive(Debug)]
pub(crate) struct ReportUsage {
    /// When the report was due.
    pub(crate) due_at: tokio::time::Instant,
}

/// The settings file should be read again.
#[derive(Debug)]
pub(crate) struct Reload;

/// The instance shuts down.
#[derive(Debug)]
pub(crate) struct Stop;
