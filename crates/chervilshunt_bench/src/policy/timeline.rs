//! Per-minute activity of a run, for analysing the behaviour of a policy.

use std::fmt::Write;
use std::time::Duration;

use chervilshunt_model::{Class, Moment};

use super::metrics::millis;
use super::requests::Requests;
use super::workload::Trace;

const MINUTE_MICROS: u64 = 60_000_000;

const HEAD: &str = "minute,live,stalls,stall_ms_mean,live_wait_ms_mean,deferrable,\
    deferrable_wait_ms_mean,loads,evictions,steps,tokens,mean_watts\n";

/// The work of the engines and the weight store in one minute.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MinuteWork {
    pub(crate) loads: u64,
    pub(crate) evictions: u64,
    pub(crate) steps: u64,
    pub(crate) tokens: u64,
    pub(crate) joules: f64,
}

/// The work of each minute, from the start of the run.
#[derive(Debug, Default)]
pub(crate) struct Timeline {
    minutes: Vec<MinuteWork>,
}

/// Counts and total waits of the requests that arrived in one minute.
#[derive(Clone, Copy, Debug, Default)]
struct MinuteArrivals {
    live: u32,
    stalls: u32,
    stalled: Duration,
    live_wait: Duration,
    deferrable: u32,
    deferrable_wait: Duration,
}

impl Timeline {
    /// Returns the work of the minute that contains `now`.
    pub(crate) fn at(&mut self, now: Moment) -> &mut MinuteWork {
        let minute = minute(now);
        if self.minutes.len() <= minute {
            self.minutes.resize(minute + 1, MinuteWork::default());
        }
        &mut self.minutes[minute]
    }

    /// Renders a header and one line of comma-separated values for each minute.
    pub(crate) fn render(&self, trace: &Trace, requests: &Requests, stop: Moment) -> String {
        let arrived = arrived(trace, requests, stop, self.minutes.len());
        let mut text = String::from(HEAD);
        for (minute, (work, arrived)) in self.minutes.iter().zip(arrived).enumerate() {
            let MinuteWork {
                loads,
                evictions,
                steps,
                tokens,
                joules,
            } = work;
            let watts = joules / (MINUTE_MICROS as f64 / 1e6);
            let stalled = mean(arrived.stalled, arrived.stalls);
            let live_wait = mean(arrived.live_wait, arrived.live);
            let deferrable_wait = mean(arrived.deferrable_wait, arrived.deferrable);
            writeln!(
                text,
                "{minute},{},{},{stalled:.0},{live_wait:.0},{},{deferrable_wait:.0},{loads},\
                 {evictions},{steps},{tokens},{watts:.0}",
                arrived.live, arrived.stalls, arrived.deferrable,
            )
            .expect("writing to a string can't fail");
        }
        text
    }
}

fn arrived(
    trace: &Trace,
    requests: &Requests,
    stop: Moment,
    minutes: usize,
) -> Vec<MinuteArrivals> {
    let mut arrived = vec![MinuteArrivals::default(); minutes];
    for (req, state) in trace.requests.iter().zip(requests.iter()) {
        let Some(slot) = arrived.get_mut(minute(req.at)) else {
            continue;
        };
        if req.adapter.is_none() {
            continue;
        }
        let until = state.started.or(state.failed).unwrap_or(stop);
        let wait = until.since(state.waiting_since);
        match req.class {
            Class::Live => {
                slot.live += 1;
                slot.live_wait += wait;
                slot.stalls += u32::from(!state.stalled.is_zero());
                slot.stalled += state.stalled;
            }
            Class::Deferrable => {
                slot.deferrable += 1;
                slot.deferrable_wait += wait;
            }
        }
    }
    arrived
}

const fn minute(at: Moment) -> usize {
    (at.as_micros() / MINUTE_MICROS) as usize
}

fn mean(sum: Duration, count: u32) -> f64 {
    millis(sum) / f64::from(count.max(1))
}
