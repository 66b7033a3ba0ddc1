//! Answers that have begun and whose targets may still crash because of it.

use std::collections::VecDeque;
use std::time::Duration;

use chervilshunt_model::{Moment, TargetName};

use super::fingerprint::Fingerprint;

/// Time after the beginning of an answer from which on it has not crashed its target.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_200);
/// Time after the beginning of an answer up to which it may crash its target.
pub const FRESH_ANSWER_AGE: Duration = Duration::from_millis(500);
/// Time after which an answer is no longer watched whose target has been silent since it began.
const MAX_WATCH_TIME: Duration = Duration::from_secs(30);
/// Maximum number of answers that are watched.
const MAX_SETTLING: usize = 8_192;

/// Identifies an answer that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettlingNumber(u64);

/// An answer that began, and whose target has to live on for it to clear the parts of its prompt.
#[derive(Clone, Debug)]
struct Begun {
    number: SettlingNumber,
    target: TargetName,
    parts: Vec<Fingerprint>,
    at: Moment,
    /// Whether the whole answer has been received.
    is_whole: bool,
}

/// The answers that began lately, the latest last.
#[derive(Debug, Default)]
pub struct SettlingAnswers {
    begun: VecDeque<Begun>,
    next: u64,
}

impl SettlingAnswers {
    /// Records that a target has begun to answer a request with these parts.
    pub fn began(
        &mut self,
        target: &TargetName,
        parts: &[Fingerprint],
        now: Moment,
    ) -> Option<SettlingNumber> {
        if parts.is_empty() || self.begun.len() >= MAX_SETTLING {
            return None;
        }
        let number = SettlingNumber(self.next);
        self.next += 1;
        self.begun.push_back(Begun {
            number,
            target: target.clone(),
            parts: parts.to_vec(),
            at: now,
            is_whole: false,
        });
        Some(number)
    }

    /// Records that the whole of an answer has been received.
    pub fn ended_whole(&mut self, number: SettlingNumber) {
        let found = self.begun.binary_search_by_key(&number, |it| it.number);
        if let Ok(index) = found {
            self.begun[index].is_whole = true;
        }
    }

    /// Forgets an answer that was given up before its end: whether its target lives on may not be seen.
    pub fn given_up(&mut self, number: SettlingNumber) {
        let found = self.begun.binary_search_by_key(&number, |it| it.number);
        if let Ok(index) = found {
            self.begun.remove(index);
        }
    }

    /// Records that a target may have crashed: what it has begun clears nothing.
    pub fn connection_ended(&mut self, target: &TargetName) {
        self.begun.retain(|it| it.target != *target);
    }

    /// Returns the parts of answers whose targets have lived on, with the times at which these began.
    ///
    /// `last_received_at` returns when bytes were last received from a target. The connections of a process that
    /// has crashed stay open while its memory is dumped, so that an open connection does not show that it lives.
    pub fn take_settled(
        &mut self,
        now: Moment,
        last_received_at: impl Fn(&TargetName) -> Option<Moment>,
    ) -> Vec<(Vec<Fingerprint>, Moment)> {
        let due = self
            .begun
            .partition_point(|it| now.since(it.at) >= SETTLE_TIME);
        let mut settled = Vec::new();
        let mut silent = Vec::new();
        for begun in self.begun.drain(..due) {
            let received_at = last_received_at(&begun.target);
            if begun.is_whole || received_at.is_some_and(|at| at > begun.at + FRESH_ANSWER_AGE) {
                settled.push((begun.parts, begun.at));
            } else if now.since(begun.at) < MAX_WATCH_TIME {
                silent.push(begun);
            }
        }
        for begun in silent.into_iter().rev() {
            self.begun.push_front(begun);
        }
        settled
    }

    /// Returns when the next answer has settled.
    pub fn next_at(&self) -> Option<Moment> {
        self.begun.front().map(|it| it.at + SETTLE_TIME)
    }
}
