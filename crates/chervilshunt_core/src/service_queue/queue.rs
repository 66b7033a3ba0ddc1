//! The queue of one plain service.

use std::time::Duration;

use chervilshunt_model::{Moment, TargetName, ZoneName};
use indexmap::IndexMap;

use super::fair_share::FairShares;
use super::grants::TargetGrants;
use super::queues::{AdmissionRequest, AdmissionResult, Refused};
use super::refusals::RecentRefusals;
use super::slot_time::SlotTime;
use super::{PATIENCE_DIVISOR, RETURN_PART};
use crate::decay::DurationAverage;
use crate::dispatch::{TargetFacts, TargetStart};
use crate::returns::ReturnSchedule;

/// Time since the last refusal for lack of capacity during which capacity counts as short.
const SHORT_FOR: Duration = Duration::from_secs(1);
/// Time since its last request during which a class of priority counts as present.
const CLASS_PRESENT_FOR: Duration = Duration::from_secs(1);
/// The part of the bound that less urgent requests get, so that room for the most urgent ones is
/// left in each queue.
const LESS_URGENT_PART: f64 = 0.75;
/// The part of its longest wait from which a request is admitted by its team's share. Below it the
/// queue is too short to delay anybody, and slots would be left unused.
const SHARED_FROM: f64 = 0.4;
/// The number of requests that wait at a target at most, as a multiple of its slots. More don't
/// raise the throughput, and targets accept fewer connections while their queues are long.
const MAX_QUEUE_PART: f64 = 2.0;
/// The number of priorities that are told apart.
const PRIORITIES: usize = 10;
/// The part of the time in a slot by which a target in another zone is considered slower.
const ZONE_PENALTY: f64 = 0.04;

/// A target of a plain service.
#[derive(Clone, Debug)]
pub(super) struct QueueTarget {
    pub(super) slots: u32,
    pub(super) zone: ZoneName,
    pub(super) started: Option<TargetStart>,
    pub(super) is_leaving: bool,
    pub(super) grants: TargetGrants,
    /// Requests that instances have in flight there without a grant, as reported.
    pub(super) beside: u32,
    pub(super) time: SlotTime,
}

/// Requests of one priority.
#[derive(Clone, Copy, Debug)]
struct PriorityClass {
    seen_at: Moment,
    /// The mean time that was left of their objectives.
    objective: DurationAverage,
}

/// The state of one plain service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceQueue {
    pub(super) targets: IndexMap<TargetName, QueueTarget>,
    pub(super) time: SlotTime,
    /// The part of the capacity that is left to instances which are cut off.
    pub(super) reserved: f64,
    returns: ReturnSchedule,
    shares: FairShares,
    refused_at: Option<Moment>,
    refusals: RecentRefusals,
    classes: [Option<PriorityClass>; PRIORITIES],
}

/// The target with the earliest expected response.
struct Earliest<T = TargetName> {
    target: T,
    /// The expected wait for a slot, in seconds.
    wait: f64,
    /// The time in the slot within which most responses come, in seconds.
    time_in_slot: f64,
    has_free_slot: bool,
    is_queue_full: bool,
}

impl Earliest<&TargetName> {
    fn owned(self) -> Earliest {
        Earliest {
            target: self.target.clone(),
            wait: self.wait,
            time_in_slot: self.time_in_slot,
            has_free_slot: self.has_free_slot,
            is_queue_full: self.is_queue_full,
        }
    }
}

/// Returns the index of a priority among those that are told apart.
fn class_index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

impl QueueTarget {
    pub(super) fn new(facts: &TargetFacts, time: SlotTime) -> Self {
        Self {
            slots: facts.slots,
            zone: facts.zone.clone(),
            started: facts.started,
            is_leaving: facts.leaving.is_some(),
            grants: TargetGrants::default(),
            beside: 0,
            time,
        }
    }

    /// Returns the number of slots, at least 1.
    fn slot_count(&self) -> f64 {
        f64::from(self.slots.max(1))
    }

    fn in_flight(&self, reserved: f64) -> f64 {
        self.grants.len() as f64 + f64::from(self.beside) + reserved * self.slot_count()
    }

    /// Returns the number of slots that granted requests can use.
    pub(super) fn granted_slots(&self) -> usize {
        self.slots.saturating_sub(self.beside).max(1) as usize
    }
}

impl ServiceQueue {
    /// Returns the requests per second that the targets can run.
    pub(super) fn throughput(&self, now: Moment) -> f64 {
        let usable = self.targets.values().filter(|it| !it.is_leaving);
        let rates = usable.map(|it| it.slot_count() / it.time.of_target(&self.time, now).mean());
        rates.sum::<f64>() * (1.0 - self.reserved)
    }

    /// Returns the expected time until the response to a request that came now, in seconds; `None`
    /// without targets.
    pub(super) fn expected_response(&self, now: Moment) -> Option<f64> {
        let usable = self.targets.values().filter(|it| !it.is_leaving);
        let expected = usable.map(|it| {
            let (wait, time_in_slot) = self.expected_at(it, now);
            wait + time_in_slot
        });
        expected.min_by(f64::total_cmp)
    }

    /// Returns whether a request has been decided on.
    pub(super) fn is_used(&self) -> bool {
        self.classes.iter().any(Option::is_some)
    }

    /// Returns the number of requests in flight.
    pub(super) fn in_flight(&self) -> usize {
        let counts = self.targets.values();
        counts.map(|it| it.grants.len() + it.beside as usize).sum()
    }

    /// Decides where a request may run. `draw` is a random number from 0 to 1.
    pub(super) fn admit(
        &mut self,
        req: &AdmissionRequest,
        draw: f64,
        now: Moment,
    ) -> AdmissionResult {
        let Some(earliest) = self.earliest(req, now) else {
            return AdmissionResult::NoTarget;
        };
        let team = req.team.as_ref();
        let is_return = self.returns.redeem(req.content, now);
        let is_late = is_return || req.is_repeat;
        if !is_late {
            self.shares.record_demand(team, req.weight, now);
        }
        let throughput = self.throughput(now);
        let is_short = self.is_short(throughput, now);
        let max_wait = if is_late {
            (req.time_left / 2).as_secs_f64() - earliest.time_in_slot
        } else {
            self.max_wait(req, earliest.time_in_slot, is_short, throughput, now)
        };
        self.record_class(req, is_late, now);
        let is_queued = earliest.wait > max_wait * SHARED_FROM;
        if is_queued && !earliest.has_free_slot && !is_late && is_short {
            let probability = self.shares.admission_probability(team, throughput, now);
            let was_refused = self.refusals.includes(req.content, now);
            if was_refused || draw >= probability {
                return self.refuse(req, &earliest, throughput, !was_refused, now);
            }
        }
        let fits = earliest.wait <= max_wait && !earliest.is_queue_full;
        if !earliest.has_free_slot && !fits {
            return self.refuse(req, &earliest, throughput, false, now);
        }
        if is_return {
            self.shares.record_return(team, now);
        }
        AdmissionResult::At {
            target: earliest.target,
            is_return,
        }
    }

    /// Returns whether capacity is short: requests were refused lately, and the demand exceeds the
    /// throughput. Refusals alone would keep up the bounds that cause them after the demand has
    /// fallen.
    fn is_short(&mut self, throughput: f64, now: Moment) -> bool {
        let is_recent = |at| now.since(at) < SHORT_FOR;
        self.refused_at.is_some_and(is_recent) && self.shares.exceeds(throughput, now)
    }

    /// Returns the target with the earliest expected response.
    fn earliest(&self, req: &AdmissionRequest, now: Moment) -> Option<Earliest> {
        let usable = self
            .targets
            .iter()
            .filter(|(name, it)| !it.is_leaving && !req.avoid.contains(name));
        let expected = usable.map(|(name, it)| {
            let (wait, time_in_slot) = self.expected_at(it, now);
            let is_far = req.zone.as_ref().is_some_and(|zone| *zone != it.zone);
            let penalty = if is_far { ZONE_PENALTY } else { 0.0 };
            let expected = wait + time_in_slot + penalty * self.time.mean();
            let in_flight = it.in_flight(self.reserved);
            let slots = it.slot_count();
            let earliest = Earliest {
                target: name,
                wait,
                time_in_slot,
                has_free_slot: in_flight + 1.0 <= slots,
                is_queue_full: in_flight + 1.0 > slots * (1.0 + MAX_QUEUE_PART),
            };
            // The estimate is the same for all targets with a free slot; of these, the one with the
            // fewest requests is the best.
            (expected, in_flight / slots, earliest)
        });
        let best = expected.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, earliest)| earliest.owned())
    }

    /// Returns the expected wait for a slot of a target and the time in the slot within which most
    /// responses come, both in seconds.
    fn expected_at(&self, target: &QueueTarget, now: Moment) -> (f64, f64) {
        let time = target.time.of_target(&self.time, now);
        let slots = target.slot_count();
        let ahead = (target.in_flight(self.reserved) + 1.0 - slots).max(0.0);
        (ahead * time.mean() / slots, time.with_margin())
    }

    /// Returns how long a first-time request may wait for a slot, in seconds.
    ///
    /// A request that waits delays all that come after it. So while capacity is short, no request
    /// waits longer than is acceptable for the more urgent classes that are present, also if its
    /// own objective is longer, and less urgent ones leave a part of that to the most urgent.
    fn max_wait(
        &mut self,
        req: &AdmissionRequest,
        time_in_slot: f64,
        is_short: bool,
        throughput: f64,
        now: Moment,
    ) -> f64 {
        let own = req.objective_left.as_secs_f64() - time_in_slot;
        let more_urgent = self.more_urgent_objective(req.priority, now);
        let bound = match more_urgent.filter(|_| is_short) {
            Some(objective) => own.min(objective - time_in_slot) * LESS_URGENT_PART,
            None => own,
        };
        // Callers whose time to return has come go first. Some never return, so no more than the
        // part of the capacity that is for returns is kept for them.
        let due = self.returns.due(now) as f64;
        let for_returns = (due / throughput.max(1.0)).min(bound * RETURN_PART);
        bound - for_returns.max(0.0)
    }

    /// Returns the shortest mean objective among the more urgent classes that are present, in
    /// seconds.
    fn more_urgent_objective(&self, priority: u8, now: Moment) -> Option<f64> {
        let more_urgent = self.classes[..class_index(priority)].iter().flatten();
        let present = more_urgent.filter(|it| now.since(it.seen_at) < CLASS_PRESENT_FOR);
        let objectives = present.map(|it| it.objective.get().as_secs_f64());
        objectives.min_by(f64::total_cmp)
    }

    fn record_class(&mut self, req: &AdmissionRequest, is_late: bool, now: Moment) {
        let class = &mut self.classes[class_index(req.priority)];
        let class = class.get_or_insert_with(|| PriorityClass {
            seen_at: now,
            objective: DurationAverage::new(req.objective_left),
        });
        class.seen_at = now;
        if !is_late {
            class.objective.add(req.objective_left);
        }
    }

    /// Refuses a request, and gives its caller a time to return if it would wait that long.
    fn refuse(
        &mut self,
        req: &AdmissionRequest,
        earliest: &Earliest,
        throughput: f64,
        is_over_share: bool,
        now: Moment,
    ) -> AdmissionResult {
        self.refused_at = Some(now);
        self.refusals.record(req.content, now);
        let expected = earliest.wait + earliest.time_in_slot;
        let team = req.team.as_ref();
        let may_return = self.shares.may_promise(team, throughput, RETURN_PART, now);
        let retry_in = may_return.then(|| {
            let interval = Duration::from_secs_f64((1.0 / (RETURN_PART * throughput)).min(1.0));
            let free_in = Duration::from_secs_f64(expected.min(1.0));
            let patience = req.time_left / PATIENCE_DIVISOR;
            self.returns
                .schedule(req.content, free_in, interval, patience, now)
        });
        let retry_in = retry_in.flatten();
        if retry_in.is_some() {
            self.shares.record_promise(team, now);
        }
        AdmissionResult::Busy(Refused {
            retry_in,
            is_over_share,
            expected: Duration::from_secs_f64(expected.min(3600.0)),
            in_flight: self.in_flight(),
            throughput,
        })
    }
}
