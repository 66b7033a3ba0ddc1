//! The task behind a watch: list, watch, and again from where it stood.

use std::time::Duration;

use bytes::Bytes;
use chervilshunt_core::Backoff;
use http::StatusCode;
use serde::de::DeserializeOwned;
use slog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use super::check::{Check, Checked, check_at, settle};
use super::known::{Difference, Known, OldList};
use super::lines::Lines;
use super::reconnects::is_outage;
use super::{StallReason, WatchEvent};
use crate::accounting::{OpenWatch, count_missed_events};
use crate::item::{Item, metadata};
use crate::wire::{EventKind, RawEvent, Status};
use crate::{
    Platform, PlatformError, Resource, ResourceVersion, Selector, VersionList, WatchTiming,
};

/// How much of an interval is added or taken off at random.
const JITTER: f64 = 0.2;

/// Follows objects until the receiver is dropped.
pub(crate) async fn run<S: DeserializeOwned>(
    platform: Platform,
    resource: Resource,
    selector: Selector,
    timing: WatchTiming,
    tx: mpsc::Sender<WatchEvent<S>>,
) {
    let gone = tx.clone();
    let mut follower = Follower {
        backoff: Backoff::new(timing.backoff),
        check_at: Instant::now() + jittered(timing.check_interval(platform.fleet_size())),
        platform,
        resource,
        selector,
        timing,
        tx,
        known: Known::default(),
        stalled: false,
    };
    tokio::select! {
        () = gone.closed() => {}
        _gone = follower.follow() => {}
    }
}

/// The receiver is gone.
struct Gone;

/// Why a watch that was open is not any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It ended or broke, as every watch does some time.
    Closed {
        /// Whether it told anything before.
        told: bool,
    },
    /// Not even bookmarks came.
    Silent,
    /// The version to go on from is too old.
    Expired,
    /// A list showed something that the watch never told.
    Missed,
}

struct Follower<S> {
    platform: Platform,
    resource: Resource,
    selector: Selector,
    timing: WatchTiming,
    tx: mpsc::Sender<WatchEvent<S>>,
    known: Known,
    backoff: Backoff,
    check_at: Instant,
    stalled: bool,
}

impl<S: DeserializeOwned> Follower<S> {
    async fn follow(&mut self) -> Result<(), Gone> {
        let mut from = self.list().await?;
        loop {
            let lines = match self.open(from).await? {
                Ok(lines) => lines,
                Err(PlatformError::Expired { .. }) => {
                    self.wait().await;
                    from = self.list().await?;
                    continue;
                }
                Err(err) => {
                    self.failed(&err).await?;
                    continue;
                }
            };
            self.synced(from).await?;
            let end = self.read(lines).await?;
            from = match end {
                End::Closed { told } => {
                    if !told {
                        self.wait().await;
                    }
                    self.known.resume().unwrap_or(from)
                }
                End::Silent => {
                    self.stall(StallReason::Silence).await?;
                    self.wait().await;
                    self.known.resume().unwrap_or(from)
                }
                End::Expired => {
                    self.wait().await;
                    self.list().await?
                }
                End::Missed => self.list().await?,
            };
        }
    }

    /// Lists until that works, tells the difference, and returns the version to watch from.
    async fn list(&mut self) -> Result<ResourceVersion, Gone> {
        loop {
            let (platform, resource) = (self.platform.clone(), self.resource);
            let selector = self.selector.clone();
            let listed = self
                .reconnect(async || {
                    let read = |item: &str| Item::read(resource, item);
                    platform.list_items(resource, &selector, read).await
                })
                .await?;
            let (version, objects) = match listed {
                Ok(listed) => listed,
                Err(err) => {
                    self.failed(&err).await?;
                    continue;
                }
            };
            self.plan_check();
            let listed = VersionList {
                resource_version: version,
                items: objects.iter().filter_map(Item::version).collect(),
            };
            match self.known.relist(&listed) {
                Ok(difference) => {
                    self.tell_difference(objects, difference).await?;
                    return Ok(version);
                }
                Err(OldList) => {
                    self.stall(StallReason::OldList).await?;
                    self.wait().await;
                }
            }
        }
    }

    async fn tell_difference(
        &self,
        objects: Vec<Item<S>>,
        difference: Difference,
    ) -> Result<(), Gone> {
        for name in difference.deleted {
            self.tell(WatchEvent::Deleted { name }).await?;
        }
        // Places count the objects that have a version, as the list of versions did.
        let versioned = objects.into_iter().filter(|item| item.version().is_some());
        let mut versioned: Vec<_> = versioned.map(Some).collect();
        for place in difference.applied {
            if let Some(item) = versioned.get_mut(place).and_then(Option::take) {
                self.tell(item.event()).await?;
            }
        }
        Ok(())
    }

    async fn open(&mut self, from: ResourceVersion) -> Result<Result<Lines, PlatformError>, Gone> {
        let lifetime = jittered(self.timing.lifetime).as_secs().max(1);
        let (platform, resource) = (self.platform.clone(), self.resource);
        let selector = self.selector.clone();
        let opened = self
            .reconnect(async || {
                platform
                    .open_watch(resource, &selector, from, lifetime)
                    .await
            })
            .await?;
        Ok(opened.map(Lines::new))
    }

    /// Reads an open watch to its end.
    async fn read(&mut self, mut lines: Lines) -> Result<End, Gone> {
        let _open = OpenWatch::new(self.resource.purpose);
        let mut told = false;
        let mut check = self.next_check();
        loop {
            let line = tokio::select! {
                line = timeout(self.timing.silence, lines.next()) => line,
                checked = &mut check => {
                    if let Some(end) = self.checked(checked, &mut check).await? {
                        return Ok(end);
                    }
                    continue;
                }
            };
            let line = match line {
                Ok(Some(line)) => line,
                Ok(None) => return Ok(End::Closed { told }),
                Err(_elapsed) => return Ok(End::Silent),
            };
            if let Some(end) = self.take(&line).await? {
                return Ok(end);
            }
            told = true;
            self.backoff.reset();
        }
    }

    /// Moves a check of the watch on; says if the watch ends with it.
    async fn checked(&mut self, checked: Checked, check: &mut Check) -> Result<Option<End>, Gone> {
        let missed = match checked {
            Checked::Listed(listed) => {
                *check = settle(listed, self.timing.settle);
                return Ok(None);
            }
            Checked::Settled(listed) => self.known.missed(&listed),
            Checked::Failed(err) => {
                if is_outage(&err) {
                    self.stall(StallReason::Outage).await?;
                }
                self.plan_check();
                *check = self.next_check();
                return Ok(None);
            }
        };
        self.plan_check();
        *check = self.next_check();
        if missed > 0 {
            count_missed_events(self.resource.purpose, missed);
            warn!(self.platform.log(), "watch missed events";
                "resource" => self.resource.plural, "objects" => missed);
            return Ok(Some(End::Missed));
        }
        if self.stalled
            && let Some(version) = self.known.resume()
        {
            self.synced(version).await?;
        }
        Ok(None)
    }

    fn plan_check(&mut self) {
        let interval = self.timing.check_interval(self.platform.fleet_size());
        self.check_at = Instant::now() + jittered(interval);
    }

    fn next_check(&self) -> Check {
        let (platform, selector) = (self.platform.clone(), self.selector.clone());
        check_at(platform, self.resource, selector, self.check_at)
    }

    /// Takes one line; says if the watch ends with it.
    async fn take(&mut self, line: &Bytes) -> Result<Option<End>, Gone> {
        let event: RawEvent<'_> = match serde_json::from_slice(line) {
            Ok(event) => event,
            Err(err) => {
                warn!(self.platform.log(), "watch told a malformed line";
                    "resource" => self.resource.plural, "error" => %err);
                return Ok(Some(End::Closed { told: false }));
            }
        };
        let object = event.object.get();
        if event.kind == EventKind::Error {
            return Ok(Some(end_of_error(object)));
        }
        let Some((name, version)) = metadata(object) else {
            return Ok(None);
        };
        match event.kind {
            EventKind::Added | EventKind::Modified => {
                if self.known.apply(&name, version) {
                    let event = Item::<S>::read(self.resource, object).event();
                    self.tell(event).await?;
                }
            }
            EventKind::Deleted => {
                if self.known.delete(&name, version) {
                    self.tell(WatchEvent::Deleted { name }).await?;
                }
            }
            EventKind::Bookmark => self.known.advance(version),
            EventKind::Error => {}
        }
        Ok(None)
    }

    /// Makes a call in turn with the other watches.
    async fn reconnect<T>(
        &mut self,
        call: impl AsyncFnOnce() -> Result<T, PlatformError>,
    ) -> Result<Result<T, PlatformError>, Gone> {
        let platform = self.platform.clone();
        let mut told = Ok(());
        let result = platform
            .reconnects()
            .call(call, async |_outage| {
                told = self.stall(StallReason::Outage).await;
            })
            .await;
        told.map(|()| result)
    }

    /// Takes note of a call that failed; an outage has been waited for already.
    async fn failed(&mut self, err: &PlatformError) -> Result<(), Gone> {
        if !err.is_outage() {
            warn!(self.platform.log(), "watch refused";
                "resource" => self.resource.plural, "error" => %err);
            self.stall(StallReason::Refused).await?;
        }
        if !is_outage(err) {
            self.wait().await;
        }
        Ok(())
    }

    async fn wait(&mut self) {
        sleep(self.backoff.next_wait(rand::random::<f64>)).await;
    }

    async fn stall(&mut self, reason: StallReason) -> Result<(), Gone> {
        if self.stalled {
            return Ok(());
        }
        self.stalled = true;
        info!(self.platform.log(), "watch stalled";
            "resource" => self.resource.plural, "reason" => ?reason);
        self.tell(WatchEvent::Stalled { reason }).await
    }

    async fn synced(&mut self, version: ResourceVersion) -> Result<(), Gone> {
        if self.stalled {
            info!(self.platform.log(), "watch resumed";
                "resource" => self.resource.plural, "version" => version.get());
        }
        self.stalled = false;
        self.tell(WatchEvent::Synced { version }).await
    }

    async fn tell(&self, event: WatchEvent<S>) -> Result<(), Gone> {
        self.tx.send(event).await.map_err(|_closed| Gone)
    }
}

fn end_of_error(status: &str) -> End {
    let status: Status = serde_json::from_str(status).unwrap_or_default();
    if status.code == StatusCode::GONE.as_u16() || status.reason == "Expired" {
        End::Expired
    } else {
        End::Closed { told: false }
    }
}

fn jittered(interval: Duration) -> Duration {
    let factor = JITTER.mul_add(rand::random::<f64>().mul_add(2.0, -1.0), 1.0);
    interval.mul_f64(factor)
}
