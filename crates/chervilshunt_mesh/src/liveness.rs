//! Decides when a connection is pinged, aborted or closed.
//!
//! Only connections with pending requests are checked for liveness, because only those requests
//! suffer if a peer is frozen while its TCP connection stays up. Other peers are not pinged.

use std::time::Duration;

use tokio::time::Instant;

/// The time limits for an unresponsive or idle connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Liveness {
    pub(crate) ping_after: Duration,
    pub(crate) ping_timeout: Duration,
    pub(crate) idle_timeout: Duration,
}

/// The recent activity of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Activity {
    /// When data was last received, including pongs.
    pub(crate) last_received: Instant,
    /// When a message was last sent or received.
    pub(crate) last_used: Instant,
    /// When the last ping was sent.
    pub(crate) last_ping: Option<Instant>,
    /// Since when at least one of this side's requests has been awaiting an answer.
    pub(crate) waiting_since: Option<Instant>,
    /// Whether messages wait to be written, or requests of the peer wait to be answered.
    pub(crate) busy: bool,
}

/// The next liveness action on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LivenessAction {
    /// Check again at this time.
    Wait(Instant),
    /// Send a ping.
    Ping,
    /// Abort the connection, as the peer did not respond to a ping.
    GiveUp,
    /// Close the connection, as it is idle.
    CloseIdle,
}

impl Liveness {
    /// Returns the action that is due now.
    pub(crate) fn next_action(&self, activity: &Activity, now: Instant) -> LivenessAction {
        let Some(waiting_since) = activity.waiting_since else {
            return self.idle_action(activity, now);
        };
        let unanswered = activity
            .last_ping
            .filter(|pinged| *pinged > activity.last_received);
        if let Some(pinged) = unanswered {
            let bound = pinged + self.ping_timeout;
            return if now >= bound {
                LivenessAction::GiveUp
            } else {
                LivenessAction::Wait(bound)
            };
        }
        let ping_due = activity.last_received.max(waiting_since) + self.ping_after;
        if now >= ping_due {
            LivenessAction::Ping
        } else {
            LivenessAction::Wait(ping_due)
        }
    }

    fn idle_action(&self, activity: &Activity, now: Instant) -> LivenessAction {
        if activity.busy {
            return LivenessAction::Wait(now + self.idle_timeout);
        }
        let bound = activity.last_used + self.idle_timeout;
        if now >= bound {
            LivenessAction::CloseIdle
        } else {
            LivenessAction::Wait(bound)
        }
    }
}

#[cfg(test)]
mod tests;
