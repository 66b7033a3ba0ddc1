//! Decides when a connection is pinged, given up or closed.
//!
//! There is no timer towards peers that owe nothing: only a connection on which requests wait is
//! watched, since only there does somebody suffer from a peer that is frozen while its TCP
//! connection stays up.

use std::time::Duration;

use tokio::time::Instant;

/// The bounds on silence.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Liveness {
    pub(crate) ping_after: Duration,
    pub(crate) ping_timeout: Duration,
    pub(crate) idle_timeout: Duration,
}

/// What has happened on a connection so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Activity {
    /// When anything was last received, pongs included.
    pub(crate) heard: Instant,
    /// When a message last passed in either direction.
    pub(crate) used: Instant,
    /// When the last ping went out.
    pub(crate) pinged: Option<Instant>,
    /// Since when there has always been a request of ours waiting for its answer.
    pub(crate) waiting_since: Option<Instant>,
    /// Whether messages wait to be written, or requests of the peer to be answered.
    pub(crate) busy: bool,
}

/// What is to be done about a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Nothing until this moment.
    Wait(Instant),
    /// Send a ping.
    Ping,
    /// Give the connection up as lost.
    GiveUp,
    /// Close the connection: nobody needs it.
    CloseIdle,
}

impl Liveness {
    /// Says what is to be done now.
    pub(crate) fn step(&self, activity: &Activity, now: Instant) -> Step {
        let Some(waiting_since) = activity.waiting_since else {
            return self.idle_step(activity, now);
        };
        let unanswered = activity.pinged.filter(|pinged| *pinged > activity.heard);
        if let Some(pinged) = unanswered {
            let bound = pinged + self.ping_timeout;
            return if now >= bound {
                Step::GiveUp
            } else {
                Step::Wait(bound)
            };
        }
        let quiet_until = activity.heard.max(waiting_since) + self.ping_after;
        if now >= quiet_until {
            Step::Ping
        } else {
            Step::Wait(quiet_until)
        }
    }

    fn idle_step(&self, activity: &Activity, now: Instant) -> Step {
        if activity.busy {
            return Step::Wait(now + self.idle_timeout);
        }
        let bound = activity.used + self.idle_timeout;
        if now >= bound {
            Step::CloseIdle
        } else {
            Step::Wait(bound)
        }
    }
}

#[cfg(test)]
mod tests;
