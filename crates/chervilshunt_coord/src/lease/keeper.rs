//! Renews the lease of this run.

use std::time::Duration;

use chervilshunt_model::Moment;

use super::record::{LeaseRecord, LeaseState};
use crate::bugs::{Bug, Bugs};
use crate::hashing::jittered;
use crate::platform::{
    CallId, CallPurpose, Calls, Object, ObjectName, ObjectVersion, PlatformCall, PlatformOp,
    PlatformResult, StoredObject,
};

/// Configuration of a [`LeaseKeeper`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// How long a renewal is valid.
    pub duration: Duration,
    /// The interval between renewals.
    pub renew_every: Duration,
    /// The delay before a failed call is retried. Jitter adds up to half of it.
    pub retry_every: Duration,
    /// Subtracted from the duration to allow for differences in clock rates and for the time
    /// between the last check of the lease and the moment when an order leaves the process.
    pub margin: Duration,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(15),
            renew_every: Duration::from_secs(5),
            retry_every: Duration::from_secs(1),
            margin: Duration::from_secs(1),
        }
    }
}

/// An input of a [`LeaseKeeper`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    /// A call to the platform has ended.
    Reply(CallId, PlatformResult),
    /// Changes the state in the lease. The lease is renewed at once to publish it.
    SetState(LeaseState),
    /// Changes the electorate named in the lease, starting with the next renewal.
    SetElectorate {
        /// The version of the electorate.
        version: u64,
        /// Whether to renew at once, repeatedly until the lease names only this electorate.
        at_once: bool,
    },
    /// Acknowledges the change that was written into the head at this generation. The lease is
    /// renewed at once to publish it.
    Acknowledge(u64),
    /// Time has passed.
    Tick,
}

/// An output of a [`LeaseKeeper`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseAction {
    /// Call the platform.
    Call(PlatformCall),
    /// The Lease object exists: any later list of the leases includes it.
    Created,
    /// The lease was renewed and the platform now stores this state.
    Renewed(LeaseState),
    /// The lease was marked lapsed or its object is gone: everything held under it is lost.
    Lost,
}

/// A renewal that was sent and may have been carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentRenewal {
    renewals: u64,
    at: Moment,
    state: LeaseState,
    electorate: u64,
    electorate_before: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum InFlight {
    Write { call: CallId, sent: SentRenewal },
    Read { call: CallId },
}

/// Renews the lease of this run and tracks until when it is valid.
///
/// Validity counts from before a renewal was sent. The platform may carry out the renewal at once
/// and answer late, while observers count from when they see the renewal, which is later than it
/// was sent. If validity counted from the answer, the holder could still rely on its lease after
/// observers have ended it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseKeeper {
    cfg: LeaseConfig,
    record: LeaseRecord,
    calls: Calls,
    version: Option<ObjectVersion>,
    in_flight: Option<InFlight>,
    /// Renewals whose outcome is unknown. Each may still take effect.
    unsettled: Vec<SentRenewal>,
    must_read: bool,
    next_at: Moment,
    valid_until: Moment,
    confirmed_electorate: u64,
    /// Whether to renew without waiting until the lease names a single electorate.
    electorate_urgent: bool,
    written_state: Option<LeaseState>,
    written_acknowledged: Option<u64>,
    lost: bool,
    bugs: Bugs,
}

impl LeaseKeeper {
    /// Creates a keeper for the lease that `record` describes. The first tick creates the object.
    pub fn new(cfg: LeaseConfig, record: LeaseRecord, now: Moment) -> Self {
        Self::with_machine(cfg, record, 0, now)
    }

    /// Works like [`Self::new`], and tags the call ids with the number of the state machine.
    pub(crate) fn with_machine(
        cfg: LeaseConfig,
        record: LeaseRecord,
        machine: u32,
        now: Moment,
    ) -> Self {
        Self {
            cfg,
            confirmed_electorate: record.electorate,
            record,
            calls: Calls::new(machine, CallPurpose::Lease),
            version: None,
            in_flight: None,
            unsettled: Vec::new(),
            electorate_urgent: false,
            must_read: false,
            next_at: now,
            valid_until: Moment::ZERO,
            written_state: None,
            written_acknowledged: None,
            lost: false,
            bugs: Bugs::default(),
        }
    }

    /// Seeds a bug.
    #[cfg(test)]
    pub(crate) fn seed(&mut self, bugs: Bugs) {
        self.bugs = bugs;
    }

    /// Returns until when the lease is valid; a time in the past if it is not.
    pub fn valid_until(&self) -> Moment {
        if self.lost {
            return Moment::ZERO;
        }
        self.valid_until
    }

    /// Returns whether the lease is valid at `now`.
    pub fn is_valid(&self, now: Moment) -> bool {
        now < self.valid_until()
    }

    /// Returns the content of the lease, including changes that the next renewal will write.
    pub const fn record(&self) -> &LeaseRecord {
        &self.record
    }

    /// Returns the electorate named by the last renewal known to have been carried out.
    pub const fn confirmed_electorate(&self) -> u64 {
        self.confirmed_electorate
    }

    /// Returns when the next [`LeaseEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Moment> {
        (self.in_flight.is_none() && !self.lost && !self.has_left()).then_some(self.next_at)
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, event: LeaseEvent, now: Moment) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        match event {
            LeaseEvent::Reply(call, result) => self.on_reply(call, result, now, &mut actions),
            LeaseEvent::SetState(state) => {
                self.record.state = state;
                self.renew_now(now);
            }
            LeaseEvent::SetElectorate { version, at_once } => {
                self.record.electorate = version;
                if at_once {
                    self.electorate_urgent = true;
                    self.renew_now(now);
                }
            }
            LeaseEvent::Acknowledge(generation) => {
                self.record.acknowledged = Some(generation);
                self.renew_now(now);
            }
            LeaseEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    fn has_left(&self) -> bool {
        self.written_state == Some(LeaseState::Left)
    }

    fn renew_now(&mut self, now: Moment) {
        self.next_at = self.next_at.min(now);
    }

    /// Starts the next call if it is due and no other is in flight.
    fn advance(&mut self, now: Moment, actions: &mut Vec<LeaseAction>) {
        if self.lost || self.has_left() || self.in_flight.is_some() || now < self.next_at {
            return;
        }
        let call = if self.must_read {
            let name = ObjectName::Lease(self.record.holder.clone());
            let call = self.calls.call(PlatformOp::Read(name));
            self.in_flight = Some(InFlight::Read { call: call.id });
            call
        } else {
            self.renewal(now)
        };
        actions.push(LeaseAction::Call(call));
    }

    fn renewal(&mut self, now: Moment) -> PlatformCall {
        self.record.renewals += 1;
        self.record.electorate_before = self.confirmed_electorate;
        let object = Object::Lease(Box::new(self.record.clone()));
        let op = match &self.version {
            Some(version) => PlatformOp::Update(object, version.clone()),
            None => PlatformOp::Create(object),
        };
        let call = self.calls.call(op);
        let sent = SentRenewal {
            renewals: self.record.renewals,
            at: now,
            state: self.record.state,
            electorate: self.record.electorate,
            electorate_before: self.record.electorate_before,
        };
        self.in_flight = Some(InFlight::Write {
            call: call.id,
            sent,
        });
        call
    }

    fn on_reply(
        &mut self,
        call: CallId,
        result: PlatformResult,
        now: Moment,
        actions: &mut Vec<LeaseAction>,
    ) {
        match self.in_flight {
            Some(InFlight::Write {
                call: expected,
                sent,
            }) if expected == call => {
                self.in_flight = None;
                self.on_written(sent, result, now, actions);
            }
            Some(InFlight::Read { call: expected }) if expected == call => {
                self.in_flight = None;
                self.on_read(result, now, actions);
            }
            Some(InFlight::Write { .. } | InFlight::Read { .. }) | None => {}
        }
    }

    fn on_written(
        &mut self,
        sent: SentRenewal,
        result: PlatformResult,
        now: Moment,
        actions: &mut Vec<LeaseAction>,
    ) {
        match result {
            PlatformResult::Written(version) => {
                self.unsettled.clear();
                self.confirm(sent, version, now, actions);
            }
            PlatformResult::Conflict | PlatformResult::AlreadyExists | PlatformResult::NotFound => {
                self.must_read = true;
                self.next_at = now;
            }
            PlatformResult::Unavailable => self.retry_later(now),
            PlatformResult::Unknown | PlatformResult::Found(_) | PlatformResult::Listed(_) => {
                self.unsettled.push(sent);
                self.must_read = true;
                self.retry_later(now);
            }
        }
    }

    fn on_read(&mut self, result: PlatformResult, now: Moment, actions: &mut Vec<LeaseAction>) {
        match result {
            PlatformResult::Found(StoredObject {
                object: Object::Lease(record),
                version,
            }) => {
                self.must_read = false;
                self.on_found(&record, version, now, actions);
            }
            PlatformResult::NotFound if self.version.is_none() => {
                self.must_read = false;
                self.next_at = now;
            }
            PlatformResult::NotFound => self.lose(actions),
            PlatformResult::Found(_)
            | PlatformResult::Listed(_)
            | PlatformResult::Written(_)
            | PlatformResult::Conflict
            | PlatformResult::AlreadyExists
            | PlatformResult::Unavailable
            | PlatformResult::Unknown => self.retry_later(now),
        }
    }

    fn on_found(
        &mut self,
        record: &LeaseRecord,
        version: ObjectVersion,
        now: Moment,
        actions: &mut Vec<LeaseAction>,
    ) {
        if record.state == LeaseState::Lapsed {
            self.lose(actions);
            return;
        }
        let sent = self
            .unsettled
            .iter()
            .find(|sent| sent.renewals == record.renewals)
            .copied();
        match sent {
            Some(sent) => self.confirm(sent, version, now, actions),
            None => self.version = Some(version),
        }
        self.next_at = now;
    }

    /// Records that a renewal was carried out.
    fn confirm(
        &mut self,
        sent: SentRenewal,
        version: ObjectVersion,
        now: Moment,
        actions: &mut Vec<LeaseAction>,
    ) {
        if self.version.replace(version).is_none() {
            actions.push(LeaseAction::Created);
        }
        let counted_from = if self.bugs.has(Bug::LeaseFromReply) {
            now
        } else {
            sent.at
        };
        let until = counted_from + self.cfg.duration.saturating_sub(self.cfg.margin);
        self.valid_until = self.valid_until.max(until);
        self.confirmed_electorate = sent.electorate;
        self.written_state = Some(sent.state);
        if sent.renewals == self.record.renewals {
            self.written_acknowledged = self.record.acknowledged;
        }
        actions.push(LeaseAction::Renewed(sent.state));
        let names_one = sent.electorate == self.record.electorate
            && sent.electorate_before == self.record.electorate;
        self.electorate_urgent &= !names_one;
        let is_up_to_date = !self.electorate_urgent
            && self.written_state == Some(self.record.state)
            && self.written_acknowledged == self.record.acknowledged;
        self.next_at = if is_up_to_date {
            sent.at + self.cfg.renew_every
        } else {
            now
        };
    }

    fn retry_later(&mut self, now: Moment) {
        let seed = self.record.holder.incarnation.get();
        self.next_at = now + jittered(self.cfg.retry_every, seed, self.record.renewals);
    }

    fn lose(&mut self, actions: &mut Vec<LeaseAction>) {
        self.lost = true;
        actions.push(LeaseAction::Lost);
    }
}
