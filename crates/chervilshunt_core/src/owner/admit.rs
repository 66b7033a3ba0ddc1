//! Admission of permit requests: grant, queue, redirect or refuse.

use std::time::Duration;

use chervilshunt_model::{AdapterVersion, AttemptId, Class, Moment, TargetName};
use smallvec::SmallVec;

use super::Owner;
use super::action::OwnerAction;
use super::answer::answer_to;
use super::loads::LoadPhase;
use super::orders::max_load_attempts;
use super::queue::TimedRequest;
use super::settled::Settlement;
use super::tuning::{MAX_CLOSED_HOPS, MAX_HOPS, RETRY_AFTER_RANGE};
use crate::bugs::Bug;
use crate::{DecisionKind, PermitAnswer, PermitRequest, RefusalReason};

impl Owner {
    /// Handles a permit request: grants, queues, redirects or refuses it.
    pub(super) fn permit_requested(
        &mut self,
        req: PermitRequest,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        if self.repeat_answer(&req, out) {
            return;
        }
        if let Some(model) = &req.model {
            let loaded = self.slots.serves(model);
            self.demand.count(model, req.class, loaded, now);
            if self.is_spread(model) {
                self.update_spread(model, now);
            }
        }
        if let Some(reason) = self.closed_reason(now) {
            self.redirect_or_refuse(req, reason, now, out);
            return;
        }
        if req.deadline_ms == 0 {
            self.refuse(req, RefusalReason::Deadline, RETRY_AFTER_RANGE.0, now, out);
            return;
        }
        if self.power.parked() {
            let targets = self.next_ranked(&req, MAX_CLOSED_HOPS);
            if !targets.is_empty() {
                self.redirect(req, targets, "parked to save power", now, out);
                return;
            }
        }
        let queue_class = self.queue_class(req.class);
        let waits_for_load = self.waits_for_load(&req);
        if !waits_for_load && self.queue.ready(queue_class) == 0 && self.admits(queue_class, now) {
            self.queue
                .record_immediate_grant(&req, queue_class, self.cfg.mechanisms.fairness);
            self.grant(req, "room in the batch", now, out);
            return;
        }
        if let Some((targets, reason)) = self.find_better_targets(&req, waits_for_load, now) {
            self.redirect(req, targets, reason, now, out);
            return;
        }
        if let Some((reason, retry_after)) = self.reason_not_to_queue(&req, waits_for_load, now) {
            self.refuse(req, reason, retry_after, now, out);
            return;
        }
        self.enqueue(req, queue_class, waits_for_load, now, out);
    }

    /// Redirects or refuses every waiting request because the target takes no new work.
    ///
    /// Deferrable requests that no other target can take stay in the queue if the reason is
    /// temporary.
    pub(super) fn redirect_or_refuse_all(
        &mut self,
        reason: RefusalReason,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        let waiting: Vec<AttemptId> = self.queue.iter().map(|it| it.req.attempt).collect();
        for attempt in waiting {
            let Some(waiting) = self.queue.get(attempt) else {
                continue;
            };
            if is_temporary(reason) && self.waits_out_outage(&waiting.req) {
                continue;
            }
            self.redirect_or_refuse_queued(attempt, reason, now, out);
        }
    }

    /// Redirects every waiting request that another target can take, because this target has no
    /// power to serve it.
    pub(super) fn redirect_all(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        let waiting: Vec<AttemptId> = self.queue.iter().map(|it| it.req.attempt).collect();
        for attempt in waiting {
            let Some(waiting) = self.queue.get(attempt) else {
                continue;
            };
            let targets = self.next_ranked(&waiting.req, MAX_CLOSED_HOPS);
            if targets.is_empty() {
                continue;
            }
            if let Some(waiting) = self.queue.remove(attempt) {
                self.redirect(waiting.end(now), targets, "parked to save power", now, out);
            }
        }
    }

    /// Redirects a waiting request to another target, or refuses it if there is none.
    pub(super) fn redirect_or_refuse_queued(
        &mut self,
        attempt: AttemptId,
        reason: RefusalReason,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        if let Some(waiting) = self.queue.remove(attempt) {
            self.redirect_or_refuse(waiting.end(now), reason, now, out);
        }
    }

    /// Refuses a waiting request.
    pub(super) fn refuse_queued(
        &mut self,
        attempt: AttemptId,
        reason: RefusalReason,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(waiting) = self.queue.remove(attempt) else {
            return;
        };
        let retry_after = self.retry_after(&waiting.req, reason, now);
        self.refuse(waiting.end(now), reason, retry_after, now, out);
    }

    /// Returns the class under which a request is queued; without the `fill` mechanism all are
    /// live.
    pub(super) fn queue_class(&self, class: Class) -> Class {
        if self.cfg.mechanisms.fill {
            class
        } else {
            Class::Live
        }
    }

    fn repeat_answer(&self, req: &PermitRequest, out: &mut Vec<OwnerAction>) -> bool {
        if let Some(held) = self.permits.get(req.attempt) {
            let answer = PermitAnswer::Granted {
                permit: held.permit.clone(),
                spread: self.spread_of(req.model.as_ref()),
            };
            out.push(answer_to(req, answer));
            return true;
        }
        if self.queue.get(req.attempt).is_some() {
            return true;
        }
        let settled = self.settled.get(req.attempt, req.hops);
        match settled.filter(|_| !self.bugs.has(Bug::ForgetsSettledAttempts)) {
            None => false,
            Some(Settlement::Released) => true,
            Some(Settlement::Answered(answer)) => {
                out.push(answer_to(req, PermitAnswer::clone(answer)));
                true
            }
        }
    }

    pub(super) fn closed_reason(&self, now: Moment) -> Option<RefusalReason> {
        if self.fenced {
            return Some(RefusalReason::NotOwner);
        }
        if self.draining {
            return Some(RefusalReason::Draining);
        }
        if !self.engine.reachable {
            return Some(RefusalReason::TargetDown);
        }
        let failing = self.health.refused_until(now);
        failing.map(|_| RefusalReason::TargetFailing)
    }

    fn redirect_or_refuse(
        &mut self,
        timed: impl Into<TimedRequest>,
        reason: RefusalReason,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        let timed = timed.into();
        let req = &timed.req;
        let targets = self.next_ranked(req, MAX_CLOSED_HOPS);
        if !targets.is_empty() && reason != RefusalReason::NotOwner {
            self.redirect(timed, targets, reason.as_str(), now, out);
            return;
        }
        if is_temporary(reason) && self.waits_out_outage(req) {
            let queue_class = self.queue_class(req.class);
            let waits_for_load = self.waits_for_load(req);
            self.enqueue(timed.req, queue_class, waits_for_load, now, out);
            return;
        }
        let retry_after = self.retry_after(req, reason, now);
        self.refuse(timed, reason, retry_after, now, out);
    }

    /// Returns whether a request waits until the target is back instead of failing.
    fn waits_out_outage(&self, req: &PermitRequest) -> bool {
        req.class == Class::Deferrable && self.next_ranked(req, MAX_CLOSED_HOPS).is_empty()
    }

    pub(super) fn waits_for_load(&self, req: &PermitRequest) -> bool {
        let model = req.model.as_ref();
        self.slots.exist() && model.is_some_and(|model| !self.slots.serves(model))
    }

    /// Returns targets that are likely to serve a request sooner than this one, with the reason,
    /// for a request that can't be granted at once.
    fn find_better_targets(
        &mut self,
        req: &PermitRequest,
        waits_for_load: bool,
        now: Moment,
    ) -> Option<(SmallVec<[TargetName; 4]>, &'static str)> {
        if req.hops >= MAX_HOPS || !self.cfg.mechanisms.spread {
            return None;
        }
        let model = req.model.clone()?;
        self.update_spread(&model, now);
        if waits_for_load {
            let full = self.slots.exist() && self.slots.free() == 0;
            // An instance that can't be asked for its permits blocks evictions for as long as it is
            // listed. A request that waited here for a slot would reach its deadline.
            let may_evict = self.takeover.complete() || self.evictable().next().is_some();
            if full && self.knows_adapters() && !may_evict {
                let next = self.next_ranked(req, MAX_HOPS);
                return (!next.is_empty()).then_some((next, "nothing may be evicted yet"));
            }
            let stuck = full && self.slots.idle().next().is_none() && self.may_unload();
            let load_requested = self.loads.get(&model).is_some();
            if !stuck || load_requested {
                return None;
            }
            let next = self.next_ranked(req, MAX_HOPS);
            return (!next.is_empty()).then_some((next, "all slots are pinned"));
        }
        let wait = self
            .expected_wait(self.queue_class(req.class))
            .as_secs_f64();
        self.widen_for_wait(&model, wait, now);
        if self.cfg.mechanisms.prefix
            && self.engine.is_cached(req.prefix)
            && self.free_batch_slots() > 0
        {
            return None;
        }
        let others = self.other_targets(req);
        (!others.is_empty()).then_some((others, "spread over several targets"))
    }

    /// Returns why it would be pointless to queue a request, and after which time to retry.
    fn reason_not_to_queue(
        &self,
        req: &PermitRequest,
        waits_for_load: bool,
        now: Moment,
    ) -> Option<(RefusalReason, Duration)> {
        let queue_class = self.queue_class(req.class);
        let left = Duration::from_millis(req.deadline_ms);
        if let Some(until) = self.load_suspended_until(req, now) {
            return Some((RefusalReason::LoadFailed, now.until(until)));
        }
        if self.queue.len(queue_class) >= self.queue_bound(queue_class) {
            return Some((RefusalReason::QueueFull, self.expected_wait(queue_class)));
        }
        if req.class == Class::Deferrable {
            return None;
        }
        let mut wait = self.expected_wait(queue_class);
        if waits_for_load {
            wait = wait.max(self.expected_load(req, now));
        }
        (wait > left).then_some((RefusalReason::Deadline, wait))
    }

    fn queue_bound(&self, queue_class: Class) -> usize {
        match queue_class {
            Class::Live => self.cfg.live_queue_bound,
            Class::Deferrable => self.cfg.deferrable_queue_bound,
        }
    }

    pub(super) fn expected_load(&self, req: &PermitRequest, now: Moment) -> Duration {
        let load = req.model.as_ref().and_then(|model| self.loads.get(model));
        match load.map(|load| load.phase) {
            Some(LoadPhase::Ordered { at }) => self.loads.load_time().saturating_sub(now.since(at)),
            Some(LoadPhase::HasTurn) => self.loads.load_time(),
            Some(
                LoadPhase::TurnRequested { .. } | LoadPhase::Parked | LoadPhase::Backoff { .. },
            )
            | None => self.loads.load_time() + self.expected_turn(req.model.as_ref(), now),
        }
    }

    /// Returns the expected time until the turn of an adapter. It is shorter the more requests wait
    /// for the adapter, because the load scheduler prefers urgent loads.
    fn expected_turn(&self, model: Option<&AdapterVersion>, now: Moment) -> Duration {
        let queue_wait = self.loads.queue_wait(now);
        let Some(model) = model else {
            return queue_wait;
        };
        let waiting = self.queue.blocked_on(model).len() as f64;
        let coming = self.demand.short_term(model, now) * queue_wait.as_secs_f64();
        queue_wait.div_f64(1.0 + waiting + coming)
    }

    /// Returns the time before which an adapter that has used up its load attempts is not tried
    /// again.
    pub(super) fn load_suspended_until(&self, req: &PermitRequest, now: Moment) -> Option<Moment> {
        let load = self.loads.get(req.model.as_ref()?)?;
        let LoadPhase::Backoff { until } = load.phase else {
            return None;
        };
        (load.failed_attempts >= max_load_attempts(req.class) && until > now).then_some(until)
    }

    fn enqueue(
        &mut self,
        req: PermitRequest,
        queue_class: Class,
        waits_for_load: bool,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        let reason = if waits_for_load {
            "the adapter is not loaded"
        } else {
            "no room in the batch"
        };
        let timed = TimedRequest::from(req);
        self.log_request(DecisionKind::Queue, &timed, reason, out);
        let req = timed.req;
        let model = req.model.clone();
        let fair = self.cfg.mechanisms.fairness;
        self.queue.push(req, queue_class, fair, waits_for_load, now);
        if let (true, Some(model)) = (waits_for_load, model) {
            self.request_load(&model, now, out);
        }
    }
}

/// Returns whether a target that takes no work for this reason is likely to recover soon.
fn is_temporary(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::TargetDown | RefusalReason::TargetFailing => true,
        RefusalReason::QueueFull
        | RefusalReason::Deadline
        | RefusalReason::LoadFailed
        | RefusalReason::Draining
        | RefusalReason::NotOwner => false,
    }
}
