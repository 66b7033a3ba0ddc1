//! Decides whether keyed requests of one shard may run.

mod claim;
mod types;

use std::collections::{BTreeMap, VecDeque};

use chervilshunt_model::{AttemptId, Moment};

use self::claim::{ClaimState, TrackedClaim};
pub use self::types::{
    ClaimAction, ClaimAnswer, ClaimConfig, ClaimEvent, ClaimRequest, ClaimsInOutage,
};
use super::log::{ClaimLog, LogEvent};
use super::record::{ClaimEntry, ClaimKey, ClaimOutcome, ClaimPage};
use crate::bugs::{Bug, Bugs};
use crate::platform::{
    CallId, CallPurpose, Calls, Object, ObjectName, PlatformOp, PlatformResult, StoredObject,
};

/// Machine number of the claim log of shard 0 in call ids; shard `n` adds `n`.
const FIRST_LOG_MACHINE: u32 = 1_000;

/// Machine number of the lease reads of shard 0 in call ids; shard `n` adds `n`.
const FIRST_LEASE_MACHINE: u32 = 1_000_000;

/// Decides whether keyed requests of one shard may run.
///
/// A claim is granted only after it is recorded in the platform, so that the next keeper of the
/// shard finds it there. Claims are batched: many share one write. The outcomes of claimed requests
/// are recorded too, but no request waits for that: if an outcome is lost, a retry is answered
/// [`ClaimAnswer::Unknown`].
#[derive(Debug)]
pub struct ClaimKeeper {
    cfg: ClaimConfig,
    log: ClaimLog,
    leases: Calls,
    ready: bool,
    superseded: bool,
    claims: BTreeMap<ClaimKey, TrackedClaim>,
    /// Requests that arrived before the log was read, each with the time at which it is refused.
    queued: VecDeque<(ClaimRequest, Moment)>,
    /// Keys of claims whose recording was pending, ordered by the time at which they are refused.
    /// Entries whose claims have been recorded since are skipped.
    ///
    /// Scanning all claims instead would cost an idle keeper with 200,000 claims more CPU time than
    /// a node may spend on control.
    recording: VecDeque<(Moment, ClaimKey)>,
    /// Entries to write with the next pages.
    unrecorded: VecDeque<ClaimEntry>,
    commit_at: Moment,
    /// When the platform first failed to answer; `None` after a successful read or write of the
    /// log.
    failing_since: Option<Moment>,
    /// Pending reads of the leases of instances that run claimed requests.
    lease_reads: BTreeMap<CallId, ClaimKey>,
    bugs: Bugs,
}

impl ClaimKeeper {
    /// Starts a keeper; the first tick reads the pages that earlier keepers recorded.
    pub fn new(cfg: ClaimConfig, now: Moment) -> Self {
        let log = ClaimLog::new(
            cfg.shard,
            cfg.me.clone(),
            cfg.epoch,
            FIRST_LOG_MACHINE + cfg.shard,
            cfg.retry_every,
            now,
        );
        Self {
            leases: Calls::new(FIRST_LEASE_MACHINE + cfg.shard, CallPurpose::Claims),
            cfg,
            log,
            ready: false,
            superseded: false,
            claims: BTreeMap::new(),
            queued: VecDeque::new(),
            recording: VecDeque::new(),
            unrecorded: VecDeque::new(),
            commit_at: now,
            failing_since: None,
            lease_reads: BTreeMap::new(),
            bugs: Bugs::default(),
        }
    }

    /// Returns the shard whose keeper made `call`, or `None` if no claim keeper made it.
    pub const fn shard_of_call(call: CallId) -> Option<u32> {
        let machine = call.machine();
        if machine >= FIRST_LEASE_MACHINE {
            Some(machine - FIRST_LEASE_MACHINE)
        } else if machine >= FIRST_LOG_MACHINE {
            Some(machine - FIRST_LOG_MACHINE)
        } else {
            None
        }
    }

    #[cfg(test)]
    pub(crate) fn seed(&mut self, bugs: Bugs) {
        self.bugs = bugs;
    }

    /// Returns the number of claims held in memory.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is held in memory.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns when the next [`ClaimEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Moment> {
        if self.superseded {
            return None;
        }
        let log = self.log.next_wakeup();
        let commit = (self.log.is_idle() && !self.unrecorded.is_empty()).then_some(self.commit_at);
        let queued = self.queued.front().map(|(_, refuse_at)| *refuse_at);
        let recording = self.recording.front().map(|(refuse_at, _)| *refuse_at);
        [log, commit, queued, recording].into_iter().flatten().min()
    }

    /// Handles one event and returns the actions to carry out.
    ///
    /// [`ClaimEvent::Requested`] may be passed in only while this instance may act under the
    /// shard's role.
    pub fn handle(&mut self, event: ClaimEvent, now: Moment) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        match event {
            ClaimEvent::Requested(req) => self.on_request(req, now, &mut actions),
            ClaimEvent::Ended {
                key,
                attempt,
                outcome,
            } => self.on_ended(key, attempt, outcome),
            ClaimEvent::Reply(call, result) => self.on_reply(call, result, now, &mut actions),
            ClaimEvent::Tick => {}
        }
        self.refuse_overdue(now, &mut actions);
        self.advance(now, &mut actions);
        actions
    }

    fn on_request(&mut self, req: ClaimRequest, now: Moment, actions: &mut Vec<ClaimAction>) {
        if self.superseded {
            actions.push(self.refuse(&req));
        } else if !self.ready {
            if self.queued.len() >= self.cfg.max_page_entries {
                actions.push(self.refuse(&req));
            } else {
                self.queued.push_back((req, now + self.cfg.claim_timeout));
            }
        } else if let Some(claim) = self.claims.get(&req.key) {
            let answer = self.answer_known(claim, &req);
            self.check_entry(req.key, &req, now, actions);
            actions.extend(answer.map(|answer| answer_to(&req, answer)));
        } else if self.claims.len() >= self.cfg.max_claims {
            actions.push(self.refuse(&req));
        } else {
            self.claim(req, now, actions);
        }
    }

    /// Returns the answer to a request whose key is already claimed; `None` while that claim is
    /// being recorded for the same attempt.
    fn answer_known(&self, claim: &TrackedClaim, req: &ClaimRequest) -> Option<ClaimAnswer> {
        if claim.fingerprint != req.fingerprint {
            return Some(ClaimAnswer::OtherRequest);
        }
        let is_same_try = claim.attempt == req.attempt;
        Some(match &claim.state {
            // The same attempt asks again: the answer was lost or the request was duplicated.
            ClaimState::Recording { .. } if is_same_try => return None,
            ClaimState::Running if is_same_try => ClaimAnswer::Granted,
            ClaimState::Recording { .. } | ClaimState::Running => ClaimAnswer::InProgress {
                retry_after_ms: self.retry_after_ms(),
            },
            ClaimState::Ended(ClaimOutcome::Done { status, body }) => ClaimAnswer::Ended {
                status: *status,
                body: body.clone(),
            },
            ClaimState::Ended(ClaimOutcome::Unknown | ClaimOutcome::NotRun) => ClaimAnswer::Unknown,
        })
    }

    fn claim(&mut self, req: ClaimRequest, now: Moment, actions: &mut Vec<ClaimAction>) {
        let grant_now = self.bugs.has(Bug::ClaimBeforeRecord) || self.runs_unrecorded(now);
        let state = if grant_now {
            actions.push(answer_to(&req, ClaimAnswer::Granted));
            ClaimState::Running
        } else {
            let refuse_at = now + self.cfg.claim_timeout;
            self.recording.push_back((refuse_at, req.key));
            ClaimState::Recording { refuse_at }
        };
        self.unrecorded.push_back(ClaimEntry::Claimed {
            key: req.key,
            fingerprint: req.fingerprint,
            attempt: req.attempt,
            entry: req.entry.clone(),
        });
        let claim = TrackedClaim {
            fingerprint: req.fingerprint,
            attempt: req.attempt,
            entry: req.entry,
            state,
            last_page: None,
            check_at: now + self.cfg.check_every,
        };
        self.claims.insert(req.key, claim);
    }

    fn runs_unrecorded(&self, now: Moment) -> bool {
        let failing = self
            .failing_since
            .is_some_and(|since| now.since(since) >= self.cfg.claim_timeout);
        failing && self.cfg.in_outage == ClaimsInOutage::RunUnrecorded
    }

    fn on_ended(&mut self, key: ClaimKey, attempt: AttemptId, outcome: ClaimOutcome) {
        let Some(claim) = self.claims.get_mut(&key) else {
            return;
        };
        if claim.attempt != attempt || !claim.accepts_outcome(&outcome) {
            return;
        }
        self.unrecorded.push_back(ClaimEntry::Ended {
            key,
            outcome: outcome.clone(),
        });
        if outcome == ClaimOutcome::NotRun {
            self.claims.remove(&key);
        } else {
            claim.state = ClaimState::Ended(outcome);
        }
    }

    /// Checks whether the instance that runs a claimed request is still alive and still running it.
    fn check_entry(
        &mut self,
        key: ClaimKey,
        req: &ClaimRequest,
        now: Moment,
        actions: &mut Vec<ClaimAction>,
    ) {
        let check_every = self.cfg.check_every;
        let Some(claim) = self.claims.get_mut(&key) else {
            return;
        };
        let (entry, attempt) = (&claim.entry, claim.attempt);
        let runs = claim.state == ClaimState::Running && attempt != req.attempt;
        if !runs || now < claim.check_at {
            return;
        }
        claim.check_at = now + check_every;
        actions.push(ClaimAction::QueryAttempt {
            entry: entry.clone(),
            key,
            attempt,
        });
        let name = ObjectName::Lease(entry.clone());
        let call = self.leases.call(PlatformOp::Read(name));
        self.lease_reads.insert(call.id, key);
        actions.push(ClaimAction::Call(call));
    }

    fn on_reply(
        &mut self,
        call: CallId,
        result: PlatformResult,
        now: Moment,
        actions: &mut Vec<ClaimAction>,
    ) {
        if let Some(key) = self.lease_reads.remove(&call) {
            self.on_lease(key, result);
            return;
        }
        let (event, next) = self.log.on_reply(call, result, now);
        actions.extend(next.map(ClaimAction::Call));
        match event {
            None => {}
            Some(LogEvent::Loaded(pages)) => self.on_loaded(pages, now, actions),
            Some(LogEvent::Recorded(page)) => self.on_recorded(&page, actions),
            Some(LogEvent::Failed) => {
                self.failing_since.get_or_insert(now);
            }
            Some(LogEvent::Superseded) => self.on_superseded(actions),
        }
    }

    /// Ends a claim as unknown if the lease of its entry instance has ended: no outcome will be
    /// reported any more.
    fn on_lease(&mut self, key: ClaimKey, result: PlatformResult) {
        let gone = match result {
            PlatformResult::Found(StoredObject {
                object: Object::Lease(lease),
                ..
            }) => !lease.state.is_live(),
            PlatformResult::NotFound => true,
            _ => false,
        };
        let Some(claim) = self.claims.get(&key).filter(|_| gone) else {
            return;
        };
        if claim.state == ClaimState::Running {
            self.on_ended(key, claim.attempt, ClaimOutcome::Unknown);
        }
    }

    fn on_loaded(&mut self, pages: Vec<ClaimPage>, now: Moment, actions: &mut Vec<ClaimAction>) {
        self.failing_since = None;
        self.ready = true;
        if !self.bugs.has(Bug::ClaimsNotRead) {
            for page in pages {
                self.load(page, now);
            }
        }
        for (req, _) in std::mem::take(&mut self.queued) {
            self.on_request(req, now, actions);
        }
    }

    fn load(&mut self, page: ClaimPage, now: Moment) {
        for entry in page.entries {
            match entry {
                ClaimEntry::Claimed {
                    key,
                    fingerprint,
                    attempt,
                    entry,
                } => {
                    let claim = TrackedClaim {
                        fingerprint,
                        attempt,
                        entry,
                        state: ClaimState::Running,
                        last_page: Some(page.name.sequence),
                        check_at: now,
                    };
                    self.claims.insert(key, claim);
                }
                ClaimEntry::Ended { key, outcome } => {
                    if outcome == ClaimOutcome::NotRun {
                        self.claims.remove(&key);
                    } else if let Some(claim) = self.claims.get_mut(&key) {
                        claim.state = ClaimState::Ended(outcome);
                        claim.last_page = Some(page.name.sequence);
                    }
                }
            }
        }
    }

    fn on_recorded(&mut self, page: &ClaimPage, actions: &mut Vec<ClaimAction>) {
        self.failing_since = None;
        for entry in &page.entries {
            let (ClaimEntry::Claimed { key, .. } | ClaimEntry::Ended { key, .. }) = entry;
            let Some(claim) = self.claims.get_mut(key) else {
                continue;
            };
            claim.last_page = Some(page.name.sequence);
            let (ClaimEntry::Claimed { attempt, entry, .. }, ClaimState::Recording { .. }) =
                (entry, &claim.state)
            else {
                continue;
            };
            if claim.attempt == *attempt {
                claim.state = ClaimState::Running;
                actions.push(ClaimAction::Answer {
                    entry: entry.clone(),
                    attempt: *attempt,
                    answer: ClaimAnswer::Granted,
                });
            }
        }
    }

    fn on_superseded(&mut self, actions: &mut Vec<ClaimAction>) {
        self.superseded = true;
        for (key, claim) in std::mem::take(&mut self.claims) {
            if claim.refuse_at().is_some() {
                actions.push(self.refuse(&claim.request(key)));
            }
        }
        actions.push(ClaimAction::Superseded);
    }

    /// Refuses requests that have waited too long; the refusal is their final answer.
    fn refuse_overdue(&mut self, now: Moment, actions: &mut Vec<ClaimAction>) {
        while let Some((req, _)) = self.queued.pop_front_if(|(_, at)| now >= *at) {
            actions.push(self.refuse(&req));
        }
        while let Some((refuse_at, key)) = self.recording.pop_front_if(|(at, _)| now >= *at) {
            let claim = self.claims.get(&key);
            let waits = claim.filter(|claim| claim.refuse_at() == Some(refuse_at));
            let Some(claim) = waits.cloned() else {
                continue;
            };
            // The write of the claim may still succeed, so its end as not run is recorded too.
            self.on_ended(key, claim.attempt, ClaimOutcome::NotRun);
            actions.push(self.refuse(&claim.request(key)));
        }
    }

    fn advance(&mut self, now: Moment, actions: &mut Vec<ClaimAction>) {
        if self.superseded || self.log.is_superseded() {
            return;
        }
        actions.extend(self.log.advance(now).map(ClaimAction::Call));
        if !self.log.is_idle() {
            return;
        }
        self.delete_expired_pages(now, actions);
        if !self.unrecorded.is_empty() && now >= self.commit_at {
            let count = self.unrecorded.len().min(self.cfg.max_page_entries);
            let entries = self.unrecorded.drain(..count).collect();
            self.commit_at = now + self.cfg.commit_every;
            actions.push(ClaimAction::Call(self.log.append(entries)));
        }
    }

    /// Deletes the oldest pages whose claims have all been kept for the retention period.
    fn delete_expired_pages(&mut self, now: Moment, actions: &mut Vec<ClaimAction>) {
        let old: Vec<_> = self.log.pages_before(now - self.cfg.retention).collect();
        for sequence in old {
            let running = self.claims.values().any(|claim| {
                claim.last_page == Some(sequence) && claim.state == ClaimState::Running
            });
            if running {
                return;
            }
            self.claims
                .retain(|_, claim| claim.last_page != Some(sequence));
            actions.extend(self.log.delete_oldest().map(ClaimAction::Call));
        }
    }

    fn retry_after_ms(&self) -> u64 {
        u64::try_from(self.cfg.retry_after.as_millis()).unwrap_or(u64::MAX)
    }

    fn refuse(&self, req: &ClaimRequest) -> ClaimAction {
        let retry_after_ms = self.retry_after_ms();
        answer_to(req, ClaimAnswer::NotNow { retry_after_ms })
    }
}

fn answer_to(req: &ClaimRequest, answer: ClaimAnswer) -> ClaimAction {
    ClaimAction::Answer {
        entry: req.entry.clone(),
        attempt: req.attempt,
        answer,
    }
}
