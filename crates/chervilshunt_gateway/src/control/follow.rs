//! Follows each kind of objects in the platform's object service.
//!
//! A follower lists the objects once and then makes one call after another that waits for changes.
//! Calls have a cost, so a pause between two of them gathers changes that come in quick succession.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::PollMode;
use chervilshunt_model::StoreRevision;
use chervilshunt_platform::PlatformError;
use slog::Logger;
use tokio::sync::watch;
use tokio::time::Instant;
use xtra::Address;

use super::actor::Control;
use super::contact::Contact;
use super::messages::StoreEvent;
use super::pace::{FollowMode, FollowModeReceivers};
use super::reading::Reader;
use crate::dialect::{Changes, Entry, Freshness, Kind, Malformed, StoreDialect};
use crate::peers::StoreRead;
use crate::shared::Shared;
use crate::store::StoreAnswer;

/// Time that a call waits for changes of targets' entries. They change every second, so that a longer
/// wait saves no calls. These calls also show whether the service answers: a short outage may leave the
/// calls of all other followers unanswered, and nothing shows that before the end of this one.
const TARGETS_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Time that a call waits for changes of the lease. A longer wait would save little, since most calls
/// return early with a change.
const LEASE_WATCH_WAIT: Duration = Duration::from_secs(4);
/// Time that a call waits for changes of rarely changing kinds; at 4 s these calls were half of all
/// calls on a calm day. A dead connection is detected by keep-alive probes within 3 s, independent
/// of this wait.
const RARE_WATCH_WAIT: Duration = Duration::from_secs(15);
/// Interval at which the placer polls targets' entries. The other instances trust a report for one
/// second before they poll themselves. A shorter interval would gain little, because the interval
/// of the reports is added to the delay.
const PLACER_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Time that the placer's calls wait for changes of configuration and versions. The other instances
/// get these changes from the placer, so if an answer is lost, no instance sees the change until
/// the call ends.
const PLACER_RARE_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Time since the last call after which a follower lists the objects again instead of asking for
/// changes. Targets update their entries every second, so the changes of a longer time are larger
/// than the list.
const RELIST_AFTER: Duration = Duration::from_secs(3);
/// Wait of a call that should be answered at once.
const NO_WAIT: Duration = Duration::from_millis(1);
/// Time that an instance waits after its first call for a report from the placer. Without it,
/// instances that start together would each make a needless waiting call.
const FIRST_REPORT_WAIT: Duration = Duration::from_secs(1);
/// Delay after a failed call; it doubles up to the longest delay.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(600);
/// Longest delay after failed calls, per instance of the fleet, so that all instances together make
/// some hundred calls a second to a service that is unavailable.
const BACKOFF_PER_INSTANCE: Duration = Duration::from_micros(7_500);
/// Upper bound of the longest delay in a large fleet. Entries of targets that lapsed during an
/// outage are treated as missing two seconds after the service's return.
const MAX_FLEET_BACKOFF: Duration = Duration::from_millis(1_500);
/// Time after which the probing follower repeats a call that has no answer, on another connection. A call
/// that began just before the end of an outage may never be answered.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after its requested wait in which a call has an answer unless the service fails.
const LATE_AFTER: Duration = Duration::from_millis(500);
/// Time that followers of other kinds wait for the probing follower to reach the service. It is
/// bounded because nothing shows that the probing follower works.
const PROBE_WAIT: Duration = Duration::from_secs(5);
/// Time that a call may take once the service is known to answer calls that began later.
const SUPERSEDED_GRACE: Duration = Duration::from_millis(200);
/// The kind whose follower probes for the service's return.
const PROBING_KIND: Kind = Kind::Targets;

/// Maximum number of unreadable objects that are remembered so that each fault is logged once. It
/// is far more than a faulty program leaves; beyond it the memory is cleared and some faults are
/// logged again.
const MAX_REPORTED_FAULTS: usize = 1_000;

/// Why following has to start over or pause.
#[derive(Debug)]
enum FollowError {
    /// The service no longer has the history from the requested revision.
    Expired,
    /// The call failed.
    Failed(PlatformError),
    /// The answer can't be decoded.
    Unreadable(Malformed),
    /// A call of another follower failed while this one waited.
    OtherKindFailed,
    /// The service has been restored since the revision from which changes were requested.
    Restored,
    /// The answer is from before a restore that is known already.
    Outdated,
    /// The call's wait is longer than the new mode allows.
    ModeChanged,
    /// The service answers calls that began after this one.
    Superseded,
}

impl From<PlatformError> for FollowError {
    fn from(error: PlatformError) -> Self {
        match error {
            PlatformError::Expired { .. } => Self::Expired,
            error => Self::Failed(error),
        }
    }
}

/// What ended the wait after a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryCause {
    /// The follower's own delay.
    Backoff,
    /// A call of another follower was answered.
    OtherCall,
    /// The placer has reported what it sees of the kind.
    Placer,
    /// No other follower reached the service in time.
    Timeout,
}

impl RetryCause {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Backoff => "backoff",
            Self::OtherCall => "other_call",
            Self::Placer => "placer",
            Self::Timeout => "timeout",
        }
    }
}

/// The failed calls of one kind since its last answer.
struct Outage {
    since: Instant,
    failed_calls: u32,
    retry_cause: RetryCause,
    /// Whether a call has been replaced since the last failed one. The next one has its full time, since
    /// the service may be slow for this kind alone.
    has_superseded: bool,
}

/// Follows one kind.
struct Follower {
    kind: Kind,
    dialect: StoreDialect,
    reader: Arc<Reader>,
    control: Address<Control>,
    /// How the follower polls.
    mode: watch::Receiver<FollowMode>,
    /// What the calls of all followers show of the service.
    contact: Contact,
    /// The newest era of the service known to this instance.
    era: watch::Sender<u64>,
    /// How recent the next list has to be.
    freshness: Freshness,
    outage: Option<Outage>,
    shared: Arc<Shared>,
    /// Objects that could not be decoded, each with its last fault.
    reported: HashMap<Arc<str>, String>,
    log: Logger,
}

/// Starts the followers of all kinds on the current runtime.
pub(crate) fn start_followers(
    shared: &Arc<Shared>,
    reader: Reader,
    control: &Address<Control>,
    follow_modes: FollowModeReceivers,
    era: &watch::Sender<u64>,
) {
    let reader = Arc::new(reader);
    let contact = Contact::new();
    for (kind, mode) in follow_modes {
        let follower = Follower {
            kind,
            dialect: shared.dialect.store.clone(),
            reader: Arc::clone(&reader),
            control: control.clone(),
            mode,
            contact: contact.clone(),
            era: era.clone(),
            freshness: first_list_freshness(kind),
            outage: None,
            reported: HashMap::new(),
            log: shared.log.clone(),
            shared: Arc::clone(shared),
        };
        tokio::spawn(follower.run());
    }
}

/// Returns the delay between a change and the next call, in which more changes gather.
///
/// The operators allow seconds to act on a change, so only the kinds whose changes are rare are
/// followed up at once. The lease changes with each renewal, and only the newest one matters; an
/// instance that takes it over waits several times the longest delay anyway.
const fn gather_delay(kind: Kind) -> Duration {
    match kind {
        Kind::Configuration | Kind::Versions | Kind::Crashes => Duration::from_millis(100),
        Kind::Targets => Duration::from_millis(700),
        Kind::Lease => Duration::from_millis(1_800),
    }
}

/// Returns how recent the first list of a kind has to be.
///
/// If nothing waits for it, a cheaper, possibly stale list is enough. Later lists must be current:
/// a list older than the history that the service keeps would lead to another list, and so on.
const fn first_list_freshness(kind: Kind) -> Freshness {
    match kind {
        Kind::Crashes => Freshness::MayBeOld,
        Kind::Configuration | Kind::Targets | Kind::Versions | Kind::Lease => Freshness::Latest,
    }
}

/// Returns how long a call waits for changes.
const fn watch_wait(kind: Kind, mode: FollowMode) -> Duration {
    match (mode, kind) {
        (
            FollowMode::Guided(PollMode::Continuous),
            Kind::Configuration | Kind::Versions | Kind::Crashes,
        ) => RARE_WATCH_WAIT,
        (FollowMode::Guided(PollMode::Continuous), Kind::Targets) => TARGETS_WATCH_WAIT,
        (FollowMode::Guided(PollMode::Continuous), Kind::Lease) => LEASE_WATCH_WAIT,
        (FollowMode::Guided(PollMode::Once | PollMode::Paused), _) => NO_WAIT,
        (FollowMode::Placer, Kind::Configuration | Kind::Versions) => PLACER_RARE_WATCH_WAIT,
        (FollowMode::Placer, Kind::Targets | Kind::Crashes | Kind::Lease) => PLACER_POLL_INTERVAL,
    }
}

impl Follower {
    async fn run(mut self) {
        let mut from: Option<StoreRevision> = None;
        let mut called_at = Instant::now();
        let mut pause = INITIAL_BACKOFF;
        let mut has_called = false;
        loop {
            let (mode, was_paused) = self.next_turn().await;
            let is_of_another_era = from.is_some_and(|it| it.era < *self.era.borrow());
            if is_of_another_era || (was_paused && called_at.elapsed() > RELIST_AFTER) {
                from = None;
            }
            called_at = Instant::now();
            let result = match from {
                None => self.list().await,
                // After a failure the first call does not wait for changes, so that its answer
                // shows at once that the service is back. The grace period of entries that went
                // missing in the meantime counts from then. After a pause, a call that waits could
                // begin within an outage that no other call shows.
                Some(revision) if self.outage.is_some() || was_paused => {
                    self.watch(revision, NO_WAIT).await
                }
                Some(revision) => self.watch(revision, self.watch_wait(mode)).await,
            };
            match result {
                Ok((revision, has_changes)) => {
                    self.contact.answered(Instant::now());
                    if self.outage.is_some() {
                        self.notify(StoreEvent::Recovered(self.kind)).await;
                        self.report_recovered();
                        pause = INITIAL_BACKOFF;
                    }
                    if from.replace(revision).is_none() && !has_called {
                        has_called = true;
                        self.wait_for_first_report().await;
                    }
                    match mode {
                        FollowMode::Placer => {
                            tokio::time::sleep_until(called_at + PLACER_POLL_INTERVAL).await;
                        }
                        FollowMode::Guided(PollMode::Continuous) if has_changes => {
                            tokio::time::sleep(gather_delay(self.kind)).await;
                        }
                        FollowMode::Guided(_) => {}
                    }
                }
                Err(FollowError::Restored) => from = None,
                Err(FollowError::ModeChanged) => {}
                Err(FollowError::Superseded) => {
                    if let Some(outage) = &mut self.outage {
                        outage.has_superseded = true;
                    }
                }
                Err(FollowError::Expired) => {
                    slog::info!(self.log, "history expired"; "kind" => self.kind.as_str());
                    from = None;
                }
                Err(trouble) => {
                    self.report(&trouble, pause == INITIAL_BACKOFF);
                    self.notify(StoreEvent::CallFailed(self.kind)).await;
                    let failed_at = match trouble {
                        FollowError::OtherKindFailed => self.contact.last_failed(),
                        _ => None,
                    };
                    let failed_at = failed_at.unwrap_or(called_at);
                    if !matches!(trouble, FollowError::OtherKindFailed) {
                        self.contact.failed(called_at);
                    }
                    let retry_cause = self.back_off(failed_at, pause).await;
                    self.record_failure(called_at, retry_cause);
                    pause = (pause * 2).min(self.max_backoff());
                }
            }
        }
    }

    /// Returns how long a call waits for changes.
    fn watch_wait(&self, mode: FollowMode) -> Duration {
        let wait = watch_wait(self.kind, mode);
        match (self.kind, self.shared.settings.bounds.max_key_age) {
            // The end of a call confirms the configuration, so there have to be two in this time.
            (Kind::Configuration, Some(max_age)) => wait.min(max_age / 2),
            _ => wait,
        }
    }

    /// Waits until this follower may make its next call. Returns its mode and whether it was
    /// paused.
    async fn next_turn(&mut self) -> (FollowMode, bool) {
        let is_paused = |mode: &FollowMode| *mode == FollowMode::Guided(PollMode::Paused);
        let was_paused = is_paused(&self.mode.borrow());
        if was_paused && self.kind == PROBING_KIND {
            self.contact.set_prober_paused(true);
        }
        let mode = match self.mode.wait_for(|mode| !is_paused(mode)).await {
            Ok(mode) => *mode,
            // The control actor has ended, and this runtime ends with it.
            Err(_) => FollowMode::Guided(PollMode::Continuous),
        };
        if was_paused && self.kind == PROBING_KIND {
            self.contact.set_prober_paused(false);
        }
        (mode, was_paused)
    }

    /// Waits after the first call until the placer has reported, for [`FIRST_REPORT_WAIT`] at most. The
    /// lease's follower doesn't wait, since the lease shows which instance is the placer.
    async fn wait_for_first_report(&mut self) {
        if self.kind == Kind::Lease {
            return;
        }
        let report = tokio::time::timeout(FIRST_REPORT_WAIT, self.mode.changed());
        if let Ok(Err(closed)) = report.await {
            slog::debug!(self.log, "control actor has stopped"; "reason" => closed.to_string());
        }
    }

    /// Waits after a failed call that began at `failed_at`.
    ///
    /// Only one kind's follower probes a service that is unavailable; the others wait until it has
    /// been reached. When all of them probed, outages caused most of a day's calls. Whatever shows that
    /// the service answers ends the wait, so that it never adds to the time since the service's return.
    async fn back_off(&mut self, failed_at: Instant, pause: Duration) -> RetryCause {
        if self.contact.is_answering_since(failed_at) {
            // The service may fail for this kind alone.
            tokio::time::sleep(pause).await;
            return RetryCause::Backoff;
        }
        let is_probing = self.kind == PROBING_KIND;
        let (contact, mode) = (self.contact.clone(), &mut self.mode);
        tokio::select! {
            () = contact.answering_since(failed_at) => RetryCause::OtherCall,
            () = relieved(mode) => RetryCause::Placer,
            () = tokio::time::sleep(pause), if is_probing => RetryCause::Backoff,
            () = unprobed(&contact, failed_at, pause), if !is_probing => RetryCause::Backoff,
            () = tokio::time::sleep(pause + PROBE_WAIT), if !is_probing => RetryCause::Timeout,
        }
    }

    /// Records a failed call, and what ended the wait after it.
    fn record_failure(&mut self, called_at: Instant, retry_cause: RetryCause) {
        metrics::counter!("chervilshunt_platform_follow_retries_total",
            "kind" => self.kind.as_str(), "cause" => retry_cause.as_str())
        .increment(1);
        let outage = self.outage.get_or_insert(Outage {
            since: called_at,
            failed_calls: 0,
            retry_cause,
            has_superseded: false,
        });
        outage.failed_calls += 1;
        outage.has_superseded = false;
        outage.retry_cause = retry_cause;
    }

    /// Logs the first answer after failed calls.
    fn report_recovered(&mut self) {
        let Some(outage) = self.outage.take() else {
            return;
        };
        slog::info!(self.log, "platform available again"; "kind" => self.kind.as_str(),
            "failed_calls" => outage.failed_calls,
            "retry_cause" => outage.retry_cause.as_str(),
            "unanswered_ms" => outage.since.elapsed().as_millis() as u64);
    }

    /// Handles the era of an answer.
    fn check_era(&self, era: u64) -> Result<(), FollowError> {
        let mut is_outdated = false;
        self.era.send_if_modified(|known| {
            is_outdated = era < *known;
            let is_new = era > *known;
            *known = era.max(*known);
            is_new
        });
        if is_outdated {
            return Err(FollowError::Outdated);
        }
        Ok(())
    }

    /// Waits until the service is known to have been restored after an era.
    async fn is_restored_after(&self, era: u64) {
        let mut newest = self.era.subscribe();
        if newest.wait_for(|newest| *newest > era).await.is_err() {
            std::future::pending().await
        }
    }

    /// Waits until this follower's mode is [`FollowMode::Placer`].
    async fn wait_until_placer(&self) {
        let mut mode = self.mode.clone();
        let guiding = mode.wait_for(|mode| *mode == FollowMode::Placer);
        if guiding.await.is_err() {
            std::future::pending().await
        }
    }

    /// Waits until a call of another follower fails, unless this is the probing follower.
    ///
    /// A service that stops responding never answers the calls that were waiting, even after its
    /// return. Without this, a long wait that began just before an outage would keep configuration
    /// changes from this instance until the wait ends.
    async fn other_call_failed(&self) {
        if self.kind == PROBING_KIND {
            return std::future::pending().await;
        }
        self.contact.next_failure().await;
    }

    /// Waits until a call that began at `called_at` is not worth waiting for: the service answers calls
    /// that began later, or the placer reports a change.
    async fn superseded(&self, called_at: Instant) {
        let answers_later = async {
            // Only after a failure: a slow service may answer a later call first.
            match &self.outage {
                Some(outage) if !outage.has_superseded => {
                    self.contact.answering_since(called_at).await;
                }
                Some(_) | None => std::future::pending().await,
            }
        };
        let mut mode = self.mode.clone();
        tokio::select! {
            () = answers_later => {}
            () = change_reported(&mut mode) => {}
        }
        tokio::time::sleep(SUPERSEDED_GRACE).await;
    }

    /// Makes a read. The probing follower makes it once more if the answer is late.
    async fn read(&self, read: &StoreRead) -> Result<StoreAnswer, PlatformError> {
        let first = self.reader.read(read);
        if self.kind != PROBING_KIND {
            return first.await;
        }
        let mut first = std::pin::pin!(first);
        let late_after = (read.wait() + LATE_AFTER).max(PROBE_INTERVAL);
        tokio::select! {
            result = &mut first => return result,
            () = tokio::time::sleep(late_after) => {}
        }
        let again = read.with_max_wait(NO_WAIT);
        let mut second = std::pin::pin!(self.reader.read(&again));
        tokio::select! {
            result = &mut first => result,
            result = &mut second => match result {
                Ok(answer) => Ok(answer),
                Err(_) => first.await,
            },
        }
    }

    fn max_backoff(&self) -> Duration {
        let instances = u32::try_from(self.shared.instances()).unwrap_or(u32::MAX);
        let of_all = BACKOFF_PER_INSTANCE.saturating_mul(instances);
        of_all.clamp(MAX_BACKOFF, MAX_FLEET_BACKOFF)
    }

    /// Lists all objects of the kind and returns the revision from which to watch. The list counts as
    /// no change after which others gather.
    async fn list(&mut self) -> Result<(StoreRevision, bool), FollowError> {
        let called_at = Instant::now();
        let mut entries: Vec<Entry> = Vec::new();
        let mut after: Option<String> = None;
        let mut first_revision = None;
        loop {
            let read = StoreRead::List(self.kind, after, self.freshness);
            let answer = tokio::select! {
                answer = self.read(&read) => answer?,
                () = self.superseded(called_at) => return Err(FollowError::Superseded),
            };
            self.check_era(answer.era)?;
            let page = (self.dialect.decode_page)(self.kind, answer.era, &answer.body);
            let page = page.map_err(FollowError::Unreadable)?;
            self.report_malformed(&page.malformed);
            entries.extend(page.entries);
            // Objects may change between two pages. Watching from the first page's revision repeats
            // those changes.
            let revision: StoreRevision = *first_revision.get_or_insert(page.revision);
            if page.revision.era != revision.era {
                return Err(FollowError::Restored);
            }
            match page.next_after {
                Some(next) => after = Some(next),
                None => {
                    self.freshness = Freshness::Latest;
                    self.notify(StoreEvent::Listed(self.kind, entries, revision))
                        .await;
                    return Ok((revision, false));
                }
            }
        }
    }

    /// Waits for changes and returns the revision from which to continue, and whether the call waited and
    /// there were any.
    async fn watch(
        &mut self,
        from: StoreRevision,
        wait: Duration,
    ) -> Result<(StoreRevision, bool), FollowError> {
        let called_at = Instant::now();
        let read = StoreRead::Watch(self.kind, from, wait);
        let answer = tokio::select! {
            answer = self.read(&read) => answer?,
            () = self.other_call_failed() => return Err(FollowError::OtherKindFailed),
            () = self.superseded(called_at) => return Err(FollowError::Superseded),
            () = self.is_restored_after(from.era) => return Err(FollowError::Restored),
            () = self.wait_until_placer(), if wait > PLACER_RARE_WATCH_WAIT => {
                return Err(FollowError::ModeChanged);
            }
        };
        self.check_era(answer.era)?;
        if answer.era != from.era {
            // The service has a different history after this revision now.
            return Err(FollowError::Restored);
        }
        let changes = (self.dialect.decode_changes)(self.kind, answer.era, &answer.body);
        let changes: Changes = changes.map_err(FollowError::Unreadable)?;
        self.report_malformed(&changes.malformed);
        let revision = changes.revision;
        let changed = !changes.changes.is_empty();
        self.notify(StoreEvent::Changed(self.kind, changes)).await;
        Ok((revision, changed && wait > NO_WAIT))
    }

    async fn notify(&self, event: StoreEvent) {
        if self.control.send(event).await.is_err() {
            slog::debug!(self.log, "control actor has stopped");
        }
    }

    fn report(&self, trouble: &FollowError, first: bool) {
        let reason = match trouble {
            FollowError::Expired
            | FollowError::Restored
            | FollowError::ModeChanged
            | FollowError::Superseded => return,
            FollowError::Outdated => "answer is from before a restore".to_owned(),
            FollowError::Failed(error) => error.to_string(),
            FollowError::Unreadable(malformed) => malformed.to_string(),
            FollowError::OtherKindFailed => "call about another kind failed".to_owned(),
        };
        // Only the first failure of an outage is logged.
        if first {
            slog::warn!(self.log, "platform unavailable"; "kind" => self.kind.as_str(), "reason" => reason);
        }
    }

    /// Logs objects that can't be decoded, once for each fault: every list reads them again. Entries of targets
    /// are written every second, so that a fault counts as the same whatever the value at fault is.
    fn report_malformed(&mut self, malformed: &[Malformed]) {
        if self.reported.len() + malformed.len() > MAX_REPORTED_FAULTS {
            self.reported.clear();
        }
        for it in malformed {
            let fault = match self.kind {
                Kind::Targets => without_values(&it.problem),
                Kind::Configuration | Kind::Versions | Kind::Crashes | Kind::Lease => {
                    it.problem.clone()
                }
            };
            let before = self.reported.insert(Arc::clone(&it.what), fault.clone());
            if before == Some(fault) {
                continue;
            }
            slog::warn!(self.log, "object can't be decoded";
                "kind" => self.kind.as_str(), "object" => &*it.what, "problem" => &it.problem);
        }
    }
}

/// Waits until the placer reports what it sees of a kind, after this instance followed it by itself.
async fn relieved(mode: &mut watch::Receiver<FollowMode>) {
    if *mode.borrow() == FollowMode::Guided(PollMode::Paused) {
        return;
    }
    loop {
        if mode.changed().await.is_err() {
            return std::future::pending().await;
        }
        let is_relieved = |mode| match mode {
            FollowMode::Guided(PollMode::Paused | PollMode::Once) => true,
            FollowMode::Guided(PollMode::Continuous) | FollowMode::Placer => false,
        };
        if is_relieved(*mode.borrow()) {
            return;
        }
    }
}

/// Waits until the placer reports a change that this instance has not seen.
async fn change_reported(mode: &mut watch::Receiver<FollowMode>) {
    loop {
        if mode.changed().await.is_err() {
            return std::future::pending().await;
        }
        if *mode.borrow() == FollowMode::Guided(PollMode::Once) {
            return;
        }
    }
}

/// Waits for a follower's own delay, and then until no follower probes the service.
async fn unprobed(contact: &Contact, failed_at: Instant, pause: Duration) {
    tokio::time::sleep(pause).await;
    contact.answering_or_unprobed(failed_at).await;
}

/// Returns a problem without the values and positions that it names.
fn without_values(problem: &str) -> String {
    let outside_quotes = problem.split(['"', '`']).step_by(2);
    let text: String = outside_quotes.collect();
    text.chars().filter(|it| !it.is_ascii_digit()).collect()
}

#[cfg(test)]
mod tests;
