//! Grants of requests to plain targets.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment, ServiceName, TargetName};

use crate::residency::GrantNumber;

/// How long usage reports may omit a grant before it counts as ended. The answer that gives the
/// grant and a report sent before it are in transit for some milliseconds, and for 100 ms where an
/// instance has used up its CPU quota.
pub(super) const MAX_OMITTED: Duration = Duration::from_millis(300);

/// The permission to send one request to a plain target.
#[derive(Clone, Debug)]
pub(super) struct ServiceGrant {
    pub(super) holder: InstanceId,
    pub(super) service: ServiceName,
    pub(super) target: TargetName,
    pub(super) given_at: Moment,
    /// Whether the target has begun to answer. Requests that end before that have not run, and say
    /// nothing about the time in a slot.
    pub(super) has_begun: bool,
}

/// The granted requests at one target, in the order in which they are assumed to get its slots.
///
/// The target reports neither which requests run nor since when. A request that is granted while
/// all slots are taken is assumed to start when one of the earlier ones ends.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetGrants {
    running: HashMap<GrantNumber, Moment>,
    waiting: VecDeque<GrantNumber>,
}

impl TargetGrants {
    /// Returns the number of granted requests.
    pub(super) fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Adds a request; `slots` is the number of slots that granted requests can use.
    pub(super) fn add(&mut self, number: GrantNumber, slots: usize, now: Moment) {
        if self.running.len() < slots {
            self.running.insert(number, now);
        } else {
            self.waiting.push_back(number);
        }
    }

    /// Removes a request. Returns how long it was assumed to run, or `None` if it was assumed to
    /// wait.
    pub(super) fn remove(&mut self, number: GrantNumber, now: Moment) -> Option<Duration> {
        let Some(started) = self.running.remove(&number) else {
            self.waiting.retain(|it| *it != number);
            return None;
        };
        if let Some(next) = self.waiting.pop_front() {
            self.running.insert(next, now);
        }
        Some(now.since(started))
    }
}
