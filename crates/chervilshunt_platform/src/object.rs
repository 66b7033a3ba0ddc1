//! Objects with their versions.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// The version of an object or of a collection, which the platform raises with each write.
///
/// Kubernetes' versions compare as numbers from release 1.35 on, and did so in every release
/// before. The client depends on it in one place: it never goes back to an older list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResourceVersion(u64);

impl ResourceVersion {
    /// Wraps a number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Reads the text form that the object API uses.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        text.parse().ok().map(Self)
    }
}

impl fmt::Display for ResourceVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One object.
#[derive(Clone, Debug, PartialEq)]
pub struct Object<S> {
    /// Its name, which is unique among its kind.
    pub name: Arc<str>,
    /// The version that was read; none if it has not been written yet.
    pub resource_version: Option<ResourceVersion>,
    /// What selectors see.
    pub labels: BTreeMap<String, String>,
    /// Remarks that no selector sees.
    pub annotations: BTreeMap<String, String>,
    /// Its content.
    pub spec: S,
}

impl<S> Object<S> {
    /// Makes an object that has not been written yet.
    pub fn new(name: impl Into<Arc<str>>, spec: S) -> Self {
        Self {
            name: name.into(),
            resource_version: None,
            labels: BTreeMap::new(),
            annotations: BTreeMap::new(),
            spec,
        }
    }

    /// Adds a label.
    #[must_use]
    pub fn with_label(mut self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.labels.insert(key.into(), value.into());
        self
    }
}

/// Objects as they stood together at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectList<S> {
    /// The version of the collection that they show.
    pub resource_version: ResourceVersion,
    /// The objects, in name order.
    pub objects: Vec<Object<S>>,
    /// Objects whose content can't be read; somebody else may have written them.
    pub malformed: Vec<MalformedObject>,
}

/// An object whose content can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MalformedObject {
    /// Its name.
    pub name: Arc<str>,
    /// Why it can't be read.
    pub problem: Arc<str>,
}

/// Names and versions of objects as they stood together at one version, without their content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionList {
    /// The version of the collection that they show.
    pub resource_version: ResourceVersion,
    /// Name and version of each object, in name order.
    pub items: Vec<(Arc<str>, ResourceVersion)>,
}
