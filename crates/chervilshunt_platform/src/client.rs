//! The client: every call with its rate limit, time limits, retries and accounts.

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
use crate::item::Item;
use crate::table::TablePage;
use crate::watch::{Reconnects, WatchEvent, start_watch};
use crate::wire::{ListMetadata, MetadataOnly, RawList, decode, encode};
use crate::{
    Object, ObjectList, PlatformConfig, PlatformError, Resource, ResourceVersion, Selector,
    Timeouts, VersionList, WatchTiming,
};

/// How often a list is begun anew when the platform forgets the version of its pages.
const MAX_LIST_RESTARTS: u32 = 2;

/// The client of the platform; clones share one account, rate limit and retry budget.
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
    /// Makes a client; it connects at the first call.
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

    /// Returns a client with other time limits that shares everything else.
    #[must_use]
    pub fn with_timeouts(&self, timeouts: Timeouts) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            timeouts,
        }
    }

    /// Returns what the client was told.
    pub fn config(&self) -> &PlatformConfig {
        self.shared.exchange.config()
    }

    /// Tells how many instances share the platform; checks of watches get rarer with it.
    pub fn set_fleet_size(&self, instances: usize) {
        let fleet_size = &self.shared.fleet_size;
        fleet_size.store(instances, Ordering::Relaxed);
    }

    /// Reads one object.
    ///
    /// # Errors
    /// `NotFound`, or as every read: `Unavailable`, `Timeout`, `RateLimited`, `Denied`, `Invalid`.
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

    /// Reads all objects that a selector takes, page by page, as they stood together.
    ///
    /// # Errors
    /// `Expired` if the platform forgets the version too fast to page through it, or as every
    /// read.
    pub async fn list<S: DeserializeOwned>(
        &self,
        resource: Resource,
        selector: &Selector,
    ) -> Result<ObjectList<S>, PlatformError> {
        let read = |item: &str| Item::read(resource, item);
        let (resource_version, items) = self.list_items(resource, selector, read).await?;
        let mut list = ObjectList {
            resource_version,
            objects: Vec::with_capacity(items.len()),
            malformed: Vec::new(),
        };
        for item in items {
            match item {
                Item::Object(object) => list.objects.push(object),
                Item::Malformed { object, .. } => list.malformed.push(object),
            }
        }
        Ok(list)
    }

    /// Reads the names and versions of all objects that a selector takes, without their content.
    ///
    /// It tells at a fraction of the bytes of a list what has changed since it was last read. Where
    /// the kind has a column for the version it is read from a table, and else from the objects'
    /// metadata, which says much besides.
    ///
    /// # Errors
    /// As [`Platform::list`].
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

    /// Reads names and versions from a table, or from metadata if the platform makes no tables;
    /// none if its table lacks the column, as where the kind's definition was installed without it.
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
    /// `AlreadyExists`, or as every write: `OutcomeUnknown` if its answer was lost, and where
    /// nothing was written `Unavailable`, `RateLimited`, `Denied`, `Invalid`.
    pub async fn create<S: Serialize>(
        &self,
        resource: Resource,
        object: &Object<S>,
    ) -> Result<ResourceVersion, PlatformError> {
        let call = Call::of_kind(Verb::Create, resource, self.namespace(), "");
        let call = call.with_body(encode(resource, object, None))?;
        self.write(&call).await
    }

    /// Replaces an object if it still has the version that was read, and returns its new one.
    ///
    /// # Errors
    /// `Conflict` if it has another version by now, `NotFound`, or as every write.
    pub async fn update<S: Serialize>(
        &self,
        resource: Resource,
        object: &Object<S>,
    ) -> Result<ResourceVersion, PlatformError> {
        let call = Call::of_object(Verb::Update, resource, self.namespace(), &object.name)?;
        let version = object.resource_version;
        if version.is_none() {
            return Err(call.invalid("an update needs the version that was read"));
        }
        let call = call.with_body(encode(resource, object, version))?;
        self.write(&call).await
    }

    /// Deletes an object, only at a version if one is given.
    ///
    /// # Errors
    /// `Conflict` if it has another version, `NotFound`, or as every write.
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

    /// Follows all objects that a selector takes, through every loss of the connection.
    ///
    /// It ends when the receiver is dropped. See [`WatchEvent`] for what comes in which order.
    pub fn watch<S>(&self, resource: Resource, selector: Selector) -> mpsc::Receiver<WatchEvent<S>>
    where
        S: DeserializeOwned + Send + 'static,
    {
        self.watch_with(resource, selector, self.config().watch)
    }

    /// Follows objects as [`Platform::watch`] does, with a timing of its own.
    pub fn watch_with<S>(
        &self,
        resource: Resource,
        selector: Selector,
        timing: WatchTiming,
    ) -> mpsc::Receiver<WatchEvent<S>>
    where
        S: DeserializeOwned + Send + 'static,
    {
        // A watch has a way of its own to try again, which is shared with the other watches.
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

    /// Opens a watch from a version on.
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

    /// Lists objects page by page, each read from its JSON by `read`.
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

    /// Reads the pages of a list as they stood together.
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
                answered => answered?,
            };
            let (metadata, page) = read(&call, &body)?;
            items.extend(page);
            if metadata.next.is_empty() {
                let version = ResourceVersion::parse(&metadata.resource_version);
                let version = version.ok_or_else(|| call.invalid("the list has no version"))?;
                return Ok((version, items));
            }
            next = metadata.next;
        }
    }

    async fn write(&self, call: &Call) -> Result<ResourceVersion, PlatformError> {
        let body = self.shared.exchange.call(call, self.timeouts).await?;
        // The write took effect, but at which version can't be told: the caller has to read.
        let unreadable = || lost(&call.label, call.verb, "its answer is malformed");
        let written: MetadataOnly = serde_json::from_slice(&body).map_err(|_err| unreadable())?;
        ResourceVersion::parse(&written.metadata.resource_version).ok_or_else(unreadable)
    }
}

/// A name with its version.
type Version = (Arc<str>, ResourceVersion);

fn read_metadata_page(
    call: &Call,
    body: &[u8],
) -> Result<(ListMetadata, Vec<Version>), PlatformError> {
    let page: RawList<'_> = serde_json::from_slice(body).map_err(|err| call.malformed(&err))?;
    let items = page.items.iter().map(|item| {
        let item = serde_json::from_str(item.get());
        let item: MetadataOnly = item.map_err(|err| call.malformed(&err))?;
        let version = ResourceVersion::parse(&item.metadata.resource_version)
            .ok_or_else(|| call.invalid("an object has no version"))?;
        Ok((item.metadata.name, version))
    });
    let items = items.collect::<Result<_, _>>()?;
    Ok((page.metadata, items))
}
