//! Requests in progress at targets.

use std::net::SocketAddr;
use std::sync::Arc;

use chervilshunt_core::{
    Crash, HealthSignal, SettlingNumber, SoftwareVersion, TargetPath, TargetStart, Weights,
};
use chervilshunt_model::{Moment, ServiceName, TargetName};

use super::place::SelectedTarget;
use super::request::CallerRequest;
use crate::crashes::{CrashObservation, EndedRequest};
use crate::grants::Grant;
use crate::run_check::TargetRun;
use crate::shared::Shared;

/// A request in progress at a target. Dropping it ends it in the target's accounting.
#[derive(Debug)]
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    pub(crate) target: TargetName,
    service: ServiceName,
    pub(super) address: SocketAddr,
    /// The start of the target to which it was sent.
    pub(super) started: Option<TargetStart>,
    weights: Option<Weights>,
    /// The version that the target was asked for, or else the one that it was known to hold; `None`
    /// if neither is known.
    version: Option<u64>,
    /// The version of the target's software. Kept from the sending on: a target's entry may be gone
    /// while its answer still arrives.
    software: Option<SoftwareVersion>,
    pub(super) sent_at: Moment,
    /// The path to the target.
    path: TargetPath,
    /// The prompt tokens that the target still has to read, as far as is known.
    unread_prompt_tokens: u32,
    /// When the target began to answer.
    begun_at: Option<Moment>,
    /// Whether the target lives on after it began to answer, while that is not known.
    settling: Option<SettlingNumber>,
    grant: Option<Grant>,
    /// Whether the target's accounting counts it as in progress.
    is_counted: bool,
}

impl InFlight {
    pub(super) fn begin(
        shared: &Arc<Shared>,
        chosen: &mut SelectedTarget,
        req: &CallerRequest,
    ) -> Self {
        let target = &chosen.target;
        let weights = req.weights.as_ref();
        let unread_prompt_tokens = req.size.prompt_tokens;
        let mut dispatch = shared.dispatch();
        dispatch.sent(target, weights);
        dispatch.add_prefill(target, unread_prompt_tokens);
        let started = dispatch.started(target);
        let software = dispatch.software(target);
        drop(dispatch);
        Self {
            shared: Arc::clone(shared),
            target: target.clone(),
            service: req.service.clone(),
            address: chosen.address,
            started,
            weights: weights.cloned(),
            version: chosen.expect_version.or(chosen.held_version),
            software,
            sent_at: shared.clock.now(),
            path: match chosen.route {
                Some(_) => TargetPath::Transit,
                None => TargetPath::Direct,
            },
            unread_prompt_tokens,
            begun_at: None,
            settling: None,
            grant: chosen.grant.take(),
            is_counted: true,
        }
    }

    /// Records that the target has begun to answer, and so has read the prompt.
    pub(crate) fn record_begin(&mut self, req: &CallerRequest) {
        if self.begun_at.is_some() {
            return;
        }
        let now = self.shared.clock.now();
        self.begun_at = Some(now);
        self.shared
            .dispatch()
            .answer_began(&self.target, self.started, self.sent_at, now);
        if self.path == TargetPath::Direct {
            self.settling = self.shared.answer_began(&self.target, &req.parts);
        }
        self.request_release(req);
        let tokens = std::mem::take(&mut self.unread_prompt_tokens);
        self.shared.dispatch().remove_prefill(&self.target, tokens);
        if let Some(grant) = &self.grant {
            grant.begun();
        }
    }

    /// Records the pace that the target states in the head of its answer, if any.
    pub(super) fn record_pace(&self, pace: Option<u16>, now: Moment) {
        let (shared, target) = (&self.shared, &self.target);
        let change = shared
            .dispatch()
            .pace_reported(target, self.started, pace, now);
        // Of granted requests the placer logs what changes its own decisions.
        if let (Some(change), None) = (change, &self.grant) {
            shared.record_pace_change(target, change, "answer");
        }
        if let (Some(grant), Some(pace)) = (&self.grant, pace) {
            grant.pace_stated(pace);
        }
    }
}

impl InFlight {
    /// Handles the end of the target's connection, of which the target may have crashed.
    ///
    /// A request is suspected itself if the target had not begun to answer it, and the parts of its prompt if
    /// the target had just begun to, or may have been about to.
    pub(crate) fn connection_ended(&self, req: &CallerRequest, head_came: bool) {
        // In transit it may be the connection to the other instance that ended.
        if self.path == TargetPath::Transit {
            return;
        }
        self.shared.connection_ended(&self.target);
        let now = self.shared.clock.now();
        let crash = self.begun_at.is_none().then(|| Crash {
            fingerprint: req.fingerprint(),
            target: self.target.clone(),
            has_run: head_came || self.weights.is_none(),
        });
        let parts = if self.shared.is_fresh_answer(&self.target, self.begun_at) {
            req.parts.clone()
        } else {
            Vec::new()
        };
        if crash.is_some() || !parts.is_empty() {
            self.shared
                .queue_crash_observation(CrashObservation::ConnectionEnded(EndedRequest {
                    run: self.run(),
                    sent_at: self.sent_at,
                    ended_at: now,
                    crash,
                    parts,
                    had_head: head_came,
                }));
        }
    }

    /// Returns the run of the target to which the request was sent.
    pub(crate) fn run(&self) -> TargetRun {
        TargetRun {
            target: self.target.clone(),
            service: self.service.clone(),
            address: self.address,
            started: self.started,
        }
    }

    /// Ends it in the target's accounting. Once its connection has ended, the target no longer works on it.
    pub(crate) fn release_target(&mut self) {
        if !std::mem::take(&mut self.is_counted) {
            return;
        }
        self.grant = None;
        let mut dispatch = self.shared.dispatch();
        dispatch.remove_prefill(&self.target, self.unread_prompt_tokens);
        dispatch.ended(&self.target, self.weights.as_ref(), self.started);
    }

    /// Records that the answer has been received as a whole.
    pub(crate) fn answered_whole(&mut self) {
        if let Some(number) = self.settling.take() {
            self.shared.settling().ended_whole(number);
        }
    }

    /// Has the quarantine of a request released, because this target has begun to answer it.
    fn request_release(&self, req: &CallerRequest) {
        let fingerprint = req.fingerprint();
        if self.shared.quarantine().record_served(fingerprint) {
            self.shared
                .queue_crash_observation(CrashObservation::Served(fingerprint));
        }
    }

    /// Forgets the version of the target's software, which is not certain.
    pub(super) fn forget_software(&mut self) {
        self.software = None;
    }

    /// Records the health signal of the exchange.
    pub(crate) fn record_signal(&self, signal: HealthSignal, now: Moment) {
        let mut dispatch = self.shared.dispatch();
        dispatch.record_signal(&self.target, self.path, signal, now);
    }

    /// Records that bytes were received from the target.
    pub(crate) fn response_received(&self, now: Moment) {
        let mut dispatch = self.shared.dispatch();
        dispatch.response_received(&self.target, self.path, now);
        dispatch.answer_received(&self.target, now);
    }

    /// Returns the version of the weights that the request was sent for, if known.
    pub(crate) const fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the version of the target's software, if known.
    pub(crate) const fn software(&self) -> Option<&SoftwareVersion> {
        self.software.as_ref()
    }

    pub(crate) fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Returns the weights that the request names.
    pub(crate) const fn weights(&self) -> Option<&Weights> {
        self.weights.as_ref()
    }

    /// Returns when the request was sent to the target.
    pub(crate) const fn sent_at(&self) -> Moment {
        self.sent_at
    }

    /// Returns whether the target has begun to answer.
    pub(crate) const fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Returns when the target began to answer.
    pub(crate) const fn begun_at(&self) -> Option<Moment> {
        self.begun_at
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(number) = self.settling {
            self.shared.settling().given_up(number);
        }
        self.release_target();
    }
}
