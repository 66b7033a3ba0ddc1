//! The grants that this instance has from the placer, and the reports of their progress.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilshunt_core::{GrantNumber, GrantProgress};
use tokio::sync::Notify;

use crate::peers::PeerMessage;
use crate::shared::Shared;

/// Time for which progress is gathered into one message. It delays the release of an adapter's slot
/// by one hundredth of the time of a load, and requests that end together share a message.
const GATHER_TIME: Duration = Duration::from_millis(3);

/// The grants of this instance.
#[derive(Debug, Default)]
pub(crate) struct GrantTracker {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    open: HashSet<GrantNumber>,
    progress: GrantProgress,
}

impl GrantTracker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the grants that have not ended.
    pub(crate) fn open(&self) -> Vec<GrantNumber> {
        self.lock().open.iter().copied().collect()
    }

    /// Counts a stream whose pause was longer than its caller wants.
    pub(crate) fn record_pause(&self) {
        self.lock().progress.paused += 1;
        self.changed.notify_one();
    }

    /// Has streams that have begun reported.
    pub(crate) fn stream_began(&self) {
        self.changed.notify_one();
    }

    fn take_progress(&self) -> GrantProgress {
        std::mem::take(&mut self.lock().progress)
    }
}

/// The placer's permission to send one request to a target. Dropping it reports that the request
/// has ended.
#[derive(Debug)]
pub(crate) struct Grant {
    shared: Arc<Shared>,
    number: GrantNumber,
}

impl Grant {
    /// Registers a grant.
    pub(crate) fn new(shared: &Arc<Shared>, number: GrantNumber) -> Self {
        shared.grants.lock().open.insert(number);
        Self {
            shared: Arc::clone(shared),
            number,
        }
    }

    /// Reports the pace that the target states in the head of its answer.
    ///
    /// It goes with the next report, which follows when the target has read the prompt. A message
    /// for each answer would be a third more for the placer to process.
    pub(crate) fn pace_stated(&self, pace: u16) {
        let grants = &self.shared.grants;
        grants.lock().progress.paces.push((self.number, pace));
    }

    /// Reports that the target has begun to answer.
    pub(crate) fn begun(&self) {
        let grants = &self.shared.grants;
        grants.lock().progress.begun.push(self.number);
        grants.changed.notify_one();
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let grants = &self.shared.grants;
        let mut state = grants.lock();
        state.open.remove(&self.number);
        state.progress.ended.push(self.number);
        drop(state);
        grants.changed.notify_one();
    }
}

/// Reports the progress of this instance's grants to the placer for as long as the process runs.
pub(crate) async fn report_progress(shared: Arc<Shared>) {
    loop {
        shared.grants.changed.notified().await;
        tokio::time::sleep(GATHER_TIME).await;
        let now = shared.clock.now();
        let mut progress = shared.grants.take_progress();
        progress.streams = shared.streams.origins().take_untold(now);
        let placer = shared.placer.load_full();
        if placer.is_none() || shared.is_placer_silent(now) {
            shared.streams.queue_for_deputy(progress.streams.clone());
        }
        if !shared.streams.is_recorded_by_placer() {
            shared.record_streams(&progress.streams, now);
        }
        // Without a placer the progress is not needed: a new placer receives all open requests.
        let Some(placer) = placer.filter(|_| !progress.is_empty()) else {
            continue;
        };
        if let Err(error) = shared.mesh.send(&placer, PeerMessage::Progress(progress)) {
            slog::debug!(shared.log, "message to placer not sent"; "reason" => error.to_string());
        }
    }
}
