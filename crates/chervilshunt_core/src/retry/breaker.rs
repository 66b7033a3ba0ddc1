//! A circuit breaker for one target.

use std::time::Duration;

use chervilshunt_model::Moment;
use serde::Serialize;

/// When a breaker opens and closes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerConfig {
    /// How far back outcomes count.
    pub window: Duration,
    /// Outcomes within the window below which it stays closed.
    pub min_calls: u32,
    /// The share of failures from which it opens, from 0 to 1.
    pub failure_ratio: f64,
    /// How long it stays open the first time; up to half as long again is added at random.
    pub open_for: Duration,
    /// The bound to which that doubles while probes fail.
    pub open_for_cap: Duration,
    /// Probes in a row that have to succeed before it closes.
    pub close_after: u32,
    /// How long a probe may go without an outcome before another one may start.
    pub probe_timeout: Duration,
}

impl BreakerConfig {
    /// Returns when the owner of a target stops calls to it.
    ///
    /// With fewer calls than these a few failures in a row are no evidence, and retries at other
    /// targets cost less than a sound target that takes nothing.
    pub fn of_target() -> Self {
        Self {
            min_calls: 20,
            ..Self::default()
        }
    }
}

impl Default for BreakerConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            min_calls: 5,
            failure_ratio: 0.5,
            open_for: Duration::from_millis(500),
            open_for_cap: Duration::from_secs(15),
            close_after: 2,
            probe_timeout: Duration::from_secs(30),
        }
    }
}

/// Whether calls pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BreakerState {
    /// Calls pass.
    Closed,
    /// No call passes.
    Open,
    /// One call at a time passes, to see whether the target has recovered.
    HalfOpen,
}

/// How a call ended, as far as it tells about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target answered, be it with a refusal of the request.
    Success,
    /// The target could not be reached, failed or did not answer in time.
    Failure,
    /// It tells nothing: the caller went away, for one.
    Unknown,
}

/// Leave to make one call; its outcome is reported with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerTicket {
    generation: u64,
}

/// The answer to whether a call may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Admitted(BreakerTicket),
    /// It may not; asking again makes sense at the time given.
    Refused {
        /// When a call may be admitted at the earliest.
        retry_at: Moment,
    },
}

/// A change of state, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct BreakerTransition {
    /// The state before.
    pub from: BreakerState,
    /// The state after.
    pub to: BreakerState,
}

/// Keeps calls from a target that fails, and lets single probes find out when it is back.
#[derive(Clone, Debug)]
pub struct Breaker {
    cfg: BreakerConfig,
    state: State,
    /// Rises with each admission of a probe and each change of state. An outcome counts only if
    /// its ticket is of the present generation: a call that began before the breaker opened would
    /// otherwise close it, or a probe given up long ago open it again.
    generation: u64,
    /// How long it stays open the next time, before jitter.
    open_for: Duration,
}

#[derive(Clone, Debug)]
enum State {
    Closed(OutcomeWindow),
    Open {
        until: Moment,
    },
    HalfOpen {
        probe_until: Option<Moment>,
        successes: u32,
    },
}

impl Breaker {
    /// Starts closed.
    pub const fn new(cfg: BreakerConfig, now: Moment) -> Self {
        Self {
            cfg,
            state: State::Closed(OutcomeWindow::new(now)),
            generation: 0,
            open_for: cfg.open_for,
        }
    }

    /// Returns whether calls pass, as of the last call or outcome.
    pub const fn state(&self) -> BreakerState {
        match self.state {
            State::Closed(_) => BreakerState::Closed,
            State::Open { .. } => BreakerState::Open,
            State::HalfOpen { .. } => BreakerState::HalfOpen,
        }
    }

    /// Returns until when [`Breaker::admit`] refuses calls; none if it admits one now.
    pub fn refused_until(&self, now: Moment) -> Option<Moment> {
        let until = match self.state {
            State::Closed(_) => None,
            State::Open { until } => Some(until),
            State::HalfOpen { probe_until, .. } => probe_until,
        };
        until.filter(|until| now < *until)
    }

    /// Says whether a call may be made now.
    ///
    /// Whoever is admitted owes an outcome to [`Breaker::record`].
    pub fn admit(&mut self, now: Moment) -> Admission {
        if let State::Open { until } = self.state {
            if now < until {
                return Admission::Refused { retry_at: until };
            }
            self.state = State::HalfOpen {
                probe_until: None,
                successes: 0,
            };
        }
        if let State::HalfOpen { probe_until, .. } = &mut self.state {
            if let Some(until) = *probe_until
                && now < until
            {
                return Admission::Refused { retry_at: until };
            }
            *probe_until = Some(now + self.cfg.probe_timeout);
            self.generation += 1;
        }
        Admission::Admitted(BreakerTicket {
            generation: self.generation,
        })
    }

    /// Takes the outcome of a call that was admitted; `random` gives a number from 0 to below 1.
    pub fn record(
        &mut self,
        ticket: BreakerTicket,
        outcome: CallOutcome,
        now: Moment,
        random: impl FnOnce() -> f64,
    ) -> Option<BreakerTransition> {
        if ticket.generation != self.generation {
            return None;
        }
        let from = self.state();
        match &mut self.state {
            State::Closed(window) => {
                window.record(outcome, self.cfg.window, now);
                if window.is_failing(&self.cfg) {
                    self.open(now, random);
                }
            }
            State::HalfOpen {
                probe_until,
                successes,
            } => {
                *probe_until = None;
                match outcome {
                    CallOutcome::Success => {
                        *successes += 1;
                        if *successes >= self.cfg.close_after {
                            self.close(now);
                        }
                    }
                    CallOutcome::Failure => self.open(now, random),
                    CallOutcome::Unknown => {}
                }
            }
            State::Open { .. } => {}
        }
        let to = self.state();
        (from != to).then_some(BreakerTransition { from, to })
    }

    fn open(&mut self, now: Moment, random: impl FnOnce() -> f64) {
        let jitter = self.open_for.mul_f64(random().clamp(0.0, 1.0) / 2.0);
        self.state = State::Open {
            until: now + self.open_for + jitter,
        };
        self.open_for = (self.open_for * 2).min(self.cfg.open_for_cap);
        self.generation += 1;
    }

    fn close(&mut self, now: Moment) {
        self.state = State::Closed(OutcomeWindow::new(now));
        self.open_for = self.cfg.open_for;
        self.generation += 1;
    }
}

/// Outcomes of the present and the previous half of the window, so that memory is constant.
#[derive(Clone, Copy, Debug)]
struct OutcomeWindow {
    half_began: Moment,
    present: Counts,
    previous: Counts,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    calls: u32,
    failures: u32,
}

impl OutcomeWindow {
    const fn new(now: Moment) -> Self {
        const NONE: Counts = Counts {
            calls: 0,
            failures: 0,
        };
        Self {
            half_began: now,
            present: NONE,
            previous: NONE,
        }
    }

    fn record(&mut self, outcome: CallOutcome, window: Duration, now: Moment) {
        let age = now.since(self.half_began);
        if age >= window {
            *self = Self::new(now);
        } else if age >= window / 2 {
            self.previous = std::mem::take(&mut self.present);
            self.half_began = now;
        }
        match outcome {
            CallOutcome::Success => self.present.calls += 1,
            CallOutcome::Failure => {
                self.present.calls += 1;
                self.present.failures += 1;
            }
            CallOutcome::Unknown => {}
        }
    }

    fn is_failing(&self, cfg: &BreakerConfig) -> bool {
        let calls = self.present.calls + self.previous.calls;
        let failures = self.present.failures + self.previous.failures;
        calls >= cfg.min_calls && f64::from(failures) >= f64::from(calls) * cfg.failure_ratio
    }
}
