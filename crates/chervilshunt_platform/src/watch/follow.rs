//! The task of a watch: lists the objects, watches for changes, and resumes after interruptions.

use std::time::Duration;

use bytes::Bytes;
use chervilshunt_core::Backoff;
use http::StatusCode;
use serde::de::DeserializeOwned;
use slog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use super::check::{Check, CheckProgress, check_at, settle};
use super::known::{Difference, KnownVersions, OldList};
use super::lines::Lines;
use super::reconnects::is_unreachable;
use super::{StallReason, WatchEvent};
use crate::accounting::{OpenWatch, count_missed_events};
use crate::item::{ParsedItem, metadata};
use crate::wire::{EventKind, RawEvent, Status};
use crate::{
    Platform, PlatformError, Resource, ResourceVersion, Selector, VersionList, WatchTiming,
};

/// The maximum jitter, as a fraction of an interval, added or subtracted at random.
const JITTER: f64 = 0.2;

/// Runs a watch until the receiver is dropped.
pub(crate) async fn run<S: DeserializeOwned>(
    platform: Platform,
    resource: Resource,
    selector: Selector,
    timing: WatchTiming,
    tx: mpsc::Sender<WatchEvent<S>>,
) {
    let receiver = tx.clone();
    let mut task = WatchTask {
        backoff: Backoff::new(timing.backoff),
        check_at: Instant::now() + jittered(timing.check_interval(platform.fleet_size())),
        platform,
        resource,
        selector,
        timing,
        tx,
        known: KnownVersions::default(),
        stalled: false,
    };
    tokio::select! {
        () = receiver.closed() => {}
        _dropped = task.run_until_dropped() => {}
    }
}

/// The error for events that can't be sent because the receiver was dropped.
struct ReceiverDropped;

/// The reason why an open watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchEnd {
    /// The platform closed the watch, or the connection broke. Every watch ends this way sooner or
    /// later.
    Closed {
        /// Whether the watch received lines and did not end with an error or a malformed line.
        /// Otherwise, the task backs off before it reopens the watch.
        received: bool,
    },
    /// No line, not even a bookmark, arrived within the time limit.
    IdleTimeout,
    /// The version to resume from is no longer in the platform's history.
    Expired,
    /// A list showed changes that the watch did not deliver.
    MissedEvents,
}

struct WatchTask<S> {
    platform: Platform,
    resource: Resource,
    selector: Selector,
    timing: WatchTiming,
    tx: mpsc::Sender<WatchEvent<S>>,
    known: KnownVersions,
    backoff: Backoff,
    check_at: Instant,
    stalled: bool,
}

impl<S: DeserializeOwned> WatchTask<S> {
    async fn run_until_dropped(&mut self) -> Result<(), ReceiverDropped> {
        let mut from = self.list().await?;
        loop {
            let lines = match self.open(from).await? {
                Ok(lines) => lines,
                Err(PlatformError::Expired { .. }) => {
                    self.back_off().await;
                    from = self.list().await?;
                    continue;
                }
                Err(err) => {
                    self.handle_failure(&err).await?;
                    continue;
                }
            };
            self.report_synced(from).await?;
            let end = self.read(lines).await?;
            from = match end {
                WatchEnd::Closed { received } => {
                    if !received {
                        self.back_off().await;
                    }
                    self.known.resume().unwrap_or(from)
                }
                WatchEnd::IdleTimeout => {
                    self.report_stalled(StallReason::Silence).await?;
                    self.back_off().await;
                    self.known.resume().unwrap_or(from)
                }
                WatchEnd::Expired => {
                    self.back_off().await;
                    self.list().await?
                }
                WatchEnd::MissedEvents => self.list().await?,
            };
        }
    }

    /// Lists the objects, retrying until that succeeds, sends the difference to the known versions,
    /// and returns the version to watch from.
    async fn list(&mut self) -> Result<ResourceVersion, ReceiverDropped> {
        loop {
            let (platform, resource) = (self.platform.clone(), self.resource);
            let selector = self.selector.clone();
            let listed = self
                .reconnect(async || {
                    let read = |item: &str| ParsedItem::parse(resource, item);
                    platform.list_items(resource, &selector, read).await
                })
                .await?;
            let (version, objects) = match listed {
                Ok(listed) => listed,
                Err(err) => {
                    self.handle_failure(&err).await?;
                    continue;
                }
            };
            self.schedule_check();
            let listed = VersionList {
                resource_version: version,
                items: objects.iter().filter_map(ParsedItem::version).collect(),
            };
            match self.known.relist(&listed) {
                Ok(difference) => {
                    self.send_difference(objects, difference).await?;
                    return Ok(version);
                }
                Err(OldList) => {
                    self.report_stalled(StallReason::OldList).await?;
                    self.back_off().await;
                }
            }
        }
    }

    async fn send_difference(
        &self,
        objects: Vec<ParsedItem<S>>,
        difference: Difference,
    ) -> Result<(), ReceiverDropped> {
        for name in difference.deleted {
            self.send(WatchEvent::Deleted { name }).await?;
        }
        // The indices refer to the `VersionList`, which contains only objects with a version.
        let versioned = objects.into_iter().filter(|item| item.version().is_some());
        let mut versioned: Vec<_> = versioned.map(Some).collect();
        for index in difference.applied {
            if let Some(item) = versioned.get_mut(index).and_then(Option::take) {
                self.send(item.into_event()).await?;
            }
        }
        Ok(())
    }

    async fn open(
        &mut self,
        from: ResourceVersion,
    ) -> Result<Result<Lines, PlatformError>, ReceiverDropped> {
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

    /// Processes the lines of an open watch until it ends.
    async fn read(&mut self, mut lines: Lines) -> Result<WatchEnd, ReceiverDropped> {
        let _open = OpenWatch::new(self.resource.purpose);
        let mut received = false;
        let mut check = self.next_check();
        loop {
            let line = tokio::select! {
                line = timeout(self.timing.idle_timeout, lines.next()) => line,
                checked = &mut check => {
                    if let Some(end) = self.advance_check(checked, &mut check).await? {
                        return Ok(end);
                    }
                    continue;
                }
            };
            let line = match line {
                Ok(Some(line)) => line,
                Ok(None) => return Ok(WatchEnd::Closed { received }),
                Err(_elapsed) => return Ok(WatchEnd::IdleTimeout),
            };
            if let Some(end) = self.handle_line(&line).await? {
                return Ok(end);
            }
            received = true;
            self.backoff.reset();
        }
    }

    /// Starts the next step of a check. Returns the reason if the watch has to end.
    async fn advance_check(
        &mut self,
        checked: CheckProgress,
        check: &mut Check,
    ) -> Result<Option<WatchEnd>, ReceiverDropped> {
        let missed = match checked {
            CheckProgress::Listed(listed) => {
                *check = settle(listed, self.timing.settle);
                return Ok(None);
            }
            CheckProgress::Settled(listed) => self.known.missed(&listed),
            CheckProgress::Failed(err) => {
                if is_unreachable(&err) {
                    self.report_stalled(StallReason::Outage).await?;
                }
                self.schedule_check();
                *check = self.next_check();
                return Ok(None);
            }
        };
        self.schedule_check();
        *check = self.next_check();
        if missed > 0 {
            count_missed_events(self.resource.purpose, missed);
            warn!(self.platform.log(), "watch did not deliver some events; listing again";
                "resource" => self.resource.plural, "objects" => missed);
            return Ok(Some(WatchEnd::MissedEvents));
        }
        if self.stalled
            && let Some(version) = self.known.resume()
        {
            self.report_synced(version).await?;
        }
        Ok(None)
    }

    fn schedule_check(&mut self) {
        let interval = self.timing.check_interval(self.platform.fleet_size());
        self.check_at = Instant::now() + jittered(interval);
    }

    fn next_check(&self) -> Check {
        let (platform, selector) = (self.platform.clone(), self.selector.clone());
        check_at(platform, self.resource, selector, self.check_at)
    }

    /// Handles one line. Returns the reason if the watch has to end.
    async fn handle_line(&mut self, line: &Bytes) -> Result<Option<WatchEnd>, ReceiverDropped> {
        let event: RawEvent<'_> = match serde_json::from_slice(line) {
            Ok(event) => event,
            Err(err) => {
                warn!(self.platform.log(), "watch received a malformed line";
                    "resource" => self.resource.plural, "error" => %err);
                return Ok(Some(WatchEnd::Closed { received: false }));
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
                    let event = ParsedItem::<S>::parse(self.resource, object).into_event();
                    self.send(event).await?;
                }
            }
            EventKind::Deleted => {
                if self.known.delete(&name, version) {
                    self.send(WatchEvent::Deleted { name }).await?;
                }
            }
            EventKind::Bookmark => self.known.advance(version),
            EventKind::Error => {}
        }
        Ok(None)
    }

    /// Makes a call, coordinated with the other watches during an outage.
    async fn reconnect<T>(
        &mut self,
        call: impl AsyncFnOnce() -> Result<T, PlatformError>,
    ) -> Result<Result<T, PlatformError>, ReceiverDropped> {
        let platform = self.platform.clone();
        let mut sent = Ok(());
        let result = platform
            .reconnects()
            .call(call, async |_outage| {
                sent = self.report_stalled(StallReason::Outage).await;
            })
            .await;
        sent.map(|()| result)
    }

    /// Reports and backs off after a failed call. If the platform was unreachable,
    /// [`Self::reconnect`] has done both already.
    async fn handle_failure(&mut self, err: &PlatformError) -> Result<(), ReceiverDropped> {
        if !err.is_outage() {
            warn!(self.platform.log(), "platform refused a list or watch call";
                "resource" => self.resource.plural, "error" => %err);
            self.report_stalled(StallReason::Refused).await?;
        }
        if !is_unreachable(err) {
            self.back_off().await;
        }
        Ok(())
    }

    async fn back_off(&mut self) {
        sleep(self.backoff.next_wait(rand::random::<f64>)).await;
    }

    async fn report_stalled(&mut self, reason: StallReason) -> Result<(), ReceiverDropped> {
        if self.stalled {
            return Ok(());
        }
        self.stalled = true;
        info!(self.platform.log(), "watch stalled";
            "resource" => self.resource.plural, "reason" => ?reason);
        self.send(WatchEvent::Stalled { reason }).await
    }

    async fn report_synced(&mut self, version: ResourceVersion) -> Result<(), ReceiverDropped> {
        if self.stalled {
            info!(self.platform.log(), "watch resumed";
                "resource" => self.resource.plural, "version" => version.get());
        }
        self.stalled = false;
        self.send(WatchEvent::Synced { version }).await
    }

    async fn send(&self, event: WatchEvent<S>) -> Result<(), ReceiverDropped> {
        self.tx.send(event).await.map_err(|_closed| ReceiverDropped)
    }
}

fn end_of_error(status: &str) -> WatchEnd {
    let status: Status = serde_json::from_str(status).unwrap_or_default();
    if status.code == StatusCode::GONE.as_u16() || status.reason == "Expired" {
        WatchEnd::Expired
    } else {
        WatchEnd::Closed { received: false }
    }
}

fn jittered(interval: Duration) -> Duration {
    let factor = JITTER.mul_add(rand::random::<f64>().mul_add(2.0, -1.0), 1.0);
    interval.mul_f64(factor)
}
