//! Watches the leases of other runs and marks expired ones as lapsed.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_model::Moment;

use super::record::{LeaseRecord, LeaseState};
use crate::bugs::{Bug, Bugs};
use crate::hashing::{jittered, text_hash};
use crate::holder::Holder;
use crate::platform::{
    CallId, CallPurpose, Calls, Object, ObjectName, ObjectVersion, PlatformCall, PlatformOp,
    PlatformResult, StoredObject,
};

/// Configuration of a [`LeaseObserver`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ObserverConfig {
    /// The interval between reads of a watched lease.
    pub read_every: Duration,
    /// How long a lease must stay unchanged before it counts as expired: the full lease duration,
    /// without the margin that the holder subtracts.
    pub unchanged_for: Duration,
    /// The longest interval between two reads that still counts as continuous observation.
    ///
    /// After a longer interval, such as an outage of the platform, the full time starts again, so
    /// that the holder has as much opportunity to renew as the observer has to read.
    pub longest_gap: Duration,
}

impl Default for ObserverConfig {
    fn default() -> Self {
        Self {
            read_every: Duration::from_secs(5),
            unchanged_for: Duration::from_secs(15),
            longest_gap: Duration::from_secs(12),
        }
    }
}

/// An input of a [`LeaseObserver`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ObserverEvent {
    /// Starts to watch this lease. It must have been created before: a lease that is not found
    /// counts as ended.
    Watch(Holder),
    /// Stops watching this lease.
    Unwatch(Holder),
    /// Allows the expired lease to be marked lapsed: its holder cannot have had it extended by the
    /// electors.
    Mark(Holder),
    /// Deletes the object of an ended lease that is no longer needed.
    Discard(Holder),
    /// A call to the platform has ended.
    Reply(CallId, PlatformResult),
    /// Time has passed.
    Tick,
}

/// An output of a [`LeaseObserver`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ObserverAction {
    /// Call the platform.
    Call(PlatformCall),
    /// The lease has changed since the previous read, so its holder is alive.
    ///
    /// The first read does not produce this action, because a first read is no evidence that the
    /// holder is alive. If it counted as such, the watch of a crashed instance would end at once
    /// and its lease would never be marked.
    Renewed(Box<LeaseRecord>),
    /// The lease has stayed unchanged for its full duration. The observer waits for
    /// [`ObserverEvent::Mark`] before marking it lapsed, and repeats this action while that is the
    /// case.
    Expired(Holder),
    /// The lease is lapsed, left or deleted: its holder can never renew it again. The flag is true
    /// if this observer marked it.
    Ended(Holder, bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum WatchCall {
    Idle,
    Reading(CallId),
    Marking(CallId),
    Deleting(CallId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WatchedLease {
    in_flight: WatchCall,
    next_at: Moment,
    last_read: Option<Moment>,
    unchanged_since: Moment,
    seen: Option<(LeaseRecord, ObjectVersion)>,
    ended: bool,
    reads: u64,
}

/// Watches leases and marks expired ones as lapsed.
///
/// A lease has expired when it was seen unchanged for its full duration by the observer's own
/// clock, counted from the answer that first showed it in that version. The mark is a conditional
/// update, so a paused holder cannot renew the lease later: its update then names an outdated
/// version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseObserver {
    cfg: ObserverConfig,
    calls: Calls,
    watched: BTreeMap<Holder, WatchedLease>,
    bugs: Bugs,
}

impl LeaseObserver {
    /// Creates an observer that watches no leases.
    pub const fn new(cfg: ObserverConfig) -> Self {
        Self::with_machine(cfg, 0)
    }

    /// Works like [`Self::new`], and tags the call ids with the number of the state machine.
    pub(crate) const fn with_machine(cfg: ObserverConfig, machine: u32) -> Self {
        Self {
            cfg,
            calls: Calls::new(machine, CallPurpose::Membership),
            watched: BTreeMap::new(),
            bugs: Bugs::NONE,
        }
    }

    /// Seeds a bug.
    #[cfg(test)]
    pub(crate) fn seed(&mut self, bugs: Bugs) {
        self.bugs = bugs;
    }

    /// Returns the holders of the watched leases.
    pub fn watched(&self) -> impl Iterator<Item = &Holder> {
        self.watched.keys()
    }

    /// Returns the content of the lease of `holder` at its last read.
    pub fn seen(&self, holder: &Holder) -> Option<&LeaseRecord> {
        let (record, _) = self.watched.get(holder)?.seen.as_ref()?;
        Some(record)
    }

    /// Returns whether the lease of `holder` is watched.
    pub fn is_watching(&self, holder: &Holder) -> bool {
        self.watched.contains_key(holder)
    }

    /// Returns when the next [`ObserverEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let idle = self
            .watched
            .values()
            .filter(|watched| watched.in_flight == WatchCall::Idle && !watched.ended);
        idle.map(|watched| watched.next_at).min()
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, event: ObserverEvent, now: Moment) -> Vec<ObserverAction> {
        let mut actions = Vec::new();
        match event {
            ObserverEvent::Watch(holder) => {
                self.watched.entry(holder).or_insert(WatchedLease {
                    in_flight: WatchCall::Idle,
                    next_at: now,
                    last_read: None,
                    unchanged_since: now,
                    seen: None,
                    ended: false,
                    reads: 0,
                });
            }
            ObserverEvent::Unwatch(holder) => {
                self.watched.remove(&holder);
            }
            ObserverEvent::Mark(holder) => self.mark(&holder, now, &mut actions),
            ObserverEvent::Discard(holder) => self.discard(&holder, &mut actions),
            ObserverEvent::Reply(call, result) => self.on_reply(call, result, now, &mut actions),
            ObserverEvent::Tick => {}
        }
        self.read_due(now, &mut actions);
        actions
    }

    fn read_due(&mut self, now: Moment, actions: &mut Vec<ObserverAction>) {
        for (holder, watched) in &mut self.watched {
            if watched.ended || watched.in_flight != WatchCall::Idle || now < watched.next_at {
                continue;
            }
            let name = ObjectName::Lease(holder.clone());
            let call = self.calls.call(PlatformOp::Read(name));
            watched.in_flight = WatchCall::Reading(call.id);
            watched.reads += 1;
            actions.push(ObserverAction::Call(call));
        }
    }

    fn mark(&mut self, holder: &Holder, now: Moment, actions: &mut Vec<ObserverAction>) {
        let unchanged_for = self.unchanged_for();
        let Some(watched) = self.watched.get_mut(holder) else {
            return;
        };
        let expired = now >= watched.unchanged_since + unchanged_for;
        if watched.ended || !expired || watched.in_flight != WatchCall::Idle {
            return;
        }
        let Some((record, version)) = &watched.seen else {
            return;
        };
        if self.bugs.has(Bug::LapseNotMarked) {
            watched.ended = true;
            actions.push(ObserverAction::Ended(holder.clone(), true));
            return;
        }
        let mut lapsed = record.clone();
        lapsed.state = LeaseState::Lapsed;
        let op = PlatformOp::Update(Object::Lease(Box::new(lapsed)), version.clone());
        let call = self.calls.call(op);
        watched.in_flight = WatchCall::Marking(call.id);
        actions.push(ObserverAction::Call(call));
    }

    fn discard(&mut self, holder: &Holder, actions: &mut Vec<ObserverAction>) {
        let Some(watched) = self.watched.get_mut(holder) else {
            return;
        };
        let Some((_, version)) = watched.seen.as_ref().filter(|_| watched.ended) else {
            self.watched.remove(holder);
            return;
        };
        let op = PlatformOp::Delete(ObjectName::Lease(holder.clone()), Some(version.clone()));
        let call = self.calls.call(op);
        watched.in_flight = WatchCall::Deleting(call.id);
        actions.push(ObserverAction::Call(call));
    }

    fn on_reply(
        &mut self,
        call: CallId,
        result: PlatformResult,
        now: Moment,
        actions: &mut Vec<ObserverAction>,
    ) {
        let found = self.watched.iter().find_map(|(holder, watched)| {
            let expected = match watched.in_flight {
                WatchCall::Idle => return None,
                WatchCall::Reading(id) | WatchCall::Marking(id) | WatchCall::Deleting(id) => id,
            };
            (expected == call).then(|| holder.clone())
        });
        let Some(holder) = found else {
            return;
        };
        let Some(watched) = self.watched.get_mut(&holder) else {
            return;
        };
        let in_flight = std::mem::replace(&mut watched.in_flight, WatchCall::Idle);
        match in_flight {
            WatchCall::Idle => {}
            WatchCall::Reading(_) => self.on_read(&holder, result, now, actions),
            WatchCall::Marking(_) => self.on_marked(&holder, &result, now, actions),
            WatchCall::Deleting(_) => {
                self.watched.remove(&holder);
            }
        }
    }

    fn on_read(
        &mut self,
        holder: &Holder,
        result: PlatformResult,
        now: Moment,
        actions: &mut Vec<ObserverAction>,
    ) {
        let read_every = self.cfg.read_every;
        let longest_gap = self.cfg.longest_gap;
        let unchanged_for = self.unchanged_for();
        let Some(watched) = self.watched.get_mut(holder) else {
            return;
        };
        watched.next_at = now + jittered(read_every, text_hash(&holder.to_string()), watched.reads);
        match result {
            PlatformResult::Found(StoredObject {
                object: Object::Lease(record),
                version,
            }) => {
                let gap = watched.last_read.map(|last| now.since(last));
                let changed = watched
                    .seen
                    .as_ref()
                    .is_none_or(|(_, seen)| *seen != version);
                watched.last_read = Some(now);
                if changed || gap.is_none_or(|gap| gap > longest_gap) {
                    watched.unchanged_since = now;
                }
                let is_live = record.state.is_live();
                if changed {
                    let before = watched.seen.replace(((*record).clone(), version));
                    if before.is_some() {
                        actions.push(ObserverAction::Renewed(record));
                    }
                }
                if !is_live {
                    watched.ended = true;
                    actions.push(ObserverAction::Ended(holder.clone(), false));
                } else if now >= watched.unchanged_since + unchanged_for {
                    actions.push(ObserverAction::Expired(holder.clone()));
                } else {
                    watched.next_at = watched.next_at.min(watched.unchanged_since + unchanged_for);
                }
            }
            PlatformResult::NotFound => {
                watched.ended = true;
                actions.push(ObserverAction::Ended(holder.clone(), false));
            }
            PlatformResult::Found(_)
            | PlatformResult::Listed(_)
            | PlatformResult::Written(_)
            | PlatformResult::Conflict
            | PlatformResult::AlreadyExists
            | PlatformResult::Unavailable
            | PlatformResult::Unknown => {}
        }
    }

    fn on_marked(
        &mut self,
        holder: &Holder,
        result: &PlatformResult,
        now: Moment,
        actions: &mut Vec<ObserverAction>,
    ) {
        let Some(watched) = self.watched.get_mut(holder) else {
            return;
        };
        if let PlatformResult::Written(version) = result {
            if let Some((record, seen)) = &mut watched.seen {
                record.state = LeaseState::Lapsed;
                *seen = version.clone();
            }
            watched.ended = true;
            actions.push(ObserverAction::Ended(holder.clone(), true));
            return;
        }
        // The next read shows whether the lease was marked, renewed or neither.
        watched.next_at = now;
    }

    fn unchanged_for(&self) -> Duration {
        if self.bugs.has(Bug::TakeoverDoesNotWait) {
            Duration::ZERO
        } else {
            self.cfg.unchanged_for
        }
    }
}
