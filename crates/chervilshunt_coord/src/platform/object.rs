//! The objects that the state machines store in the platform's object API.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::claims::{ClaimPage, ClaimPageName};
use crate::config::HeadRecord;
use crate::holder::Holder;
use crate::lease::LeaseRecord;
use crate::roles::{AssignmentRecord, AssignmentShard};

/// The platform's version of an object (`metadata.resourceVersion`). It is opaque: it can only be
/// compared for equality.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectVersion(Arc<str>);

impl ObjectVersion {
    /// Creates a version from its text.
    pub fn new(version: impl Into<Arc<str>>) -> Self {
        Self(version.into())
    }

    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The name of a configuration page, which contains the hash of the page's content.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PageName(Arc<str>);

impl PageName {
    /// Creates a name from its text.
    pub fn new(name: impl Into<Arc<str>>) -> Self {
        Self(name.into())
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for PageName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The kinds of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ObjectKind {
    /// A Kubernetes Lease; there is one for each run of an instance.
    Lease,
    /// The holders of roles; there is one object for each shard of the roles.
    Assignment,
    /// The head of the configuration; there is exactly one.
    Head,
    /// A configuration page.
    Page,
    /// A page of claims.
    Claims,
}

/// The kind and name of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectName {
    /// The lease of one run of an instance.
    Lease(Holder),
    /// The role assignments of one shard.
    Assignment(AssignmentShard),
    /// The head of the configuration.
    Head,
    /// A configuration page.
    Page(PageName),
    /// A page of claims.
    Claims(ClaimPageName),
}

impl ObjectName {
    /// Returns the kind of the object.
    pub const fn kind(&self) -> ObjectKind {
        match self {
            Self::Lease(_) => ObjectKind::Lease,
            Self::Assignment(_) => ObjectKind::Assignment,
            Self::Head => ObjectKind::Head,
            Self::Page(_) => ObjectKind::Page,
            Self::Claims(_) => ObjectKind::Claims,
        }
    }

    /// Returns `metadata.name`, which is unique within the kind. It contains only characters that
    /// Kubernetes accepts, provided that this holds for the instance ids.
    pub fn object_name(&self) -> String {
        match self {
            Self::Lease(holder) => holder.to_string(),
            Self::Assignment(shard) => shard.to_string(),
            Self::Head => "head".to_owned(),
            Self::Page(page) => page.to_string(),
            Self::Claims(page) => page.to_string(),
        }
    }
}

/// The content of an object, which is stored under `spec`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Object {
    /// A lease.
    Lease(Box<LeaseRecord>),
    /// The role assignments of one shard.
    Assignment(AssignmentRecord),
    /// The head of the configuration.
    Head(Box<HeadRecord>),
    /// A page of claims.
    Claims(ClaimPage),
    /// A configuration page.
    Page {
        /// The name of the page.
        name: PageName,
        /// The content of the page as JSON text.
        body: Arc<str>,
    },
}

impl Object {
    /// Returns the kind and name of the object.
    pub fn name(&self) -> ObjectName {
        match self {
            Self::Lease(lease) => ObjectName::Lease(lease.holder.clone()),
            Self::Assignment(assignment) => ObjectName::Assignment(assignment.shard),
            Self::Head(_) => ObjectName::Head,
            Self::Claims(page) => ObjectName::Claims(page.name),
            Self::Page { name, .. } => ObjectName::Page(name.clone()),
        }
    }

    /// Deserializes the content of an object of `kind` from `spec`.
    ///
    /// # Errors
    /// Fails if `spec` does not have the structure of that kind.
    pub fn from_spec(kind: ObjectKind, spec: serde_json::Value) -> Result<Self, serde_json::Error> {
        #[derive(Deserialize)]
        struct PageSpec {
            name: PageName,
            body: Arc<str>,
        }
        Ok(match kind {
            ObjectKind::Lease => Self::Lease(serde_json::from_value(spec)?),
            ObjectKind::Assignment => Self::Assignment(serde_json::from_value(spec)?),
            ObjectKind::Head => Self::Head(serde_json::from_value(spec)?),
            ObjectKind::Claims => Self::Claims(serde_json::from_value(spec)?),
            ObjectKind::Page => {
                let PageSpec { name, body } = serde_json::from_value(spec)?;
                Self::Page { name, body }
            }
        })
    }
}

/// An object as stored in the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredObject {
    /// The content of the object.
    pub object: Object,
    /// The version that a conditional update has to name.
    pub version: ObjectVersion,
}
