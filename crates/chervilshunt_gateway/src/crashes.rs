//! Detects requests that crash targets, and writes the crash records.
//!
//! See `docs/design/quarantine.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{
    Crash, CrashedRun, Fingerprint, PartId, SETTLE_TIME, SettlingNumber, StoredCrashes,
    TargetFacts, TargetStart,
};
use chervilshunt_model::{Moment, TargetName};
use chervilshunt_platform::{Exchange, PlatformError};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;

use crate::shared::Shared;
use crate::store::{StoreAnswer, call_once};
use crate::transit::probe;

/// Capacity of the queue of signals; far more than the requests that are open at one target.
const QUEUE_CAPACITY: usize = 1_024;
/// Timeout of the connection that checks whether a target's process has ended.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time in which a process that was killed closes its listener after a connection.
const EXIT_TIME: Duration = Duration::from_millis(10);
/// Number of other targets that are tried before one counts as crashed.
const COMPARED_TARGETS: usize = 3;
/// How long the platform may take to show that a target has started again whose address refused connections
/// like those of all others. A process that crashed is mostly back within seconds; later starts have other
/// causes.
const RESTART_WAIT: Duration = Duration::from_secs(10);
/// Interval at which that is checked. Crashes have to be known within 3 s.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of requests that wait for that. A crash brings few: its target was about to answer, or had
/// just begun to.
const MAX_AWAITED_RESTARTS: usize = 256;
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

/// A request whose target's connection ended, which may have crashed the target.
#[derive(Debug)]
pub(crate) struct EndedRequest {
    /// The target.
    pub(crate) target: TargetName,
    /// The target's address.
    pub(crate) address: SocketAddr,
    /// The start of the target when the request was sent.
    pub(crate) started: Option<TargetStart>,
    /// When the connection ended.
    pub(crate) ended_at: Moment,
    /// The crash, if the request itself is suspected: its target had not begun to answer it.
    pub(crate) crash: Option<Crash>,
    /// The shared parts of its prompt, if they are suspected: its target had just begun to answer it.
    pub(crate) parts: Vec<PartId>,
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
        let settled = self.settling().take_settled(self.clock.now());
        for (parts, begun_at) in settled {
            let released = self.quarantine().record_parts_survived(&parts, begun_at);
            for part in released {
                self.queue_crash_observation(CrashObservation::Served(part));
            }
        }
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
    let awaited_restarts = Arc::new(Semaphore::new(MAX_AWAITED_RESTARTS));
    while let Some(sign) = observations.recv().await {
        let recorder = Recorder {
            shared: Arc::clone(&shared),
            exchange: Arc::clone(&exchange),
            awaited_restarts: Arc::clone(&awaited_restarts),
        };
        tokio::spawn(async move {
            match sign {
                CrashObservation::ConnectionEnded(ended) => recorder.record_if_crashed(ended).await,
                CrashObservation::Served(fingerprint) => recorder.release(fingerprint).await,
            }
        });
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

struct Recorder {
    shared: Arc<Shared>,
    exchange: Arc<Exchange>,
    /// Permits to wait for restarts of targets.
    awaited_restarts: Arc<Semaphore>,
}

impl Recorder {
    /// Records a crash if the target's process has ended.
    ///
    /// Connections also end without an answer if a target or the network resets them.
    async fn record_if_crashed(&self, ended: EndedRequest) {
        let client = self.shared.engines.client(ended.address);
        let is_refused = client.is_refused(CHECK_TIMEOUT).await;
        self.report_check(&ended, is_refused);
        if !is_refused {
            return;
        }
        if !reaches_others(&self.shared, &ended.target).await {
            slog::info!(self.shared.log, "target not reached, like all others";
                "target" => ended.target.as_str(),
                "content" => ended.crash.as_ref().map(|it| it.fingerprint.to_string()));
            if !self.has_restarted(&ended).await {
                return;
            }
            self.report_restart(&ended);
        }
        let EndedRequest {
            target,
            started,
            ended_at,
            crash,
            parts,
            ..
        } = ended;
        let run = CrashedRun::new(target, started);
        let mut records = Vec::new();
        if let Some(crash) = crash {
            records.extend(self.record_crash(crash, ended_at));
        }
        records.extend(self.record_part_crash(&run, &parts, ended_at));
        metrics::counter!("chervilshunt_target_crashes_total").increment(1);
        let writes = records
            .into_iter()
            .map(|it| record(&self.shared, &self.exchange, it));
        futures_util::future::join_all(writes).await;
    }

    /// Waits until the platform shows that the target's run has ended, and returns false if it does not.
    ///
    /// If all targets of a service crash at once, this instance reaches none of them, as if its own links had
    /// failed. Only a target that crashed starts again.
    async fn has_restarted(&self, ended: &EndedRequest) -> bool {
        let Ok(_permit) = self.awaited_restarts.try_acquire() else {
            return false;
        };
        let checks = async {
            while !self
                .shared
                .dispatch()
                .has_run_ended(&ended.target, ended.started)
            {
                tokio::time::sleep(RESTART_CHECK_INTERVAL).await;
            }
        };
        tokio::time::timeout(RESTART_WAIT, checks).await.is_ok()
    }

    /// Reports what was found at the address of a target whose connection ended.
    fn report_check(&self, ended: &EndedRequest, is_refused: bool) {
        let found = if is_refused { "refused" } else { "not_refused" };
        let after = self.shared.clock.now().since(ended.ended_at);
        slog::info!(self.shared.log, "address of target checked";
            "target" => ended.target.as_str(), "found" => found,
            "after_ms" => after.as_millis() as u64,
            "content" => ended.crash.as_ref().map(|it| it.fingerprint.to_string()),
            "suspected_parts" => ended.parts.len());
        metrics::counter!("chervilshunt_crash_checks_total", "found" => found).increment(1);
    }

    fn report_restart(&self, ended: &EndedRequest) {
        let after = self.shared.clock.now().since(ended.ended_at);
        slog::info!(self.shared.log, "target not reached has restarted";
            "target" => ended.target.as_str(), "after_ms" => after.as_millis() as u64);
        metrics::counter!("chervilshunt_crashes_shown_by_restarts_total").increment(1);
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

/// Returns whether this instance reaches another target of the service, if there is any. To an
/// instance that has lost its links, all targets refuse connections, and every request that was
/// in progress would be taken for one that crashes targets.
async fn reaches_others(shared: &Arc<Shared>, target: &TargetName) -> bool {
    let others = shared
        .dispatch()
        .targets_to_compare(target, COMPARED_TARGETS, rand::random);
    if others.is_empty() {
        return true;
    }
    let probes = others.into_iter().map(|it| probe(Arc::clone(shared), it));
    let answers = JoinSet::from_iter(probes).join_all().await;
    answers.contains(&true)
}

/// Returns whether a target's process has ended together with a connection of it.
///
/// The end of a connection is that of an answer which states neither a length nor chunks. It looks the same
/// if the process was killed in the middle of the answer.
pub(crate) async fn has_crashed(
    shared: Arc<Shared>,
    target: TargetName,
    address: SocketAddr,
) -> bool {
    let stays = |it: &TargetFacts| it.leaving.is_none();
    if !shared.dispatch().target(&target).is_some_and(stays) {
        // It may have answered its last request and exited.
        return false;
    }
    tokio::time::sleep(EXIT_TIME).await;
    let client = shared.engines.client(address);
    client.is_refused(CHECK_TIMEOUT).await && reaches_others(&shared, &target).await
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
