//! Messages about where streams began.

use chervilshunt_core::{BegunStreams, StreamKey};
use chervilshunt_mesh::Reply;
use chervilshunt_model::{InstanceId, Moment};

use super::actor::Control;
use crate::peers::PeerMessage;

impl Control {
    /// Records streams of which another instance tells, and has the deputy told and writes them to the
    /// platform if this instance is the placer.
    pub(super) fn record_streams(&self, begun: Vec<BegunStreams>) {
        if begun.is_empty() {
            return;
        }
        let now = self.now();
        self.shared.streams.told(&begun, now);
        if self.placer.is_some() {
            self.shared.record_streams(&begun, now);
            self.shared.streams.queue_for_deputy(begun);
        }
    }

    /// Writes all known streams to the platform as the new placer: the last one may have been told of
    /// streams that it has not written.
    pub(super) fn record_known_streams(&self, now: Moment) {
        let all = self.shared.streams.origins().all(now);
        for begun in all {
            self.shared.record_streams(&begun, now);
        }
    }

    /// Records that the connection to the placer or its deputy was lost.
    pub(super) fn keeper_lost(&mut self, peer: &InstanceId) {
        let placer = self.shared.placer.load_full();
        let deputy = self.shared.deputy.load_full();
        let is_keeper = |it: &InstanceId| {
            let mut keepers = placer.iter().chain(&deputy);
            keepers.any(|keeper| keeper.instance == *it)
        };
        self.untold.insert(peer.clone());
        self.untold.retain(is_keeper);
    }

    /// Tells the placer of this instance's own streams if its connection was lost before.
    pub(super) fn tell_restarted_placer(&mut self, from: &InstanceId) {
        if !self.untold.remove(from) {
            return;
        }
        if let Some(placer) = self.shared.placer.load_full() {
            self.shared.tell_new_placer(&placer);
        }
    }

    /// Answers where a stream began, as far as this instance knows.
    pub(super) fn answer_stream_origin(&self, key: StreamKey, reply: Option<Reply<PeerMessage>>) {
        let Some(reply) = reply else {
            return;
        };
        let origin = self.shared.streams.origins();
        let origin = origin.origin(key, self.now()).cloned();
        if let Err(error) = reply.send(PeerMessage::StreamOriginAnswer(origin)) {
            slog::debug!(self.shared.log, "requester is gone"; "reason" => error.to_string());
        }
    }
}
