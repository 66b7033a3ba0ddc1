//! The invariants of an owner.
//!
//! The oracle sees the events that reach the owner and the actions that it returns. It knows which
//! calls are really open, and therefore which adapters the owner must not unload.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chervilshunt_core::{
    Decision, DecisionKind, OrderKind, Owner, OwnerAction, OwnerEvent, PermitAnswer, PermitRequest,
    RefusalReason, ReleaseOutcome,
};
use chervilshunt_model::{AdapterVersion, AttemptId, Class, InstanceId, Moment};

/// Time after which the permits of an instance that left have certainly ended: the permit window of
/// 2 s and the grace period of 10 s.
pub(crate) const LEFT_ENTRY_PERMIT_TIME: Duration = Duration::from_secs(12);

/// Number of failed calls below which an owner must not close its target: half of the five calls
/// that the breaker looks at.
const FAILED_CALLS_TO_CLOSE: u32 = 3;

/// Time after the start of an owner from which a report shows that no unknown permit is in use: the permit
/// window of 2 s, and 5 s by which the engine's clock may differ.
const SETTLE_TIME: Duration = Duration::from_secs(7);

#[derive(Debug)]
struct OpenCall {
    model: Option<AdapterVersion>,
    entry: InstanceId,
    ends: Option<Moment>,
}

/// The oracle of one owner.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) max_batch: usize,
    pub(crate) queue_bound: usize,
    share_bound: usize,
    share_sequence: u64,
    waiting: BTreeMap<AttemptId, (PermitRequest, Moment)>,
    open: BTreeMap<AttemptId, OpenCall>,
    answered: BTreeMap<AttemptId, (u8, PermitAnswer)>,
    released: BTreeSet<AttemptId>,
    /// Calls under an earlier owner's permits that have not been reported to the owner.
    unreported: BTreeSet<AttemptId>,
    left: BTreeSet<InstanceId>,
    complete: bool,
    /// When the first event reached the owner.
    started: Option<Moment>,
    /// The adapters in use, by each report from after the earlier owner's permits could be used.
    used_when_settled: Vec<Vec<AdapterVersion>>,
    draining: bool,
    down: bool,
    fenced: bool,
    /// Number of calls that were reported as failed.
    failed_calls: u32,
}

impl Oracle {
    pub(crate) fn new(max_batch: usize, queue_bound: usize) -> Self {
        Self {
            max_batch,
            queue_bound,
            share_bound: max_batch,
            ..Self::default()
        }
    }

    /// Returns whether a call with this adapter is open.
    pub(crate) fn pins(&self, model: &AdapterVersion) -> bool {
        self.open
            .values()
            .any(|it| it.model.as_ref() == Some(model))
    }

    /// Returns the adapters of all open calls.
    pub(crate) fn open_models(&self) -> Vec<AdapterVersion> {
        let models = self.open.values().filter_map(|it| it.model.clone());
        models.collect()
    }

    /// Returns the attempts whose permits are outstanding.
    pub(crate) fn open(&self) -> Vec<AttemptId> {
        self.open.keys().copied().collect()
    }

    /// Returns the attempts that are waiting.
    pub(crate) fn waiting(&self) -> Vec<AttemptId> {
        self.waiting.keys().copied().collect()
    }

    /// Adds a call that was opened under an earlier owner's permit.
    pub(crate) fn add_earlier_call(&mut self, attempt: AttemptId, model: AdapterVersion) {
        let (model, entry) = (Some(model), InstanceId::from("e0"));
        let ends = None;
        self.open.insert(attempt, OpenCall { model, entry, ends });
        self.unreported.insert(attempt);
    }

    /// Records an event that is about to reach the owner.
    pub(crate) fn observe_event(
        &mut self,
        event: &OwnerEvent,
        watts: impl Fn(f64) -> usize,
        now: Moment,
    ) {
        let started = *self.started.get_or_insert(now);
        match event {
            OwnerEvent::AdaptersReported(report)
                if now - report.age >= started + SETTLE_TIME && report.waiting == 0 =>
            {
                self.used_when_settled.push(report.running.clone());
            }
            OwnerEvent::PermitRequested(req) => {
                let hops = self.answered.get(&req.attempt).map(|it| it.0);
                let is_new = hops.is_none_or(|hops| req.hops > hops);
                let known =
                    self.open.contains_key(&req.attempt) || self.released.contains(&req.attempt);
                if is_new && !known {
                    self.answered.remove(&req.attempt);
                    self.waiting
                        .entry(req.attempt)
                        .or_insert((req.clone(), now));
                }
            }
            OwnerEvent::PermitReleased(released) => {
                self.waiting.remove(&released.attempt);
                let ended = self.open.remove(&released.attempt);
                let failed = matches!(
                    released.outcome,
                    ReleaseOutcome::TargetFailed | ReleaseOutcome::TimedOut
                );
                self.failed_calls += u32::from(failed && ended.is_some());
                self.released.insert(released.attempt);
            }
            OwnerEvent::EntryLeft(entry) => {
                let of_entry = |it: &PermitRequest| it.entry == *entry;
                let gone = self.waiting.extract_if(.., |_, (req, _)| of_entry(req));
                self.released.extend(gone.map(|(attempt, _)| attempt));
                self.left.insert(entry.clone());
                for (attempt, open) in self.open.iter_mut().filter(|it| it.1.entry == *entry) {
                    if !self.unreported.contains(attempt) {
                        open.ends.get_or_insert(now + LEFT_ENTRY_PERMIT_TIME);
                    }
                }
            }
            OwnerEvent::PermitsHeld { entry, permits } => {
                let left = self.left.contains(entry);
                for permit in permits
                    .iter()
                    .filter(|it| self.unreported.remove(&it.attempt))
                {
                    if let (true, Some(open)) = (left, self.open.get_mut(&permit.attempt)) {
                        open.ends = Some(now + LEFT_ENTRY_PERMIT_TIME);
                    }
                }
            }
            OwnerEvent::ShareSet {
                sequence,
                watts: share,
            } if *sequence > self.share_sequence => {
                self.share_sequence = *sequence;
                self.share_bound = watts(*share);
            }
            OwnerEvent::TakeoverComplete => self.complete = true,
            OwnerEvent::Draining(draining) => self.draining = *draining,
            OwnerEvent::Reachable(reachable) => self.down = !reachable,
            _ => {}
        }
        let ended = self
            .open
            .extract_if(.., |_, it| it.ends.is_some_and(|at| at <= now));
        self.released.extend(ended.map(|(attempt, _)| attempt));
    }

    /// Checks the owner's actions in response to the event.
    pub(crate) fn check_actions(&mut self, actions: &[OwnerAction], owner: &Owner, now: Moment) {
        for action in actions {
            match action {
                OwnerAction::Answer {
                    attempt, answer, ..
                } => self.check_answer(*attempt, answer, now),
                OwnerAction::Order(order) => {
                    assert!(!self.fenced, "an order after it was fenced off");
                    if order.kind == OrderKind::Unload {
                        assert!(!self.pins(&order.model), "a pinned adapter is unloaded");
                        assert!(
                            self.complete || self.was_idle_when_settled(&order.model),
                            "an eviction before the takeover is complete"
                        );
                        assert!(logged(actions, DecisionKind::Evict, &order.model)
                            || actions.iter().all(|it| !matches!(it, OwnerAction::Log(log) if log.kind == DecisionKind::Evict)));
                    }
                }
                _ => {}
            }
        }
        self.check_counts(owner, now);
    }

    /// Records that the engine has refused the owner's fencing number and that the owner knows
    /// this.
    pub(crate) fn fence(&mut self) {
        self.fenced = true;
    }

    fn was_idle_when_settled(&self, model: &AdapterVersion) -> bool {
        let reports = self.used_when_settled.iter();
        reports.into_iter().any(|used| !used.contains(model))
    }

    fn check_answer(&mut self, attempt: AttemptId, answer: &PermitAnswer, now: Moment) {
        if let Some((_, first)) = self.answered.get(&attempt) {
            assert!(
                same(first, answer),
                "two answers to one attempt: {first:?}, {answer:?}"
            );
            return;
        }
        let (req, arrived) = self
            .waiting
            .remove(&attempt)
            .expect("an answer to a request that waits");
        match answer {
            PermitAnswer::Granted { permit, .. } => {
                assert!(!self.draining, "a grant while draining");
                assert!(!self.down, "a grant while the engine is down");
                assert!(!self.fenced, "a grant after it was fenced off");
                assert_eq!((&permit.model, permit.class), (&req.model, req.class));
                let (model, entry, ends) = (req.model.clone(), req.entry.clone(), None);
                self.open.insert(attempt, OpenCall { model, entry, ends });
                assert!(
                    self.open.len() <= self.max_batch,
                    "more than the batch holds"
                );
                assert!(
                    self.open.len() <= self.share_bound,
                    "more than the share of power allows"
                );
            }
            PermitAnswer::Redirect { targets } => assert!(!targets.is_empty()),
            PermitAnswer::Refused {
                reason,
                retry_after_ms,
            } => {
                assert!(*retry_after_ms > 0, "a refusal without a retry time");
                self.check_refusal(&req, *reason, arrived, now);
            }
        }
        self.answered.insert(attempt, (req.hops, answer.clone()));
    }

    fn check_refusal(
        &self,
        req: &PermitRequest,
        reason: RefusalReason,
        arrived: Moment,
        now: Moment,
    ) {
        let of_class = self.waiting.values().filter(|it| it.0.class == req.class);
        let waiting = of_class.count();
        let expired = now >= arrived + Duration::from_millis(req.deadline_ms);
        let allowed = match reason {
            RefusalReason::QueueFull => waiting >= self.queue_bound,
            RefusalReason::Deadline => expired || req.class == Class::Live,
            RefusalReason::LoadFailed => req.model.is_some(),
            RefusalReason::Draining => self.draining,
            RefusalReason::NotOwner => self.fenced,
            RefusalReason::TargetDown => self.down && req.class == Class::Live,
            RefusalReason::TargetFailing => {
                self.failed_calls >= FAILED_CALLS_TO_CLOSE && req.class == Class::Live
            }
        };
        assert!(allowed, "refused with {reason:?}: {req:?}, {waiting} wait");
    }

    fn check_counts(&self, owner: &Owner, now: Moment) {
        let view = owner.view(now);
        let waiting = view.live_waiting + view.deferrable_waiting;
        assert_eq!(waiting, self.waiting.len(), "requests waiting");
        let out = view.live_permits + view.deferrable_permits;
        let open = self.open.len();
        assert!(
            out == open || (out < open && !self.complete),
            "outstanding permits: {out} at the owner, {open} open calls"
        );
        let overdue =
            |(req, at): &(PermitRequest, Moment)| *at + Duration::from_millis(req.deadline_ms);
        if let Some(next) = self.waiting.values().map(overdue).min() {
            assert!(next > now, "a request is held beyond its deadline");
            assert!(
                owner.next_wakeup().is_some_and(|at| at <= next),
                "the next wakeup is after a deadline"
            );
        }
    }
}

fn logged(actions: &[OwnerAction], kind: DecisionKind, model: &AdapterVersion) -> bool {
    let of_model = |log: &Decision| log.kind == kind && log.model.as_ref() == Some(model);
    actions
        .iter()
        .any(|it| matches!(it, OwnerAction::Log(log) if of_model(log)))
}

/// Returns whether two answers are equal, apart from the spread hint of a granted permit.
fn same(left: &PermitAnswer, right: &PermitAnswer) -> bool {
    match (left, right) {
        (PermitAnswer::Granted { permit, .. }, PermitAnswer::Granted { permit: other, .. }) => {
            permit == other
        }
        _ => left == right,
    }
}
