//! One instance's record of requests that crash targets.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use chervilshunt_model::{Moment, StoreRevision, TargetName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::recent::RecentParts;
use super::run::CrashedRun;

/// What crashes are attributed to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Suspect {
    /// A request, whenever it is sent.
    #[default]
    #[serde(rename = "r")]
    Request,
    /// A part of prompts, whatever else a request holds.
    #[serde(rename = "p")]
    Part,
}

impl Suspect {
    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "the shape that serde asks for"
    )]
    const fn is_request(&self) -> bool {
        matches!(self, Self::Request)
    }
}

/// Thresholds and retention times of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// Number of different targets that must crash during a request before it is refused. A single
    /// crash may be a coincidence: the request was in progress when its target crashed for another
    /// reason.
    pub crash_threshold: usize,
    /// Number of rounds of crashes after which a part of prompts is refused. Requests that share a part are
    /// far more than those that are equal, so that chance needs more crashes to be ruled out.
    pub part_crash_rounds: u32,
    /// Crashes of a part that are learnt of within this time are one round. A rack, or all targets of a
    /// service, crash together, and whatever part was in progress there is in all of these crashes.
    pub round_time: Duration,
    /// Number of crashes up to which those of a part are told to other instances, so that parts that are
    /// suspected together can be told apart.
    pub max_part_crashes: usize,
    /// How long a suspected part that is not yet refused is remembered.
    pub part_suspicion_ttl: Duration,
    /// Time before the last crash from which on the beginning of an answer that its target survives clears a
    /// part. Targets of the same rack crash together, while others go on with the parts that were in progress
    /// there.
    pub clearing_margin: Duration,
    /// Time before a crash within which a part that began to be answered, and whose target lived on, is exempt
    /// from suspicion.
    pub cleared_for: Duration,
    /// Maximum number of parts whose last clearing is remembered.
    pub max_cleared: usize,
    /// Maximum number of parts that one crash brings under suspicion here.
    pub max_parts_per_crash: usize,
    /// How long a part is refused before one request with it is tried again; each further time is longer by
    /// `trial_factor`.
    pub first_trial_after: Duration,
    /// The same for a part that comes in more than half of the requests: while it is refused, next to nothing
    /// is served.
    pub first_trial_of_common_after: Duration,
    /// See `first_trial_after`.
    pub trial_factor: u32,
    /// Time after which another request is tried if nothing has come of the last one.
    pub trial_timeout: Duration,
    /// How long a suspected request that is not yet refused is remembered.
    pub suspicion_ttl: Duration,
    /// How long a request is refused after its last known crash.
    pub refusal_ttl: Duration,
    /// Maximum number of requests and parts that are remembered.
    pub max_requests: usize,
    /// Number of requests served last at this instance that are exempt from suspicion. If several
    /// targets crash at once, for example with their rack, a request that many callers send is in
    /// progress on all of them.
    pub max_recently_served: usize,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            crash_threshold: 2,
            part_crash_rounds: 3,
            round_time: Duration::from_millis(400),
            max_part_crashes: 32,
            part_suspicion_ttl: Duration::from_secs(2 * 60),
            clearing_margin: Duration::from_secs(1),
            cleared_for: Duration::from_secs(3),
            max_cleared: 4_096,
            max_parts_per_crash: 16,
            first_trial_after: Duration::from_secs(6),
            first_trial_of_common_after: Duration::from_secs(2),
            trial_factor: 10,
            trial_timeout: Duration::from_secs(5),
            suspicion_ttl: Duration::from_secs(10 * 60),
            refusal_ttl: Duration::from_secs(60 * 60),
            max_requests: 4_096,
            max_recently_served: 1_024,
        }
    }
}

/// The targets that crashed during a request, or under a part of prompts, latest last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The runs of targets, each listed once; without their starts if the record is about a request.
    #[serde(rename = "t")]
    pub targets: Vec<CrashedRun>,
    /// What the crashes are attributed to.
    #[serde(rename = "k", default, skip_serializing_if = "Suspect::is_request")]
    pub suspect: Suspect,
    /// The number of moments at which targets crashed; for parts only.
    #[serde(rename = "n", default)]
    pub rounds: u32,
}

/// The crash of a target during a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The target.
    pub target: TargetName,
    /// Whether the target had started to run the request, as far as is known.
    pub has_run: bool,
}

/// A crash record as stored on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrashes {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// The crashes attributed to the request.
    #[serde(rename = "r")]
    pub record: CrashRecord,
    /// The platform's revision of the record, or `None` if the record has not been written yet.
    #[serde(rename = "v")]
    pub revision: Option<StoreRevision>,
}

/// A request or a part that is suspected or refused.
#[derive(Clone, Debug)]
pub(super) struct Tracked {
    pub(super) record: CrashRecord,
    /// Number of targets in the platform's record.
    stored_targets: usize,
    revision: Option<StoreRevision>,
    /// When this instance was informed of the last crash.
    pub(super) crashed_at: Moment,
    /// When this instance was informed of the first crash of the last round.
    round_at: Moment,
    /// When one request with a refused part was last tried.
    pub(super) tried_at: Option<Moment>,
    /// Number of such requests that crashed their targets.
    pub(super) failed_trials: u32,
}

impl Tracked {
    pub(super) const fn new(suspect: Suspect, now: Moment) -> Self {
        Self {
            record: CrashRecord {
                targets: Vec::new(),
                suspect,
                rounds: 0,
            },
            stored_targets: 0,
            revision: None,
            crashed_at: now,
            round_at: now,
            tried_at: None,
            failed_trials: 0,
        }
    }

    /// Counts the round of crashes to which a crash belongs. Crashes that are learnt of late belong to a round
    /// that is counted already.
    pub(super) fn count_round(&mut self, round_time: Duration, now: Moment) {
        if self.record.rounds == 0 || now.since(self.round_at) >= round_time {
            self.record.rounds += 1;
            self.round_at = now;
        }
    }

    /// Applies the rounds that the platform's record has.
    fn merge_rounds(&mut self, rounds: u32, now: Moment) {
        if rounds > self.record.rounds {
            self.record.rounds = rounds;
            self.round_at = now;
        }
    }

    /// Adds a crash and returns whether it was new.
    pub(super) fn add(&mut self, run: CrashedRun, now: Moment) -> bool {
        let is_new = !self.record.targets.iter().any(|it| it.is_same(&run));
        if is_new {
            self.record.targets.push(run);
            self.crashed_at = self.crashed_at.max(now);
            self.failed_trials += u32::from(self.tried_at.take().is_some());
        }
        is_new
    }
}

/// One instance's record of requests, and parts of prompts, that crash targets.
#[derive(Clone, Debug)]
pub struct Quarantine {
    pub(super) cfg: QuarantineConfig,
    /// What is suspected or refused.
    pub(super) suspects: IndexMap<Fingerprint, Tracked>,
    /// The requests that targets most recently started to answer here, latest last.
    recently_served: VecDeque<Fingerprint>,
    /// When an answer to each part last began whose target lived on, the latest last.
    pub(super) cleared: IndexMap<Fingerprint, Moment>,
    /// How often parts came in requests lately.
    pub(super) recent: RecentParts,
    /// The number of parts that each crash has brought under suspicion here, the latest last.
    pub(super) parts_by_crash: IndexMap<CrashedRun, usize>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(cfg: QuarantineConfig) -> Self {
        Self {
            cfg,
            suspects: IndexMap::new(),
            recently_served: VecDeque::new(),
            cleared: IndexMap::new(),
            recent: RecentParts::default(),
            parts_by_crash: IndexMap::new(),
        }
    }

    /// Returns whether no request is suspected or refused.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records that a target has started to answer a request, so that the request did not crash it.
    /// Returns whether the request was suspected.
    pub fn record_served(&mut self, fingerprint: Fingerprint) -> bool {
        self.recently_served.push_back(fingerprint);
        if self.recently_served.len() > self.cfg.max_recently_served {
            self.recently_served.pop_front();
        }
        self.suspects.contains_key(&fingerprint)
    }

    /// Returns the time until which a request is refused, or `None` if it is not refused.
    pub fn refused_until(&self, fingerprint: Fingerprint, now: Moment) -> Option<Moment> {
        let known = self.suspects.get(&fingerprint)?;
        let until = self.expires_at(known);
        (self.is_refused(&known.record) && now < until).then_some(until)
    }

    /// Records that a target crashed during a request that it had not started to answer. Returns
    /// whether the crash must be written to the platform.
    ///
    /// The first crash of a request that may only have been queued at its target stays local. An
    /// overloaded target that crashes has dozens of such requests, and a record of each would be
    /// sent to all instances.
    pub fn record_crash(&mut self, crash: Crash, now: Moment) -> bool {
        let Crash {
            fingerprint,
            target,
            has_run,
        } = crash;
        let is_known = self.suspects.contains_key(&fingerprint);
        let is_full = !is_known && self.suspects.len() >= self.cfg.max_requests;
        if is_full || self.recently_served.contains(&fingerprint) {
            return false;
        }
        let known = self.suspects.entry(fingerprint);
        let known = known.or_insert_with(|| Tracked::new(Suspect::Request, now));
        known.add(target.into(), now) && (has_run || known.record.targets.len() > 1)
    }

    /// Returns the record to write to the platform for a request, or `None` if the stored one is
    /// sufficient.
    pub fn record_to_store(&self, fingerprint: Fingerprint) -> Option<StoredCrashes> {
        let known = self.suspects.get(&fingerprint)?;
        let told = match known.record.suspect {
            Suspect::Request => self.cfg.crash_threshold,
            Suspect::Part => self.cfg.max_part_crashes,
        };
        let is_sufficient = known.stored_targets >= known.record.targets.len().min(told);
        (!is_sufficient).then(|| StoredCrashes {
            fingerprint,
            record: known.record.clone(),
            revision: known.revision,
        })
    }

    /// Merges a record stored on the platform and returns whether it contained new crashes.
    pub fn merge_stored(&mut self, stored: StoredCrashes, now: Moment) -> bool {
        let known = self.suspects.entry(stored.fingerprint);
        let known = known.or_insert_with(|| Tracked::new(stored.record.suspect, now));
        if stored.revision < known.revision {
            return false;
        }
        known.revision = stored.revision;
        known.stored_targets = stored.record.targets.len();
        known.merge_rounds(stored.record.rounds, now);
        let before = known.record.targets.len();
        for run in stored.record.targets {
            known.add(run, now);
        }
        known.record.targets.len() > before
    }

    /// Forgets a request that has been served or whose record the platform no longer has. Returns
    /// whether the request was known.
    pub fn release(&mut self, fingerprint: Fingerprint) -> bool {
        self.suspects.shift_remove(&fingerprint).is_some()
    }

    /// Handles a restore of the platform from a backup, in which any record may be missing.
    pub fn handle_restore(&mut self) {
        for known in self.suspects.values_mut() {
            known.revision = None;
            known.stored_targets = 0;
        }
    }

    /// Returns the refused requests whose records are missing on the platform.
    pub fn missing_records(&self) -> Vec<Fingerprint> {
        let requests = self.suspects.iter();
        let missing =
            requests.filter(|(_, it)| it.stored_targets == 0 && self.is_refused(&it.record));
        missing.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Compares with the full list of records on the platform, and releases and returns the
    /// requests whose stored records are gone.
    pub fn reconcile(&mut self, listed: &HashSet<Fingerprint>) -> Vec<Fingerprint> {
        let requests = self.suspects.iter();
        let gone = requests.filter(|(it, known)| known.revision.is_some() && !listed.contains(*it));
        let gone: Vec<Fingerprint> = gone.map(|(it, _)| *it).collect();
        for fingerprint in &gone {
            self.release(*fingerprint);
        }
        gone
    }

    /// Forgets and returns the requests whose last crash is older than the retention time.
    pub fn take_expired(&mut self, now: Moment) -> Vec<Fingerprint> {
        let requests = self.suspects.iter();
        let expired = requests.filter(|(_, known)| self.expires_at(known) <= now);
        let expired: Vec<Fingerprint> = expired.map(|(it, _)| *it).collect();
        for fingerprint in &expired {
            self.release(*fingerprint);
        }
        expired
    }

    pub(super) fn is_refused(&self, record: &CrashRecord) -> bool {
        match record.suspect {
            Suspect::Request => record.targets.len() >= self.cfg.crash_threshold,
            Suspect::Part => record.rounds >= self.cfg.part_crash_rounds,
        }
    }

    pub(super) fn expires_at(&self, known: &Tracked) -> Moment {
        let ttl = match known.record.suspect {
            _ if self.is_refused(&known.record) => self.cfg.refusal_ttl,
            Suspect::Request => self.cfg.suspicion_ttl,
            Suspect::Part => self.cfg.part_suspicion_ttl,
        };
        known.crashed_at + ttl
    }
}
