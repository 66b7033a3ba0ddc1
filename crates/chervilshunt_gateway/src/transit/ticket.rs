//! Tickets that let other instances have requests passed on.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use chervilshunt_model::InstanceId;
use serde::{Deserialize, Serialize};

/// Allows an instance to have its requests passed on by the one that issued it. Whoever knows it
/// can send requests to targets, so it must not reach a log.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Ticket(Arc<str>);

impl fmt::Debug for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ticket(..)")
    }
}

impl Ticket {
    fn random() -> Self {
        Self(format!("{:032x}", rand::random::<u128>()).into())
    }

    /// Returns the value of the header that carries it.
    pub(super) fn as_str(&self) -> &str {
        &self.0
    }
}

/// The tickets that this process has issued. They are not kept over a restart.
#[derive(Debug, Default)]
pub(crate) struct IssuedTickets(Mutex<HashMap<InstanceId, Ticket>>);

impl IssuedTickets {
    /// Returns the ticket of an instance, which is issued on the first call.
    pub(crate) fn issue(&self, instance: &InstanceId) -> Ticket {
        let mut issued = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let ticket = issued.entry(instance.clone());
        ticket.or_insert_with(Ticket::random).clone()
    }

    /// Returns the instance to which a ticket was issued.
    pub(super) fn holder(&self, ticket: &str) -> Option<InstanceId> {
        let issued = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut issued = issued.iter();
        let found = issued.find(|(_, it)| it.as_str() == ticket);
        found.map(|(instance, _)| instance.clone())
    }
}
