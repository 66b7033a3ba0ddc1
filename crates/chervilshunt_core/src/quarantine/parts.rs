//! Parts of prompts that crash every target that begins to answer a request with them.
//!
//! Each request with such a part is another one, so that none is ever seen twice. What tells the part from
//! the others that were in progress at a crash: no target has begun to answer a request with it and lived on.

use chervilshunt_model::Moment;

use super::fingerprint::Fingerprint;
use super::run::CrashedRun;
use super::state::{Quarantine, Suspect, Tracked};

impl Quarantine {
    /// Records that a run of a target crashed just after it had begun to answer a request with these parts.
    /// Returns those whose crashes must be written to the platform.
    ///
    /// Runs count, and not targets: a service of few targets that are soon back has no others to crash.
    pub fn record_part_crash(
        &mut self,
        parts: &[Fingerprint],
        run: &CrashedRun,
        now: Moment,
    ) -> Vec<Fingerprint> {
        let mut recorded = Vec::new();
        for part in parts {
            if self.is_exempt(*part, now) || !self.may_track(*part, run) {
                continue;
            }
            let known = self.suspects.entry(*part);
            let known = known.or_insert_with(|| Tracked::new(Suspect::Part, now));
            if known.add(run.clone(), now) {
                known.count_round(self.cfg.round_time, now);
                recorded.push(*part);
            }
        }
        recorded
    }

    /// Records that a target has lived on after it began, at `begun_at`, to answer a request with these
    /// parts. Returns those that are cleared by it.
    pub fn record_parts_survived(
        &mut self,
        parts: &[Fingerprint],
        begun_at: Moment,
    ) -> Vec<Fingerprint> {
        let mut released = Vec::new();
        for part in parts {
            self.cleared.shift_remove(part);
            self.cleared.insert(*part, begun_at);
            if self.cleared.len() > self.cfg.max_cleared {
                self.cleared.shift_remove_index(0);
            }
            let known = self.suspects.get(part);
            if known.is_some_and(|it| begun_at + self.cfg.clearing_margin >= it.crashed_at) {
                released.push(*part);
            }
        }
        released
    }

    /// Records the parts of a request, so that it is known how often each comes.
    pub fn record_request_parts(&mut self, parts: &[Fingerprint]) {
        if !parts.is_empty() {
            self.recent.record(parts);
        }
    }

    /// Returns the parts for which a request with these parts is refused; none if it may run.
    ///
    /// Parts that come with the one at fault are in its crashes too. A part does not count while another one
    /// explains its crashes, unless the request has that one as well.
    pub fn refused_parts(&self, parts: &[Fingerprint], now: Moment) -> Vec<Fingerprint> {
        let refused = parts.iter().copied();
        let refused = refused.filter(|part| {
            let known = self.suspects.get(part);
            known.is_some_and(|it| self.is_refused_part(*part, it, now))
                && self.counts(*part, parts, now)
        });
        refused.collect()
    }

    /// Returns until when a part is refused.
    pub fn part_refused_until(&self, part: Fingerprint) -> Option<Moment> {
        self.suspects.get(&part).map(|it| self.expires_at(it))
    }

    /// Returns whether one request with these refused parts may be tried, and remembers that if so. Without
    /// it, a part that is refused wrongly would never be cleared. Only one instance may ask.
    pub fn try_refused_parts(&mut self, refused: &[Fingerprint], now: Moment) -> bool {
        let are_due = refused.iter().all(|part| self.is_trial_due(*part, now));
        if are_due {
            for part in refused {
                if let Some(known) = self.suspects.get_mut(part) {
                    known.tried_at = Some(now);
                }
            }
        }
        are_due
    }

    fn is_trial_due(&self, part: Fingerprint, now: Moment) -> bool {
        let Some(known) = self.suspects.get(&part) else {
            return false;
        };
        let (first, failed) = if self.recent.is_common(part) {
            (self.cfg.first_trial_of_common_after, known.failed_trials)
        } else {
            // So many crashes, one after the other, leave little doubt: they are as good as a trial.
            let record = &known.record;
            let is_sure = record.targets.len() >= SURE_CRASHES && record.rounds >= SURE_ROUNDS;
            let failed = known.failed_trials + u32::from(is_sure);
            (self.cfg.first_trial_after, failed)
        };
        let wait = first * self.cfg.trial_factor.saturating_pow(failed);
        let is_pending = |at: Moment| now.since(at) < self.cfg.trial_timeout;
        now >= known.crashed_at + wait && !known.tried_at.is_some_and(is_pending)
    }

    /// Returns whether a part is refused: after some rounds of crashes, or one less if they were many and the
    /// part is not in most requests anyway. A quick sequence of crashes may look like one round.
    fn is_refused_part(&self, part: Fingerprint, known: &Tracked, now: Moment) -> bool {
        if known.record.suspect != Suspect::Part || now >= self.expires_at(known) {
            return false;
        }
        let were_many = known.record.targets.len() >= MANY_CRASHES && !self.recent.is_common(part);
        known.record.rounds + u32::from(were_many) >= self.cfg.part_crash_rounds
    }

    /// Returns whether a part of a request counts: no other refused part that the request lacks explains its
    /// crashes.
    fn counts(&self, part: Fingerprint, parts: &[Fingerprint], now: Moment) -> bool {
        let others = self.suspects.iter().filter(|(it, _)| !parts.contains(*it));
        let mut others = others.filter(|(other, it)| self.is_refused_part(**other, it, now));
        !others.any(|(other, _)| self.explains(*other, part))
    }

    /// Returns whether a part explains the crashes of another one: it is in all of them; or in nearly all, has
    /// clearly more of its own, and is in most requests with the other one; or in half of them while the other
    /// one is in most requests, and so in most crashes by chance.
    ///
    /// A part of requests that wait at many targets is in many crashes beside the part at fault, but seldom in
    /// the same request.
    fn explains(&self, part: Fingerprint, other: Fingerprint) -> bool {
        let targets = |it: Fingerprint| self.suspects.get(&it).map(|it| &it.record.targets);
        let (Some(of_part), Some(of_other)) = (targets(part), targets(other)) else {
            return false;
        };
        let is_of_part = |run: &&CrashedRun| of_part.iter().any(|it| it.is_same(run));
        let common = of_other.iter().filter(is_of_part).count();
        let share = common as f64 / of_other.len() as f64;
        let is_in_more = of_part.len() >= of_other.len() + MORE_CRASHES;
        let is_far_rarer = self.recent.is_common(other) && !self.recent.is_common(part);
        common == of_other.len()
            || (is_in_more && share >= NEARLY_ALL && self.recent.comes_with(other, part))
            || (is_far_rarer && share >= HALF)
    }

    fn is_exempt(&self, part: Fingerprint, now: Moment) -> bool {
        let cleared = self.cleared.get(&part);
        cleared.is_some_and(|begun_at| now.since(*begun_at) <= self.cfg.cleared_for)
    }

    /// Returns whether a part may come under suspicion with a crash. One that is suspected
    /// already always may.
    fn may_track(&mut self, part: Fingerprint, run: &CrashedRun) -> bool {
        if self.suspects.contains_key(&part) {
            return true;
        }
        if self.suspects.len() >= self.cfg.max_requests {
            return false;
        }
        if !self.parts_by_crash.contains_key(run)
            && self.parts_by_crash.len() >= MAX_REMEMBERED_CRASHES
        {
            self.parts_by_crash.shift_remove_index(0);
        }
        let parts = self.parts_by_crash.entry(run.clone()).or_default();
        *parts += 1;
        *parts <= self.cfg.max_parts_per_crash
    }
}

/// Number of crashes of a part that is not in most requests from which on one round less is enough.
const MANY_CRASHES: usize = 6;
/// Number of such crashes that are as good as a trial. A service that fails as a whole brings a part into
/// several at once, so that it has to be more than for a refusal.
const SURE_CRASHES: usize = 8;
const SURE_ROUNDS: u32 = 6;
/// Number of crashes by which a part has clearly more than another one.
const MORE_CRASHES: usize = 2;
/// Share of a part's crashes that are nearly all of them: instances learn of crashes one after the other.
const NEARLY_ALL: f64 = 0.75;
/// Half of a part's crashes.
const HALF: f64 = 0.5;
/// Number of crashes of which it is remembered how many parts they brought under suspicion.
const MAX_REMEMBERED_CRASHES: usize = 256;
