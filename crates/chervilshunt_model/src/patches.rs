//! Patches: for each kind of object the fields that may change after its creation.
//!
//! What is fixed at creation has no field here: the kind of a service, since its adapters fit one
//! base model only, and the service of a target or an adapter.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    Adapter, Class, Fencing, Lifecycle, Priority, PriorityName, Service, Site, SiteName, StoreName,
    Target, WeightStore, ZoneName,
};

/// What a patch does to its object.
pub(crate) trait Patch<O> {
    /// Sets the fields that the patch holds.
    fn apply(&self, object: &mut O);

    /// Returns whether the patch holds no field.
    fn is_empty(&self) -> bool;
}

macro_rules! patch_type {
    (
        $(#[$doc:meta])* $name:ident of $object:ident {
            $($(#[$field_doc:meta])* $field:ident: $type:ty,)*
        }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $name {
            $(
                $(#[$field_doc])*
                #[serde(skip_serializing_if = "Option::is_none")]
                pub $field: Option<$type>,
            )*
        }

        impl Patch<$object> for $name {
            fn apply(&self, object: &mut $object) {
                $(
                    if let Some(value) = &self.$field {
                        object.$field = value.clone();
                    }
                )*
            }

            fn is_empty(&self) -> bool {
                $(self.$field.is_none())&&*
            }
        }
    };
}

patch_type!(
    /// What may change of a service.
    ServicePatch of Service {
        /// The priority of requests that name none.
        priority: PriorityName,
        /// Whether a call may be repeated when the request does not say so itself.
        idempotent: bool,
        /// How long a request may take when it does not say so itself, in milliseconds.
        deadline_ms: u64,
    }
);

patch_type!(
    /// What may change of a target.
    TargetPatch of Target {
        /// Where it listens.
        address: SocketAddr,
        /// The availability zone it stands in.
        zone: ZoneName,
        /// The site whose power it draws.
        site: SiteName,
        /// The weight store that it loads adapters from.
        store: StoreName,
        /// The adapters that it can hold at a time.
        slots: u32,
        /// The sequences that it can run at a time.
        max_batch: u32,
        /// Whether it refuses orders that carry an old fencing number.
        fencing: Fencing,
        /// Whether it takes new work.
        lifecycle: Lifecycle,
        /// Power of a step that runs no sequence, in watts.
        idle_watts: f64,
        /// Power that each running sequence adds, in watts.
        watts_per_sequence: f64,
    }
);

patch_type!(
    /// What may change of a priority.
    PriorityPatch of Priority {
        /// The class of requests with this priority.
        class: Class,
        /// Share among requests of the same class.
        weight: u32,
    }
);

patch_type!(
    /// What may change of a site.
    SitePatch of Site {
        /// The power that all its targets together may draw, in watts.
        cap_watts: f64,
    }
);

patch_type!(
    /// What may change of a weight store.
    WeightStorePatch of WeightStore {
        /// Loads that run at full speed side by side.
        concurrency: u32,
        /// Loads a second that it gives in all.
        loads_per_second: f64,
    }
);

/// What may change of an adapter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdapterPatch {
    /// The priority of its requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<PriorityChoice>,
}

impl Patch<Adapter> for AdapterPatch {
    fn apply(&self, adapter: &mut Adapter) {
        match &self.priority {
            None => {}
            Some(PriorityChoice::Own(priority)) => adapter.priority = Some(priority.clone()),
            Some(PriorityChoice::OfService) => adapter.priority = None,
        }
    }

    fn is_empty(&self) -> bool {
        self.priority.is_none()
    }
}

/// Where an adapter's requests take their priority from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriorityChoice {
    /// A priority of the adapter's own.
    Own(PriorityName),
    /// The service's priority.
    OfService,
}
