//! The pages into which a deployment is divided for storage in the platform.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use litemap::LiteMap;
use serde::{Deserialize, Serialize, Serializer};
use snafu::Snafu;

use crate::adapter_map::{ADAPTER_PAGES, page_of};
use crate::{
    Adapter, AdapterName, Deployment, Priority, PriorityName, Revision, Service, ServiceName, Site,
    SiteName, StoreName, Target, TargetName, WeightStore,
};

const COMMON_NAME: &str = "common";
const ADAPTERS_PREFIX: &str = "adapters-";

/// The id of a page. Its text form is part of the name of the platform's object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum PageId {
    /// The page of all objects other than adapters.
    Common,
    /// One of 256 pages of adapters, selected by the hash of the adapter's name.
    Adapters(u8),
}

impl PageId {
    /// Returns the page that holds an adapter and its versions.
    pub fn of_adapter(name: &AdapterName) -> Self {
        Self::Adapters(page_of(name))
    }

    /// Returns the ids of all pages.
    pub fn all() -> impl Iterator<Item = Self> {
        std::iter::once(Self::Common).chain((0..=u8::MAX).map(Self::Adapters))
    }

    /// Parses the text form.
    ///
    /// # Errors
    /// Returns [`PageError::NoSuchPage`] if no page has that name.
    pub fn parse(name: &str) -> Result<Self, PageError> {
        let by_name = match name.strip_prefix(ADAPTERS_PREFIX) {
            Some(digits) => u8::from_str_radix(digits, 16).ok().map(Self::Adapters),
            None => (name == COMMON_NAME).then_some(Self::Common),
        };
        match by_name {
            Some(id) if id.to_string() == name => Ok(id),
            _ => NoSuchPageSnafu { name }.fail(),
        }
    }
}

impl fmt::Display for PageId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Common => f.write_str(COMMON_NAME),
            Self::Adapters(index) => write!(f, "{ADAPTERS_PREFIX}{index:02x}"),
        }
    }
}

impl From<PageId> for String {
    fn from(id: PageId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for PageId {
    type Error = PageError;

    fn try_from(name: String) -> Result<Self, PageError> {
        Self::parse(&name)
    }
}

/// The content of one page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Page {
    /// All objects other than adapters.
    Common(CommonPage),
    /// The adapters of one page.
    Adapters(Arc<AdapterPage>),
}

/// All objects other than adapters: at most about 1,600 targets, and far fewer of the other kinds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommonPage {
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, Target>,
    /// Priorities by name.
    pub priorities: BTreeMap<PriorityName, Priority>,
    /// Sites by name.
    pub sites: BTreeMap<SiteName, Site>,
    /// Weight stores by name.
    pub stores: BTreeMap<StoreName, WeightStore>,
}

/// The adapters of one page, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(transparent)]
pub struct AdapterPage(LiteMap<AdapterName, Adapter>);

impl AdapterPage {
    /// Returns the adapters, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&AdapterName, &Adapter)> {
        self.0.iter()
    }

    /// Returns the number of adapters.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the page is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn get(&self, name: &AdapterName) -> Option<&Adapter> {
        self.0.get(name)
    }

    pub(crate) fn get_key_value(&self, name: &AdapterName) -> Option<(&AdapterName, &Adapter)> {
        self.0.get_indexed(self.0.find_index(name).ok()?)
    }

    pub(crate) fn get_mut(&mut self, name: &AdapterName) -> Option<&mut Adapter> {
        self.0.get_mut(name)
    }

    pub(crate) fn insert(&mut self, name: AdapterName, adapter: Adapter) -> Option<Adapter> {
        self.0.insert(name, adapter)
    }

    pub(crate) fn remove(&mut self, name: &AdapterName) -> Option<Adapter> {
        self.0.remove(name)
    }

    /// Minimizes the memory use of the page.
    ///
    /// Each name decoded from a page is a separate allocation. Since there are few service and
    /// priority names, they are replaced by shared references to those of the deployment. Excess
    /// capacity is released.
    fn compact(self, deployment: &Deployment) -> Self {
        let mut adapters: Vec<_> = self.0.into_tuple_vec();
        for (_, adapter) in &mut adapters {
            share_names(adapter, deployment);
            adapter.versions = std::mem::take(&mut adapter.versions).compact();
        }
        adapters.shrink_to_fit();
        Self(LiteMap::from_sorted_store_unchecked(adapters))
    }
}

impl Serialize for AdapterPage {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.iter())
    }
}

/// Replaces the service and priority names of an adapter by shared references to those of the
/// deployment, to save memory.
pub(crate) fn share_names(adapter: &mut Adapter, deployment: &Deployment) {
    if let Some((name, _)) = deployment.services.get_key_value(&adapter.service) {
        adapter.service = name.clone();
    }
    let Some(priority) = &mut adapter.priority else {
        return;
    };
    if let Some((name, _)) = deployment.priorities.get_key_value(priority) {
        *priority = name.clone();
    }
}

impl Deployment {
    /// Returns the content of one page.
    pub fn page(&self, id: PageId) -> Page {
        match id {
            PageId::Common => Page::Common(CommonPage {
                services: self.services.clone(),
                targets: self.targets.clone(),
                priorities: self.priorities.clone(),
                sites: self.sites.clone(),
                stores: self.stores.clone(),
            }),
            PageId::Adapters(index) => Page::Adapters(Arc::clone(self.adapters.page(index))),
        }
    }

    /// Returns the ids and contents of all pages.
    pub fn pages(&self) -> impl Iterator<Item = (PageId, Page)> {
        PageId::all().map(|id| (id, self.page(id)))
    }

    /// Returns the pages that differ between this deployment and another.
    ///
    /// Adapter pages shared by both are not compared.
    pub fn differing_pages(&self, other: &Self) -> Vec<PageId> {
        PageId::all()
            .filter(|id| !self.same_page(other, *id))
            .collect()
    }

    fn same_page(&self, other: &Self, id: PageId) -> bool {
        match id {
            PageId::Common => {
                self.services == other.services
                    && self.targets == other.targets
                    && self.priorities == other.priorities
                    && self.sites == other.sites
                    && self.stores == other.stores
            }
            PageId::Adapters(index) => {
                let (one, other) = (self.adapters.page(index), other.adapters.page(index));
                Arc::ptr_eq(one, other) || one == other
            }
        }
    }

    /// Creates a deployment from its pages. Missing pages are taken as empty.
    ///
    /// # Errors
    /// Returns an error if the content of a page does not match its id.
    pub fn from_pages(
        revision: Revision,
        pages: impl IntoIterator<Item = (PageId, Page)>,
    ) -> Result<Self, PageError> {
        let mut pages: Vec<_> = pages.into_iter().collect();
        // The common page is applied first so that the adapter pages can share its names.
        pages.sort_by_key(|(id, _)| *id);
        Self::default().with_pages(revision, pages)
    }

    /// Returns a copy of the deployment with another revision and some pages replaced.
    ///
    /// # Errors
    /// Returns an error if the content of a page does not match its id.
    pub fn with_pages(
        &self,
        revision: Revision,
        pages: impl IntoIterator<Item = (PageId, Page)>,
    ) -> Result<Self, PageError> {
        let mut next = self.clone();
        next.revision = revision;
        for (id, page) in pages {
            next.set_page(id, page)?;
        }
        Ok(next)
    }

    fn set_page(&mut self, id: PageId, page: Page) -> Result<(), PageError> {
        match (id, page) {
            (PageId::Common, Page::Common(common)) => {
                self.services = common.services;
                self.targets = common.targets;
                self.priorities = common.priorities;
                self.sites = common.sites;
                self.stores = common.stores;
            }
            (PageId::Adapters(index), Page::Adapters(adapters)) => {
                let misplaced = adapters.iter().find(|(name, _)| page_of(name) != index);
                if let Some((name, _)) = misplaced {
                    let adapter = name.clone();
                    return MisplacedAdapterSnafu { adapter, id }.fail();
                }
                let adapters = Arc::unwrap_or_clone(adapters).compact(self);
                self.adapters.set_page(index, Arc::new(adapters));
            }
            (id, _) => return WrongKindSnafu { id }.fail(),
        }
        Ok(())
    }
}

/// The error for an invalid page or page name.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum PageError {
    /// No page has that name.
    #[snafu(display("no such page: {name:?}; pages are common and adapters-00 to adapters-ff"))]
    NoSuchPage {
        /// The name.
        name: String,
    },
    /// The page contains an adapter that belongs to another page.
    #[snafu(display("page {id} contains adapter {adapter}, which belongs to another page"))]
    MisplacedAdapter {
        /// The adapter.
        adapter: AdapterName,
        /// The page.
        id: PageId,
    },
    /// The content is for the other kind of page than the id.
    #[snafu(display("page {id} contains the other kind of page"))]
    WrongKind {
        /// The page.
        id: PageId,
    },
}

const _: () = assert!(ADAPTER_PAGES == u8::MAX as usize + 1);
