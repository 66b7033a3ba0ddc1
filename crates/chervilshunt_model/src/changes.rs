//! Typed changes to the configuration.

use serde::{Deserialize, Serialize};

use crate::patches::Patch;
use crate::{
    Adapter, AdapterName, AdapterPatch, AdapterVersion, ChangeId, ObjectKind, ObjectRef, PageId,
    Priority, PriorityName, PriorityPatch, Revision, Service, ServiceName, ServicePatch, Site,
    SiteName, SitePatch, StoreName, Target, TargetName, TargetPatch, Version, WeightStore,
    WeightStorePatch,
};

/// A set of changes that is applied atomically.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// The id that identifies the change set if the response to its write was lost.
    pub id: ChangeId,
    /// The revision that the operator saw. The change set is refused if a different one is current.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<Revision>,
    /// The changes, in the order in which they are applied.
    pub changes: Vec<Change>,
}

impl ChangeSet {
    /// Returns the pages that have to be written, sorted and without duplicates.
    pub fn touched_pages(&self) -> Vec<PageId> {
        let mut pages: Vec<_> = self.changes.iter().map(Change::page).collect();
        pages.sort_unstable();
        pages.dedup();
        pages
    }
}

/// One change to one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A change to an adapter. Deleting an adapter deletes its versions too.
    Adapter {
        /// The name of the adapter.
        name: AdapterName,
        /// The change to apply.
        edit: Edit<Adapter, AdapterPatch>,
    },
    /// A change to one version of an adapter.
    ///
    /// A version can't be modified, because engines that have loaded its weights would continue to
    /// serve the old ones under the same name.
    Version {
        /// The name of the version.
        name: AdapterVersion,
        /// The change to apply.
        edit: Edit<Version, NoPatch>,
    },
    /// A change to a service.
    Service {
        /// The name of the service.
        name: ServiceName,
        /// The change to apply.
        edit: Edit<Service, ServicePatch>,
    },
    /// A change to a target. Draining and resuming are changes of its lifecycle.
    Target {
        /// The name of the target.
        name: TargetName,
        /// The change to apply.
        edit: Edit<Target, TargetPatch>,
    },
    /// A change to a priority.
    Priority {
        /// The name of the priority.
        name: PriorityName,
        /// The change to apply.
        edit: Edit<Priority, PriorityPatch>,
    },
    /// A change to a site.
    Site {
        /// The name of the site.
        name: SiteName,
        /// The change to apply.
        edit: Edit<Site, SitePatch>,
    },
    /// A change to a weight store.
    Store {
        /// The name of the weight store.
        name: StoreName,
        /// The change to apply.
        edit: Edit<WeightStore, WeightStorePatch>,
    },
}

impl Change {
    /// Returns the kind and name of the object that changes.
    pub fn object(&self) -> ObjectRef {
        match self {
            Self::Adapter { name, .. } => ObjectRef::new(ObjectKind::Adapter, name),
            Self::Version { name, .. } => ObjectRef::new(ObjectKind::Version, name),
            Self::Service { name, .. } => ObjectRef::new(ObjectKind::Service, name),
            Self::Target { name, .. } => ObjectRef::new(ObjectKind::Target, name),
            Self::Priority { name, .. } => ObjectRef::new(ObjectKind::Priority, name),
            Self::Site { name, .. } => ObjectRef::new(ObjectKind::Site, name),
            Self::Store { name, .. } => ObjectRef::new(ObjectKind::Store, name),
        }
    }

    /// Returns the page that holds the object.
    pub fn page(&self) -> PageId {
        match self {
            Self::Adapter { name, .. } => PageId::of_adapter(name),
            Self::Version { name, .. } => PageId::of_adapter(&name.adapter),
            Self::Service { .. }
            | Self::Target { .. }
            | Self::Priority { .. }
            | Self::Site { .. }
            | Self::Store { .. } => PageId::Common,
        }
    }
}

/// The change to an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit<O, P> {
    /// Creates the object. Refused if an object with that name exists.
    Create(O),
    /// Sets the fields given in the patch. Refused if no object with that name exists.
    Set(P),
    /// Deletes the object. Refused if it does not exist or if other objects refer to it.
    Delete,
}

/// The patch type of objects that can't be modified. It has no values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoPatch {}

impl<O> Patch<O> for NoPatch {
    fn apply(&self, _object: &mut O) {
        match *self {}
    }

    fn is_empty(&self) -> bool {
        match *self {}
    }
}
