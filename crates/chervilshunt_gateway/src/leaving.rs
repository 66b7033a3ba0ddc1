//! Targets whose answers say that they leave.

use chervilshunt_core::TargetStart;
use chervilshunt_model::TargetName;
use http::HeaderMap;

use crate::peers::PeerMessage;
use crate::shared::Shared;

impl Shared {
    /// Takes in the head of an answer, which may say that its target leaves.
    pub(crate) fn note_leaving(
        &self,
        target: &TargetName,
        started: Option<TargetStart>,
        headers: &HeaderMap,
    ) {
        if !headers.contains_key(&self.dialect.headers.leaving)
            || !self.dispatch().leaving_reported(target, started)
        {
            return;
        }
        slog::info!(self.log, "target says that it leaves"; "target" => target.as_str());
        self.tell_placer_it_leaves(target, started);
    }

    /// Tells the placer of a target that leaves: it would go on to choose it, and to load adapters there.
    pub(crate) fn tell_placer_it_leaves(&self, target: &TargetName, started: Option<TargetStart>) {
        let Some(placer) = self.placer.load_full() else {
            return;
        };
        let message = PeerMessage::Leaving(target.clone(), started);
        if let Err(error) = self.mesh.send(&placer, message) {
            slog::debug!(self.log, "placer not told"; "reason" => error.to_string());
        }
    }
}
