//! One lease for the whole deployment, for a duty that has exactly one holder at a time.
//!
//! Targets that don't check fencing tokens carry out the order of whoever gives it. So a holder
//! stops by itself before its lease can be taken, and a taker waits until nothing of the holder
//! before it can still be on its way. See `docs/design/on-the-platform.md`.
//!
//! The platform may be restored from an older copy, which forgets renewals and holders. So a record counts
//! only in the era in which it was written, which its term tells. See `docs/design/store-restored.md`.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment, StoreRevision};
use serde::{Deserialize, Serialize};

/// How the sole lease is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoleConfig {
    /// How long a renewal counts. A longer one bridges more of an outage of the platform, and leaves the
    /// deployment without a holder for longer after one is lost.
    pub duration: Duration,
    /// How often the holder renews it.
    pub renew_every: Duration,
    /// How long after a failed call the next one follows.
    pub retry_every: Duration,
    /// What the holder takes off the duration, for clocks that run at different speeds and for the
    /// time between its last look at the lease and the order leaving the process.
    pub margin: Duration,
    /// How long nobody acts between two holders, so that no order of the one is on its way when
    /// the other gives its first.
    pub rest: Duration,
    /// How long this instance leaves a lease that can be taken to others.
    pub yields_for: Duration,
    /// How long after its last order a holder that steps down gives the lease up: as long as an order
    /// can take to leave the process.
    pub last_orders: Duration,
    /// How long a holder that has stepped down does not take the lease again.
    pub stays_down: Duration,
    /// Whether the whole deployment starts for the first time, so that a lease that isn't there has never
    /// been held.
    pub is_first_start: bool,
}

impl Default for SoleConfig {
    fn default() -> Self {
        Self {
            duration: Duration::from_millis(4_500),
            renew_every: Duration::from_millis(900),
            retry_every: Duration::from_millis(250),
            margin: Duration::from_millis(200),
            rest: Duration::from_millis(3_300),
            yields_for: Duration::ZERO,
            last_orders: Duration::from_millis(600),
            stays_down: Duration::from_secs(60),
            is_first_start: true,
        }
    }
}

/// Who holds the lease, as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoleRecord {
    /// The instance that holds it; none if it was given up.
    pub holder: Option<InstanceId>,
    /// The process of that instance, unlike that of any other start of it.
    pub process: u64,
    /// Where the holder takes messages.
    pub address: SocketAddr,
    /// The fencing token of the holder's orders; it rises with each holder, and with each era of the
    /// platform, in whose later ones terms of the seconds that were lost are not given again.
    pub term: u64,
    /// How often it has been renewed; observers see by it that the holder lives.
    pub renewals: u64,
}

/// The record at one version of the platform's object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenRecord {
    /// The record.
    pub record: SoleRecord,
    /// The version of the object that holds it.
    pub version: StoreRevision,
}

/// What the holder tells of its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The holder's term.
    #[serde(rename = "t")]
    pub term: u64,
    /// The version of the record, as the holder last wrote it.
    #[serde(rename = "v")]
    pub version: StoreRevision,
}

/// How a write of the record ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SoleWritten {
    /// It was carried out; this is the object's version now.
    Done(StoreRevision),
    /// The object had another version, and nothing was written.
    Conflict,
    /// Nothing was written.
    Failed,
    /// It may have been carried out, or may be carried out later if its condition still holds.
    Unknown,
}

/// What a keeper has to react to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SoleEvent {
    /// The platform shows the record; none if there is no object yet.
    Seen(Option<SeenRecord>),
    /// The platform has answered in an era.
    Era(u64),
    /// A write has ended.
    Written(SoleWritten),
    /// A read has failed.
    ReadFailed,
    /// Another call of this instance to the platform has failed.
    PlatformLost,
    /// The holder has told the term and the version of the record. Whoever hears that need not look
    /// at the record all the time, and knows how long ago it was renewed when the holder falls silent.
    HolderTold(HeldLease),
    /// The instance stops: the lease is given up, and not taken again.
    Release,
    /// The holder can't carry the duty, and others can: the lease is given up.
    StepDown,
    /// Time has passed.
    Tick,
}

/// What a keeper wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SoleAction {
    /// Write the record, if the object still has this version; create it if there is none.
    Write(SoleRecord, Option<StoreRevision>),
    /// Read the record, linearizably.
    Read,
    /// The lease is held from now on, with this term.
    Gained(u64),
    /// It is held no longer.
    Lost,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Call {
    None,
    Writing { record: SoleRecord, sent: Moment },
    Reading,
}

/// Keeps the sole lease if this instance holds it, and takes it when its holder is gone.
#[derive(Clone, Debug)]
pub struct SoleKeeper {
    cfg: SoleConfig,
    me: InstanceId,
    process: u64,
    address: SocketAddr,
    /// A part of the wait for a lapsed lease, so that instances don't all write at once.
    stagger: Duration,
    /// The platform's era; none until it has answered.
    era: Option<u64>,
    /// When it was first seen that the platform has been restored.
    restored_at: Option<Moment>,
    seen: Option<SeenRecord>,
    /// The highest term that is known to have been given.
    highest_term: u64,
    /// The term under which orders are given while the lease is held.
    held_term: u64,
    /// Who was last known to hold the lease, and where that takes messages.
    known_holder: Option<(InstanceId, SocketAddr)>,
    /// When the record last changed, on this instance's clock.
    changed_at: Moment,
    looked: bool,
    call: Call,
    next_at: Moment,
    valid_until: Moment,
    holds: bool,
    leaving: bool,
    /// Whether the platform has failed to answer since it was last seen.
    in_trouble: bool,
    /// From when on another's lease may be taken here: larger instances have seen by then that the
    /// platform is back.
    may_take_from: Moment,
    /// When the lease is given up after stepping down.
    gives_up_at: Option<Moment>,
    /// Until when it is not held here again.
    down_until: Moment,
}

/// Returns the era of the platform in which a term was given.
pub const fn era_of_term(term: u64) -> u64 {
    term / TERMS_PER_ERA
}

impl SoleKeeper {
    /// Starts as an observer; `stagger` lies between zero and some hundred milliseconds.
    pub fn new(
        cfg: SoleConfig,
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
            looked: false,
            call: Call::None,
            next_at: now,
            valid_until: Moment::ZERO,
            holds: false,
            leaving: false,
            in_trouble: false,
            may_take_from: Moment::ZERO,
            gives_up_at: None,
            down_until: Moment::ZERO,
        }
    }

    /// Returns the term under which orders may be given at this moment.
    ///
    /// It is to be asked right before each order leaves: a process may have been paused since it
    /// was last told that it holds the lease.
    pub fn may_order(&self, now: Moment) -> Option<u64> {
        (self.holds && now < self.valid_until).then_some(self.held_term)
    }

    /// Returns the term of the last holder, as far as is known.
    pub fn term(&self) -> Option<u64> {
        self.seen.as_ref().map(|it| it.record.term)
    }

    /// Returns what this instance tells others of the lease while it holds it.
    pub fn held(&self) -> Option<HeldLease> {
        let seen = self.seen.as_ref().filter(|_| self.holds)?;
        let is_held = seen.record.term == self.held_term;
        is_held.then_some(HeldLease {
            term: seen.record.term,
            version: seen.version,
        })
    }

    /// Returns who holds the lease, as far as is known, and where it takes messages.
    pub fn holder(&self) -> Option<(&InstanceId, SocketAddr)> {
        let (holder, address) = self.known_holder.as_ref()?;
        Some((holder, *address))
    }

    /// Returns when another instance can take the lease at the earliest, if its holder is gone.
    pub fn taken_at(&self) -> Moment {
        self.lapses_at()
    }

    /// Returns when [`SoleEvent::Tick`] is next wanted; none while a call or its look is awaited.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let idle = self.call == Call::None;
        if let Some(gives_up_at) = self.gives_up_at {
            return idle.then_some(gives_up_at);
        }
        match (self.holds, idle) {
            (true, true) => Some(self.next_at.min(self.valid_until)),
            (true, false) => Some(self.valid_until),
            (false, true) if self.looked && !self.leaving => {
                Some(self.next_at.max(self.next_chance()).max(self.down_until))
            }
            (false, _) => None,
        }
    }

    /// Takes one event and says what is to be done.
    pub fn handle(&mut self, event: SoleEvent, now: Moment) -> Vec<SoleAction> {
        let mut out = Vec::new();
        match event {
            SoleEvent::Seen(seen) => {
                self.on_answered(now);
                self.on_seen(seen, now);
            }
            SoleEvent::Era(era) => {
                self.take_era(era, now);
            }
            SoleEvent::Written(written) => self.on_written(written, now, &mut out),
            SoleEvent::ReadFailed => {
                self.call = Call::None;
                self.in_trouble = true;
                self.next_at = now + self.cfg.retry_every;
            }
            SoleEvent::PlatformLost => self.in_trouble = true,
            SoleEvent::StepDown => self.on_step_down(now, &mut out),
            SoleEvent::HolderTold(told) => self.on_told(told, now),
            SoleEvent::Release => self.on_release(&mut out),
            SoleEvent::Tick => {}
        }
        self.settle(now, &mut out);
        self.give_up(now, &mut out);
        self.act(now, &mut out);
        out
    }

    /// Takes note that the platform answers.
    ///
    /// When it comes back, the lease has lapsed and everybody may write at once. The many small instances
    /// would mostly be first, and one of them would carry the duty for all that follows.
    fn on_answered(&mut self, now: Moment) {
        if std::mem::replace(&mut self.in_trouble, false) {
            self.may_take_from = self.may_take_from.max(now + self.cfg.yields_for);
        }
    }

    fn on_seen(&mut self, seen: Option<SeenRecord>, now: Moment) {
        if self.call == Call::Reading {
            self.call = Call::None;
        }
        if let Some(seen) = &seen
            && !self.take_era(seen.version.era, now)
        {
            return;
        }
        let first = !std::mem::replace(&mut self.looked, true);
        let known = self.seen.as_ref().map(|it| it.version);
        let Some(seen) = seen else {
            if first {
                // A holder of seconds that a restore has lost may have acted until now.
                self.changed_at = now;
            }
            return;
        };
        if Some(seen.version) > known || first {
            self.changed_at = now;
            self.set_seen(seen);
        }
    }

    /// Takes in the platform's era with an answer, and says whether it is the one that is known, or newer.
    ///
    /// In a new era nothing that was seen of the record counts. A holder goes on for as long as its last
    /// renewal counts, since nobody takes the lease before, and writes the record anew meanwhile.
    fn take_era(&mut self, era: u64, now: Moment) -> bool {
        let known = self.era;
        if known.is_some_and(|known| era <= known) {
            return known == Some(era);
        }
        self.era = Some(era);
        if known.is_some() {
            self.restored_at = Some(now);
            self.seen = None;
            self.looked = false;
            self.changed_at = now;
            self.next_at = now;
        }
        true
    }

    fn set_seen(&mut self, seen: SeenRecord) {
        let record = &seen.record;
        self.highest_term = self.highest_term.max(record.term);
        // A record of before a restore may name a holder that has long been followed by another.
        if self.known_holder.is_none() || !self.is_void(record) {
            let holder = record.holder.clone();
            self.known_holder = holder.map(|it| (it, record.address));
        }
        self.seen = Some(seen);
    }

    /// Says whether a record was written in an earlier era than the platform's: it came back with a copy,
    /// or a write of that era was carried out late. It tells of no holder.
    fn is_void(&self, record: &SoleRecord) -> bool {
        era_of_term(record.term) < self.era.unwrap_or(0)
    }

    /// Takes in a newer version of the record that is known.
    ///
    /// One of another term is no news of that record: taken with its version and the known term, the
    /// lease would be given a term that is not the highest.
    fn on_told(&mut self, told: HeldLease, now: Moment) {
        if !self.take_era(told.version.era, now) {
            return;
        }
        let known = self.seen.as_mut().filter(|it| it.record.term == told.term);
        if let Some(known) = known.filter(|it| it.version < told.version) {
            known.version = told.version;
            self.changed_at = now;
        }
    }

    fn on_written(&mut self, written: SoleWritten, now: Moment, out: &mut Vec<SoleAction>) {
        let Call::Writing { record, sent } = std::mem::replace(&mut self.call, Call::None) else {
            return;
        };
        match written {
            SoleWritten::Done(version) => {
                self.on_answered(now);
                if !self.take_era(version.era, now) {
                    // It was carried out before the restore, and is gone.
                    return self.read(out);
                }
                let given_up = record.holder.is_none();
                let term = record.term;
                let is_void = self.is_void(&record);
                self.looked = true;
                self.set_seen(SeenRecord { record, version });
                self.changed_at = now;
                if is_void {
                    // Its condition held by chance, at a revision that was given out again.
                    self.next_at = now;
                    return;
                }
                if self.leaving || given_up || self.gives_up_at.is_some() {
                    return;
                }
                self.valid_until = sent + self.cfg.duration.saturating_sub(self.cfg.margin);
                self.next_at = sent + self.cfg.renew_every;
                self.held_term = term;
                self.gain(out);
            }
            SoleWritten::Failed => {
                self.in_trouble = true;
                self.next_at = now + self.cfg.retry_every;
            }
            // What the platform holds decides: if the write took effect it will be seen as ours,
            // and renewing it makes it count from then on.
            SoleWritten::Conflict | SoleWritten::Unknown => {
                self.next_at = now + self.cfg.retry_every;
                self.read(out);
            }
        }
    }

    fn read(&mut self, out: &mut Vec<SoleAction>) {
        self.call = Call::Reading;
        out.push(SoleAction::Read);
    }

    /// Stops acting as the holder; the lease is given up once no order can leave any more.
    fn on_step_down(&mut self, now: Moment, out: &mut Vec<SoleAction>) {
        if !std::mem::replace(&mut self.holds, false) {
            return;
        }
        self.valid_until = Moment::ZERO;
        self.gives_up_at = Some(now + self.cfg.last_orders);
        self.down_until = now + self.cfg.stays_down;
        out.push(SoleAction::Lost);
    }

    /// Gives the lease up that this instance has stepped down from.
    fn give_up(&mut self, now: Moment, out: &mut Vec<SoleAction>) {
        if self.call != Call::None || self.gives_up_at.is_none_or(|at| now < at) {
            return;
        }
        self.gives_up_at = None;
        let Some(seen) = self.seen.as_ref().filter(|seen| self.is_ours(&seen.record)) else {
            return;
        };
        let record = SoleRecord {
            holder: None,
            ..seen.record.clone()
        };
        self.call = Call::Writing {
            record: record.clone(),
            sent: now,
        };
        out.push(SoleAction::Write(record, Some(seen.version)));
    }

    fn on_release(&mut self, out: &mut Vec<SoleAction>) {
        self.leaving = true;
        self.valid_until = Moment::ZERO;
        if std::mem::replace(&mut self.holds, false) {
            out.push(SoleAction::Lost);
        }
        let Some(seen) = self.seen.as_ref().filter(|seen| self.is_ours(&seen.record)) else {
            return;
        };
        let record = SoleRecord {
            holder: None,
            ..seen.record.clone()
        };
        out.push(SoleAction::Write(record, Some(seen.version)));
    }

    fn gain(&mut self, out: &mut Vec<SoleAction>) {
        if !std::mem::replace(&mut self.holds, true) {
            out.push(SoleAction::Gained(self.held_term));
        }
    }

    /// Ends what this instance believes to hold once it is past, or held by another.
    fn settle(&mut self, now: Moment, out: &mut Vec<SoleAction>) {
        let is_anothers = self
            .seen
            .as_ref()
            .is_some_and(|it| !self.is_ours(&it.record) && !self.is_void(&it.record));
        if self.holds && (now >= self.valid_until || is_anothers) {
            self.holds = false;
            self.valid_until = Moment::ZERO;
            out.push(SoleAction::Lost);
        }
    }

    fn act(&mut self, now: Moment, out: &mut Vec<SoleAction>) {
        if self.call != Call::None || self.leaving || now < self.next_at {
            return;
        }
        if !self.looked {
            if self.holds {
                self.read(out);
            }
            return;
        }
        if self.gives_up_at.is_some() || now < self.down_until {
            return;
        }
        let Some((record, version)) = self.next_write(now) else {
            return;
        };
        let is_ours = self
            .seen
            .as_ref()
            .is_some_and(|it| self.is_ours(&it.record));
        if self.in_trouble && !is_ours && !self.cfg.yields_for.is_zero() {
            return self.read(out);
        }
        let sent = now;
        self.call = Call::Writing {
            record: record.clone(),
            sent,
        };
        out.push(SoleAction::Write(record, version));
    }

    fn next_write(&self, now: Moment) -> Option<(SoleRecord, Option<StoreRevision>)> {
        let version = self.seen.as_ref().map(|it| it.version);
        let ours = self.seen.as_ref().filter(|it| self.is_ours(&it.record));
        if let Some(seen) = ours {
            let renewals = seen.record.renewals + 1;
            return Some((self.record(seen.record.term, renewals), version));
        }
        // A holder whose record came back older, or not at all, writes it anew: nobody else can have
        // taken the lease yet.
        let may_take = self.holds || now >= self.lapses_at().max(self.may_take_from);
        may_take.then(|| (self.record(self.next_term(), 0), version))
    }

    /// Returns a term above all that were given, those of seconds that a restore has lost included.
    ///
    /// After a restore it follows the revision that is replaced, which rises with each holder: a late write
    /// of before may have replaced the record of a holder that nobody else has seen.
    fn next_term(&self) -> u64 {
        let replaced = self.seen.as_ref().map_or(0, |it| it.version.number);
        let before = match self.era {
            Some(era) if era > 0 => era * TERMS_PER_ERA + replaced,
            Some(_) | None => 0,
        };
        self.highest_term.max(before) + 1
    }

    /// Returns when there is something to write for an instance that does not hold the lease.
    fn next_chance(&self) -> Moment {
        match &self.seen {
            Some(seen) if self.is_ours(&seen.record) => self.next_at,
            Some(_) | None => self.lapses_at().max(self.may_take_from),
        }
    }

    /// Returns when the lease that another holds may be taken.
    fn lapses_at(&self) -> Moment {
        // A holder of the seconds that a restore has lost may still act, whatever the record says.
        let after_any_holder = self.changed_at + self.cfg.duration + self.cfg.rest + self.delay();
        let Some(seen) = &self.seen else {
            if self.restored_at.is_some() || !self.cfg.is_first_start {
                return after_any_holder;
            }
            return self.changed_at + self.cfg.yields_for;
        };
        match &seen.record.holder {
            _ if self.is_void(&seen.record) => after_any_holder,
            None => self.changed_at + self.cfg.rest + self.delay(),
            // The process before this one on the same instance: it is gone, and its orders were
            // those of the same holder.
            Some(holder) if *holder == self.me && seen.record.address == self.address => {
                self.changed_at
            }
            Some(_) => after_any_holder,
        }
    }

    fn delay(&self) -> Duration {
        self.cfg.yields_for + self.stagger
    }

    fn is_ours(&self, record: &SoleRecord) -> bool {
        record.holder.as_ref() == Some(&self.me)
            && record.process == self.process
            && !self.is_void(record)
    }

    fn record(&self, term: u64, renewals: u64) -> SoleRecord {
        SoleRecord {
            holder: Some(self.me.clone()),
            process: self.process,
            address: self.address,
            term,
            renewals,
        }
    }
}

/// The terms of one era of the platform: more than it gives revisions out in, and few enough for some
/// thousand eras in the whole numbers that every JSON library keeps exact.
const TERMS_PER_ERA: u64 = 1 << 40;
