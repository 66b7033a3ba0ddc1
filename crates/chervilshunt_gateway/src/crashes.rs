//! Detects requests that crash targets, and writes the crash records.
//!
//! See `docs/design/quarantine.md`.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilshunt_core::{
    Crash, CrashedRun, FRESH_ANSWER_AGE, Fingerprint, PartId, SETTLE_TIME, SettlingNumber,
    StoredCrashes,
};
use chervilshunt_model::{Moment, TargetName};
use chervilshunt_platform::{Exchange, PlatformError};
use tokio::sync::mpsc;

use crate::run_check::{RunState, TargetRun, check_run};
use crate::shared::Shared;
use crate::store::{StoreAnswer, call_once};

/// Capacity of the queue of signals; far more than the requests that are open at one target.
const QUEUE_CAPACITY: usize = 1_024;
/// Time after the end of a connection before its target is asked for a sign of life. Requests whose connections
/// ended together share one check.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// How long it may take until something shows whether a target has crashed. A process that crashed is mostly
/// back within seconds; later starts have other causes.
const CHECK_LIMIT: Duration = Duration::from_secs(10);
/// Maximum number of runs of targets that are checked at a time, and of requests that wait for one check.
const MAX_CHECKED_RUNS: usize = 256;
const MAX_ENDED_REQUESTS: usize = 256;
/// Timeout of one write of a record.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed write, and the maximum number of writes of a record: about half a minute in
/// total.
const RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_WRITES: u32 = 30;
/// Delay after a conflict, by which a record written by another instance is known here.
const CONFLICT_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Why an answer counts as interrupted whose connection has ended in order.
pub(crate) const TARGET_ENDED: &str = "the target's process has ended with the connection";
/// The same if nothing has shown in time whether the process has ended.
pub(crate) const END_UNKNOWN: &str = "not known whether the target's process has ended";

/// A request whose target's connection ended, which may have crashed the target.
#[derive(Debug)]
pub(crate) struct EndedRequest {
    pub(crate) run: TargetRun,
    pub(crate) sent_at: Moment,
    /// When the connection ended.
    pub(crate) ended_at: Moment,
    /// The crash, if the request itself is suspected: its target had not begun to answer it.
    pub(crate) crash: Option<Crash>,
    /// The shared parts of its prompt, if they are suspected: its target had just begun to answer it, or was
    /// about to.
    pub(crate) parts: Vec<PartId>,
    /// Whether the head of the answer had come. Without it the request may have waited at its target.
    pub(crate) had_head: bool,
}

/// An observation of traffic about a request.
#[derive(Debug)]
pub(crate) enum CrashObservation {
    /// A target's connection ended during a request.
    ConnectionEnded(EndedRequest),
    /// A target has answered the request, or requests with the part, and lives on.
    Served(Fingerprint),
}

/// The sending end of the queue of observations.
#[derive(Clone, Debug)]
pub(crate) struct CrashObservationSender(mpsc::Sender<CrashObservation>);

impl CrashObservationSender {
    /// Creates the queue and returns both ends.
    pub(crate) fn new() -> (Self, mpsc::Receiver<CrashObservation>) {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        (Self(tx), rx)
    }
}

/// Returns what identifies parts in crash records.
pub(crate) fn fingerprints(parts: &[PartId]) -> Vec<Fingerprint> {
    parts.iter().map(PartId::fingerprint).collect()
}

impl Shared {
    /// Records that a target has begun to answer a request with these parts.
    pub(crate) fn answer_began(
        self: &Arc<Self>,
        target: &TargetName,
        parts: &[PartId],
    ) -> Option<SettlingNumber> {
        if parts.is_empty() {
            return None;
        }
        let now = self.clock.now();
        let number = self.settling().began(target, &fingerprints(parts), now);
        if self.quarantine().is_empty() {
            self.settle_answers();
        } else {
            // A part that is suspected should be cleared as soon as it can be.
            let shared = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(SETTLE_TIME).await;
                shared.settle_answers();
            });
        }
        number
    }

    /// Clears the parts of answers whose targets have lived on.
    pub(crate) fn settle_answers(&self) {
        let now = self.clock.now();
        let settled = {
            let dispatch = self.dispatch();
            self.settling()
                .take_settled(now, |target| dispatch.last_received_at(target))
        };
        for (parts, begun_at) in settled {
            let released = self.quarantine().record_parts_survived(&parts, begun_at);
            for part in released {
                self.queue_crash_observation(CrashObservation::Served(part));
            }
        }
    }

    /// Returns whether a target was last heard so soon after it had begun an answer, if it has, that the answer
    /// may have crashed it. Its connections may end long after that.
    pub(crate) fn is_fresh_answer(&self, target: &TargetName, begun_at: Option<Moment>) -> bool {
        let Some(begun_at) = begun_at else {
            return true;
        };
        let received_at = self.dispatch().last_received_at(target);
        received_at.is_none_or(|at| at <= begun_at + FRESH_ANSWER_AGE)
    }

    /// Records that a target's connection ended: it may have crashed, and what it has begun lately clears no
    /// part.
    pub(crate) fn connection_ended(&self, target: &TargetName) {
        self.settle_answers();
        self.settling().connection_ended(target);
    }

    /// Queues an observation.
    pub(crate) fn queue_crash_observation(&self, sign: CrashObservation) {
        if let Err(error) = self.crash_observations.0.try_send(sign) {
            slog::warn!(self.log, "crash observation dropped"; "reason" => error.to_string());
        }
    }
}

/// Processes observations for as long as the process runs.
pub(crate) async fn record_crashes(
    shared: Arc<Shared>,
    exchange: Arc<Exchange>,
    mut observations: mpsc::Receiver<CrashObservation>,
) {
    let recorder = Recorder {
        shared,
        exchange,
        checks: Arc::default(),
    };
    while let Some(sign) = observations.recv().await {
        let recorder = recorder.clone();
        match sign {
            CrashObservation::ConnectionEnded(ended) => recorder.connection_ended(ended),
            CrashObservation::Served(fingerprint) => {
                tokio::spawn(async move { recorder.release(fingerprint).await });
            }
        }
    }
}

/// Writes a crash record again that the platform has lost.
pub(crate) async fn rewrite_record(
    shared: Arc<Shared>,
    exchange: Arc<Exchange>,
    fingerprint: Fingerprint,
) {
    record(&shared, &exchange, fingerprint).await;
}

/// The requests that wait for the check of each run of a target.
type Checks = HashMap<TargetRun, Vec<EndedRequest>>;

#[derive(Clone)]
struct Recorder {
    shared: Arc<Shared>,
    exchange: Arc<Exchange>,
    checks: Arc<Mutex<Checks>>,
}

impl Recorder {
    fn checks(&self) -> MutexGuard<'_, Checks> {
        self.checks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has it checked whether a target's process has ended, unless that is being checked already.
    ///
    /// Connections also end without an answer if a target or the network resets them.
    fn connection_ended(self, ended: EndedRequest) {
        let run = ended.run.clone();
        let mut checks = self.checks();
        if let Some(waiting) = checks.get_mut(&run) {
            if waiting.len() < MAX_ENDED_REQUESTS {
                waiting.push(ended);
            } else {
                self.report_dropped(&run, 1, "too many requests");
            }
            return;
        }
        if checks.len() >= MAX_CHECKED_RUNS {
            self.report_dropped(&run, 1, "too many targets");
            return;
        }
        checks.insert(run.clone(), vec![ended]);
        drop(checks);
        tokio::spawn(async move { self.check(run).await });
    }

    async fn check(&self, run: TargetRun) {
        loop {
            tokio::time::sleep(GATHER_TIME).await;
            let ended_at = self.checks().get(&run).and_then(|it| last_end(it));
            let Some(ended_at) = ended_at else {
                return;
            };
            let state = check_run(&self.shared, &run, ended_at, CHECK_LIMIT).await;
            let (concluded, is_last) = self.take_concluded(&run, state, ended_at);
            match state {
                RunState::Ended => return self.record_crashed(&run, concluded).await,
                RunState::Alive => {}
                RunState::Unknown => {
                    self.report_dropped(&run, concluded.len(), "not known whether it crashed");
                }
            }
            if is_last {
                return;
            }
        }
    }

    /// Removes the requests of a run about which its state is known now, and returns them and whether none is
    /// left. That a run was alive shows nothing about connections that ended later.
    fn take_concluded(
        &self,
        run: &TargetRun,
        state: RunState,
        ended_at: Moment,
    ) -> (Vec<EndedRequest>, bool) {
        let mut checks = self.checks();
        let waiting = checks.remove(run).unwrap_or_default();
        let (concluded, later): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|it| state == RunState::Ended || it.ended_at <= ended_at);
        let is_last = later.is_empty();
        if !is_last {
            checks.insert(run.clone(), later);
        }
        (concluded, is_last)
    }

    /// Records a crash under the requests that were in progress.
    async fn record_crashed(&self, run: &TargetRun, mut requests: Vec<EndedRequest>) {
        // Of those that may have waited, the target has most likely begun the one that was sent first.
        requests.sort_by_key(|it| (!it.had_head, it.sent_at));
        let crashed = CrashedRun::new(run.target.clone(), run.started);
        let mut records = Vec::new();
        for request in requests {
            let at = request.ended_at;
            if let Some(crash) = request.crash {
                records.extend(self.record_crash(crash, at));
            }
            records.extend(self.record_part_crash(&crashed, &request.parts, at));
        }
        metrics::counter!("chervilshunt_target_crashes_total").increment(1);
        let writes = records
            .into_iter()
            .map(|it| record(&self.shared, &self.exchange, it));
        futures_util::future::join_all(writes).await;
    }

    fn report_dropped(&self, run: &TargetRun, requests: usize, reason: &'static str) {
        slog::warn!(self.shared.log, "possible crash dropped";
            "target" => run.target.as_str(), "requests" => requests, "reason" => reason);
        metrics::counter!("chervilshunt_possible_crashes_dropped_total").increment(1);
    }

    /// Returns the record to write, if it must be.
    fn record_crash(&self, crash: Crash, at: Moment) -> Option<Fingerprint> {
        let is_to_record = self.shared.quarantine().record_crash(crash.clone(), at);
        slog::info!(self.shared.log, "target crashed";
            "target" => crash.target.as_str(), "content" => crash.fingerprint.to_string(),
            "has_run" => crash.has_run, "recorded" => is_to_record);
        is_to_record.then_some(crash.fingerprint)
    }

    /// Returns the records of parts to write.
    fn record_part_crash(
        &self,
        run: &CrashedRun,
        parts: &[PartId],
        at: Moment,
    ) -> Vec<Fingerprint> {
        let fingerprints = fingerprints(parts);
        let mut quarantine = self.shared.quarantine();
        let recorded = quarantine.record_part_crash(&fingerprints, run, at);
        drop(quarantine);
        for part in parts
            .iter()
            .filter(|it| recorded.contains(&it.fingerprint()))
        {
            slog::info!(self.shared.log, "target crashed beginning to answer";
                "target" => run.target().as_str(), "part" => part.to_string(),
                "content" => part.fingerprint().to_string());
            metrics::counter!("chervilshunt_suspected_parts_total").increment(1);
        }
        recorded
    }

    /// Releases a request that a target has begun to answer, because it has not crashed that
    /// target.
    async fn release(&self, fingerprint: Fingerprint) {
        if !self.shared.quarantine().release(fingerprint) {
            return;
        }
        slog::info!(self.shared.log, "request released";
            "content" => fingerprint.to_string(), "reason" => "served");
        remove_record(&self.shared, &self.exchange, fingerprint).await;
    }
}

/// Returns when the last of the connections ended.
fn last_end(ended: &[EndedRequest]) -> Option<Moment> {
    ended.iter().map(|it| it.ended_at).max()
}

/// Finds out whether a target's process goes on after the end of an answer that states neither a length nor
/// chunks. It looks the same if the process was killed in the middle of the answer, and whether a leaving target has
/// exited after its last answer or in the middle of it.
///
/// The caller has the bytes and waits for the end only, so that `limit` is the time that the request has left.
pub(crate) async fn check_answer_end(
    shared: Arc<Shared>,
    run: TargetRun,
    limit: Duration,
) -> RunState {
    let ended_at = shared.clock.now();
    check_run(&shared, &run, ended_at, limit).await
}

/// Writes everything that is known of a request's crashes, merged with the records of other
/// instances.
async fn record(shared: &Shared, exchange: &Exchange, fingerprint: Fingerprint) {
    let store = &shared.dialect.store;
    for _ in 0..MAX_WRITES {
        let Some(crashes) = shared.quarantine().record_to_store(fingerprint) else {
            return;
        };
        let call = (store.write_crashes)(&crashes);
        let error = match call_once(exchange, store, &call, WRITE_TIMEOUT).await {
            Ok(answer) => return written(shared, crashes, &answer),
            Err(error) => error,
        };
        slog::info!(shared.log, "crash record not written";
            "content" => fingerprint.to_string(), "reason" => error.to_string());
        let pause = match error {
            // Another instance has written the record; the follower of crash records reports
            // its version shortly.
            PlatformError::Conflict { .. }
            | PlatformError::AlreadyExists { .. }
            | PlatformError::NotFound { .. } => CONFLICT_RETRY_DELAY,
            _ => RETRY_DELAY,
        };
        tokio::time::sleep(pause).await;
    }
}

fn written(shared: &Shared, crashes: StoredCrashes, answer: &StoreAnswer) {
    let now = shared.clock.now();
    match (shared.dialect.store.decode_crashes)(answer.era, &answer.body) {
        Ok(stored) => {
            shared.quarantine().merge_stored(stored, now);
        }
        Err(malformed) => slog::warn!(shared.log, "crash record can't be decoded";
            "content" => crashes.fingerprint.to_string(), "problem" => malformed.to_string()),
    }
}

/// Removes the crash record of a request.
pub(crate) async fn remove_record(shared: &Shared, exchange: &Exchange, fingerprint: Fingerprint) {
    let call = (shared.dialect.store.remove_crashes)(fingerprint);
    match call_once(exchange, &shared.dialect.store, &call, WRITE_TIMEOUT).await {
        Ok(_) | Err(PlatformError::NotFound { .. }) => {}
        Err(error) => slog::info!(shared.log, "crash record not removed";
            "content" => fingerprint.to_string(), "reason" => error.to_string()),
    }
}
