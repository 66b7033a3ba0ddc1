//! Objects and lists of objects with their resource versions.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// The version of an object or collection, which the platform increases with each write.
///
/// Kubernetes specifies that resource versions compare as numbers from release 1.35 on, and they
/// did so in every earlier release. The client relies on it to reject lists that are older than
/// what it has already seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResourceVersion(u64);

impl ResourceVersion {
    /// Creates a version from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the version as a number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Parses the text form used by the object API.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        text.parse().ok().map(Self)
    }
}

impl fmt::Display for ResourceVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// An object of the object API.
#[derive(Clone, Debug, PartialEq)]
pub struct Object<S> {
    /// The name, unique within the kind.
    pub name: Arc<str>,
    /// The version that was read, or `None` if the object has not been written yet.
    pub resource_version: Option<ResourceVersion>,
    /// Labels, which selectors match.
    pub labels: BTreeMap<String, String>,
    /// Annotations, which selectors do not match.
    pub annotations: BTreeMap<String, String>,
    /// The content.
    pub spec: S,
}

impl<S> Object<S> {
    /// Creates an object that has not been written yet.
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

/// A consistent snapshot of objects.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectList<S> {
    /// The version of the collection at the snapshot.
    pub resource_version: ResourceVersion,
    /// The objects, ordered by name.
    pub objects: Vec<Object<S>>,
    /// Objects whose content can't be decoded, for example because another client wrote them.
    pub malformed: Vec<MalformedObject>,
}

/// An object whose content can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MalformedObject {
    /// The object's name.
    pub name: Arc<str>,
    /// The decoding error.
    pub problem: Arc<str>,
}

/// A consistent snapshot of the names and versions of objects, without their content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionList {
    /// The version of the collection at the snapshot.
    pub resource_version: ResourceVersion,
    /// The name and version of each object, ordered by name.
    pub items: Vec<(Arc<str>, ResourceVersion)>,
}
