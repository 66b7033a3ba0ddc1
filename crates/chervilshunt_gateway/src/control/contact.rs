//! What this instance's own calls show about whether the platform's service answers.
//!
//! Only one follower probes a service that is unavailable, and the others wait for what it finds. Each
//! piece of evidence carries the time at which its call began: a call that began before an outage ended
//! may fail long after another one has been answered, and says nothing about the time after it began.

use tokio::sync::watch;
use tokio::time::Instant;

/// The evidence of all followers of an instance; clones share it.
#[derive(Clone, Debug)]
pub(super) struct Contact(watch::Sender<Evidence>);

#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    /// When the newest of the calls began that were answered.
    answered: Option<Instant>,
    /// When the call began that failed last, and the number of calls that have failed.
    failed: Option<Instant>,
    failures: u64,
    /// Whether the probing follower leaves the service to the placer.
    is_prober_paused: bool,
}

impl Evidence {
    fn is_answering_since(&self, began: Instant) -> bool {
        self.answered.is_some_and(|at| at > began)
    }
}

impl Contact {
    pub(super) fn new() -> Self {
        Self(watch::Sender::default())
    }

    /// Records that a call was answered.
    pub(super) fn answered(&self, began: Instant) {
        self.0.send_if_modified(|known| {
            let is_newer = known.answered < Some(began);
            known.answered = known.answered.max(Some(began));
            is_newer
        });
    }

    /// Records that a call failed.
    pub(super) fn failed(&self, began: Instant) {
        self.0.send_modify(|known| {
            known.failed = Some(began);
            known.failures += 1;
        });
    }

    /// Records whether the probing follower is paused.
    pub(super) fn set_prober_paused(&self, is_paused: bool) {
        self.0.send_if_modified(|known| {
            std::mem::replace(&mut known.is_prober_paused, is_paused) != is_paused
        });
    }

    /// Returns when the call began that failed last.
    pub(super) fn last_failed(&self) -> Option<Instant> {
        self.0.borrow().failed
    }

    /// Returns whether a call that began after `began` has been answered.
    pub(super) fn is_answering_since(&self, began: Instant) -> bool {
        self.0.borrow().is_answering_since(began)
    }

    /// Waits until a call that began after `began` has been answered.
    pub(super) async fn answering_since(&self, began: Instant) {
        self.wait_for(|it| it.is_answering_since(began)).await;
    }

    /// Waits until a call that began after `began` has been answered, or nobody probes.
    pub(super) async fn answering_or_unprobed(&self, began: Instant) {
        self.wait_for(|it| it.is_answering_since(began) || it.is_prober_paused)
            .await;
    }

    /// Waits until a call fails from now on.
    pub(super) async fn next_failure(&self) {
        let before = self.0.borrow().failures;
        self.wait_for(|it| it.failures != before).await;
    }

    async fn wait_for(&self, holds: impl Fn(&Evidence) -> bool) {
        let mut known = self.0.subscribe();
        // The sender is `self`, so that the channel stays open.
        drop(known.wait_for(|it| holds(it)).await);
    }
}

#[cfg(test)]
mod tests;
