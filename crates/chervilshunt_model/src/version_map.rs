//! A compact map of the versions of an adapter.

use litemap::LiteMap;
use serde::{Deserialize, Serialize, Serializer};

use crate::{Version, VersionName};

/// The versions of an adapter, ordered by name.
///
/// Most adapters have one or two versions. The map is a sorted vector, which takes a fifth of the
/// memory of a B-tree node. With 170,000 adapters, each of which has a map, this matters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct VersionMap(LiteMap<VersionName, Version>);

impl VersionMap {
    /// Creates an empty map.
    pub fn new() -> Self {
        Self(LiteMap::new())
    }

    /// Returns the version with the given name.
    pub fn get(&self, name: &VersionName) -> Option<&Version> {
        self.0.get(name)
    }

    /// Returns whether the map contains a version with the given name.
    pub fn contains_key(&self, name: &VersionName) -> bool {
        self.0.contains_key(name)
    }

    /// Inserts a version and returns the one that it replaces, if any.
    pub fn insert(&mut self, name: VersionName, version: Version) -> Option<Version> {
        self.0.insert(name, version)
    }

    /// Removes a version and returns it, if it exists.
    pub fn remove(&mut self, name: &VersionName) -> Option<Version> {
        self.0.remove(name)
    }

    /// Returns the number of versions.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns all versions, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&VersionName, &Version)> {
        self.0.iter()
    }

    /// Returns all names in order.
    pub fn keys(&self) -> impl Iterator<Item = &VersionName> {
        self.0.keys()
    }

    /// Releases excess capacity.
    #[must_use]
    pub(crate) fn compact(self) -> Self {
        let mut versions = self.0.into_tuple_vec();
        versions.shrink_to_fit();
        Self(LiteMap::from_sorted_store_unchecked(versions))
    }
}

impl FromIterator<(VersionName, Version)> for VersionMap {
    fn from_iter<I: IntoIterator<Item = (VersionName, Version)>>(iter: I) -> Self {
        Self(iter.into_iter().collect())
    }
}

impl<const N: usize> From<[(VersionName, Version); N]> for VersionMap {
    fn from(versions: [(VersionName, Version); N]) -> Self {
        versions.into_iter().collect()
    }
}

impl Serialize for VersionMap {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.iter())
    }
}
