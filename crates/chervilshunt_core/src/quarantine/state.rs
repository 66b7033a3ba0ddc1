//! One instance's record of requests that crash targets.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use chervilshunt_model::{Moment, StoreRevision, TargetName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;

/// Thresholds and retention times of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// Number of different targets that must crash during a request before it is refused. A single
    /// crash may be a coincidence: the request was in progress when its target crashed for another
    /// reason.
    pub crash_threshold: usize,
    /// How long a suspected request that is not yet refused is remembered.
    pub suspicion_ttl: Duration,
    /// How long a request is refused after its last known crash.
    pub refusal_ttl: Duration,
    /// Maximum number of requests that are remembered.
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
            suspicion_ttl: Duration::from_secs(10 * 60),
            refusal_ttl: Duration::from_secs(60 * 60),
            max_requests: 4_096,
            max_recently_served: 1_024,
        }
    }
}

/// The targets that crashed during a request, latest last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The names of the targets, each listed once.
    #[serde(rename = "t")]
    pub targets: Vec<TargetName>,
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

#[derive(Clone, Debug)]
struct TrackedRequest {
    record: CrashRecord,
    /// Number of targets in the platform's record.
    stored_targets: usize,
    revision: Option<StoreRevision>,
    /// When this instance was informed of the last crash.
    crashed_at: Moment,
}

impl TrackedRequest {
    const fn new(now: Moment) -> Self {
        Self {
            record: CrashRecord {
                targets: Vec::new(),
            },
            stored_targets: 0,
            revision: None,
            crashed_at: now,
        }
    }

    /// Adds a crash and returns whether it was new.
    fn add(&mut self, target: TargetName, now: Moment) -> bool {
        let is_new = !self.record.targets.contains(&target);
        if is_new {
            self.record.targets.push(target);
            self.crashed_at = now;
        }
        is_new
    }
}

/// One instance's record of requests that crash targets.
#[derive(Clone, Debug)]
pub struct Quarantine {
    cfg: QuarantineConfig,
    requests: IndexMap<Fingerprint, TrackedRequest>,
    /// The requests that targets most recently started to answer here, latest last.
    recently_served: VecDeque<Fingerprint>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(cfg: QuarantineConfig) -> Self {
        Self {
            cfg,
            requests: IndexMap::new(),
            recently_served: VecDeque::new(),
        }
    }

    /// Returns whether no request is suspected or refused.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Records that a target has started to answer a request, so that the request did not crash it.
    /// Returns whether the request was suspected.
    pub fn record_served(&mut self, fingerprint: Fingerprint) -> bool {
        self.recently_served.push_back(fingerprint);
        if self.recently_served.len() > self.cfg.max_recently_served {
            self.recently_served.pop_front();
        }
        self.requests.contains_key(&fingerprint)
    }

    /// Returns the time until which a request is refused, or `None` if it is not refused.
    pub fn refused_until(&self, fingerprint: Fingerprint, now: Moment) -> Option<Moment> {
        let known = self.requests.get(&fingerprint)?;
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
        let is_known = self.requests.contains_key(&fingerprint);
        let is_full = !is_known && self.requests.len() >= self.cfg.max_requests;
        if is_full || self.recently_served.contains(&fingerprint) {
            return false;
        }
        let known = self.requests.entry(fingerprint);
        let known = known.or_insert_with(|| TrackedRequest::new(now));
        known.add(target, now) && (has_run || known.record.targets.len() > 1)
    }

    /// Returns the record to write to the platform for a request, or `None` if the stored one is
    /// sufficient.
    pub fn record_to_store(&self, fingerprint: Fingerprint) -> Option<StoredCrashes> {
        let known = self.requests.get(&fingerprint)?;
        let is_sufficient =
            known.stored_targets >= known.record.targets.len().min(self.cfg.crash_threshold);
        (!is_sufficient).then(|| StoredCrashes {
            fingerprint,
            record: known.record.clone(),
            revision: known.revision,
        })
    }

    /// Merges a record stored on the platform and returns whether it contained new crashes.
    pub fn merge_stored(&mut self, stored: StoredCrashes, now: Moment) -> bool {
        let known = self.requests.entry(stored.fingerprint);
        let known = known.or_insert_with(|| TrackedRequest::new(now));
        if stored.revision < known.revision {
            return false;
        }
        known.revision = stored.revision;
        known.stored_targets = stored.record.targets.len();
        let before = known.record.targets.len();
        for target in stored.record.targets {
            known.add(target, now);
        }
        known.record.targets.len() > before
    }

    /// Forgets a request that has been served or whose record the platform no longer has. Returns
    /// whether the request was known.
    pub fn release(&mut self, fingerprint: Fingerprint) -> bool {
        self.requests.shift_remove(&fingerprint).is_some()
    }

    /// Handles a restore of the platform from a backup, in which any record may be missing.
    pub fn handle_restore(&mut self) {
        for known in self.requests.values_mut() {
            known.revision = None;
            known.stored_targets = 0;
        }
    }

    /// Returns the refused requests whose records are missing on the platform.
    pub fn missing_records(&self) -> Vec<Fingerprint> {
        let requests = self.requests.iter();
        let missing =
            requests.filter(|(_, it)| it.stored_targets == 0 && self.is_refused(&it.record));
        missing.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Compares with the full list of records on the platform, and releases and returns the
    /// requests whose stored records are gone.
    pub fn reconcile(&mut self, listed: &HashSet<Fingerprint>) -> Vec<Fingerprint> {
        let requests = self.requests.iter();
        let gone = requests.filter(|(it, known)| known.revision.is_some() && !listed.contains(*it));
        let gone: Vec<Fingerprint> = gone.map(|(it, _)| *it).collect();
        for fingerprint in &gone {
            self.release(*fingerprint);
        }
        gone
    }

    /// Forgets and returns the requests whose last crash is older than the retention time.
    pub fn take_expired(&mut self, now: Moment) -> Vec<Fingerprint> {
        let requests = self.requests.iter();
        let expired = requests.filter(|(_, known)| self.expires_at(known) <= now);
        let expired: Vec<Fingerprint> = expired.map(|(it, _)| *it).collect();
        for fingerprint in &expired {
            self.release(*fingerprint);
        }
        expired
    }

    fn is_refused(&self, record: &CrashRecord) -> bool {
        record.targets.len() >= self.cfg.crash_threshold
    }

    fn expires_at(&self, known: &TrackedRequest) -> Moment {
        if self.is_refused(&known.record) {
            known.crashed_at + self.cfg.refusal_ttl
        } else {
            known.crashed_at + self.cfg.suspicion_ttl
        }
    }
}
