//! Requests for which no target has a place now.
//!
//! Places come free many times a second, each when the last request with its adapter ends. So a request
//! waits for one, the one that has waited longest first, as long as the rate at which places came free of
//! late says that its turn comes in time; otherwise it is refused at once, and told when to come back.

use std::time::Duration;

use chervilshunt_model::Moment;

use super::order::ResidencyAction;
use super::planner::Residency;
use super::wants::Asked;
use crate::decay::DecayedRate;

/// The half-life of the rate at which those who wait find a place: a wave of requests lasts seconds.
const RATE_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// The rate that is taken until places have come free, and at least, in places a second: low enough
/// that a few may wait at once, and no more.
const LEAST_RATE: f64 = 10.0;

/// The questions that wait for a place, the oldest first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<u64>,
    served: DecayedRate,
}

impl Queue {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how long one more question would wait.
    fn wait(&self, now: Moment) -> Duration {
        let rate = self.served.per_second(RATE_HALF_LIFE, now).max(LEAST_RATE);
        Duration::from_secs_f64((self.waiting.len() + 1) as f64 / rate)
    }
}

impl Residency {
    /// Has a question wait for a place, or refuses it.
    pub(super) fn wait_for_place(
        &mut self,
        question: u64,
        asked: Asked,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let wait = self.queue.wait(now);
        let is_full = self.queue.waiting.len() >= self.cfg.most_waiting;
        if is_full || now + wait > asked.until || !self.has_targets(&asked.want) {
            return self.answer_in(vec![question], wait.max(self.cfg.retry_in), out);
        }
        self.queue.waiting.push(question);
        self.asked.insert(question, asked);
        // A place that is kept for a moment will be free by then.
        for target in self.targets.values_mut() {
            target.touched |= target.next_free(now).is_some();
        }
    }

    /// Places those who wait, as far as there is room, and tells those whose time is over.
    pub(super) fn serve_queue(&mut self, now: Moment, out: &mut Vec<ResidencyAction>) {
        if self.queue.waiting.is_empty() {
            return;
        }
        let mut targets = self.targets.values();
        let changed =
            targets.any(|it| it.touched || it.summary.wake_at.is_some_and(|at| at <= now));
        let due = self.queue_wakeup().is_some_and(|at| at <= now);
        if !changed && !due {
            return;
        }
        for question in std::mem::take(&mut self.queue.waiting) {
            self.serve_waiting(question, now, out);
        }
    }

    fn serve_waiting(&mut self, question: u64, now: Moment, out: &mut Vec<ResidencyAction>) {
        let Some(asked) = self.asked.get(&question) else {
            return;
        };
        let until = asked.until;
        if let Some(found) = self.best_target(&asked.want, now)
            && now + found.held_in <= until
            && let Some(asked) = self.asked.remove(&question)
        {
            self.queue.served.add(1.0, RATE_HALF_LIFE, now);
            return self.place(question, asked, &found.target, now, out);
        }
        if until <= now {
            return self.answer_later(vec![question], out);
        }
        self.queue.waiting.push(question);
    }

    /// Returns when the time of the first who wait is over.
    pub(super) fn queue_wakeup(&self) -> Option<Moment> {
        let waiting = self.queue.waiting.iter();
        let until = waiting.filter_map(|question| self.asked.get(question));
        until.map(|asked| asked.until).min()
    }
}
