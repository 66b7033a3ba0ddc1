//! The kinds of objects that the system uses.

/// Where an object keeps what is neither name nor label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Layout {
    /// In its `spec`.
    Spec,
    /// Beside its `metadata`, as EndpointSlices do.
    Flat,
}

/// A kind of object, and where the object API has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resource {
    /// The API group.
    pub group: &'static str,
    /// The version of the group.
    pub version: &'static str,
    /// The name in paths.
    pub plural: &'static str,
    /// The name in objects.
    pub kind: &'static str,
    /// Where objects of the kind keep their content.
    pub layout: Layout,
    /// What calls about it are for, in metrics and logs.
    pub purpose: &'static str,
    /// Objects in one page of a list, so that the answer stays a few megabytes at most.
    pub page: u32,
    /// The column of its tables that gives an object's version, if its definition has one.
    pub version_column: Option<&'static str>,
    /// Whether its writes may use the part of the rate that is kept for urgent calls.
    pub urgent_writes: bool,
}

impl Resource {
    /// Returns the path of the kind's objects in a namespace.
    pub(crate) fn path(&self, namespace: &str) -> String {
        let Self {
            group,
            version,
            plural,
            ..
        } = self;
        format!("/apis/{group}/{version}/namespaces/{namespace}/{plural}")
    }
}

/// The group of the system's own kinds.
const OWN_GROUP: &str = "chervilshunt.io";

/// The column that the definition of assignments has beside the name; see
/// `docs/operators/platform.md`.
const VERSION_COLUMN: &str = "Version";

/// For objects of up to a few kilobytes.
const SMALL_OBJECTS: u32 = 500;

/// For objects of some tens of kilobytes.
const MEDIUM_OBJECTS: u32 = 50;

/// For objects of up to a megabyte.
const LARGE_OBJECTS: u32 = 4;

const fn own_kind(
    plural: &'static str,
    kind: &'static str,
    purpose: &'static str,
    page: u32,
) -> Resource {
    Resource {
        group: OWN_GROUP,
        version: "v1",
        plural,
        kind,
        layout: Layout::Spec,
        purpose,
        page,
        version_column: None,
        urgent_writes: false,
    }
}

/// Leases, one for each instance. Their renewals are urgent: one that waits behind a newcomer's
/// pages would cost the instance its roles.
pub const LEASES: Resource = Resource {
    group: "coordination.k8s.io",
    version: "v1",
    plural: "leases",
    kind: "Lease",
    layout: Layout::Spec,
    purpose: "leases",
    page: SMALL_OBJECTS,
    version_column: None,
    urgent_writes: true,
};

/// The instance list.
pub const ENDPOINT_SLICES: Resource = Resource {
    group: "discovery.k8s.io",
    version: "v1",
    plural: "endpointslices",
    kind: "EndpointSlice",
    layout: Layout::Flat,
    purpose: "instance_list",
    page: MEDIUM_OBJECTS,
    version_column: None,
    urgent_writes: false,
};

/// The head of the configuration.
pub const CONFIG_HEADS: Resource =
    own_kind("configheads", "ConfigHead", "config_head", SMALL_OBJECTS);

/// The pages of the configuration.
pub const CONFIG_PAGES: Resource =
    own_kind("configpages", "ConfigPage", "config_pages", LARGE_OBJECTS);

/// Which instance holds which role. There are enough to make a table worth its head, which is
/// longer than that of a list of metadata by what four objects take there.
pub const ASSIGNMENTS: Resource = Resource {
    version_column: Some(VERSION_COLUMN),
    ..own_kind("assignments", "Assignment", "assignments", LARGE_OBJECTS)
};

/// Claims of idempotency keys.
pub const CLAIM_PAGES: Resource = own_kind("claimpages", "ClaimPage", "claims", LARGE_OBJECTS);
