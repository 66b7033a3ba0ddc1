//! A copy-on-write map of adapters by name, divided into pages.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

use crate::pages::AdapterPage;
use crate::{Adapter, AdapterName};

/// The number of pages over which adapters are distributed by the hash of their name.
pub(crate) const ADAPTER_PAGES: usize = 256;

/// A map of adapters by name, whose clones share unchanged pages.
///
/// A change copies only the page that holds the adapter: about 660 adapters of 170,000. The pages
/// are the same as those in which the platform stores the adapters, so comparing pointers shows
/// which pages have to be written. See `docs/design/configuration-pages.md`.
#[derive(Clone)]
pub struct AdapterMap {
    pages: Box<[Arc<AdapterPage>]>,
}

impl AdapterMap {
    /// Creates an empty map.
    pub fn new() -> Self {
        let empty = Arc::new(AdapterPage::default());
        Self {
            pages: vec![empty; ADAPTER_PAGES].into_boxed_slice(),
        }
    }

    /// Returns the adapter with the given name.
    pub fn get(&self, name: &AdapterName) -> Option<&Adapter> {
        self.page(page_of(name)).get(name)
    }

    /// Returns the map's own copy of the name, and its adapter.
    pub fn get_key_value(&self, name: &AdapterName) -> Option<(&AdapterName, &Adapter)> {
        self.page(page_of(name)).get_key_value(name)
    }

    /// Returns whether the map contains an adapter with the given name.
    pub fn contains_key(&self, name: &AdapterName) -> bool {
        self.get(name).is_some()
    }

    /// Returns a mutable reference to an adapter. If its page is shared, it is copied first.
    pub fn get_mut(&mut self, name: &AdapterName) -> Option<&mut Adapter> {
        if !self.contains_key(name) {
            return None;
        }
        self.page_mut(page_of(name)).get_mut(name)
    }

    /// Inserts an adapter and returns the one that it replaces, if any.
    pub fn insert(&mut self, name: AdapterName, adapter: Adapter) -> Option<Adapter> {
        self.page_mut(page_of(&name)).insert(name, adapter)
    }

    /// Removes an adapter and returns it, if it exists.
    pub fn remove(&mut self, name: &AdapterName) -> Option<Adapter> {
        if !self.contains_key(name) {
            return None;
        }
        self.page_mut(page_of(name)).remove(name)
    }

    /// Returns the number of adapters.
    pub fn len(&self) -> usize {
        self.pages.iter().map(|page| page.len()).sum()
    }

    /// Returns whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.pages.iter().all(|page| page.is_empty())
    }

    /// Returns all adapters, page by page. They are sorted by name only within each page.
    pub fn iter(&self) -> impl Iterator<Item = (&AdapterName, &Adapter)> {
        self.pages.iter().flat_map(|page| page.iter())
    }

    /// Returns all names, in the order of [`Self::iter`].
    pub fn keys(&self) -> impl Iterator<Item = &AdapterName> {
        self.iter().map(|(name, _)| name)
    }

    /// Returns all adapters, in the order of [`Self::iter`].
    pub fn values(&self) -> impl Iterator<Item = &Adapter> {
        self.iter().map(|(_, adapter)| adapter)
    }

    pub(crate) fn page(&self, index: u8) -> &Arc<AdapterPage> {
        &self.pages[usize::from(index)]
    }

    pub(crate) fn set_page(&mut self, index: u8, page: Arc<AdapterPage>) {
        self.pages[usize::from(index)] = page;
    }

    fn page_mut(&mut self, index: u8) -> &mut AdapterPage {
        Arc::make_mut(&mut self.pages[usize::from(index)])
    }
}

/// Returns the index of the page that holds an adapter. It is the same in every process and
/// release.
pub(crate) fn page_of(name: &AdapterName) -> u8 {
    let [page, ..] = xxh3_64(name.as_str().as_bytes()).to_le_bytes();
    page
}

impl Default for AdapterMap {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for AdapterMap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.iter()).finish()
    }
}

impl PartialEq for AdapterMap {
    fn eq(&self, other: &Self) -> bool {
        let mut pairs = self.pages.iter().zip(&other.pages);
        pairs.all(|(one, other)| Arc::ptr_eq(one, other) || one == other)
    }
}

impl FromIterator<(AdapterName, Adapter)> for AdapterMap {
    fn from_iter<I: IntoIterator<Item = (AdapterName, Adapter)>>(iter: I) -> Self {
        let mut map = Self::new();
        map.extend(iter);
        map
    }
}

impl Extend<(AdapterName, Adapter)> for AdapterMap {
    fn extend<I: IntoIterator<Item = (AdapterName, Adapter)>>(&mut self, iter: I) {
        for (name, adapter) in iter {
            self.insert(name, adapter);
        }
    }
}

impl<const N: usize> From<[(AdapterName, Adapter); N]> for AdapterMap {
    fn from(adapters: [(AdapterName, Adapter); N]) -> Self {
        adapters.into_iter().collect()
    }
}

impl<N: Borrow<AdapterName>> std::ops::Index<N> for AdapterMap {
    type Output = Adapter;

    fn index(&self, name: N) -> &Adapter {
        self.get(name.borrow()).expect("the indexed adapter exists")
    }
}

impl Serialize for AdapterMap {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.iter())
    }
}

impl<'de> Deserialize<'de> for AdapterMap {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(AdapterMapVisitor)
    }
}

struct AdapterMapVisitor;

impl<'de> Visitor<'de> for AdapterMapVisitor {
    type Value = AdapterMap;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("adapters by name")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<AdapterMap, A::Error> {
        let mut map = AdapterMap::new();
        while let Some((name, adapter)) = entries.next_entry()? {
            map.insert(name, adapter);
        }
        Ok(map)
    }
}
