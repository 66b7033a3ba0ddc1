//! The platform client: rate-limited calls with time limits, retries and metrics.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::{Logger, o};
use tokio::sync::mpsc;

use crate::accounting::Verb;
use crate::answer::lost;
use crate::call::{Call, ListedPart, delete_body, watch_query};
use crate::exchange::Exchange;
use crate::item::ParsedItem;
use crate::table::TablePage;
use crate::watch::{Reconnects, WatchEvent, start_watch};
use crate::wire::{ListMetadata, MetadataOnly, RawList, decode, encode};
use crate::{
    Object, ObjectList, PlatformConfig, PlatformError, Resource, ResourceVersion, Selector,
    Timeouts, VersionList, WatchTiming,
};

/// How many times a list is restarted from its first page after the continuation token expired.
const MAX_LIST_RESTARTS: u32 = 2;

/// The platform client. Clones share the connections, the rate limit and the retry budget.
#[derive(Clone, Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    timeouts: Timeouts,
}

#[derive(Debug)]
struct Shared {
    exchange: Exchange,
    reconnects: Reconnects,
    fleet_size: AtomicUsize,
    log: Logger,
}

impl Platform {
    /// Creates a client. It connects on the first call.
    pub fn new(cfg: PlatformConfig, log: Logger) -> Self {
        Self {
            timeouts: cfg.timeouts,
            shared: Arc::new(Shared {
                reconnects: Reconnects::new(cfg.watch.backoff),
                fleet_size: AtomicUsize::new(cfg.fleet_size),
                log: log.new(o!("part" => "platform")),
                exchange: Exchange::new(cfg),
            }),
        }
    }

    /// Returns a client with different time limits that shares everything else with this one.
    #[must_use]
    pub fn with_timeouts(&self, timeouts: Timeouts) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            timeouts,
        }
    }

    /// Returns the client's configuration.
    pub fn config(&self) -> &PlatformConfig {
        self.shared.exchange.config()
    }

    /// Sets the number of instances that share the platform. The interval between checks of a
    /// watch grows with it.
    pub fn set_fleet_size(&self, instances: usize) {
        let fleet_size = &self.shared.fleet_size;
        fleet_size.store(instances, Ordering::Relaxed);
    }

    /// Reads one object.
    ///
    /// # Errors
    /// Returns `NotFound`, or one of the errors of every read: `Unavailable`, `Timeout`,
    /// `RateLimited`, `Denied`, `Invalid`.
    pub async fn get<S: DeserializeOwned>(
        &self,
        resource: Resource,
        name: &str,
    ) -> Result<Object<S>, PlatformError> {
        let call = Call::of_object(Verb::Get, resource, self.namespace(), name)?;
        let body = self.shared.exchange.call(&call, self.timeouts).await?;
        let object = decode(resource, &body);
        object.map_err(|err| call.malformed(&err))
    }

    /// Reads a consistent snapshot of all objects that match a selector, page by page.
    ///
    /// # Errors
    /// Returns `Expired` if the snapshot's version keeps leaving the platform's history before all
    /// pages are read, or one of the errors of every read (see [`Platform::get`]).
    pub async fn list<S: DeserializeOwned>(
        &self,
        resource: Resource,
        selector: &Selector,
    ) -> Result<ObjectList<S>, PlatformError> {
        let read = |item: &str| ParsedItem::parse(resource, item);
        let (resource_version, items) = self.list_items(resource, selector, read).await?;
        let mut list = ObjectList {
            resource_version,
            objects: Vec::with_capacity(items.len()),
            malformed: Vec::new(),
        };
        for item in items {
            match item {
                ParsedItem::Object(object) => list.objects.push(object),
                ParsedItem::Malformed { object, .. } => list.malformed.push(object),
            }
        }
        Ok(list)
    }

    /// Reads the names and versions of all objects that match a selector, without their content.
    ///
    /// This detects changes at a fraction of the bytes of a full list. If the kind has a column
    /// for the version, the versions are read from a table, otherwise from the objects' metadata,
    /// which is larger because it carries other fields too.
    ///
    /// # Errors
    /// Returns the same errors as [`Platform::list`].
    pub async fn list_versions(
        &self,
        resource: Resource,
        selector: &Selector,
    ) -> Result<VersionList, PlatformError> {
        if let Some(column) = resource.version_column
            && let Some(listed) = self.list_table(resource, selector, column).await?
        {
            return Ok(listed);
        }
        self.list_metadata(resource, selector).await
    }

    /// Reads names and versions from a table, or from metadata if the platform does not support
    /// tables.
    ///
    /// Returns `None` if the table lacks the column, for example because the kind's definition was
    /// installed without it.
    async fn list_table(
        &self,
        resource: Resource,
        selector: &Selector,
        column: &str,
    ) -> Result<Option<VersionList>, PlatformError> {
        let read = |call: &Call, body: &[u8]| {
            let table: TablePage =
                serde_json::from_slice(body).map_err(|err| call.malformed(&err))?;
            if table.is_table() {
                let rows = table.versions(column);
                return Ok((table.metadata, vec![rows]));
            }
            let (metadata, items) = read_metadata_page(call, body)?;
            Ok((metadata, vec![Some(items)]))
        };
        let (resource_version, pages) = self
            .list_pages(resource, selector, ListedPart::Table, read)
            .await?;
        let pages: Option<Vec<_>> = pages.into_iter().collect();
        Ok(pages.map(|pages| VersionList {
            resource_version,
            items: pages.into_iter().flatten().collect(),
        }))
    }

    async fn list_metadata(
        &self,
        resource: Resource,
        selector: &Selector,
    ) -> Result<VersionList, PlatformError> {
        let (resource_version, items) = self
            .list_pages(resource, selector, ListedPart::Metadata, read_metadata_page)
            .await?;
        Ok(VersionList {
            resource_version,
            items,
        })
    }

    /// Creates an object and returns its version.
    ///
    /// # Errors
    /// Returns `AlreadyExists`, or one of the errors of every write: `OutcomeUnknown` if it is
    /// unknown whether the write took effect, for example because the response was lost, and
    /// `Unavailable`, `RateLimited`, `Denied` or `Invalid` if nothing was written.
    pub async fn create<S: Serialize>(
        &self,
        resource: Resource,
        object: &Object<S>,
    ) -> Result<ResourceVersion, PlatformError> {
        let call = Call::of_kind(Verb::Create, resource, self.namespace(), "");
        let call = call.with_body(encode(resource, object, None))?;
        self.write(&call).await
    }

    /// Replaces an object if it still has the version that was read, and returns its new version.
    ///
    /// # Errors
    /// Returns `Conflict` if the object's version has changed, `Invalid` if `object` has no
    /// version, `NotFound`, or one of the errors of every write (see [`Platform::create`]).
    pub async fn update<S: Serialize>(
        &self,
        resource: Resource,
        object: &Object<S>,
    ) -> Result<ResourceVersion, PlatformError> {
        let call = Call::of_object(Verb::Update, resource, self.namespace(), &object.name)?;
        let version = object.resource_version;
        if version.is_none() {
            return Err(call.invalid("an update requires the object's resource version"));
        }
        let call = call.with_body(encode(resource, object, version))?;
        self.write(&call).await
    }

    /// Deletes an object. If `version` is given, deletes it only at that version.
    ///
    /// # Errors
    /// Returns `Conflict` if the object has a different version, `NotFound`, or one of the errors
    /// of every write (see [`Platform::create`]).
    pub async fn delete(
        &self,
        resource: Resource,
        name: &str,
        version: Option<ResourceVersion>,
    ) -> Result<(), PlatformError> {
        let mut call = Call::of_object(Verb::Delete, resource, self.namespace(), name)?;
        if let Some(version) = version {
            call = call.with_body(delete_body(version))?;
        }
        self.shared.exchange.call(&call, self.timeouts).await?;
        Ok(())
    }

    /// Watches all objects that match a selector, reconnecting whenever the connection is lost.
    ///
    /// The watch ends when the receiver is dropped. See [`WatchEvent`] for the order of events.
    pub fn watch<S>(&self, resource: Resource, selector: Selector) -> mpsc::Receiver<WatchEvent<S>>
    where
        S: DeserializeOwned + Send + 'static,
    {
        self.watch_with(resource, selector, self.config().watch)
    }

    /// Watches objects like [`Platform::watch`], with the given timing instead of the configured
    /// one.
    pub fn watch_with<S>(
        &self,
        resource: Resource,
        selector: Selector,
        timing: WatchTiming,
    ) -> mpsc::Receiver<WatchEvent<S>>
    where
        S: DeserializeOwned + Send + 'static,
    {
        // A watch retries through `Reconnects`, which it shares with the other watches.
        let once = self.with_timeouts(Timeouts {
            max_attempts: 1,
            ..self.timeouts
        });
        start_watch(once, resource, selector, timing)
    }

    pub(crate) fn log(&self) -> &Logger {
        &self.shared.log
    }

    pub(crate) fn fleet_size(&self) -> usize {
        self.shared.fleet_size.load(Ordering::Relaxed)
    }

    pub(crate) fn reconnects(&self) -> &Reconnects {
        &self.shared.reconnects
    }

    fn namespace(&self) -> &str {
        &self.config().namespace
    }

    /// Opens a watch for changes after the version `from`.
    pub(crate) async fn open_watch(
        &self,
        resource: Resource,
        selector: &Selector,
        from: ResourceVersion,
        lifetime_seconds: u64,
    ) -> Result<Incoming, PlatformError> {
        let query = watch_query(selector, from, lifetime_seconds);
        let call = Call::of_kind(Verb::Watch, resource, self.namespace(), &query);
        self.shared.exchange.open(&call, self.timeouts).await
    }

    /// Lists objects page by page and parses the JSON of each with `read`.
    pub(crate) async fn list_items<T>(
        &self,
        resource: Resource,
        selector: &Selector,
        read: impl Fn(&str) -> T,
    ) -> Result<(ResourceVersion, Vec<T>), PlatformError> {
        let read = |call: &Call, body: &[u8]| {
            let page: RawList<'_> =
                serde_json::from_slice(body).map_err(|err| call.malformed(&err))?;
            let items = page.items.iter().map(|item| read(item.get()));
            Ok((page.metadata, items.collect()))
        };
        self.list_pages(resource, selector, ListedPart::Whole, read)
            .await
    }

    /// Reads all pages of a list as one consistent snapshot.
    async fn list_pages<T>(
        &self,
        resource: Resource,
        selector: &Selector,
        part: ListedPart,
        read: impl Fn(&Call, &[u8]) -> Result<(ListMetadata, Vec<T>), PlatformError>,
    ) -> Result<(ResourceVersion, Vec<T>), PlatformError> {
        let mut restarts = 0;
        let mut next = String::new();
        let mut items = Vec::new();
        loop {
            let call = Call::of_page(resource, self.namespace(), selector, part, &next);
            let body = match self.shared.exchange.call(&call, self.timeouts).await {
                Err(PlatformError::Expired { .. }) if restarts < MAX_LIST_RESTARTS => {
                    restarts += 1;
                    next.clear();
                    items.clear();
                    continue;
                }
                result => result?,
            };
            let (metadata, page) = read(&call, &body)?;
            items.extend(page);
            if metadata.next.is_empty() {
                let version = ResourceVersion::parse(&metadata.resource_version);
                let version =
                    version.ok_or_else(|| call.invalid("the list has no resource version"))?;
                return Ok((version, items));
            }
            next = metadata.next;
        }
    }

    async fn write(&self, call: &Call) -> Result<ResourceVersion, PlatformError> {
        let body = self.shared.exchange.call(call, self.timeouts).await?;
        // The write took effect, but its version is unknown, so the caller has to read the object.
        let unreadable = || lost(&call.label, call.verb, "the response is malformed");
        let written: MetadataOnly = serde_json::from_slice(&body).map_err(|_err| unreadable())?;
        ResourceVersion::parse(&written.metadata.resource_version).ok_or_else(unreadable)
    }
}

/// An object's name and version.
type NamedVersion = (Arc<str>, ResourceVersion);

fn read_metadata_page(
    call: &Call,
    body: &[u8],
) -> Result<(ListMetadata, Vec<NamedVersion>), PlatformError> {
    let page: RawList<'_> = serde_json::from_slice(body).map_err(|err| call.malformed(&err))?;
    let items = page.items.iter().map(|item| {
        let item = serde_json::from_str(item.get());
        let item: MetadataOnly = item.map_err(|err| call.malformed(&err))?;
        let version = ResourceVersion::parse(&item.metadata.resource_version)
            .ok_or_else(|| call.invalid("an object in the list has no resource version"))?;
        Ok((item.metadata.name, version))
    });
    let items = items.collect::<Result<_, _>>()?;
    Ok((page.metadata, items))
}
