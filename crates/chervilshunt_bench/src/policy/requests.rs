//! What became of each request of a trace, with the time that it waited and was stalled.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_model::{Class, Moment};

use super::workload::{Trace, TraceRequest};

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It has not arrived.
    Coming,
    /// It waits for leave to be sent to a target.
    Waiting,
    /// Its call is open or on its way.
    Called,
    /// It is over.
    Done,
}

/// A request during a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestState {
    /// How far it has come.
    pub(crate) phase: Phase,
    /// Since when its caller has waited.
    pub(crate) since: Moment,
    /// The target that it waits at.
    pub(crate) target: Option<usize>,
    /// When the first step with it began.
    pub(crate) started: Option<Moment>,
    /// When it ended without an answer.
    pub(crate) failed: Option<Moment>,
    /// How long it was stalled, up to `stalled_since`.
    pub(crate) stalled: Duration,
    /// How often it was refused.
    pub(crate) refusals: u32,
    /// How long it waited outside every queue after refusals, up to `refused_since`.
    pub(crate) refused: Duration,
    stalled_since: Option<Moment>,
    refused_since: Option<Moment>,
}

/// All requests of a run, and what each of them waits for.
///
/// A live request is stalled while it waits at a target that does not hold its adapter; a
/// deferrable one only while that target loads the adapter or has asked to.
#[derive(Debug)]
pub(crate) struct Requests {
    states: Vec<RequestState>,
    waiting: HashMap<(usize, u32), Vec<u32>>,
    held: HashMap<(usize, u32), AdapterState>,
}

#[derive(Clone, Copy, Debug, Default)]
struct AdapterState {
    ready: bool,
    asked: bool,
}

impl Requests {
    pub(crate) fn new(trace: &Trace) -> Self {
        let state = RequestState {
            phase: Phase::Coming,
            since: Moment::ZERO,
            target: None,
            started: None,
            failed: None,
            stalled: Duration::ZERO,
            refusals: 0,
            refused: Duration::ZERO,
            stalled_since: None,
            refused_since: None,
        };
        Self {
            states: vec![state; trace.requests.len()],
            waiting: HashMap::new(),
            held: HashMap::new(),
        }
    }

    /// Returns the state of one request.
    pub(crate) fn get(&self, request: u32) -> &RequestState {
        &self.states[request as usize]
    }

    /// Returns all states, in the order of the trace.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.states.iter()
    }

    /// Notes that a request arrived.
    pub(crate) fn arrive(&mut self, request: u32, now: Moment) {
        let state = &mut self.states[request as usize];
        state.phase = Phase::Waiting;
        state.since = now;
    }

    /// Notes that a request's call failed: it waits again, and from now on if it had begun.
    pub(crate) fn arrive_again(&mut self, request: u32, now: Moment) {
        let state = &mut self.states[request as usize];
        state.phase = Phase::Waiting;
        if state.started.take().is_some() {
            state.since = now;
        }
    }

    /// Notes that a request was refused: it goes on counting as waiting at the target that refused
    /// it until it asks again, so that a refusal ends no stall.
    pub(crate) fn refuse(&mut self, request: u32, now: Moment) {
        let state = &mut self.states[request as usize];
        state.refusals += 1;
        state.refused_since.get_or_insert(now);
    }

    /// Notes the target that a request waits at.
    pub(crate) fn assign(&mut self, request: u32, req: &TraceRequest, target: usize, now: Moment) {
        self.unassign(request, req, now);
        self.states[request as usize].target = Some(target);
        let Some(adapter) = req.adapter else { return };
        self.waiting
            .entry((target, adapter))
            .or_default()
            .push(request);
        if self.stalls(req.class, target, adapter) {
            self.states[request as usize].stalled_since = Some(now);
        }
    }

    /// Notes that a request has leave, or is over.
    pub(crate) fn leave(&mut self, request: u32, req: &TraceRequest, phase: Phase, now: Moment) {
        self.unassign(request, req, now);
        self.states[request as usize].phase = phase;
    }

    /// Notes that a request ended without an answer.
    pub(crate) fn fail(&mut self, request: u32, req: &TraceRequest, now: Moment) {
        self.leave(request, req, Phase::Done, now);
        self.states[request as usize].failed = Some(now);
    }

    /// Notes that the first step with a request began.
    pub(crate) fn start(&mut self, request: u32, now: Moment) {
        self.states[request as usize].started = Some(now);
    }

    /// Notes whether a target holds an adapter ready.
    pub(crate) fn set_ready(
        &mut self,
        trace: &Trace,
        target: usize,
        adapter: u32,
        ready: bool,
        now: Moment,
    ) {
        self.held.entry((target, adapter)).or_default().ready = ready;
        self.refresh(trace, target, adapter, now);
    }

    /// Notes whether a target loads an adapter or has asked to.
    pub(crate) fn set_asked(
        &mut self,
        trace: &Trace,
        target: usize,
        adapter: u32,
        asked: bool,
        now: Moment,
    ) {
        self.held.entry((target, adapter)).or_default().asked = asked;
        self.refresh(trace, target, adapter, now);
    }

    /// Adds what is still being waited for to each request's stalled time.
    pub(crate) fn close(&mut self, now: Moment) {
        for state in &mut self.states {
            state.end_stall(now);
            state.end_refusal(now);
        }
    }

    fn stalls(&self, class: Class, target: usize, adapter: u32) -> bool {
        let held = self.held.get(&(target, adapter)).copied();
        let held = held.unwrap_or_default();
        match class {
            Class::Live => !held.ready,
            Class::Deferrable => held.asked && !held.ready,
        }
    }

    fn refresh(&mut self, trace: &Trace, target: usize, adapter: u32, now: Moment) {
        let Some(waiting) = self.waiting.get(&(target, adapter)) else {
            return;
        };
        for request in waiting {
            let class = trace.requests[*request as usize].class;
            let stalls = self.stalls(class, target, adapter);
            let state = &mut self.states[*request as usize];
            if !stalls {
                state.end_stall(now);
            } else if state.stalled_since.is_none() {
                state.stalled_since = Some(now);
            }
        }
    }

    fn unassign(&mut self, request: u32, req: &TraceRequest, now: Moment) {
        let state = &mut self.states[request as usize];
        state.end_stall(now);
        state.end_refusal(now);
        let (Some(target), Some(adapter)) = (state.target.take(), req.adapter) else {
            return;
        };
        if let Some(waiting) = self.waiting.get_mut(&(target, adapter)) {
            waiting.retain(|other| *other != request);
            if waiting.is_empty() {
                self.waiting.remove(&(target, adapter));
            }
        }
    }
}

impl RequestState {
    fn end_stall(&mut self, now: Moment) {
        if let Some(since) = self.stalled_since.take() {
            self.stalled += now.since(since);
        }
    }

    fn end_refusal(&mut self, now: Moment) {
        if let Some(since) = self.refused_since.take() {
            self.refused += now.since(since);
        }
    }
}
