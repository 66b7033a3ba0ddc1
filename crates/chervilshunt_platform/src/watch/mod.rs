//! Watches that go on through lost connections, gaps and versions that are too old.

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

/// What a watch tells.
///
/// First comes each object as [`WatchEvent::Applied`], then [`WatchEvent::Synced`], then the
/// changes. A watch that has to list again tells only how the new list differs from what it told
/// before. It never goes back: an object is told only at a higher version than before.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent<S> {
    /// The object is new or has changed.
    Applied(Object<S>),
    /// The object is gone, or the selector takes it no longer.
    Deleted {
        /// Its name.
        name: Arc<str>,
    },
    /// The object is new or has changed, and its content can't be read.
    Malformed {
        /// Its name.
        name: Arc<str>,
        /// Why it can't be read.
        problem: Arc<str>,
    },
    /// Everything up to a version has been told, and the watch is open.
    Synced {
        /// The version.
        version: ResourceVersion,
    },
    /// What was told may be out of date until the next [`WatchEvent::Synced`].
    Stalled {
        /// Why.
        reason: StallReason,
    },
}

/// Why a watch can't tell changes at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallReason {
    /// The platform can't be reached or does not serve.
    Outage,
    /// The connection is open, but not even bookmarks came.
    Silence,
    /// The platform shows an older state than it has shown before.
    OldList,
    /// The platform refuses the call; an operator has to see to it.
    Refused,
}

/// Starts a watch on a task of its own.
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
