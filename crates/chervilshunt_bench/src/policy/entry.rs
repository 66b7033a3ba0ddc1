//! The entry instances: they rank targets, ask owners for permits and follow their answers.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_core::{
    OwnerEvent, PermitAnswer, PermitRequest, RefusalReason, ReleaseOutcome, ReleasedPermit,
    rank_targets,
};
use chervilshunt_model::{AttemptId, CallerName, Class, Moment, TargetName};

use super::core_policy::{CoreEvent, Names};
use super::deployment::Sizes;
use super::engine::EngineRefusal;
use super::requests::Phase;
use super::workload::max_tokens;
use super::world::{DEFERRABLE_DEADLINE, DELAY, LIVE_DEADLINE, World};

/// How long an entry instance goes by the spread that an owner told.
const HINT_LIFETIME: Duration = Duration::from_secs(2);
/// How often a caller comes back after a refusal before it gives up: a live one until its
/// deadline, a deferrable one for some hours at the usual intervals.
const MOST_RETRIES: u32 = 1_000;
/// The shortest time after which a refused caller comes back.
const LEAST_RETRY: Duration = Duration::from_millis(10);
/// Bits of an attempt's id that number the tries of one request.
const TRY_BITS: u32 = 32;

/// An event of the entry side.
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

/// All entry instances; what one of them caches is kept apart by its number.
pub(crate) struct Entries {
    /// For each adapter, the engines best first.
    ranks: Vec<Vec<usize>>,
    hints: HashMap<(u32, u32), Hint>,
    tries: HashMap<u32, Try>,
    callers: Vec<CallerName>,
}

struct Hint {
    at: Moment,
    /// The first target of the spread, whose owner is to see all demand for the adapter.
    home: usize,
}

/// The try of a request that is under way.
#[derive(Clone, Copy)]
struct Try {
    number: u32,
    refusals: u32,
    hops: u8,
    target: usize,
    opened: Moment,
}

impl Entries {
    pub(crate) fn new(sizes: &Sizes, names: &Names) -> Self {
        let engines = &names.targets[..sizes.engines];
        let rank = |adapter| {
            let ranked = rank_targets(adapter, engines, engines.len());
            ranked.into_iter().map(|name| names.target(name)).collect()
        };
        Self {
            ranks: names.adapters.iter().map(rank).collect(),
            hints: HashMap::new(),
            tries: HashMap::new(),
            callers: (0..1_000)
                .map(|i| CallerName::new(format!("caller-{i}")))
                .collect(),
        }
    }

    /// Reacts to an answer or to the end of a refused caller's pause.
    pub(crate) fn handle(
        &mut self,
        world: &mut World<CoreEvent>,
        names: &Names,
        event: EntryEvent,
    ) {
        match event {
            EntryEvent::Answered { attempt, answer } => {
                self.answered(world, names, attempt, answer);
            }
            EntryEvent::Retry { request, attempt } => {
                if self.is_current(request, attempt) {
                    self.ask_anew(world, names, request);
                }
            }
        }
    }

    /// Begins the first try of a request.
    pub(crate) fn arrived(&mut self, world: &mut World<CoreEvent>, names: &Names, request: u32) {
        self.ask_anew(world, names, request);
    }

    /// Withdraws a request whose caller gave up.
    pub(crate) fn gave_up(&mut self, world: &mut World<CoreEvent>, names: &Names, request: u32) {
        self.release(world, names, request, ReleaseOutcome::Cancelled);
        self.tries.remove(&request);
    }

    /// Gives the permit of a whole answer back.
    pub(crate) fn finished(
        &mut self,
        world: &mut World<CoreEvent>,
        names: &Names,
        _target: usize,
        request: u32,
    ) {
        let req = world.req(request);
        let since = self.tries.get(&request).map_or(world.now, |t| t.opened);
        let started = world.requests.get(request).started.unwrap_or(world.now);
        let outcome = ReleaseOutcome::Finished {
            tokens: if req.adapter.is_some() { req.output } else { 0 },
            first_byte_ms: started.since(since).as_millis() as u32,
            total_ms: world.now.since(since).as_millis() as u32,
        };
        self.release(world, names, request, outcome);
        self.tries.remove(&request);
    }

    /// Gives the permit of a failed call back and tries again.
    pub(crate) fn call_failed(
        &mut self,
        world: &mut World<CoreEvent>,
        names: &Names,
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
        self.ask_anew(world, names, request);
    }

    fn answered(
        &mut self,
        world: &mut World<CoreEvent>,
        names: &Names,
        attempt: AttemptId,
        answer: PermitAnswer,
    ) {
        let request = (attempt.as_u128() >> TRY_BITS) as u32;
        let waits = world.requests.get(request).phase == Phase::Waiting;
        if !self.is_current(request, attempt) || !waits {
            // The request was withdrawn while the answer was on its way; its release is, too.
            return;
        }
        match answer {
            PermitAnswer::Granted { permit, spread } => {
                let target = names.target(&permit.target);
                self.note_spread(world, names, request, &spread);
                let current = self.tries.get_mut(&request).expect("the try is current");
                current.target = target;
                current.opened = world.now;
                world.open_call(target, request);
            }
            PermitAnswer::Redirect { targets } => {
                let Some(first) = targets.first() else { return };
                let current = self.tries.get_mut(&request).expect("the try is current");
                current.hops = current.hops.saturating_add(1);
                current.target = names.target(first);
                self.ask(world, names, request);
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
        let current = self.tries.get_mut(&request).expect("the try is current");
        current.refusals += 1;
        if current.refusals > MOST_RETRIES {
            self.tries.remove(&request);
            world.fail(request);
            return;
        }
        let attempt = attempt_id(request, current.number);
        let at = world.now + Duration::from_millis(retry_after_ms).max(LEAST_RETRY);
        let retry = CoreEvent::Entry(EntryEvent::Retry { request, attempt });
        world.schedule_policy_event(at, retry);
    }

    fn ask_anew(&mut self, world: &mut World<CoreEvent>, names: &Names, request: u32) {
        let target = self.choose(world, request);
        let earlier = self.tries.get(&request);
        let current = Try {
            number: earlier.map_or(0, |t| t.number + 1),
            refusals: earlier.map_or(0, |t| t.refusals),
            hops: 0,
            target,
            opened: world.now,
        };
        self.tries.insert(request, current);
        self.ask(world, names, request);
    }

    fn choose(&self, world: &World<CoreEvent>, request: u32) -> usize {
        let req = world.req(request);
        let Some(adapter) = req.adapter else {
            // A plain service has no adapter to rank by: requests go round its targets.
            return world.sizes.engines + request as usize % world.sizes.plain_targets;
        };
        let hint = self.hints.get(&(req.entry, adapter));
        let fresh = hint.filter(|hint| world.now.since(hint.at) < HINT_LIFETIME);
        fresh.map_or(self.ranks[adapter as usize][0], |hint| hint.home)
    }

    fn ask(&self, world: &mut World<CoreEvent>, names: &Names, request: u32) {
        let current = self.tries[&request];
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
        names: &Names,
        request: u32,
        outcome: ReleaseOutcome,
    ) {
        let Some(current) = self.tries.get(&request) else {
            return;
        };
        let released = ReleasedPermit {
            attempt: attempt_id(request, current.number),
            target: names.targets[current.target].clone(),
            outcome,
        };
        let event = OwnerEvent::PermitReleased(released);
        // The end of the answer reaches the entry instance first.
        world.schedule_policy_event(
            world.now + DELAY * 2,
            CoreEvent::Owner(current.target, event),
        );
    }

    fn note_spread(
        &mut self,
        world: &World<CoreEvent>,
        names: &Names,
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
        let current = self.tries.get(&request);
        current.is_some_and(|t| attempt_id(request, t.number) == attempt)
    }
}

fn attempt_id(request: u32, number: u32) -> AttemptId {
    AttemptId::from_u128((u128::from(request) << TRY_BITS) | u128::from(number))
}
