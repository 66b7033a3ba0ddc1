//! The simulated environment of a policy: clock, engines, weight store, power meter and requests.

use std::time::Duration;

use chervilshunt_model::{Class, Moment};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::deployment::{PLAIN_BATCH, Sizes};
use super::engine::{EngineRefusal, SimulatedEngine};
use super::metrics::{RunCounters, RunReport};
use super::power::PowerMeter;
use super::queue::EventQueue;
use super::requests::{Phase, Requests};
use super::scenario::{Scenario, Schedule};
use super::store::{LoadKey, WeightStore};
use super::timeline::Timeline;
use super::workload::{Trace, TraceRequest};

/// One-way delay of a message between any two components, within an availability zone or across
/// zones.
pub(crate) const DELAY: Duration = Duration::from_millis(1);
/// Time after which the caller of a live request gives up waiting.
pub(crate) const LIVE_DEADLINE: Duration = Duration::from_secs(30);
/// Deadline of a deferrable request.
pub(crate) const DEFERRABLE_DEADLINE: Duration = Duration::from_secs(12 * 3600);
/// Downtime of an engine that restarts.
const RESTART_TIME: Duration = Duration::from_secs(20);
/// Probability that a load fails during the disturbance of scenario `load-failures`.
const LOAD_FAILURE_PROBABILITY: f64 = 0.5;
/// The fraction of the power cap that remains in scenario `cap-cut`.
const CUT_FRACTION: f64 = 2.0 / 3.0;

/// An event of the simulation, or one that the policy scheduled.
#[derive(Debug)]
pub(crate) enum Event<E> {
    Arrives(u32),
    GivesUp(u32),
    CallArrives {
        engine: usize,
        request: u32,
        generation: u64,
    },
    StepEnds {
        engine: usize,
        generation: u64,
    },
    PlainCallEnds {
        target: usize,
        request: u32,
    },
    LoadEnds(u64),
    Restart,
    Restarted,
    Cap(f64),
    Policy(E),
}

/// An occurrence that the simulation reports to the policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Notice {
    /// A request arrived at its entry instance.
    Arrived(u32),
    /// The caller of a waiting request gave up.
    GaveUp(u32),
    /// A target finished an answer.
    Finished { target: usize, request: u32 },
    /// A call was refused or interrupted.
    CallFailed {
        target: usize,
        request: u32,
        refusal: EngineRefusal,
    },
    /// A load succeeded or failed.
    LoadEnded {
        engine: usize,
        adapter: u32,
        loaded: bool,
    },
    /// All engines went down.
    EnginesDown,
    /// All engines are up again and hold no adapters.
    EnginesUp,
    /// Operators changed the power cap, in watts.
    CapChanged(f64),
}

/// The simulated environment of a policy, with its event loop.
#[derive(Debug)]
pub(crate) struct World<E> {
    pub(crate) now: Moment,
    pub(crate) sizes: Sizes,
    pub(crate) trace: Trace,
    pub(crate) engines: Vec<SimulatedEngine>,
    pub(crate) requests: Requests,
    pub(crate) counters: RunCounters,
    pub(crate) meter: PowerMeter,
    timeline: Timeline,
    plain_running: Vec<u32>,
    store: WeightStore,
    queue: EventQueue<Event<E>>,
    schedule: Schedule,
    scenario: Scenario,
    rng: ChaCha8Rng,
}

impl<E> World<E> {
    pub(crate) fn new(sizes: Sizes, scenario: Scenario, schedule: Schedule, seed: u64) -> Self {
        let trace = Trace::generate(&sizes, scenario, &schedule, seed);
        let mut world = Self {
            now: Moment::ZERO,
            engines: (0..sizes.engines)
                .map(|_| SimulatedEngine::default())
                .collect(),
            requests: Requests::new(&trace),
            counters: RunCounters::default(),
            timeline: Timeline::default(),
            meter: PowerMeter::new(sizes.engines, sizes.cap_watts()),
            plain_running: vec![0; sizes.plain_targets],
            store: WeightStore::new(sizes.loads_per_second, sizes.concurrent_loads),
            queue: EventQueue::new(),
            rng: ChaCha8Rng::seed_from_u64(!seed),
            trace,
            sizes,
            schedule,
            scenario,
        };
        world.schedule_events();
        world
    }

    /// Runs the simulation to its end and passes each notice and each event of the policy to it.
    pub(crate) fn run(&mut self, mut policy: impl FnMut(&mut Self, Input<E>)) {
        while let Some((at, event)) = self.queue.pop() {
            if at >= self.schedule.stop {
                break;
            }
            self.now = at;
            match event {
                Event::Policy(event) => policy(self, Input::Event(event)),
                event => {
                    for notice in self.handle(event) {
                        policy(self, Input::Notice(notice));
                    }
                }
            }
        }
        self.now = self.schedule.stop;
        self.requests.close(self.now);
    }

    /// Fills in a report with the measurements.
    pub(crate) fn report(&self, report: &mut RunReport) {
        let (warm, stop) = (self.schedule.warm_up_end, self.schedule.stop);
        let measured = (&self.trace, &self.requests);
        report.fill(measured, &self.counters, &self.meter, warm..stop);
    }

    /// Renders the per-minute timeline as comma-separated values.
    pub(crate) fn timeline(&self) -> String {
        self.timeline
            .render(&self.trace, &self.requests, self.schedule.stop)
    }

    /// Returns the trace's entry of a request.
    pub(crate) fn req(&self, request: u32) -> &TraceRequest {
        &self.trace.requests[request as usize]
    }

    /// Returns whether the warm-up is over.
    pub(crate) fn measuring(&self) -> bool {
        self.now >= self.schedule.warm_up_end
    }

    /// Schedules an event of the policy.
    pub(crate) fn schedule_policy_event(&mut self, at: Moment, event: E) {
        self.queue.push(at, Event::Policy(event));
    }

    /// Opens a call to a target, which receives it after one message delay.
    pub(crate) fn open_call(&mut self, target: usize, request: u32) {
        self.leave(request, Phase::Sent);
        let generation = self
            .engines
            .get(target)
            .map_or(0, SimulatedEngine::generation);
        let event = Event::CallArrives {
            engine: target,
            request,
            generation,
        };
        self.queue.push(self.now + DELAY, event);
    }

    /// Records the target at which a request waits.
    pub(crate) fn assign(&mut self, request: u32, target: usize) {
        let req = &self.trace.requests[request as usize];
        self.requests.assign(request, req, target, self.now);
    }

    /// Records that a request no longer waits at a target and moves it to `phase`.
    pub(crate) fn leave(&mut self, request: u32, phase: Phase) {
        let req = &self.trace.requests[request as usize];
        self.requests.leave(request, req, phase, self.now);
    }

    /// Ends a request without an answer and counts it if it arrived after the warm-up.
    pub(crate) fn fail(&mut self, request: u32) {
        let req = &self.trace.requests[request as usize];
        self.requests.fail(request, req, self.now);
        if self.req(request).at < self.schedule.warm_up_end {
            return;
        }
        match self.req(request).class {
            Class::Live => self.counters.live_failed += 1,
            Class::Deferrable => self.counters.deferrable_failed += 1,
        }
    }

    /// Records that an owner refused a request, and the reason.
    pub(crate) fn refuse(&mut self, request: u32, reason: &'static str) {
        self.requests.refuse(request, self.now);
        if self.measuring() {
            *self.counters.refused.entry(reason).or_default() += 1;
        }
    }

    /// Records whether a target is loading an adapter or has requested to load it.
    pub(crate) fn set_load_pending(&mut self, target: usize, adapter: u32, load_pending: bool) {
        self.requests
            .set_load_pending(&self.trace, target, adapter, load_pending, self.now);
    }

    /// Orders an engine to load an adapter.
    ///
    /// # Errors
    /// Returns the engine's refusal.
    pub(crate) fn load(&mut self, engine: usize, adapter: u32) -> Result<(), EngineRefusal> {
        self.engines[engine].begin_load(adapter)?;
        let fails = self.loads_fail_now() && self.rng.random_bool(LOAD_FAILURE_PROBABILITY);
        let generation = self.engines[engine].generation();
        let key = LoadKey {
            engine,
            adapter,
            generation,
        };
        self.store.begin(key, fails, self.now);
        self.timeline.at(self.now).loads += 1;
        if self.measuring() {
            self.counters.loads += 1;
            self.counters.loads_failed += u64::from(fails);
        }
        self.schedule_load_end();
        Ok(())
    }

    /// Orders an engine to unload an adapter.
    ///
    /// An order for an adapter in use is refused and counted as a pinned eviction.
    ///
    /// # Errors
    /// Returns the engine's refusal.
    pub(crate) fn unload(&mut self, engine: usize, adapter: u32) -> Result<(), EngineRefusal> {
        let result = self.engines[engine].unload(adapter);
        match result {
            Ok(()) => {
                self.counters.evictions += u64::from(self.measuring());
                self.timeline.at(self.now).evictions += 1;
                self.requests
                    .set_ready(&self.trace, engine, adapter, false, self.now);
            }
            Err(EngineRefusal::Pinned) => self.counters.pinned_evictions += 1,
            Err(
                EngineRefusal::Down
                | EngineRefusal::AdapterMissing
                | EngineRefusal::NoSlot
                | EngineRefusal::AlreadyHeld,
            ) => {}
        }
        result
    }

    fn schedule_events(&mut self) {
        for request in 0..self.trace.requests.len() as u32 {
            let at = self.req(request).at;
            self.queue.push(at, Event::Arrives(request));
        }
        let cap = self.sizes.cap_watts();
        match self.scenario {
            Scenario::Restart => self.queue.push(self.schedule.start, Event::Restart),
            Scenario::CapCut => {
                self.queue
                    .push(self.schedule.start, Event::Cap(cap * CUT_FRACTION));
                self.queue.push(self.schedule.end, Event::Cap(cap));
            }
            Scenario::Steady
            | Scenario::Shift
            | Scenario::Wake
            | Scenario::LoadFailures
            | Scenario::DeferrableFlood
            | Scenario::AdapterFlood => {}
        }
    }

    fn loads_fail_now(&self) -> bool {
        let in_window = self.now >= self.schedule.start && self.now < self.schedule.end;
        self.scenario == Scenario::LoadFailures && in_window
    }

    fn handle(&mut self, event: Event<E>) -> Vec<Notice> {
        match event {
            Event::Arrives(request) => {
                self.requests.arrive(request, self.now);
                self.schedule_give_up(request);
                vec![Notice::Arrived(request)]
            }
            Event::GivesUp(request) => self.give_up(request),
            Event::CallArrives {
                engine,
                request,
                generation,
            } => self.call_arrives(engine, request, generation),
            Event::StepEnds { engine, generation } => self.step_ends(engine, generation),
            Event::PlainCallEnds { target, request } => {
                self.plain_running[target - self.sizes.engines] -= 1;
                self.leave(request, Phase::Done);
                vec![Notice::Finished { target, request }]
            }
            Event::LoadEnds(generation) => self.load_ends(generation),
            Event::Restart => self.stop_engines(),
            Event::Restarted => {
                self.engines.iter_mut().for_each(SimulatedEngine::start);
                vec![Notice::EnginesUp]
            }
            Event::Cap(watts) => {
                self.meter.set_cap(watts, self.now);
                vec![Notice::CapChanged(watts)]
            }
            Event::Policy(_) => Vec::new(),
        }
    }

    fn schedule_give_up(&mut self, request: u32) {
        if self.req(request).class == Class::Live {
            let at = self.requests.get(request).waiting_since + LIVE_DEADLINE;
            self.queue.push(at.max(self.now), Event::GivesUp(request));
        }
    }

    fn give_up(&mut self, request: u32) -> Vec<Notice> {
        let state = self.requests.get(request);
        let waited = self.now.since(state.waiting_since) >= LIVE_DEADLINE;
        if state.phase != Phase::Waiting || !waited {
            return Vec::new();
        }
        self.fail(request);
        vec![Notice::GaveUp(request)]
    }

    fn call_arrives(&mut self, target: usize, request: u32, generation: u64) -> Vec<Notice> {
        if target >= self.sizes.engines {
            self.plain_call(target, request);
            return Vec::new();
        }
        let engine = &mut self.engines[target];
        let req = &self.trace.requests[request as usize];
        if let Err(refusal) = engine.call(request, req) {
            // A permit pins the adapter, so an adapter that is missing without a restart in between
            // was evicted while in use; the call sees this one message delay later.
            let evicted = refusal == EngineRefusal::AdapterMissing;
            if evicted && engine.generation() == generation {
                self.counters.pinned_evictions += 1;
            }
            return self.call_failed(target, request, refusal);
        }
        self.begin_step(target);
        Vec::new()
    }

    fn call_failed(&mut self, target: usize, request: u32, refusal: EngineRefusal) -> Vec<Notice> {
        self.requests.requeue(request, self.now);
        self.schedule_give_up(request);
        vec![Notice::CallFailed {
            target,
            request,
            refusal,
        }]
    }

    fn plain_call(&mut self, target: usize, request: u32) {
        let running = &mut self.plain_running[target - self.sizes.engines];
        *running += 1;
        assert!(
            *running <= PLAIN_BATCH,
            "a plain target received more than {PLAIN_BATCH} concurrent calls"
        );
        self.requests.start(request, self.now);
        let time = Duration::from_micros(u64::from(self.req(request).output));
        self.queue
            .push(self.now + time, Event::PlainCallEnds { target, request });
    }

    fn begin_step(&mut self, engine: usize) {
        let Some(step) = self.engines[engine].begin_step() else {
            return;
        };
        for request in step.joined {
            self.requests.start(request, self.now);
        }
        self.meter.set_draw(engine, step.watts, self.now);
        let joules = step.watts * step.time.as_secs_f64();
        let work = self.timeline.at(self.now);
        work.steps += 1;
        work.joules += joules;
        if self.measuring() {
            self.counters.steps += 1;
            self.counters.joules += joules;
        }
        let generation = self.engines[engine].generation();
        self.queue
            .push(self.now + step.time, Event::StepEnds { engine, generation });
    }

    fn step_ends(&mut self, engine: usize, generation: u64) -> Vec<Notice> {
        if self.engines[engine].generation() != generation {
            return Vec::new();
        }
        let result = self.engines[engine].end_step();
        self.timeline.at(self.now).tokens += u64::from(result.tokens);
        if self.measuring() {
            self.counters.tokens += u64::from(result.tokens);
        }
        self.meter.set_draw(engine, 0.0, self.now);
        let mut notices = Vec::new();
        for request in result.finished {
            self.leave(request, Phase::Done);
            let req = self.req(request);
            let counts = req.class == Class::Deferrable && req.at >= self.schedule.warm_up_end;
            self.counters.deferrable_done += u64::from(counts);
            notices.push(Notice::Finished {
                target: engine,
                request,
            });
        }
        self.begin_step(engine);
        notices
    }

    fn load_ends(&mut self, generation: u64) -> Vec<Notice> {
        if !self.store.is_current(generation) {
            return Vec::new();
        }
        let mut notices = Vec::new();
        for (key, loaded) in self.store.take_ended(self.now) {
            let LoadKey {
                engine,
                adapter,
                generation,
            } = key;
            if self.engines[engine].generation() != generation {
                continue;
            }
            self.engines[engine].end_load(adapter, loaded);
            self.requests
                .set_ready(&self.trace, engine, adapter, loaded, self.now);
            notices.push(Notice::LoadEnded {
                engine,
                adapter,
                loaded,
            });
        }
        self.schedule_load_end();
        notices
    }

    fn schedule_load_end(&mut self) {
        if let Some((at, generation)) = self.store.next_end() {
            self.queue.push(at, Event::LoadEnds(generation));
        }
    }

    fn stop_engines(&mut self) -> Vec<Notice> {
        let mut notices = vec![Notice::EnginesDown];
        for engine in 0..self.engines.len() {
            let held: Vec<u32> = self.engines[engine].ready().collect();
            for adapter in held {
                self.requests
                    .set_ready(&self.trace, engine, adapter, false, self.now);
            }
            self.store.drop_engine(engine, self.now);
            self.meter.set_draw(engine, 0.0, self.now);
            for request in self.engines[engine].stop() {
                notices.extend(self.call_failed(engine, request, EngineRefusal::Down));
            }
        }
        self.schedule_load_end();
        self.queue.push(self.now + RESTART_TIME, Event::Restarted);
        notices
    }
}

/// An input to the policy.
#[derive(Debug)]
pub(crate) enum Input<E> {
    /// An occurrence in the simulated environment.
    Notice(Notice),
    /// An event that the policy scheduled.
    Event(E),
}
