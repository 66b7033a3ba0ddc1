//! Records whether this instance reaches the targets, and finds out when it reaches them again.

use chervilshunt_core::LinkChange;
use chervilshunt_engine::EngineError;
use chervilshunt_model::TargetName;

use crate::shared::Shared;

impl Shared {
    /// Records that a target has accepted a connection.
    pub(crate) fn record_connection_opened(&self, target: &TargetName) {
        let now = self.clock.now();
        let change = self.dispatch().connection_opened(target, now);
        self.report_link_change(change);
    }

    /// Records that no connection to a target could be opened.
    pub(crate) fn record_connection_failed(&self, target: &TargetName) {
        let now = self.clock.now();
        let change = self.dispatch().connection_failed(target, now);
        metrics::counter!("chervilshunt_connect_failures_total").increment(1);
        self.report_link_change(change);
    }

    /// Records that a call of the placer to a target has failed.
    pub(crate) fn record_call_failure(
        &self,
        target: &TargetName,
        call: &'static str,
        error: &EngineError,
    ) {
        slog::info!(self.log, "call to target failed";
            "target" => target.as_str(), "call" => call, "reason" => error.to_string());
        metrics::counter!("chervilshunt_target_call_failures_total", "call" => call).increment(1);
        count_mismatch(error, call);
        if error.is_connect_failure() {
            self.record_connection_failed(target);
        }
    }

    fn report_link_change(&self, change: Option<LinkChange>) {
        match change {
            None => return,
            Some(LinkChange::Suspected) => {
                self.links_changed.send_replace(());
                return;
            }
            Some(LinkChange::CutOff {
                service,
                failed,
                targets,
            }) => {
                slog::warn!(self.log, "cut off from service";
                    "service" => service.as_str(), "failed" => failed, "targets" => targets);
            }
            Some(LinkChange::Reached { service, after }) => {
                slog::info!(self.log, "service reached again";
                    "service" => service.as_str(), "after_ms" => after.as_millis() as u64);
            }
        }
        let cut_off = self.dispatch().cut_off_services().count();
        metrics::gauge!("chervilshunt_cut_off_services").set(cut_off as f64);
        self.links_changed.send_replace(());
    }
}

/// Counts an answer that does not belong to its request, by what the request was.
pub(crate) fn count_mismatch(error: &EngineError, call: &'static str) {
    if matches!(error, EngineError::AnswerMismatch { .. }) {
        metrics::counter!("chervilshunt_answer_mismatches_total", "call" => call).increment(1);
    }
}
