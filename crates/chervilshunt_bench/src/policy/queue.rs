//! The queue of scheduled events, ordered by time and then by insertion.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use chervilshunt_model::Moment;

/// A priority queue of events by time.
///
/// Events at the same time are popped in insertion order, which keeps runs deterministic.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    pushed: u64,
}

impl<E> EventQueue<E> {
    pub(crate) const fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            pushed: 0,
        }
    }

    /// Schedules an event.
    pub(crate) fn push(&mut self, at: Moment, event: E) {
        self.pushed += 1;
        self.heap.push(Reverse(Entry {
            at,
            number: self.pushed,
            event,
        }));
    }

    /// Removes and returns the earliest event with its time.
    pub(crate) fn pop(&mut self) -> Option<(Moment, E)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}

#[derive(Debug)]
struct Entry<E> {
    at: Moment,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
