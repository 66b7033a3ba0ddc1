//! What one instance knows of requests that crash targets.

use std::collections::HashSet;
use std::time::Duration;

use chervilshunt_model::{Moment, TargetName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;

/// When a request is refused, and for how long crashes are remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// Crashes, one after the other, from which on a request is refused. A single one may be chance: the
    /// request was under way when its target crashed for another reason.
    pub crashes: usize,
    /// How long a request that is not refused yet is remembered.
    pub suspected_for: Duration,
    /// How long a request is refused after the last crash that is known.
    pub refused_for: Duration,
    /// The most requests that are remembered.
    pub most: usize,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            crashes: 2,
            suspected_for: Duration::from_secs(10 * 60),
            refused_for: Duration::from_secs(60 * 60),
            most: 4_096,
        }
    }
}

/// The targets that crashed under a request, the latest at the end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Their names; one that has started again under its name may be there twice.
    #[serde(rename = "t")]
    pub targets: Vec<TargetName>,
}

/// A target that crashed under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The target.
    pub target: TargetName,
    /// When the request was sent there.
    pub sent_at: Moment,
    /// Whether the target had begun to run it, as far as can be told.
    pub has_run: bool,
}

/// A record as the platform keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrashes {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// The crashes under it.
    #[serde(rename = "r")]
    pub record: CrashRecord,
    /// The platform's revision of the record; none if it has yet to be written.
    #[serde(rename = "v")]
    pub revision: Option<u64>,
}

#[derive(Clone, Debug)]
struct Known {
    record: CrashRecord,
    revision: Option<u64>,
    /// When this instance learnt of the last crash.
    crashed_at: Moment,
}

/// What one instance knows of requests that crash targets.
#[derive(Clone, Debug)]
pub struct Quarantine {
    cfg: QuarantineConfig,
    requests: IndexMap<Fingerprint, Known>,
}

impl Quarantine {
    /// Starts with nothing known.
    pub fn new(cfg: QuarantineConfig) -> Self {
        Self {
            cfg,
            requests: IndexMap::new(),
        }
    }

    /// Says whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Says whether a target has crashed under a request.
    pub fn suspects(&self, fingerprint: Fingerprint) -> bool {
        self.requests.contains_key(&fingerprint)
    }

    /// Returns until when a request is refused; none if it is not.
    pub fn refused_until(&self, fingerprint: Fingerprint, now: Moment) -> Option<Moment> {
        let known = self.requests.get(&fingerprint)?;
        let until = self.expires_at(known);
        (self.is_refused(&known.record) && now < until).then_some(until)
    }

    /// Takes in that a target crashed under a request that it had not begun to answer, and returns the
    /// record to write if that tells something new.
    ///
    /// A crash counts only if the request was sent after the one before was known. Where several targets
    /// crash at once, say with their rack, a request that many callers send is under way at all of them.
    ///
    /// Of a request that may only have waited at its target the first crash is kept here: an overloaded
    /// target that crashes has dozens of them, and a record of each would be told to all instances.
    pub fn crashed(&mut self, crash: Crash, now: Moment) -> Option<StoredCrashes> {
        let Crash {
            fingerprint,
            target,
            sent_at,
            has_run,
        } = crash;
        let is_known = self.requests.contains_key(&fingerprint);
        if !is_known && self.requests.len() >= self.cfg.most {
            return None;
        }
        let known = self.requests.entry(fingerprint).or_insert_with(|| Known {
            record: CrashRecord::default(),
            revision: None,
            crashed_at: now,
        });
        let is_refused = known.record.targets.len() >= self.cfg.crashes;
        if is_refused || (is_known && sent_at < known.crashed_at) {
            return None;
        }
        known.record.targets.push(target);
        known.crashed_at = now;
        let is_told = has_run || known.record.targets.len() > 1;
        is_told.then(|| StoredCrashes {
            fingerprint,
            record: known.record.clone(),
            revision: known.revision,
        })
    }

    /// Takes in a record as the platform keeps it, and says whether it tells of more crashes.
    pub fn recorded(&mut self, stored: StoredCrashes, now: Moment) -> bool {
        let known = self
            .requests
            .entry(stored.fingerprint)
            .or_insert_with(|| Known {
                record: CrashRecord::default(),
                revision: None,
                crashed_at: now,
            });
        known.revision = known.revision.max(stored.revision);
        let is_more = stored.record.targets.len() > known.record.targets.len();
        if is_more {
            known.record = stored.record;
            known.crashed_at = now;
        }
        is_more
    }

    /// Forgets a request, which has been served or whose record the platform no longer has, and says
    /// whether it was known.
    pub fn release(&mut self, fingerprint: Fingerprint) -> bool {
        self.requests.shift_remove(&fingerprint).is_some()
    }

    /// Takes in which records the platform has, and returns the requests that are released by that.
    pub fn listed(&mut self, listed: &HashSet<Fingerprint>) -> Vec<Fingerprint> {
        let requests = self.requests.iter();
        let gone = requests.filter(|(it, known)| known.revision.is_some() && !listed.contains(*it));
        let gone: Vec<Fingerprint> = gone.map(|(it, _)| *it).collect();
        for fingerprint in &gone {
            self.release(*fingerprint);
        }
        gone
    }

    /// Forgets requests under which no target has crashed for long enough, and returns them.
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
        record.targets.len() >= self.cfg.crashes
    }

    fn expires_at(&self, known: &Known) -> Moment {
        if self.is_refused(&known.record) {
            known.crashed_at + self.cfg.refused_for
        } else {
            known.crashed_at + self.cfg.suspected_for
        }
    }
}
