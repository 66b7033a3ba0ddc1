//! Requests that wait for a permit, in fair order within each class.
//!
//! Fairness between callers is start-time fair queueing: the tag of a request is the point in the
//! virtual time of its class at which the caller's earlier work ends. A caller that floods the
//! queue delays its own tags and nobody else's.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chervilshunt_model::{AdapterVersion, AttemptId, CallerName, Class, InstanceId, Moment};
use indexmap::IndexMap;

use crate::{LoadUrgency, PermitRequest, WaitTimes};

/// Number of prompt tokens that cost an engine as much as one generated token: a prompt is
/// processed in parallel, an answer token by token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 16;

/// Virtual time of one token at weight 1, large enough that dividing by weights leaves precision.
const TOKEN_SCALE: u64 = 1_024;

/// Number of callers tracked for each class before those that are not ahead of the virtual time are
/// removed.
const MAX_TRACKED_CALLERS: usize = 1_024;

/// Position in the fair order of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Tag {
    start: u64,
    arrival: u64,
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub(super) req: PermitRequest,
    /// When it arrived.
    pub(super) arrived: Moment,
    /// When the caller gives up waiting.
    pub(super) deadline: Moment,
    tag: Tag,
    queue_class: Class,
    blocked: bool,
    /// Since when the request has been blocked or ready.
    state_since: Moment,
    /// How long the request was blocked before that.
    blocked_before: Duration,
}

/// A request under decision, either new or taken out of the queue, with the time that it has
/// waited.
#[derive(Clone, Debug)]
pub(super) struct TimedRequest {
    pub(super) req: PermitRequest,
    /// How long it has waited.
    pub(super) waited: WaitTimes,
}

impl From<PermitRequest> for TimedRequest {
    fn from(req: PermitRequest) -> Self {
        Self {
            req,
            waited: WaitTimes::default(),
        }
    }
}

impl QueuedRequest {
    /// Ends the wait and returns the request with its waiting time.
    pub(super) fn end(self, now: Moment) -> TimedRequest {
        TimedRequest {
            waited: WaitTimes {
                total: now.since(self.arrived),
                for_load: self.blocked_for(now),
            },
            req: self.req,
        }
    }

    fn blocked_for(&self, now: Moment) -> Duration {
        let since = if self.blocked {
            now.since(self.state_since)
        } else {
            Duration::ZERO
        };
        self.blocked_before + since
    }
}

#[derive(Debug, Default)]
struct ClassQueue {
    ready: BTreeMap<Tag, AttemptId>,
    len: usize,
    virtual_time: u64,
    finish: IndexMap<CallerName, u64>,
}

/// The requests that wait at one owner.
///
/// A request is blocked while its adapter is not loaded, and ready while it waits for batch
/// capacity alone.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: IndexMap<AttemptId, QueuedRequest>,
    queues: [ClassQueue; 2],
    blocked: IndexMap<AdapterVersion, Vec<AttemptId>>,
    ready_by_model: IndexMap<AdapterVersion, u32>,
    ready_by_age: [BTreeSet<(Moment, AttemptId)>; 2],
    deadlines: BTreeSet<(Moment, AttemptId)>,
    arrivals: u64,
}

impl Queue {
    /// Returns the number of waiting requests of a class.
    pub(super) fn len(&self, queue_class: Class) -> usize {
        self.queues[queue_class as usize].len
    }

    /// Returns the number of ready requests of a class.
    pub(super) fn ready(&self, queue_class: Class) -> usize {
        self.queues[queue_class as usize].ready.len()
    }

    /// Returns the request of an attempt, if it is waiting.
    pub(super) fn get(&self, attempt: AttemptId) -> Option<&QueuedRequest> {
        self.waiting.get(&attempt)
    }

    /// Returns the number of ready requests for an adapter.
    pub(super) fn ready_for(&self, model: &AdapterVersion) -> u32 {
        self.ready_by_model.get(model).copied().unwrap_or(0)
    }

    /// Adds a request. With `fair` it is ordered between callers, otherwise by arrival.
    pub(super) fn push(
        &mut self,
        req: PermitRequest,
        queue_class: Class,
        fair: bool,
        blocked: bool,
        now: Moment,
    ) {
        let attempt = req.attempt;
        let tag = self.tag(&req, queue_class, fair);
        let deadline = now + Duration::from_millis(req.deadline_ms);
        let waiting = QueuedRequest {
            req,
            arrived: now,
            deadline,
            tag,
            queue_class,
            blocked,
            state_since: now,
            blocked_before: Duration::ZERO,
        };
        self.deadlines.insert((deadline, attempt));
        self.queues[queue_class as usize].len += 1;
        self.link(attempt, &waiting);
        self.waiting.insert(attempt, waiting);
    }

    /// Removes a request, whether it is blocked or ready.
    pub(super) fn remove(&mut self, attempt: AttemptId) -> Option<QueuedRequest> {
        let waiting = self.waiting.swap_remove(&attempt)?;
        self.deadlines.remove(&(waiting.deadline, attempt));
        self.queues[waiting.queue_class as usize].len -= 1;
        self.unlink(attempt, &waiting);
        Some(waiting)
    }

    /// Removes a request that is granted its permit, which advances the virtual time of its class.
    pub(super) fn take_for_grant(&mut self, attempt: AttemptId) -> Option<QueuedRequest> {
        let waiting = self.remove(attempt)?;
        let queue = &mut self.queues[waiting.queue_class as usize];
        queue.virtual_time = queue.virtual_time.max(waiting.tag.start);
        Some(waiting)
    }

    /// Counts a request that is granted its permit without waiting.
    pub(super) fn record_immediate_grant(
        &mut self,
        req: &PermitRequest,
        queue_class: Class,
        fair: bool,
    ) {
        let tag = self.tag(req, queue_class, fair);
        let queue = &mut self.queues[queue_class as usize];
        queue.virtual_time = queue.virtual_time.max(tag.start);
    }

    /// Returns the ready requests of a class in fair order.
    pub(super) fn in_order(&self, queue_class: Class) -> impl Iterator<Item = &QueuedRequest> {
        let ready = self.queues[queue_class as usize].ready.values();
        ready.filter_map(|attempt| self.waiting.get(attempt))
    }

    /// Returns the ready request of a class that arrived first.
    pub(super) fn oldest_ready(&self, queue_class: Class) -> Option<&QueuedRequest> {
        let (_, attempt) = self.ready_by_age[queue_class as usize].first()?;
        self.waiting.get(attempt)
    }

    /// Returns all waiting requests.
    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.waiting.values()
    }

    /// Returns the attempts of an instance that are waiting.
    pub(super) fn of_entry(&self, entry: &InstanceId) -> Vec<AttemptId> {
        let of_entry = self.waiting.values().filter(|it| it.req.entry == *entry);
        of_entry.map(|it| it.req.attempt).collect()
    }

    /// Returns a request whose deadline has passed.
    pub(super) fn expired(&self, now: Moment) -> Option<AttemptId> {
        let (deadline, attempt) = self.deadlines.first()?;
        (*deadline <= now).then_some(*attempt)
    }

    /// Returns when the next deadline passes.
    pub(super) fn next_deadline(&self) -> Option<Moment> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the attempts that wait for an adapter to be loaded, in the order in which they
    /// became blocked.
    pub(super) fn blocked_on(&self, model: &AdapterVersion) -> &[AttemptId] {
        self.blocked.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the urgency of a load of an adapter, if requests wait for it.
    pub(super) fn urgency(&self, model: &AdapterVersion, now: Moment) -> Option<LoadUrgency> {
        let waiting = self.blocked_on(model).iter();
        let mut waiting = waiting
            .filter_map(|attempt| self.waiting.get(attempt))
            .peekable();
        let first = waiting.peek()?;
        let mut urgency = LoadUrgency {
            class: Some(first.queue_class),
            waiters: 0,
            oldest_ms: 0,
        };
        let mut oldest = now;
        for it in waiting {
            urgency.class = urgency.class.min(Some(it.queue_class));
            urgency.waiters += 1;
            oldest = oldest.min(it.arrived);
        }
        urgency.oldest_ms = u64::try_from(now.since(oldest).as_millis()).unwrap_or(u64::MAX);
        Some(urgency)
    }

    /// Returns the most urgent class of the requests that wait for an adapter to be loaded.
    pub(super) fn class_blocked_on(&self, model: &AdapterVersion) -> Option<Class> {
        let waiting = self.blocked_on(model).iter();
        waiting
            .filter_map(|attempt| self.waiting.get(attempt))
            .map(|it| it.queue_class)
            .min()
    }

    /// Makes the requests for an adapter that has been loaded ready.
    pub(super) fn unblock(&mut self, model: &AdapterVersion, now: Moment) {
        for attempt in self.blocked.swap_remove(model).unwrap_or_default() {
            self.set_blocked(attempt, false, now);
        }
    }

    /// Makes the ready requests for an adapter that is no longer loaded blocked.
    ///
    /// Returns whether there are any.
    pub(super) fn block(&mut self, model: &AdapterVersion, now: Moment) -> bool {
        if self.ready_for(model) == 0 {
            return false;
        }
        let of_model = |it: &&QueuedRequest| !it.blocked && it.req.model.as_ref() == Some(model);
        let mut of_model: Vec<(Tag, AttemptId)> = self
            .waiting
            .values()
            .filter(of_model)
            .map(|it| (it.tag, it.req.attempt))
            .collect();
        of_model.sort_unstable();
        for (_, attempt) in of_model {
            self.set_blocked(attempt, true, now);
        }
        true
    }

    fn set_blocked(&mut self, attempt: AttemptId, blocked: bool, now: Moment) {
        let Some(mut waiting) = self.waiting.get(&attempt).cloned() else {
            return;
        };
        self.unlink(attempt, &waiting);
        waiting.blocked_before = waiting.blocked_for(now);
        waiting.state_since = now;
        waiting.blocked = blocked;
        self.link(attempt, &waiting);
        self.waiting.insert(attempt, waiting);
    }

    fn link(&mut self, attempt: AttemptId, waiting: &QueuedRequest) {
        if let (true, Some(model)) = (waiting.blocked, &waiting.req.model) {
            self.blocked.entry(model.clone()).or_default().push(attempt);
            return;
        }
        self.queues[waiting.queue_class as usize]
            .ready
            .insert(waiting.tag, attempt);
        self.ready_by_age[waiting.queue_class as usize].insert((waiting.arrived, attempt));
        if let Some(model) = &waiting.req.model {
            *self.ready_by_model.entry(model.clone()).or_insert(0) += 1;
        }
    }

    fn unlink(&mut self, attempt: AttemptId, waiting: &QueuedRequest) {
        if let (true, Some(model)) = (waiting.blocked, &waiting.req.model) {
            let Some(blocked) = self.blocked.get_mut(model) else {
                return;
            };
            blocked.retain(|it| *it != attempt);
            if blocked.is_empty() {
                self.blocked.swap_remove(model);
            }
            return;
        }
        self.queues[waiting.queue_class as usize]
            .ready
            .remove(&waiting.tag);
        self.ready_by_age[waiting.queue_class as usize].remove(&(waiting.arrived, attempt));
        let Some(model) = &waiting.req.model else {
            return;
        };
        if let Some(ready) = self.ready_by_model.get_mut(model) {
            *ready -= 1;
            if *ready == 0 {
                self.ready_by_model.swap_remove(model);
            }
        }
    }

    fn tag(&mut self, req: &PermitRequest, queue_class: Class, fair: bool) -> Tag {
        self.arrivals += 1;
        let arrival = self.arrivals;
        if !fair {
            return Tag { start: 0, arrival };
        }
        let queue = &mut self.queues[queue_class as usize];
        let cost = u64::from(req.prompt_tokens) / PROMPT_TOKENS_PER_OUTPUT_TOKEN
            + u64::from(req.max_tokens);
        let cost = cost.max(1) * TOKEN_SCALE / u64::from(req.weight.max(1));
        queue.forget_callers();
        let finish = queue.finish.entry(req.caller.clone()).or_insert(0);
        let start = (*finish).max(queue.virtual_time);
        *finish = start + cost;
        Tag { start, arrival }
    }
}

impl ClassQueue {
    /// Removes callers whose work ended before the virtual time; they have no advantage or
    /// disadvantage against new callers.
    fn forget_callers(&mut self) {
        if self.finish.len() < MAX_TRACKED_CALLERS.max(2 * self.len) {
            return;
        }
        let now = self.virtual_time;
        self.finish.retain(|_, finish| *finish > now);
    }
}
