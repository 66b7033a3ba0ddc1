//! Watches the leases of others and marks those that have run out.

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

/// How leases are watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ObserverConfig {
    /// How often a watched lease is read.
    pub read_every: Duration,
    /// How long a lease has to stay unchanged before it counts as expired: the duration that its
    /// holder counts on, without the holder's margin.
    pub unchanged_for: Duration,
    /// The longest time between two reads that still counts as having watched all along.
    ///
    /// After an outage of the platform the holder gets the same chance to renew as the observer
    /// got to read.
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

/// What an observer has to react to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ObserverEvent {
    /// Watch this lease from now on. It has been created: one that is not found has ended.
    Watch(Holder),
    /// Watch it no longer.
    Unwatch(Holder),
    /// The expired lease may be marked: its holder can't have got it extended by the electors.
    Mark(Holder),
    /// Nobody needs the ended lease any more; its object is deleted.
    Discard(Holder),
    /// A call to the platform has ended.
    Reply(CallId, PlatformResult),
    /// Time has passed.
    Tick,
}

/// What an observer wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ObserverAction {
    /// Call the platform.
    Call(PlatformCall),
    /// The lease has changed since it was read before: its holder is alive.
    ///
    /// The first read says nothing of that. Taken for a sign of life, it would end the watch of a
    /// crashed instance at once, and its lease would never be marked.
    Renewed(Box<LeaseRecord>),
    /// The lease was seen unchanged for its full time; the observer waits for
    /// [`ObserverEvent::Mark`] to mark it lapsed. Told again as long as it stays so.
    Expired(Holder),
    /// The lease is lapsed, left or deleted: its holder can never renew it again. Told with
    /// whether this observer was the one to mark it.
    Ended(Holder, bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Doing {
    Nothing,
    Reading(CallId),
    Marking(CallId),
    Deleting(CallId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Watched {
    doing: Doing,
    next_at: Moment,
    last_read: Option<Moment>,
    unchanged_since: Moment,
    seen: Option<(LeaseRecord, ObjectVersion)>,
    ended: bool,
    reads: u64,
}

/// Watches leases and marks those that have run out.
///
/// A lease has run out when it was seen unchanged for its full time on the observer's own clock,
/// counted from the answer that showed it first. Marking it by a conditional update makes sure
/// that a paused holder can't renew it later: its update then names an old version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseObserver {
    cfg: ObserverConfig,
    calls: Calls,
    watched: BTreeMap<Holder, Watched>,
    bugs: Bugs,
}

impl LeaseObserver {
    /// Starts to watch nothing.
    pub const fn new(cfg: ObserverConfig) -> Self {
        Self::with_machine(cfg, 0)
    }

    /// Does as [`Self::new`] and numbers the calls as those of `machine`.
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

    /// Returns the leases that are watched.
    pub fn watched(&self) -> impl Iterator<Item = &Holder> {
        self.watched.keys()
    }

    /// Returns what the lease of `holder` said when it was last read.
    pub fn seen(&self, holder: &Holder) -> Option<&LeaseRecord> {
        let (record, _) = self.watched.get(holder)?.seen.as_ref()?;
        Some(record)
    }

    /// Returns whether the lease of `holder` is watched.
    pub fn is_watching(&self, holder: &Holder) -> bool {
        self.watched.contains_key(holder)
    }

    /// Returns when [`ObserverEvent::Tick`] is next wanted.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let idle = self
            .watched
            .values()
            .filter(|watched| watched.doing == Doing::Nothing && !watched.ended);
        idle.map(|watched| watched.next_at).min()
    }

    /// Takes one event and says what is to be done.
    pub fn handle(&mut self, event: ObserverEvent, now: Moment) -> Vec<ObserverAction> {
        let mut actions = Vec::new();
        match event {
            ObserverEvent::Watch(holder) => {
                self.watched.entry(holder).or_insert(Watched {
                    doing: Doing::Nothing,
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
            if watched.ended || watched.doing != Doing::Nothing || now < watched.next_at {
                continue;
            }
            let name = ObjectName::Lease(holder.clone());
            let call = self.calls.call(PlatformOp::Read(name));
            watched.doing = Doing::Reading(call.id);
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
        if watched.ended || !expired || watched.doing != Doing::Nothing {
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
        watched.doing = Doing::Marking(call.id);
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
        watched.doing = Doing::Deleting(call.id);
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
            let expected = match watched.doing {
                Doing::Nothing => return None,
                Doing::Reading(id) | Doing::Marking(id) | Doing::Deleting(id) => id,
            };
            (expected == call).then(|| holder.clone())
        });
        let Some(holder) = found else {
            return;
        };
        let Some(watched) = self.watched.get_mut(&holder) else {
            return;
        };
        let doing = std::mem::replace(&mut watched.doing, Doing::Nothing);
        match doing {
            Doing::Nothing => {}
            Doing::Reading(_) => self.on_read(&holder, result, now, actions),
            Doing::Marking(_) => self.on_marked(&holder, &result, now, actions),
            Doing::Deleting(_) => {
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
        // Whatever else happened, the next read shows whether it is marked, renewed or neither.
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
