//! An exclusive lease for the whole deployment, for a duty that has at most one holder at a time.
//!
//! Targets that do not check fencing tokens carry out the order of any sender. A holder therefore
//! stops on its own before its lease can be taken, and the next holder waits until no order of the
//! previous one can still be in flight. See `docs/design/on-the-platform.md`.
//!
//! The platform may be restored from an older copy, which loses renewals and holders. A record
//! therefore counts only in the platform's era in which it was written, which follows from its
//! term. See `docs/design/store-restored.md`.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment, SpentRetries, StoreRevision};
use serde::{Deserialize, Serialize};

/// Configuration of a [`ExclusiveLeaseKeeper`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExclusiveLeaseConfig {
    /// How long a renewal is valid. A longer duration bridges longer outages of the platform, but
    /// leaves the deployment without a holder for longer after one fails.
    pub duration: Duration,
    /// The interval between renewals.
    pub renew_every: Duration,
    /// The delay before the next call after a failed one.
    pub retry_every: Duration,
    /// Subtracted by the holder from the duration, to allow for differences in clock rates and for
    /// the time between the last check of the lease and the moment when an order leaves the
    /// process. Connecting to the target may take longer; `handover_gap` covers that.
    pub margin: Duration,
    /// The pause between two holders in which neither acts, so that no order of the first is still
    /// in flight when the second sends its own.
    pub handover_gap: Duration,
    /// How long this instance waits, when the lease can be taken, for others to take it first.
    pub yield_delay: Duration,
    /// How long a holder that steps down waits before it releases the lease: the longest time for
    /// an order to leave the process.
    pub order_drain: Duration,
    /// How long a holder that has stepped down does not take the lease again.
    pub step_down_cooldown: Duration,
    /// Whether the whole deployment starts for the first time, so that a missing record means that
    /// the lease was never held.
    pub is_first_start: bool,
    /// How many retries of a service a holder may grant after each write of the record.
    pub retries_per_write: u32,
}

impl Default for ExclusiveLeaseConfig {
    fn default() -> Self {
        Self {
            duration: Duration::from_millis(4_500),
            renew_every: Duration::from_millis(900),
            retry_every: Duration::from_millis(250),
            margin: Duration::from_millis(200),
            handover_gap: Duration::from_millis(3_300),
            yield_delay: Duration::ZERO,
            order_drain: Duration::from_millis(600),
            step_down_cooldown: Duration::from_secs(60),
            is_first_start: true,
            retries_per_write: 0,
        }
    }
}

/// The record of the exclusive lease, as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExclusiveLeaseRecord {
    /// The instance that holds the lease; `None` if it was released.
    pub holder: Option<InstanceId>,
    /// Identifies the process of the holder among all starts of the instance.
    pub process: u64,
    /// The address on which the holder receives messages.
    pub address: SocketAddr,
    /// The fencing token of the holder's orders. It increases with each holder and with each era of
    /// the platform; a later era never reuses terms that were lost with the restore.
    pub term: u64,
    /// The number of renewals, by which observers see that the holder is alive.
    pub renewals: u64,
    /// The number of instances, as far as the holder knows; 0 if it is unknown. It outlives all
    /// instances, which need it before there is a holder again.
    #[serde(default)]
    pub instances: u32,
    /// The retries that the holders may have granted by the next write; `None` if that is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retries: Option<SpentRetries>,
}

/// A lease record with the version of the platform's object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedLeaseRecord {
    /// The record.
    pub record: ExclusiveLeaseRecord,
    /// The version of the object that contains it.
    pub version: StoreRevision,
}

/// The lease as its holder reports it to other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The holder's term.
    #[serde(rename = "t")]
    pub term: u64,
    /// The version of the record after the holder's last write.
    #[serde(rename = "v")]
    pub version: StoreRevision,
}

/// The outcome of a write of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseWriteOutcome {
    /// The write was carried out; the object now has this version.
    Done(StoreRevision),
    /// The object had a different version, and nothing was written.
    Conflict,
    /// Nothing was written.
    Failed,
    /// The write may have been carried out, or may still be if its condition holds.
    Unknown,
}

/// An input of a [`ExclusiveLeaseKeeper`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExclusiveLeaseEvent {
    /// The platform returned the record; `None` if the object does not exist.
    Seen(Option<VersionedLeaseRecord>),
    /// The platform answered in this era.
    Era(u64),
    /// A write has ended.
    Written(LeaseWriteOutcome),
    /// A read has failed.
    ReadFailed,
    /// Another call of this instance to the platform failed.
    PlatformLost,
    /// The holder reported the term and the version of the record. Instances that receive these
    /// reports need not read the record often, and know when it was last renewed if the holder
    /// stops responding.
    HolderReported(HeldLease),
    /// The instance shuts down: the lease is released and not taken again.
    Release,
    /// The holder cannot carry the duty, and other instances can: it releases the lease.
    StepDown,
    /// This instance can't carry the duty for now: it releases the lease if it holds it, and does
    /// not take it until `Resume`.
    Suspend,
    /// This instance can carry the duty again.
    Resume,
    /// Time has passed.
    Tick,
}

/// An output of a [`ExclusiveLeaseKeeper`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExclusiveLeaseAction {
    /// Write the record if the object still has this version; create the object if there is none.
    Write(ExclusiveLeaseRecord, Option<StoreRevision>),
    /// Read the record with a linearizable read.
    Read,
    /// This instance holds the lease from now on, under this term.
    Gained(u64),
    /// This instance no longer holds the lease.
    Lost,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum PendingCall {
    None,
    Writing {
        record: ExclusiveLeaseRecord,
        sent: Moment,
    },
    Reading,
}

/// Renews the exclusive lease if this instance holds it, and takes it over if its holder is gone.
#[derive(Clone, Debug)]
pub struct ExclusiveLeaseKeeper {
    cfg: ExclusiveLeaseConfig,
    me: InstanceId,
    process: u64,
    address: SocketAddr,
    /// Part of the wait before taking an expired lease, so that instances do not all write at once.
    stagger: Duration,
    /// The platform's era; `None` until the platform has answered.
    era: Option<u64>,
    /// When a restore of the platform was last detected.
    restored_at: Option<Moment>,
    seen: Option<VersionedLeaseRecord>,
    /// The highest term observed so far.
    highest_term: u64,
    /// The term under which orders are given while the lease is held.
    held_term: u64,
    /// The last known holder of the lease, with the address on which it receives messages.
    known_holder: Option<(InstanceId, SocketAddr)>,
    /// When the record was last observed to change, on this instance's clock.
    changed_at: Moment,
    has_read: bool,
    call: PendingCall,
    next_at: Moment,
    valid_until: Moment,
    holds: bool,
    leaving: bool,
    /// Whether this instance can't carry the duty for now.
    suspended: bool,
    /// Whether a call to the platform has failed since the last answer.
    platform_failing: bool,
    /// The earliest time to take the lease from another holder after an outage. By then larger
    /// instances have noticed that the platform is available again.
    may_take_from: Moment,
    /// When to release the lease after stepping down.
    release_at: Option<Moment>,
    /// Until when this instance does not take the lease again after stepping down.
    down_until: Moment,
    /// The number of instances, if this instance knows it itself.
    instances: Option<u32>,
    /// The retries that may have been granted by the write after the next one, while this instance holds the
    /// lease.
    retries: SpentRetries,
    /// The retries that earlier holders may have granted.
    inherited_retries: SpentRetries,
}

/// Returns the era of the platform in which a term was assigned.
pub const fn era_of_term(term: u64) -> u64 {
    term / TERMS_PER_ERA
}

impl ExclusiveLeaseKeeper {
    /// Creates a keeper that does not hold the lease. `stagger` should be between zero and some
    /// hundred milliseconds.
    pub fn new(
        cfg: ExclusiveLeaseConfig,
        me: InstanceId,
        process: u64,
        address: SocketAddr,
        stagger: Duration,
        now: Moment,
    ) -> Self {
        Self {
            cfg,
            me,
            process,
            address,
            stagger,
            era: None,
            restored_at: None,
            seen: None,
            highest_term: 0,
            held_term: 0,
            known_holder: None,
            changed_at: now,
            has_read: false,
            call: PendingCall::None,
            next_at: now,
            valid_until: Moment::ZERO,
            holds: false,
            leaving: false,
            suspended: false,
            platform_failing: false,
            may_take_from: Moment::ZERO,
            release_at: None,
            down_until: Moment::ZERO,
            instances: None,
            retries: SpentRetries::unknown(),
            inherited_retries: SpentRetries::unknown(),
        }
    }

    /// Returns the term under which orders may be given at `now`, if any.
    ///
    /// Call this right before each order is sent: the process may have been paused since
    /// [`ExclusiveLeaseAction::Gained`].
    pub fn may_order(&self, now: Moment) -> Option<u64> {
        (self.holds && now < self.valid_until).then_some(self.held_term)
    }

    /// Returns the term of the last known record.
    pub fn term(&self) -> Option<u64> {
        self.seen.as_ref().map(|it| it.record.term)
    }

    /// Returns what this instance reports to others about the lease while it holds it.
    pub fn held(&self) -> Option<HeldLease> {
        let seen = self.seen.as_ref().filter(|_| self.holds)?;
        let is_held = seen.record.term == self.held_term;
        is_held.then_some(HeldLease {
            term: seen.record.term,
            version: seen.version,
        })
    }

    /// Returns the last known holder of the lease and the address on which it receives messages.
    pub fn holder(&self) -> Option<(&InstanceId, SocketAddr)> {
        let (holder, address) = self.known_holder.as_ref()?;
        Some((holder, *address))
    }

    /// Returns the earliest time at which another instance can take the lease if its holder is
    /// gone.
    pub fn earliest_takeover(&self) -> Moment {
        self.takeable_at()
    }

    /// Returns when the next [`ExclusiveLeaseEvent::Tick`] is due; `None` while the keeper waits
    /// for a call or for its first read.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let idle = self.call == PendingCall::None;
        if let Some(release_at) = self.release_at {
            return idle.then_some(release_at);
        }
        match (self.holds, idle) {
            (true, true) => Some(self.next_at.min(self.valid_until)),
            (true, false) => Some(self.valid_until),
            (false, true) if self.has_read && !self.leaving && !self.suspended => {
                Some(self.next_at.max(self.next_attempt()).max(self.down_until))
            }
            (false, _) => None,
        }
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, event: ExclusiveLeaseEvent, now: Moment) -> Vec<ExclusiveLeaseAction> {
        let mut out = Vec::new();
        match event {
            ExclusiveLeaseEvent::Seen(seen) => {
                self.on_answered(now);
                self.on_seen(seen, now);
            }
            ExclusiveLeaseEvent::Era(era) => {
                self.observe_era(era, now);
            }
            ExclusiveLeaseEvent::Written(written) => self.on_written(written, now, &mut out),
            ExclusiveLeaseEvent::ReadFailed => {
                self.call = PendingCall::None;
                self.platform_failing = true;
                self.next_at = now + self.cfg.retry_every;
            }
            ExclusiveLeaseEvent::PlatformLost => self.platform_failing = true,
            ExclusiveLeaseEvent::StepDown => {
                if self.stop_holding(now, &mut out) {
                    self.down_until = now + self.cfg.step_down_cooldown;
                }
            }
            ExclusiveLeaseEvent::Suspend => {
                self.suspended = true;
                self.stop_holding(now, &mut out);
            }
            ExclusiveLeaseEvent::Resume => self.suspended = false,
            ExclusiveLeaseEvent::HolderReported(report) => self.on_holder_report(report, now),
            ExclusiveLeaseEvent::Release => self.on_release(&mut out),
            ExclusiveLeaseEvent::Tick => {}
        }
        self.expire(now, &mut out);
        self.release_if_due(now, &mut out);
        self.act(now, &mut out);
        out
    }

    /// Records that the platform answers.
    ///
    /// When the platform becomes available again, the lease has expired and every instance may
    /// write at once. The small instances are the most numerous, so without a delay one of them
    /// would usually be first and would carry the duty from then on.
    fn on_answered(&mut self, now: Moment) {
        if std::mem::replace(&mut self.platform_failing, false) {
            self.may_take_from = self.may_take_from.max(now + self.cfg.yield_delay);
        }
    }

    fn on_seen(&mut self, seen: Option<VersionedLeaseRecord>, now: Moment) {
        if self.call == PendingCall::Reading {
            self.call = PendingCall::None;
        }
        if let Some(seen) = &seen
            && !self.observe_era(seen.version.era, now)
        {
            return;
        }
        let first = !std::mem::replace(&mut self.has_read, true);
        let known = self.seen.as_ref().map(|it| it.version);
        let Some(seen) = seen else {
            if first {
                // A holder whose record a restore has lost may have acted until now.
                self.changed_at = now;
            }
            return;
        };
        if Some(seen.version) > known || first {
            self.changed_at = now;
            self.set_seen(seen);
        }
    }

    /// Updates the platform's era from an answer. Returns whether the answer is from the current
    /// era, and not from an earlier one.
    ///
    /// A new era invalidates everything observed of the record. A holder continues until its last
    /// renewal expires, because nobody can take the lease before then, and writes the record again
    /// in the meantime.
    fn observe_era(&mut self, era: u64, now: Moment) -> bool {
        let known = self.era;
        if known.is_some_and(|known| era <= known) {
            return known == Some(era);
        }
        self.era = Some(era);
        if known.is_some() {
            self.restored_at = Some(now);
            self.seen = None;
            self.has_read = false;
            self.changed_at = now;
            self.next_at = now;
        }
        true
    }

    fn set_seen(&mut self, seen: VersionedLeaseRecord) {
        let record = &seen.record;
        self.highest_term = self.highest_term.max(record.term);
        // A record from before a restore may name a holder that has been succeeded since.
        if self.known_holder.is_none() || !self.is_from_earlier_era(record) {
            let holder = record.holder.clone();
            self.known_holder = holder.map(|it| (it, record.address));
        }
        self.seen = Some(seen);
    }

    /// Returns whether a record is from an earlier era than the platform's. Such a record was
    /// restored with a copy, or was written by a late write of that era, and says nothing about the
    /// present holder.
    fn is_from_earlier_era(&self, record: &ExclusiveLeaseRecord) -> bool {
        era_of_term(record.term) < self.era.unwrap_or(0)
    }

    /// Handles a newer version of the known record, as reported by the holder.
    ///
    /// A report with a different term is ignored, because it does not describe the known record.
    /// Combining its version with the known term would lead to a new term that is not the highest.
    fn on_holder_report(&mut self, report: HeldLease, now: Moment) {
        if !self.observe_era(report.version.era, now) {
            return;
        }
        let known = self
            .seen
            .as_mut()
            .filter(|it| it.record.term == report.term);
        if let Some(known) = known.filter(|it| it.version < report.version) {
            known.version = report.version;
            self.changed_at = now;
        }
    }

    fn on_written(
        &mut self,
        written: LeaseWriteOutcome,
        now: Moment,
        out: &mut Vec<ExclusiveLeaseAction>,
    ) {
        let PendingCall::Writing { record, sent } =
            std::mem::replace(&mut self.call, PendingCall::None)
        else {
            return;
        };
        match written {
            LeaseWriteOutcome::Done(version) => {
                self.on_answered(now);
                if !self.observe_era(version.era, now) {
                    // The write was carried out before the restore, which discarded it.
                    return self.read(out);
                }
                let released = record.holder.is_none();
                let term = record.term;
                let is_from_earlier_era = self.is_from_earlier_era(&record);
                self.has_read = true;
                self.set_seen(VersionedLeaseRecord { record, version });
                self.changed_at = now;
                if is_from_earlier_era {
                    // The condition of the write was met by chance, by a revision number that the
                    // restored platform assigned again.
                    self.next_at = now;
                    return;
                }
                if self.leaving || released || self.release_at.is_some() {
                    return;
                }
                self.valid_until = sent + self.cfg.duration.saturating_sub(self.cfg.margin);
                self.next_at = sent + self.cfg.renew_every;
                self.held_term = term;
                self.gain(out);
            }
            LeaseWriteOutcome::Failed => {
                self.platform_failing = true;
                self.next_at = now + self.cfg.retry_every;
            }
            // The stored record decides: if the write took effect, the record is recognised as this
            // instance's own, and counts from its next renewal.
            LeaseWriteOutcome::Conflict | LeaseWriteOutcome::Unknown => {
                self.next_at = now + self.cfg.retry_every;
                self.read(out);
            }
        }
    }

    fn read(&mut self, out: &mut Vec<ExclusiveLeaseAction>) {
        self.call = PendingCall::Reading;
        out.push(ExclusiveLeaseAction::Read);
    }

    /// Stops acting as the holder, and returns whether this instance was it. The lease is released
    /// once no order can leave the process any more.
    fn stop_holding(&mut self, now: Moment, out: &mut Vec<ExclusiveLeaseAction>) -> bool {
        if !std::mem::replace(&mut self.holds, false) {
            return false;
        }
        self.valid_until = Moment::ZERO;
        self.release_at = Some(now + self.cfg.order_drain);
        out.push(ExclusiveLeaseAction::Lost);
        true
    }

    /// Releases the lease after this instance has stepped down.
    fn release_if_due(&mut self, now: Moment, out: &mut Vec<ExclusiveLeaseAction>) {
        if self.call != PendingCall::None || self.release_at.is_none_or(|at| now < at) {
            return;
        }
        self.release_at = None;
        let Some(seen) = self.seen.as_ref().filter(|seen| self.is_ours(&seen.record)) else {
            return;
        };
        let record = ExclusiveLeaseRecord {
            holder: None,
            ..seen.record.clone()
        };
        self.call = PendingCall::Writing {
            record: record.clone(),
            sent: now,
        };
        out.push(ExclusiveLeaseAction::Write(record, Some(seen.version)));
    }

    fn on_release(&mut self, out: &mut Vec<ExclusiveLeaseAction>) {
        self.leaving = true;
        self.valid_until = Moment::ZERO;
        if std::mem::replace(&mut self.holds, false) {
            out.push(ExclusiveLeaseAction::Lost);
        }
        let Some(seen) = self.seen.as_ref().filter(|seen| self.is_ours(&seen.record)) else {
            return;
        };
        let record = ExclusiveLeaseRecord {
            holder: None,
            ..seen.record.clone()
        };
        out.push(ExclusiveLeaseAction::Write(record, Some(seen.version)));
    }

    fn gain(&mut self, out: &mut Vec<ExclusiveLeaseAction>) {
        if !std::mem::replace(&mut self.holds, true) {
            out.push(ExclusiveLeaseAction::Gained(self.held_term));
        }
    }

    /// Stops holding the lease once it has expired or another instance holds it.
    fn expire(&mut self, now: Moment, out: &mut Vec<ExclusiveLeaseAction>) {
        let is_anothers = self
            .seen
            .as_ref()
            .is_some_and(|it| !self.is_ours(&it.record) && !self.is_from_earlier_era(&it.record));
        if self.holds && (now >= self.valid_until || is_anothers) {
            self.holds = false;
            self.valid_until = Moment::ZERO;
            out.push(ExclusiveLeaseAction::Lost);
        }
    }

    fn act(&mut self, now: Moment, out: &mut Vec<ExclusiveLeaseAction>) {
        if self.call != PendingCall::None || self.leaving || now < self.next_at {
            return;
        }
        if !self.has_read {
            if self.holds {
                self.read(out);
            }
            return;
        }
        if self.release_at.is_some() || now < self.down_until || self.suspended {
            return;
        }
        let Some((record, version)) = self.next_write(now) else {
            return;
        };
        let is_ours = self
            .seen
            .as_ref()
            .is_some_and(|it| self.is_ours(&it.record));
        if self.platform_failing && !is_ours && !self.cfg.yield_delay.is_zero() {
            return self.read(out);
        }
        if !self.holds {
            self.inherited_retries = self.recorded_retries();
        }
        let sent = now;
        self.call = PendingCall::Writing {
            record: record.clone(),
            sent,
        };
        out.push(ExclusiveLeaseAction::Write(record, version));
    }

    fn next_write(&self, now: Moment) -> Option<(ExclusiveLeaseRecord, Option<StoreRevision>)> {
        let version = self.seen.as_ref().map(|it| it.version);
        let ours = self.seen.as_ref().filter(|it| self.is_ours(&it.record));
        if let Some(seen) = ours {
            let renewals = seen.record.renewals + 1;
            return Some((self.record(seen.record.term, renewals), version));
        }
        // A holder whose record was restored to an older one, or is missing, writes it again:
        // nobody else can have taken the lease yet.
        let may_take = self.holds || now >= self.takeable_at().max(self.may_take_from);
        may_take.then(|| (self.record(self.next_term(), 0), version))
    }

    /// Returns a term above all that were assigned, including those lost with a restore.
    ///
    /// After a restore the term derives from the revision that is replaced, which rises with each
    /// holder: a late write from before the restore may have replaced the record of a holder that
    /// no other instance has seen.
    fn next_term(&self) -> u64 {
        let replaced = self.seen.as_ref().map_or(0, |it| it.version.number);
        let before = match self.era {
            Some(era) if era > 0 => era * TERMS_PER_ERA + replaced,
            Some(_) | None => 0,
        };
        self.highest_term.max(before) + 1
    }

    /// Returns when an instance that does not act as the holder may next write the record.
    fn next_attempt(&self) -> Moment {
        match &self.seen {
            Some(seen) if self.is_ours(&seen.record) => self.next_at,
            Some(_) | None => self.takeable_at().max(self.may_take_from),
        }
    }

    /// Sets the number of instances, which the record carries from the next write on.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = Some(instances);
    }

    /// Returns the number of instances as set here, or else as the record says; 0 if it is unknown.
    pub fn instances(&self) -> u32 {
        let recorded = self.seen.as_ref().map(|it| it.record.instances);
        self.instances.or(recorded).unwrap_or(0)
    }

    /// Sets the retries that may have been granted by the write after the next one. The record carries them
    /// while this instance holds the lease.
    pub fn set_retries(&mut self, retries: SpentRetries) {
        self.retries = retries;
    }

    /// Returns the retries that earlier holders may have granted, as known when this instance took the
    /// lease.
    pub const fn inherited_retries(&self) -> &SpentRetries {
        &self.inherited_retries
    }

    /// Returns the retries that the holders of the known record may have granted.
    fn recorded_retries(&self) -> SpentRetries {
        let recorded = match &self.seen {
            Some(seen) if self.is_from_earlier_era(&seen.record) => None,
            Some(seen) => seen.record.retries.clone(),
            None if self.restored_at.is_some() || !self.cfg.is_first_start => None,
            None => Some(SpentRetries::default()),
        };
        recorded.unwrap_or_else(SpentRetries::unknown)
    }

    /// Returns when a lease held by another instance may be taken.
    fn takeable_at(&self) -> Moment {
        // A holder whose record a restore has lost may still act, whatever the present record says.
        let after_any_holder =
            self.changed_at + self.cfg.duration + self.cfg.handover_gap + self.delay();
        let Some(seen) = &self.seen else {
            if self.restored_at.is_some() || !self.cfg.is_first_start {
                return after_any_holder;
            }
            return self.changed_at + self.cfg.yield_delay;
        };
        match &seen.record.holder {
            _ if self.is_from_earlier_era(&seen.record) => after_any_holder,
            None => self.changed_at + self.cfg.handover_gap + self.delay(),
            // The record is from the previous process of this instance. That process is gone, and
            // its orders were those of the same holder.
            Some(holder) if *holder == self.me && seen.record.address == self.address => {
                self.changed_at
            }
            Some(_) => after_any_holder,
        }
    }

    fn delay(&self) -> Duration {
        self.cfg.yield_delay + self.stagger
    }

    fn is_ours(&self, record: &ExclusiveLeaseRecord) -> bool {
        record.holder.as_ref() == Some(&self.me)
            && record.process == self.process
            && !self.is_from_earlier_era(record)
    }

    fn record(&self, term: u64, renewals: u64) -> ExclusiveLeaseRecord {
        ExclusiveLeaseRecord {
            holder: Some(self.me.clone()),
            process: self.process,
            address: self.address,
            term,
            renewals,
            instances: self.instances(),
            retries: Some(if self.holds {
                self.retries.clone()
            } else {
                self.recorded_retries()
                    .with_more(self.cfg.retries_per_write)
            }),
        }
    }
}

/// The number of terms per era of the platform: more than the revisions of one era, and few enough
/// that the terms of several thousand eras remain exact in every JSON library.
const TERMS_PER_ERA: u64 = 1 << 40;
