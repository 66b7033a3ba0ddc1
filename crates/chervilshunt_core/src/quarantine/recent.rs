//! How often parts of prompts come in requests.

use std::collections::{HashMap, VecDeque};

use super::fingerprint::Fingerprint;

/// Number of requests over which parts are counted.
const WINDOW: usize = 512;

/// Number of requests from which on it is known how often a part comes.
const MIN_REQUESTS: usize = 32;

/// The parts of the last requests of this instance.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentParts {
    requests: VecDeque<Vec<Fingerprint>>,
    counts: HashMap<Fingerprint, usize>,
}

impl RecentParts {
    pub(super) fn record(&mut self, parts: &[Fingerprint]) {
        for part in parts {
            *self.counts.entry(*part).or_default() += 1;
        }
        self.requests.push_back(parts.to_vec());
        if self.requests.len() <= WINDOW {
            return;
        }
        for part in self.requests.pop_front().unwrap_or_default() {
            if let Some(count) = self.counts.get_mut(&part) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&part);
                }
            }
        }
    }

    /// Returns in how many of the last requests a part came.
    pub(super) fn count(&self, part: Fingerprint) -> usize {
        self.counts.get(&part).copied().unwrap_or_default()
    }

    /// Returns whether most of the last requests with a part had another one too.
    pub(super) fn comes_with(&self, part: Fingerprint, other: Fingerprint) -> bool {
        let with_part = self.requests.iter().filter(|it| it.contains(&part));
        let (total, both) = with_part.fold((0, 0), |(total, both), it| {
            (total + 1, both + usize::from(it.contains(&other)))
        });
        both * 2 > total
    }

    /// Returns whether a part came in more than half of the last requests. After a start that is not known
    /// at first.
    pub(super) fn is_common(&self, part: Fingerprint) -> bool {
        self.requests.len() >= MIN_REQUESTS && self.count(part) * 2 > self.requests.len()
    }
}
