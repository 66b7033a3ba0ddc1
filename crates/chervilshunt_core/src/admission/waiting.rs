//! Connections of callers that have not sent a whole request yet.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_model::Moment;

/// Age from which on a connection without a request may be closed for a new one.
const MIN_EVICTION_AGE: Duration = Duration::from_secs(1);

/// Identifies a connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionNumber(u64);

/// The connections that have not sent a whole request yet.
///
/// Clients that open all connections that an instance may have, and send nothing, or the start of a request, would
/// keep all others out until their connections are closed for being idle. A sound client sends its first request
/// at once. See `docs/design/connections.md`.
#[derive(Debug, Default)]
pub struct WaitingCallers {
    /// When each was opened, the oldest first.
    opened: BTreeMap<ConnectionNumber, Moment>,
    next: u64,
}

impl WaitingCallers {
    /// Adds a connection.
    pub fn opened(&mut self, now: Moment) -> ConnectionNumber {
        let number = ConnectionNumber(self.next);
        self.next += 1;
        self.opened.insert(number, now);
        number
    }

    /// Removes a connection that has sent a whole request or is closed.
    pub fn ended(&mut self, number: ConnectionNumber) {
        self.opened.remove(&number);
    }

    /// Removes and returns the connection to close for a new one, if one is old enough.
    pub fn evict(&mut self, now: Moment) -> Option<ConnectionNumber> {
        let (oldest, opened) = self.opened.first_key_value()?;
        let (oldest, opened) = (*oldest, *opened);
        (now.since(opened) >= MIN_EVICTION_AGE).then(|| {
            self.opened.remove(&oldest);
            oldest
        })
    }
}
