//! Typed changes of configuration.

use serde::{Deserialize, Serialize};

use crate::patches::Patch;
use crate::{
    Adapter, AdapterName, AdapterPatch, AdapterVersion, ChangeId, ObjectKind, ObjectRef, PageId,
    Priority, PriorityName, PriorityPatch, Revision, Service, ServiceName, ServicePatch, Site,
    SiteName, SitePatch, StoreName, Target, TargetName, TargetPatch, Version, WeightStore,
    WeightStorePatch,
};

/// Changes that take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// By which a write whose answer was lost is recognised.
    pub id: ChangeId,
    /// The revision that the operator saw; the change is refused if another is in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<Revision>,
    /// The changes, carried out in this order.
    pub changes: Vec<Change>,
}

impl ChangeSet {
    /// Returns the pages that have to be written, sorted and each once.
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
    /// A change to an adapter; deleting it deletes its versions.
    Adapter {
        /// The adapter.
        name: AdapterName,
        /// What happens to it.
        edit: Edit<Adapter, AdapterPatch>,
    },
    /// A change to one version of an adapter.
    ///
    /// A version can't be set: engines that hold its weights would go on answering with the old
    /// ones under the same name.
    Version {
        /// The version.
        name: AdapterVersion,
        /// What happens to it.
        edit: Edit<Version, NoPatch>,
    },
    /// A change to a service.
    Service {
        /// The service.
        name: ServiceName,
        /// What happens to it.
        edit: Edit<Service, ServicePatch>,
    },
    /// A change to a target; draining and resuming set its lifecycle.
    Target {
        /// The target.
        name: TargetName,
        /// What happens to it.
        edit: Edit<Target, TargetPatch>,
    },
    /// A change to a priority.
    Priority {
        /// The priority.
        name: PriorityName,
        /// What happens to it.
        edit: Edit<Priority, PriorityPatch>,
    },
    /// A change to a site.
    Site {
        /// The site.
        name: SiteName,
        /// What happens to it.
        edit: Edit<Site, SitePatch>,
    },
    /// A change to a weight store.
    Store {
        /// The weight store.
        name: StoreName,
        /// What happens to it.
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

/// What happens to an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit<O, P> {
    /// It comes into being; refused if there is one of that name.
    Create(O),
    /// The fields that the patch holds change; refused if there is none of that name.
    Set(P),
    /// It goes; refused if there is none of that name, or another object needs it.
    Delete,
}

/// The patch of objects that can't be set; there is no value of it.
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
