//! Remembers where streams began, and tells the deputy.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilshunt_core::{BegunStreams, StreamOrigins, StreamRecorder};
use chervilshunt_mesh::Peer;
use chervilshunt_model::Moment;
use tokio::sync::Notify;

use crate::peers::PeerMessage;
use crate::shared::Shared;

/// Time for which streams are gathered into one message to the deputy. Those that begin within it are
/// forgotten if the placer and the instance that began them are lost together.
const GATHER_TIME: Duration = Duration::from_millis(50);

/// The streams that this instance knows of, those that its deputy has not been told of, and those that are
/// to be written to the platform.
#[derive(Debug, Default)]
pub(crate) struct StreamMemory {
    origins: Mutex<StreamOrigins>,
    for_deputy: Mutex<Vec<BegunStreams>>,
    queued: Notify,
    recorder: Mutex<StreamRecorder>,
    /// Notifies that streams are to be written to the platform.
    pub(super) record_queued: Notify,
    /// Whether the placer writes this instance's streams to the platform, as it has reported.
    recorded_by_placer: AtomicBool,
    /// Whether this instance's last write to the platform failed.
    recording_fails: AtomicBool,
}

impl StreamMemory {
    /// Locks what is known of streams.
    pub(crate) fn origins(&self) -> MutexGuard<'_, StreamOrigins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is to be written to the platform.
    pub(super) fn recorder(&self) -> MutexGuard<'_, StreamRecorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the placer writes this instance's streams to the platform.
    pub(crate) fn is_recorded_by_placer(&self) -> bool {
        self.recorded_by_placer.load(Ordering::Relaxed)
    }

    /// Sets whether the placer writes this instance's streams to the platform, and returns whether it did.
    pub(super) fn swap_recorded_by_placer(&self, is_recorded: bool) -> bool {
        self.recorded_by_placer.swap(is_recorded, Ordering::Relaxed)
    }

    /// Returns whether this instance's last write to the platform failed.
    pub(crate) fn recording_fails(&self) -> bool {
        self.recording_fails.load(Ordering::Relaxed)
    }

    /// Sets whether this instance's last write to the platform failed.
    pub(super) fn set_recording_fails(&self, fails: bool) {
        self.recording_fails.store(fails, Ordering::Relaxed);
    }

    fn for_deputy(&self) -> MutexGuard<'_, Vec<BegunStreams>> {
        self.for_deputy
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues streams for the deputy.
    pub(crate) fn queue_for_deputy(&self, begun: Vec<BegunStreams>) {
        if begun.is_empty() {
            return;
        }
        let mut queued = self.for_deputy();
        for begun in begun {
            match queued.iter_mut().find(|it| it.origin == begun.origin) {
                Some(it) => it.streams.extend(begun.streams),
                None => queued.push(begun),
            }
        }
        drop(queued);
        self.queued.notify_one();
    }

    /// Records streams of which another instance tells.
    pub(crate) fn told(&self, begun: &[BegunStreams], now: Moment) {
        self.origins().told(begun, now);
    }
}

/// Tells the deputy of streams for as long as the process runs.
pub(crate) async fn forward_streams(shared: Arc<Shared>) {
    loop {
        shared.streams.queued.notified().await;
        tokio::time::sleep(GATHER_TIME).await;
        let begun = std::mem::take(&mut *shared.streams.for_deputy());
        if let Some(deputy) = shared.deputy.load_full() {
            shared.tell(&deputy, begun);
        }
    }
}

impl Shared {
    /// Tells another instance of streams.
    pub(crate) fn tell(&self, peer: &Peer, begun: Vec<BegunStreams>) {
        if begun.is_empty() || peer.instance == self.settings.instance.id {
            return;
        }
        if let Err(error) = self.mesh.send(peer, PeerMessage::StreamsBegan(begun)) {
            slog::debug!(self.log, "message to instance not sent";
                "peer" => peer.instance.as_str(), "reason" => error.to_string());
        }
    }

    /// Tells a new placer of this instance's own streams: it may have been told of none.
    pub(crate) fn tell_new_placer(&self, placer: &Peer) {
        let own = self.streams.origins().own(self.clock.now());
        for begun in own {
            self.tell(placer, begun);
        }
    }

    /// Tells a new deputy of all streams that are known here.
    pub(crate) fn tell_new_deputy(&self, deputy: &Peer) {
        let all = self.streams.origins().all(self.clock.now());
        for begun in all {
            self.tell(deputy, begun);
        }
    }
}
