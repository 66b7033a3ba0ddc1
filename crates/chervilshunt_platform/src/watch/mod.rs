//! Watches that recover from lost connections, missed events and expired versions.

mod check;
mod follow;
mod known;
mod lines;
mod reconnects;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use crate::{Object, Platform, Resource, ResourceVersion, Selector, WatchTiming};

pub(crate) use reconnects::Reconnects;

/// An event of a watch.
///
/// A watch first delivers each object as [`WatchEvent::Applied`], then [`WatchEvent::Synced`], then
/// the changes. When it has to list the objects again, it delivers only the difference between the
/// new list and the previous events. Versions never decrease: an object is delivered again only at
/// a higher version.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent<S> {
    /// The object was created or modified.
    Applied(Object<S>),
    /// The object was deleted or no longer matches the selector.
    Deleted {
        /// The object's name.
        name: Arc<str>,
    },
    /// The object was created or modified, and its content can't be decoded.
    Malformed {
        /// The object's name.
        name: Arc<str>,
        /// The decoding error.
        problem: Arc<str>,
    },
    /// All events up to a version have been delivered, and the watch is open.
    Synced {
        /// The version.
        version: ResourceVersion,
    },
    /// The delivered state may be out of date until the next [`WatchEvent::Synced`].
    Stalled {
        /// The reason.
        reason: StallReason,
    },
}

/// The reason why a watch currently can't deliver changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallReason {
    /// The platform is unreachable or unavailable.
    Outage,
    /// The connection is open, but no line, not even a bookmark, arrived within the time limit.
    Silence,
    /// The platform returned an older state than before.
    OldList,
    /// The platform refuses the call. An operator has to resolve the cause.
    Refused,
}

/// Spawns the task of a watch and returns the receiver of its events.
pub(crate) fn start_watch<S>(
    platform: Platform,
    resource: Resource,
    selector: Selector,
    timing: WatchTiming,
) -> mpsc::Receiver<WatchEvent<S>>
where
    S: DeserializeOwned + Send + 'static,
{
    let (tx, rx) = mpsc::channel(timing.buffer.max(1));
    tokio::spawn(follow::run(platform, resource, selector, timing, tx));
    rx
}
