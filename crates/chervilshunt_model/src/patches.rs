//! Patches, which contain the fields of each kind of object that can be modified.
//!
//! Immutable fields have no field in a patch: the kind of a service, because its adapters work with
//! one base model only, and the service of a target or an adapter.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    Adapter, Class, Fencing, Lifecycle, Priority, PriorityName, Service, Site, SiteName, StoreName,
    Target, WeightStore, ZoneName,
};

/// A partial update of an object.
pub(crate) trait Patch<O> {
    /// Sets the fields given in the patch.
    fn apply(&self, object: &mut O);

    /// Returns whether the patch sets no field.
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
    /// The modifiable fields of a service.
    ServicePatch of Service {
        /// The default priority, for requests that specify none.
        priority: PriorityName,
        /// Whether calls may be retried, for requests that don't specify it.
        idempotent: bool,
        /// The default deadline, for requests that specify none, in milliseconds.
        deadline_ms: u64,
    }
);

patch_type!(
    /// The modifiable fields of a target.
    TargetPatch of Target {
        /// The address on which it listens.
        address: SocketAddr,
        /// The availability zone.
        zone: ZoneName,
        /// The site that supplies its power.
        site: SiteName,
        /// The weight store from which it loads adapters.
        store: StoreName,
        /// The number of adapters that it can hold at a time.
        slots: u32,
        /// The number of sequences, or calls of a plain service, that it can run concurrently.
        max_batch: u32,
        /// Whether it refuses orders with an outdated fencing number.
        fencing: Fencing,
        /// Whether it accepts new work.
        lifecycle: Lifecycle,
        /// The power draw of a step that runs no sequence, in watts.
        idle_watts: f64,
        /// The additional power draw of each running sequence, in watts.
        watts_per_sequence: f64,
    }
);

patch_type!(
    /// The modifiable fields of a priority.
    PriorityPatch of Priority {
        /// The class of requests with this priority.
        class: Class,
        /// The relative share among requests of the same class.
        weight: u32,
    }
);

patch_type!(
    /// The modifiable fields of a site.
    SitePatch of Site {
        /// The maximum power draw of all targets of the site together, in watts.
        cap_watts: f64,
    }
);

patch_type!(
    /// The modifiable fields of a weight store.
    WeightStorePatch of WeightStore {
        /// The number of loads that can run concurrently at full speed.
        concurrency: u32,
        /// The total rate limit, in loads per second.
        loads_per_second: f64,
    }
);

/// The modifiable fields of an adapter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdapterPatch {
    /// The default priority of its requests.
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

/// The source of the default priority of an adapter's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriorityChoice {
    /// The adapter has its own priority.
    Own(PriorityName),
    /// The adapter uses the priority of its service.
    OfService,
}
