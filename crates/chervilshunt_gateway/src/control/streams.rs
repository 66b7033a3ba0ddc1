//! Messages about where streams began.

use chervilshunt_core::{BegunStreams, StreamKey};
use chervilshunt_mesh::Reply;

use super::actor::Control;
use crate::peers::PeerMessage;

impl Control {
    /// Records streams of which another instance tells, and has the deputy told if this instance is the
    /// placer.
    pub(super) fn record_streams(&self, begun: Vec<BegunStreams>) {
        if begun.is_empty() {
            return;
        }
        self.shared.streams.told(&begun, self.now());
        if self.placer.is_some() {
            self.shared.streams.queue_for_deputy(begun);
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
