//! A circuit breaker for calls to one target.

use std::time::Duration;

use chervilshunt_model::Moment;
use serde::Serialize;

/// Thresholds and times of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerConfig {
    /// How long an outcome counts.
    pub window: Duration,
    /// Minimum number of outcomes within the window before the breaker can open.
    pub min_calls: u32,
    /// Fraction of failed calls, from 0 to 1, at which the breaker opens.
    pub failure_ratio: f64,
    /// How long the breaker stays open the first time. Random jitter adds up to half of it.
    pub open_for: Duration,
    /// Upper bound of the open time, which doubles each time a probe fails.
    pub open_for_cap: Duration,
    /// Number of consecutive probes that must succeed before the breaker closes.
    pub close_after: u32,
    /// How long a probe may go without an outcome before the next one is admitted.
    pub probe_timeout: Duration,
}

impl BreakerConfig {
    /// Returns the configuration for the breaker that the owner of a target applies.
    ///
    /// It requires more calls than the default. With fewer, a few consecutive failures prove
    /// little, and retrying them at other targets costs less than sending no calls to a healthy
    /// target.
    pub fn for_target() -> Self {
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

/// Whether the breaker admits calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BreakerState {
    /// Calls are admitted.
    Closed,
    /// No calls are admitted.
    Open,
    /// One call at a time is admitted, to probe whether the target has recovered.
    HalfOpen,
}

/// The outcome of a call, as far as it indicates the health of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target answered, even if it refused the request.
    Success,
    /// The target was unreachable, failed or did not answer in time.
    Failure,
    /// The outcome says nothing about the target, for example because the caller disconnected.
    Unknown,
}

/// Proof of admission of one call, with which its outcome is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerTicket {
    generation: u64,
}

/// The answer to a request to make a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call may be made.
    Admitted(BreakerTicket),
    /// The call may not be made now.
    Refused {
        /// The earliest time at which a call may be admitted.
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

/// Stops calls to a failing target and probes with single calls whether it has recovered.
#[derive(Clone, Debug)]
pub struct Breaker {
    cfg: BreakerConfig,
    state: State,
    /// Incremented whenever a probe is admitted or the state changes. An outcome counts only if its
    /// ticket has the current generation. Otherwise a call that started before the breaker opened
    /// could close it, or a probe that timed out long ago could open it again.
    generation: u64,
    /// How long the breaker stays open the next time, before jitter.
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
    /// Creates a closed breaker.
    pub const fn new(cfg: BreakerConfig, now: Moment) -> Self {
        Self {
            cfg,
            state: State::Closed(OutcomeWindow::new(now)),
            generation: 0,
            open_for: cfg.open_for,
        }
    }

    /// Returns the state as of the last call or outcome.
    pub const fn state(&self) -> BreakerState {
        match self.state {
            State::Closed(_) => BreakerState::Closed,
            State::Open { .. } => BreakerState::Open,
            State::HalfOpen { .. } => BreakerState::HalfOpen,
        }
    }

    /// Returns the time until which [`Breaker::admit`] refuses calls, or `None` if it admits one
    /// now.
    pub fn refused_until(&self, now: Moment) -> Option<Moment> {
        let until = match self.state {
            State::Closed(_) => None,
            State::Open { until } => Some(until),
            State::HalfOpen { probe_until, .. } => probe_until,
        };
        until.filter(|until| now < *until)
    }

    /// Returns whether a call may be made now.
    ///
    /// The outcome of every admitted call must be reported with [`Breaker::record`].
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

    /// Records the outcome of an admitted call and returns the change of state, if any. `random`
    /// returns a number in `[0, 1)`.
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

/// Counts of outcomes in the current and the previous half of the window, so that memory use is
/// constant.
#[derive(Clone, Copy, Debug)]
struct OutcomeWindow {
    half_started_at: Moment,
    current: Counts,
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
            half_started_at: now,
            current: NONE,
            previous: NONE,
        }
    }

    fn record(&mut self, outcome: CallOutcome, window: Duration, now: Moment) {
        let age = now.since(self.half_started_at);
        if age >= window {
            *self = Self::new(now);
        } else if age >= window / 2 {
            self.previous = std::mem::take(&mut self.current);
            self.half_started_at = now;
        }
        match outcome {
            CallOutcome::Success => self.current.calls += 1,
            CallOutcome::Failure => {
                self.current.calls += 1;
                self.current.failures += 1;
            }
            CallOutcome::Unknown => {}
        }
    }

    fn is_failing(&self, cfg: &BreakerConfig) -> bool {
        let calls = self.current.calls + self.previous.calls;
        let failures = self.current.failures + self.previous.failures;
        calls >= cfg.min_calls && f64::from(failures) >= f64::from(calls) * cfg.failure_ratio
    }
}
