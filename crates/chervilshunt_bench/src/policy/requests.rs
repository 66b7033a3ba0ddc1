//! The state of each request of a trace, with the time for which it waited and was stalled.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_model::{Class, Moment};

use super::workload::{Trace, TraceRequest};

/// The phase of a request's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The request has not arrived yet.
    NotArrived,
    /// The request waits for permission to be sent to a target.
    Waiting,
    /// The call to the target is open or in transit.
    Sent,
    /// The request was answered or failed.
    Done,
}

/// The state of one request during a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestState {
    /// The current phase.
    pub(crate) phase: Phase,
    /// The time since which its caller has been waiting.
    pub(crate) waiting_since: Moment,
    /// The target at which it waits.
    pub(crate) target: Option<usize>,
    /// The start of the first step that included it.
    pub(crate) started: Option<Moment>,
    /// The time at which it failed without an answer.
    pub(crate) failed: Option<Moment>,
    /// Total stalled time, without the stall in progress since `stalled_since`.
    pub(crate) stalled: Duration,
    /// Number of refusals.
    pub(crate) refusals: u32,
    /// Total time spent outside every queue after refusals, without the time since
    /// `refused_since`.
    pub(crate) refused: Duration,
    stalled_since: Option<Moment>,
    refused_since: Option<Moment>,
}

/// All requests of a run and the adapters for which they wait.
///
/// A live request is stalled while it waits at a target that does not hold its adapter. A
/// deferrable request is stalled only while that target is loading the adapter or has requested to
/// load it.
#[derive(Debug)]
pub(crate) struct Requests {
    states: Vec<RequestState>,
    waiting: HashMap<(usize, u32), Vec<u32>>,
    held: HashMap<(usize, u32), AdapterState>,
}

#[derive(Clone, Copy, Debug, Default)]
struct AdapterState {
    ready: bool,
    load_pending: bool,
}

impl Requests {
    pub(crate) fn new(trace: &Trace) -> Self {
        let state = RequestState {
            phase: Phase::NotArrived,
            waiting_since: Moment::ZERO,
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

    /// Returns the states of all requests, in the order of the trace.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.states.iter()
    }

    /// Records the arrival of a request.
    pub(crate) fn arrive(&mut self, request: u32, now: Moment) {
        let state = &mut self.states[request as usize];
        state.phase = Phase::Waiting;
        state.waiting_since = now;
    }

    /// Records that the call of a request failed, so that the request waits again.
    ///
    /// If a step had already included the request, its waiting time restarts now.
    pub(crate) fn requeue(&mut self, request: u32, now: Moment) {
        let state = &mut self.states[request as usize];
        state.phase = Phase::Waiting;
        if state.started.take().is_some() {
            state.waiting_since = now;
        }
    }

    /// Records that a request was refused.
    ///
    /// Until its next try it still counts as waiting at the target that refused it, so that a
    /// refusal does not end a stall.
    pub(crate) fn refuse(&mut self, request: u32, now: Moment) {
        let state = &mut self.states[request as usize];
        state.refusals += 1;
        state.refused_since.get_or_insert(now);
    }

    /// Records the target at which a request waits.
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

    /// Records that a request no longer waits at a target and moves it to `phase`.
    pub(crate) fn leave(&mut self, request: u32, req: &TraceRequest, phase: Phase, now: Moment) {
        self.unassign(request, req, now);
        self.states[request as usize].phase = phase;
    }

    /// Records that a request ended without an answer.
    pub(crate) fn fail(&mut self, request: u32, req: &TraceRequest, now: Moment) {
        self.leave(request, req, Phase::Done, now);
        self.states[request as usize].failed = Some(now);
    }

    /// Records the start of the first step that includes a request.
    pub(crate) fn start(&mut self, request: u32, now: Moment) {
        self.states[request as usize].started = Some(now);
    }

    /// Records whether a target has an adapter loaded and ready.
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

    /// Records whether a target is loading an adapter or has requested to load it.
    pub(crate) fn set_load_pending(
        &mut self,
        trace: &Trace,
        target: usize,
        adapter: u32,
        load_pending: bool,
        now: Moment,
    ) {
        self.held.entry((target, adapter)).or_default().load_pending = load_pending;
        self.refresh(trace, target, adapter, now);
    }

    /// Ends all stalls and refusals in progress at `now`, adding them to each request's totals.
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
            Class::Deferrable => held.load_pending && !held.ready,
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
