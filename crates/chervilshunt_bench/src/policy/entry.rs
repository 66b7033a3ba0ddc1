//! Simulated entry instances, which rank targets, request permits from owners and act on the
//! responses.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_core::{
    OwnerEvent, PermitAnswer, PermitRequest, RefusalReason, ReleaseOutcome, ReleasedPermit,
    rank_targets,
};
use chervilshunt_model::{AttemptId, CallerName, Class, Moment, TargetName};

use super::core_policy::{CoreEvent, NameIndex};
use super::deployment::Sizes;
use super::engine::EngineRefusal;
use super::requests::Phase;
use super::workload::max_tokens;
use super::world::{DEFERRABLE_DEADLINE, DELAY, LIVE_DEADLINE, World};

/// Time for which an entry instance uses the spread that it received from an owner.
const HINT_LIFETIME: Duration = Duration::from_secs(2);
/// Maximum number of retries after refusals before a request fails.
///
/// The limit is high enough that a live request retries until its deadline, and a deferrable one
/// for some hours at the usual retry intervals.
const MAX_RETRIES: u32 = 1_000;
/// Minimum delay before a refused request is retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Number of low bits of an attempt ID that hold the number of the attempt of a request.
const ATTEMPT_BITS: u32 = 32;

/// Event for an entry instance.
#[derive(Debug)]
pub(crate) enum EntryEvent {
    Answered {
        attempt: AttemptId,
        answer: PermitAnswer,
    },
    Retry {
        request: u32,
        attempt: AttemptId,
    },
}

/// All entry instances; the state that each one caches is keyed by its number.
pub(crate) struct Entries {
    /// For each adapter, the engines in descending order of rank.
    ranks: Vec<Vec<usize>>,
    /// Cached spreads, by entry instance and adapter.
    hints: HashMap<(u32, u32), Hint>,
    /// Current attempts, by request.
    attempts: HashMap<u32, Attempt>,
    callers: Vec<CallerName>,
}

/// The spread of an adapter that an entry instance received last.
struct Hint {
    at: Moment,
    /// First target of the spread, whose owner must see all demand for the adapter.
    home: usize,
}

/// The current attempt of a request.
#[derive(Clone, Copy)]
struct Attempt {
    number: u32,
    refusals: u32,
    hops: u8,
    target: usize,
    opened: Moment,
}

impl Entries {
    pub(crate) fn new(sizes: &Sizes, names: &NameIndex) -> Self {
        let engines = &names.targets[..sizes.engines];
        let rank = |adapter| {
            let ranked = rank_targets(adapter, engines, engines.len());
            ranked.into_iter().map(|name| names.target(name)).collect()
        };
        Self {
            ranks: names.adapters.iter().map(rank).collect(),
            hints: HashMap::new(),
            attempts: HashMap::new(),
            callers: (0..1_000)
                .map(|i| CallerName::new(format!("caller-{i}")))
                .collect(),
        }
    }

    /// Handles an owner's answer or the retry of a refused request.
    pub(crate) fn handle(
        &mut self,
        world: &mut World<CoreEvent>,
        names: &NameIndex,
        event: EntryEvent,
    ) {
        match event {
            EntryEvent::Answered { attempt, answer } => {
                self.answered(world, names, attempt, answer);
            }
            EntryEvent::Retry { request, attempt } => {
                if self.is_current(request, attempt) {
                    self.begin_attempt(world, names, request);
                }
            }
        }
    }

    /// Begins the first attempt of a request.
    pub(crate) fn arrived(
        &mut self,
        world: &mut World<CoreEvent>,
        names: &NameIndex,
        request: u32,
    ) {
        self.begin_attempt(world, names, request);
    }

    /// Cancels a request whose caller gave up.
    pub(crate) fn gave_up(
        &mut self,
        world: &mut World<CoreEvent>,
        names: &NameIndex,
        request: u32,
    ) {
        self.release(world, names, request, ReleaseOutcome::Cancelled);
        self.attempts.remove(&request);
    }

    /// Releases the permit of a request whose response is complete.
    pub(crate) fn finished(
        &mut self,
        world: &mut World<CoreEvent>,
        names: &NameIndex,
        _target: usize,
        request: u32,
    ) {
        let req = world.req(request);
        let since = self.attempts.get(&request).map_or(world.now, |t| t.opened);
        let started = world.requests.get(request).started.unwrap_or(world.now);
        let outcome = ReleaseOutcome::Finished {
            tokens: if req.adapter.is_some() { req.output } else { 0 },
            first_byte_ms: started.since(since).as_millis() as u32,
            total_ms: world.now.since(since).as_millis() as u32,
        };
        self.release(world, names, request, outcome);
        self.attempts.remove(&request);
    }

    /// Releases the permit of a failed call and begins a new attempt.
    pub(crate) fn call_failed(
        &mut self,
        world: &mut World<CoreEvent>,
        names: &NameIndex,
        _target: usize,
        request: u32,
        refusal: EngineRefusal,
    ) {
        let outcome = if refusal == EngineRefusal::AdapterMissing {
            ReleaseOutcome::AdapterMissing
        } else {
            ReleaseOutcome::TargetFailed
        };
        self.release(world, names, request, outcome);
        self.begin_attempt(world, names, request);
    }

    fn answered(
        &mut self,
        world: &mut World<CoreEvent>,
        names: &NameIndex,
        attempt: AttemptId,
        answer: PermitAnswer,
    ) {
        let request = (attempt.as_u128() >> ATTEMPT_BITS) as u32;
        let waits = world.requests.get(request).phase == Phase::Waiting;
        if !self.is_current(request, attempt) || !waits {
            // The request was cancelled while the answer was in transit. Its release is already on
            // its way to the owner.
            return;
        }
        match answer {
            PermitAnswer::Granted { permit, spread } => {
                let target = names.target(&permit.target);
                self.record_spread(world, names, request, &spread);
                let current = self
                    .attempts
                    .get_mut(&request)
                    .expect("the attempt is current");
                current.target = target;
                current.opened = world.now;
                world.open_call(target, request);
            }
            PermitAnswer::Redirect { targets } => {
                let Some(first) = targets.first() else { return };
                let current = self
                    .attempts
                    .get_mut(&request)
                    .expect("the attempt is current");
                current.hops = current.hops.saturating_add(1);
                current.target = names.target(first);
                self.request_permit(world, names, request);
            }
            PermitAnswer::Refused {
                reason,
                retry_after_ms,
            } => {
                self.refused(world, request, reason, retry_after_ms);
            }
        }
    }

    fn refused(
        &mut self,
        world: &mut World<CoreEvent>,
        request: u32,
        reason: RefusalReason,
        retry_after_ms: u64,
    ) {
        world.refuse(request, reason.as_str());
        let current = self
            .attempts
            .get_mut(&request)
            .expect("the attempt is current");
        current.refusals += 1;
        if current.refusals > MAX_RETRIES {
            self.attempts.remove(&request);
            world.fail(request);
            return;
        }
        let attempt = attempt_id(request, current.number);
        let at = world.now + Duration::from_millis(retry_after_ms).max(MIN_RETRY_DELAY);
        let retry = CoreEvent::Entry(EntryEvent::Retry { request, attempt });
        world.schedule_policy_event(at, retry);
    }

    fn begin_attempt(&mut self, world: &mut World<CoreEvent>, names: &NameIndex, request: u32) {
        let target = self.choose(world, request);
        let earlier = self.attempts.get(&request);
        let current = Attempt {
            number: earlier.map_or(0, |t| t.number + 1),
            refusals: earlier.map_or(0, |t| t.refusals),
            hops: 0,
            target,
            opened: world.now,
        };
        self.attempts.insert(request, current);
        self.request_permit(world, names, request);
    }

    fn choose(&self, world: &World<CoreEvent>, request: u32) -> usize {
        let req = world.req(request);
        let Some(adapter) = req.adapter else {
            // Requests to a plain service have no adapter to rank targets by, so they are
            // distributed round-robin.
            return world.sizes.engines + request as usize % world.sizes.plain_targets;
        };
        let hint = self.hints.get(&(req.entry, adapter));
        let fresh = hint.filter(|hint| world.now.since(hint.at) < HINT_LIFETIME);
        fresh.map_or(self.ranks[adapter as usize][0], |hint| hint.home)
    }

    fn request_permit(&self, world: &mut World<CoreEvent>, names: &NameIndex, request: u32) {
        let current = self.attempts[&request];
        world.assign(request, current.target);
        let req = world.req(request);
        let deadline = match req.class {
            Class::Live => LIVE_DEADLINE,
            Class::Deferrable => DEFERRABLE_DEADLINE,
        };
        let left =
            deadline.saturating_sub(world.now.since(world.requests.get(request).waiting_since));
        let permit_request = PermitRequest {
            attempt: attempt_id(request, current.number),
            entry: names.entries[req.entry as usize].clone(),
            target: names.targets[current.target].clone(),
            model: req.adapter.map(|i| names.adapters[i as usize].clone()),
            class: req.class,
            weight: 1,
            caller: self.callers[req.caller as usize].clone(),
            deadline_ms: left.as_millis() as u64,
            prompt_tokens: req.shared_tokens + req.own_tokens,
            max_tokens: max_tokens(req.class),
            prefix: req.prefix,
            hops: current.hops,
            avoid: Default::default(),
        };
        let event = OwnerEvent::PermitRequested(permit_request);
        world.schedule_policy_event(world.now + DELAY, CoreEvent::Owner(current.target, event));
    }

    fn release(
        &self,
        world: &mut World<CoreEvent>,
        names: &NameIndex,
        request: u32,
        outcome: ReleaseOutcome,
    ) {
        let Some(current) = self.attempts.get(&request) else {
            return;
        };
        let released = ReleasedPermit {
            attempt: attempt_id(request, current.number),
            target: names.targets[current.target].clone(),
            outcome,
        };
        let event = OwnerEvent::PermitReleased(released);
        // The end of the response takes one delay to reach the entry instance, and the release
        // takes another to reach the owner.
        world.schedule_policy_event(
            world.now + DELAY * 2,
            CoreEvent::Owner(current.target, event),
        );
    }

    fn record_spread(
        &mut self,
        world: &World<CoreEvent>,
        names: &NameIndex,
        request: u32,
        spread: &[TargetName],
    ) {
        let req = world.req(request);
        if let (Some(adapter), Some(home)) = (req.adapter, spread.first()) {
            let hint = Hint {
                at: world.now,
                home: names.target(home),
            };
            self.hints.insert((req.entry, adapter), hint);
        }
    }

    fn is_current(&self, request: u32, attempt: AttemptId) -> bool {
        let current = self.attempts.get(&request);
        current.is_some_and(|t| attempt_id(request, t.number) == attempt)
    }
}

fn attempt_id(request: u32, number: u32) -> AttemptId {
    AttemptId::from_u128((u128::from(request) << ATTEMPT_BITS) | u128::from(number))
}
