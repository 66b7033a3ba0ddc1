//! Grants: the placer's permission to send one request with an adapter to a target.
//!
//! Where adapter slots are scarce, an unused adapter must be available for eviction immediately,
//! and one that is about to be used must not be evicted. Periodic usage reports from instances are
//! too late for both: a slot stayed unused for 1.7 s after its last use. Therefore each request
//! asks the placer, which counts it from its own answer until the instance reports that it has
//! ended. A grant whose end is lost ends with the next usage report that omits it, or with its
//! instance.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment, TargetName};
use serde::{Deserialize, Serialize};

use super::order::TargetUse;
use super::planner::ResidencyPlanner;
use crate::dispatch::Weights;
use crate::streams::BegunStreams;

/// How long usage reports may omit a grant before it counts as ended. The answer that gives the
/// grant and a report sent before it are in transit for some milliseconds, and for 100 ms where an
/// instance has used up its CPU quota.
const MAX_OMITTED: Duration = Duration::from_millis(300);

/// Identifies a grant; numbers are unique across all placers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantNumber(pub u64);

/// The progress of an instance's granted requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantProgress {
    /// Requests that a target has begun to answer, so that their prefill is complete.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub begun: Vec<GrantNumber>,
    /// Requests that have ended, whatever the outcome.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<GrantNumber>,
    /// The number of streams that paused for longer than their callers want.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    pub paused: u32,
    /// Streams that have begun, whether granted or not.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub streams: Vec<BegunStreams>,
    /// The paces that targets stated in the heads of their answers to granted requests.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<(GrantNumber, u16)>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the shape that serde asks for"
)]
const fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl GrantProgress {
    /// Returns whether there is nothing to report.
    pub const fn is_empty(&self) -> bool {
        self.begun.is_empty()
            && self.ended.is_empty()
            && self.paused == 0
            && self.streams.is_empty()
            && self.paces.is_empty()
    }
}

/// The permission to send one request to a target.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) holder: InstanceId,
    pub(crate) target: TargetName,
    pub(crate) weights: Weights,
    /// The prompt tokens of the request that still await prefill.
    pub(crate) prefill_tokens: u32,
    given_at: Moment,
    /// When the target began to answer.
    begun_at: Option<Moment>,
}

/// All grants that have not ended.
#[derive(Debug, Default)]
pub(crate) struct Grants {
    open: HashMap<GrantNumber, Grant>,
}

impl Grants {
    /// Forgets the grants at a target that is gone or has restarted.
    pub(crate) fn forget_target(&mut self, target: &TargetName) {
        self.open.retain(|_, grant| grant.target != *target);
    }

    fn of(&self, holder: &InstanceId) -> impl Iterator<Item = (GrantNumber, &Grant)> {
        let open = self.open.iter().filter(move |(_, it)| it.holder == *holder);
        open.map(|(number, grant)| (*number, grant))
    }
}

/// Returns how long a target of the mean speed would have taken.
///
/// The times that targets take are averaged over those that get the most requests, which are the
/// fast ones. Multiplied by their ratios again, the averages would make them appear faster than they
/// are.
fn at_mean_speed(took: Duration, ratio: f64) -> Duration {
    if (ratio - 1.0).abs() < f64::EPSILON {
        return took;
    }
    took.div_f64(ratio)
}

impl ResidencyPlanner {
    /// Records that an instance may now send a request to a target.
    pub(super) fn grant(
        &mut self,
        number: GrantNumber,
        holder: InstanceId,
        target: &TargetName,
        weights: Weights,
        tokens: u32,
        now: Moment,
    ) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.grant_given(&weights, tokens);
        let grant = Grant {
            holder,
            target: target.clone(),
            weights,
            prefill_tokens: tokens,
            given_at: now,
            begun_at: None,
        };
        self.grants.open.insert(number, grant);
    }

    /// Applies the progress of instances' granted requests.
    pub(super) fn grants_progressed(&mut self, progress: &GrantProgress, now: Moment) {
        let was_on = self.lanes.is_on(now);
        self.lanes.note(progress.ended.len(), progress.paused, now);
        if self.lanes.is_on(now) != was_on {
            self.touch_all();
        }
        for (number, pace) in &progress.paces {
            self.pace_stated(*number, *pace, now);
        }
        for number in &progress.begun {
            self.grant_begun(*number, now);
        }
        for number in &progress.ended {
            self.grant_ended(*number, now);
        }
    }

    /// Records the pace that a target stated when it answered a granted request. The grants of
    /// earlier starts of the target are forgotten, so their answers do not count.
    fn pace_stated(&mut self, number: GrantNumber, pace: u16, now: Moment) {
        let grant = self.grants.open.get(&number);
        let Some(name) = grant.map(|grant| &grant.target) else {
            return;
        };
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if let Some(change) = target.speed.record(pace, now) {
            self.pace_changes.push((name.clone(), change));
        }
    }

    /// Records that a target has completed the prefill of a request.
    fn grant_begun(&mut self, number: GrantNumber, now: Moment) {
        let Some(grant) = self.grants.open.get_mut(&number) else {
            return;
        };
        let tokens = std::mem::take(&mut grant.prefill_tokens);
        let given_at = grant.given_at;
        grant.begun_at = Some(now);
        let target_name = grant.target.clone();
        if let Some(target) = self.targets.get_mut(&target_name) {
            target.speed.answered();
            let took = target.prefill_completed(tokens, given_at, now);
            let ratio = self.speed_ratio(&target_name, now).momentary;
            self.prefill_rate.record(tokens, at_mean_speed(took, ratio));
        }
    }

    /// Ends a grant, after which its adapter can be evicted if nothing else uses it.
    pub(super) fn grant_ended(&mut self, number: GrantNumber, now: Moment) {
        let Some(grant) = self.grants.open.remove(&number) else {
            return;
        };
        if let Some(begun_at) = grant.begun_at {
            let ratio = self.speed_ratio(&grant.target, now).lasting;
            let took = at_mean_speed(now.since(begun_at), ratio);
            self.slot_time.record(took);
        }
        if let Some(target) = self.targets.get_mut(&grant.target) {
            target.grant_ended(&grant, now);
        }
    }

    /// Processes an instance's usage report: ends the grants that it omits for too long, and
    /// returns the reported uses without those that are counted as grants.
    pub(super) fn uses_beside_grants(
        &mut self,
        holder: &InstanceId,
        mut uses: Vec<TargetUse>,
        reported: &[GrantNumber],
        now: Moment,
    ) -> Vec<TargetUse> {
        let reported: HashSet<GrantNumber> = reported.iter().copied().collect();
        let mut lost = Vec::new();
        for (number, grant) in self.grants.of(holder) {
            if reported.contains(&number) {
                let same = |it: &&mut TargetUse| {
                    it.target == grant.target && it.weights.as_ref() == Some(&grant.weights)
                };
                if let Some(it) = uses.iter_mut().find(same) {
                    it.in_flight = it.in_flight.saturating_sub(1);
                }
            } else if now.since(grant.given_at) >= MAX_OMITTED {
                lost.push(number);
            }
        }
        for number in lost {
            self.grant_ended(number, now);
        }
        uses
    }

    /// Ends all grants of an instance that is gone.
    pub(super) fn holder_gone(&mut self, holder: &InstanceId, now: Moment) {
        let numbers: Vec<GrantNumber> = self.grants.of(holder).map(|(number, _)| number).collect();
        for number in numbers {
            self.grant_ended(number, now);
        }
    }
}
