//! Handles targets whose answers show that they are leaving.

use chervilshunt_core::TargetStart;
use chervilshunt_model::TargetName;
use http::HeaderMap;

use crate::peers::PeerMessage;
use crate::shared::Shared;

impl Shared {
    /// Handles the head of an answer, which may show that its target is leaving.
    pub(crate) fn check_leaving(
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
        slog::info!(self.log, "target announced that it is leaving"; "target" => target.as_str());
        self.report_leaving(target, started);
    }

    /// Reports a leaving target to the placer, which would otherwise continue to choose it and load
    /// adapters on it.
    pub(crate) fn report_leaving(&self, target: &TargetName, started: Option<TargetStart>) {
        let Some(placer) = self.placer.load_full() else {
            return;
        };
        let message = PeerMessage::Leaving(target.clone(), started);
        if let Err(error) = self.mesh.send(&placer, message) {
            slog::debug!(self.log, "message to placer not sent"; "reason" => error.to_string());
        }
    }
}
