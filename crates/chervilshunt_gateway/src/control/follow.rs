//! Following the kinds of objects of the platform's service.
//!
//! One list, and then one call after the other that waits for changes. Each call has its price, so
//! that changes which come in quick succession are gathered by a pause between two calls.

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
use super::messages::FromStore;
use super::pace::{FollowPace, PaceReceivers};
use super::reading::Reader;
use crate::dialect::{Changes, Entry, Freshness, Kind, Malformed, StoreDialect};
use crate::peers::StoreRead;
use crate::shared::Shared;

/// How long a call waits for changes of what changes often. A longer wait would save little, since
/// most calls end early with a change.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// The same for what changes rarely: at 4 s these calls were half of those of a calm day. A connection
/// that has gone silent is found by its keep-alive probes, in 3 s, and does not wait for this.
const RARE_WATCH_WAIT: Duration = Duration::from_secs(15);
/// How often the placer looks at targets' entries. With the other instances' trust in what it tells
/// this leaves them a second until they look for themselves; shorter, it would be noticed later still
/// by the interval at which they are told.
const GUIDING_EVERY: Duration = Duration::from_millis(300);
/// How long the placer's calls wait for changes of configuration and versions. The other instances learn
/// of these changes from the placer, so if an answer is lost, no instance sees the change until the call ends.
const GUIDING_RARE_WATCH_WAIT: Duration = Duration::from_secs(1);
/// The time after which the objects are listed rather than their changes asked for: targets change
/// their entries each second, so that the changes of a longer time are more than the objects.
const LIST_AFTER: Duration = Duration::from_secs(3);
/// The wait of a call that is to be answered at once.
const AT_ONCE: Duration = Duration::from_millis(1);
/// How long an instance waits after its first look for a placer that tells it of changes. Where all
/// instances start together, each would make a waiting call for nothing.
const FIRST_REST: Duration = Duration::from_secs(1);
/// The pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// The pause after failed calls for each instance of a fleet, so that all of them together ask a service
/// that is away some hundred times a second.
const PAUSE_AN_INSTANCE: Duration = Duration::from_micros(7_500);
/// The longest pause of the largest fleet: entries of targets that lapsed with the service are missed
/// two seconds after its return.
const LONGEST_PAUSE_OF_ALL: Duration = Duration::from_millis(1_500);
/// How long the followers of other kinds leave it to one to find out that the service is back. It may be
/// away for their kind alone.
const LEFT_TO_ONE: Duration = Duration::from_secs(2);
/// The kind whose follower finds out that the service is back.
const PROBING: Kind = Kind::Targets;

/// Objects of a kind whose fault is remembered, so that it is logged once. Far more than a fault of
/// somebody else's program leaves; beyond it some are logged again.
const MOST_REPORTED: usize = 1_000;

/// Why following has to begin anew or pause.
#[derive(Debug)]
enum Trouble {
    /// The service no longer has the history from here on.
    Expired,
    /// The call failed.
    Failed(PlatformError),
    /// The answer can't be read.
    Unreadable(Malformed),
    /// A call of another follower failed while this one waited.
    Doubted,
    /// The service has been restored since the revision from which changes were asked for.
    Restored,
    /// The answer was given before a restore that is known already.
    Outdated,
    /// The call waited for longer than calls may from now on.
    PaceChanged,
}

impl From<PlatformError> for Trouble {
    fn from(error: PlatformError) -> Self {
        match error {
            PlatformError::Expired { .. } => Self::Expired,
            error => Self::Failed(error),
        }
    }
}

/// Follows one kind.
struct Follower {
    kind: Kind,
    dialect: StoreDialect,
    reader: Arc<Reader>,
    control: Address<Control>,
    /// How fast it goes.
    pace: watch::Receiver<FollowPace>,
    /// Whether the service answered the last call of any kind.
    reached: watch::Sender<bool>,
    /// The service's newest era, as far as anything here has learnt of it.
    era: watch::Sender<u64>,
    /// How new the next list has to be.
    freshness: Freshness,
    shared: Arc<Shared>,
    /// The objects that could not be read, each with what was last wrong with it.
    reported: HashMap<Arc<str>, String>,
    log: Logger,
}

/// Begins to follow all kinds on the present runtime.
pub(crate) fn start_followers(
    shared: &Arc<Shared>,
    reader: Reader,
    control: &Address<Control>,
    paces: PaceReceivers,
    era: &watch::Sender<u64>,
) {
    let reader = Arc::new(reader);
    let reached = watch::Sender::new(true);
    for (kind, pace) in paces {
        let follower = Follower {
            kind,
            dialect: shared.dialect.store.clone(),
            reader: Arc::clone(&reader),
            control: control.clone(),
            pace,
            reached: reached.clone(),
            era: era.clone(),
            freshness: first_list(kind),
            reported: HashMap::new(),
            log: shared.log.clone(),
            shared: Arc::clone(shared),
        };
        tokio::spawn(follower.run());
    }
}

/// Returns the pause between a change and the next call, in which more changes gather.
///
/// The operators' bounds leave seconds to act on a change; only the configuration, whose changes
/// are rare, is followed at once. The lease changes with each renewal, of which all but the newest
/// is of no interest; a taker waits for several times the longer pause anyway.
const fn gather_for(kind: Kind) -> Duration {
    match kind {
        Kind::Configuration | Kind::Versions | Kind::Crashes => Duration::from_millis(100),
        Kind::Targets => Duration::from_millis(700),
        Kind::Lease => Duration::from_millis(1_800),
    }
}

/// Returns how new the first list of a kind has to be.
///
/// Where nothing waits for it, the cheaper one does. A later list must not be old: one from before the
/// history that the service keeps would be followed by another one, and so on.
const fn first_list(kind: Kind) -> Freshness {
    match kind {
        Kind::Crashes => Freshness::MayBeOld,
        Kind::Configuration | Kind::Targets | Kind::Versions | Kind::Lease => Freshness::Latest,
    }
}

/// Returns how long a call waits for changes.
const fn wait_for(kind: Kind, pace: FollowPace) -> Duration {
    match (pace, kind) {
        (
            FollowPace::Guided(PollMode::Continuous),
            Kind::Configuration | Kind::Versions | Kind::Crashes,
        ) => RARE_WATCH_WAIT,
        (FollowPace::Guided(PollMode::Continuous), Kind::Targets | Kind::Lease) => WATCH_WAIT,
        (FollowPace::Guided(PollMode::Once | PollMode::Paused), _) => AT_ONCE,
        (FollowPace::Guiding, Kind::Configuration | Kind::Versions) => GUIDING_RARE_WATCH_WAIT,
        (FollowPace::Guiding, Kind::Targets | Kind::Crashes | Kind::Lease) => GUIDING_EVERY,
    }
}

impl Follower {
    async fn run(mut self) {
        let mut from: Option<StoreRevision> = None;
        let mut looked_at = Instant::now();
        let mut pause = FIRST_PAUSE;
        let mut has_looked = false;
        loop {
            let (pace, rested) = self.next_turn().await;
            let is_of_another_era = from.is_some_and(|it| it.era < *self.era.borrow());
            if is_of_another_era || (rested && looked_at.elapsed() > LIST_AFTER) {
                from = None;
            }
            looked_at = Instant::now();
            let result = match from {
                None => self.list().await,
                // After a failure the first call does not wait, so that its answer says at once that
                // the service is back: what is believed of entries that went meanwhile ages from then.
                Some(revision) if pause != FIRST_PAUSE => self.watch(revision, AT_ONCE).await,
                Some(revision) => self.watch(revision, wait_for(self.kind, pace)).await,
            };
            match result {
                Ok(revision) => {
                    self.reached.send_replace(true);
                    if pause != FIRST_PAUSE {
                        self.tell(FromStore::Back(self.kind)).await;
                        pause = FIRST_PAUSE;
                    }
                    if from.replace(revision).is_none() && !has_looked {
                        has_looked = true;
                        self.first_rest().await;
                    }
                    if pace == FollowPace::Guiding {
                        tokio::time::sleep_until(looked_at + GUIDING_EVERY).await;
                    }
                }
                Err(Trouble::Restored) => from = None,
                Err(Trouble::PaceChanged) => {}
                Err(Trouble::Expired) => {
                    slog::info!(self.log, "history expired"; "kind" => self.kind.as_str());
                    from = None;
                }
                Err(trouble) => {
                    self.report(&trouble, pause == FIRST_PAUSE);
                    self.tell(FromStore::Trouble(self.kind)).await;
                    self.rest(pause).await;
                    pause = (pause * 2).min(self.longest_pause());
                }
            }
        }
    }

    /// Waits until it is this follower's turn to call, and returns how fast it goes and whether it had
    /// to wait for that.
    async fn next_turn(&mut self) -> (FollowPace, bool) {
        let rests = |pace: &FollowPace| *pace == FollowPace::Guided(PollMode::Paused);
        let rested = rests(&self.pace.borrow());
        match self.pace.wait_for(|pace| !rests(pace)).await {
            Ok(pace) => (*pace, rested),
            // The control state has ended, and this runtime with it.
            Err(_) => (FollowPace::Guided(PollMode::Continuous), rested),
        }
    }

    /// Waits after the first look until there is a placer, for a moment at most. The lease itself shows
    /// who that is.
    async fn first_rest(&mut self) {
        if self.kind == Kind::Lease {
            return;
        }
        let told = tokio::time::timeout(FIRST_REST, self.pace.changed());
        if let Ok(Err(closed)) = told.await {
            slog::debug!(self.log, "the control state has ended"; "reason" => closed.to_string());
        }
    }

    /// Waits after a failed call.
    ///
    /// A service that is away is asked by the follower of one kind; the others wait until it has been
    /// reached. With all of them asking, an outage was most of what a day's calls cost.
    async fn rest(&self, pause: Duration) {
        self.reached.send_replace(false);
        tokio::time::sleep(pause).await;
        if self.kind == PROBING {
            return;
        }
        let mut reached = self.reached.subscribe();
        let back = reached.wait_for(|reached| *reached);
        if let Ok(Err(closed)) = tokio::time::timeout(LEFT_TO_ONE, back).await {
            slog::debug!(self.log, "followers have ended"; "reason" => closed.to_string());
        }
    }

    /// Takes in the era of an answer.
    fn take_era(&self, era: u64) -> Result<(), Trouble> {
        let mut is_outdated = false;
        self.era.send_if_modified(|known| {
            is_outdated = era < *known;
            let is_new = era > *known;
            *known = era.max(*known);
            is_new
        });
        if is_outdated {
            return Err(Trouble::Outdated);
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

    /// Waits until this follower's pace is [`FollowPace::Guiding`].
    async fn wait_until_guiding(&self) {
        let mut pace = self.pace.clone();
        let guiding = pace.wait_for(|pace| *pace == FollowPace::Guiding);
        if guiding.await.is_err() {
            std::future::pending().await
        }
    }

    /// Waits until a call of another follower fails, unless this is the one that finds out for all.
    ///
    /// A service that falls silent takes the calls that wait, and answers none of them when it is back. A
    /// long wait that began just before would keep the configuration from this instance until its end.
    async fn is_lost_for_another(&self) {
        if self.kind == PROBING {
            return std::future::pending().await;
        }
        let mut reached = self.reached.subscribe();
        loop {
            if reached.changed().await.is_err() {
                return std::future::pending().await;
            }
            if !*reached.borrow_and_update() {
                return;
            }
        }
    }

    fn longest_pause(&self) -> Duration {
        let instances = u32::try_from(self.shared.instances()).unwrap_or(u32::MAX);
        let of_all = PAUSE_AN_INSTANCE.saturating_mul(instances);
        of_all.clamp(LONGEST_PAUSE, LONGEST_PAUSE_OF_ALL)
    }

    /// Reads all objects of the kind and returns the revision to go on from.
    async fn list(&mut self) -> Result<StoreRevision, Trouble> {
        let mut entries: Vec<Entry> = Vec::new();
        let mut after: Option<String> = None;
        let mut first_revision = None;
        loop {
            let read = StoreRead::List(self.kind, after, self.freshness);
            let answer = self.reader.read(&read).await?;
            self.take_era(answer.era)?;
            let page = (self.dialect.read_page)(self.kind, answer.era, &answer.body);
            let page = page.map_err(Trouble::Unreadable)?;
            self.report_malformed(&page.malformed);
            entries.extend(page.entries);
            // Objects may change between two pages: watched from the first page's revision on,
            // their changes come again.
            let revision: StoreRevision = *first_revision.get_or_insert(page.revision);
            if page.revision.era != revision.era {
                return Err(Trouble::Restored);
            }
            match page.next_after {
                Some(next) => after = Some(next),
                None => {
                    self.freshness = Freshness::Latest;
                    self.tell(FromStore::Listed(self.kind, entries, revision))
                        .await;
                    return Ok(revision);
                }
            }
        }
    }

    /// Waits for changes and returns the revision to go on from.
    async fn watch(
        &mut self,
        from: StoreRevision,
        wait: Duration,
    ) -> Result<StoreRevision, Trouble> {
        let read = StoreRead::Watch(self.kind, from, wait);
        let answer = tokio::select! {
            answer = self.reader.read(&read) => answer?,
            () = self.is_lost_for_another() => return Err(Trouble::Doubted),
            () = self.is_restored_after(from.era) => return Err(Trouble::Restored),
            () = self.wait_until_guiding(), if wait > GUIDING_RARE_WATCH_WAIT => {
                return Err(Trouble::PaceChanged);
            }
        };
        self.take_era(answer.era)?;
        if answer.era != from.era {
            // What follows the revision now is another history.
            return Err(Trouble::Restored);
        }
        let changes = (self.dialect.read_changes)(self.kind, answer.era, &answer.body);
        let changes: Changes = changes.map_err(Trouble::Unreadable)?;
        self.report_malformed(&changes.malformed);
        let revision = changes.revision;
        let changed = !changes.changes.is_empty();
        self.tell(FromStore::Changed(self.kind, changes)).await;
        if changed && wait >= WATCH_WAIT {
            tokio::time::sleep(gather_for(self.kind)).await;
        }
        Ok(revision)
    }

    async fn tell(&self, event: FromStore) {
        if self.control.send(event).await.is_err() {
            slog::debug!(self.log, "the control state has ended");
        }
    }

    fn report(&self, trouble: &Trouble, first: bool) {
        let reason = match trouble {
            Trouble::Expired | Trouble::Restored | Trouble::PaceChanged => return,
            Trouble::Outdated => "an answer of before a restore".to_owned(),
            Trouble::Failed(error) => error.to_string(),
            Trouble::Unreadable(malformed) => malformed.to_string(),
            Trouble::Doubted => "a call about another kind has failed".to_owned(),
        };
        // One line for the loss of the service; further failures until it is back tell no more.
        if first {
            slog::warn!(self.log, "platform lost"; "kind" => self.kind.as_str(), "reason" => reason);
        }
    }

    /// Logs what can't be read, once for each fault of an object: it is read again with each list.
    fn report_malformed(&mut self, malformed: &[Malformed]) {
        if self.reported.len() + malformed.len() > MOST_REPORTED {
            self.reported.clear();
        }
        for it in malformed {
            let before = self
                .reported
                .insert(Arc::clone(&it.what), it.problem.clone());
            if before.as_ref() == Some(&it.problem) {
                continue;
            }
            slog::warn!(self.log, "object can't be read";
                "kind" => self.kind.as_str(), "object" => &*it.what, "problem" => &it.problem);
        }
    }
}
