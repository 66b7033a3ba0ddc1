//! The kinds of objects that the system stores in or reads from the platform.

/// Where an object's JSON holds its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Layout {
    /// In the field `spec`.
    Spec,
    /// In fields next to `metadata`, as in EndpointSlices.
    Flat,
}

/// A kind of object and its location in the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resource {
    /// The API group.
    pub group: &'static str,
    /// The version of the API group.
    pub version: &'static str,
    /// The plural name, used in paths.
    pub plural: &'static str,
    /// The kind, as given in objects.
    pub kind: &'static str,
    /// Where the JSON of an object holds its content.
    pub layout: Layout,
    /// The purpose of calls for this kind, as a label value of metrics.
    pub purpose: &'static str,
    /// The number of objects in one page of a list, chosen to keep a response within a few
    /// megabytes.
    pub page_size: u32,
    /// The printer column that holds an object's version, if the kind's definition has one.
    pub version_column: Option<&'static str>,
    /// Whether writes may use the part of the burst reserved for urgent calls.
    pub urgent_writes: bool,
}

impl Resource {
    /// Returns the path of the kind's collection in a namespace.
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

/// The API group of the system's own kinds.
const OWN_GROUP: &str = "chervilshunt.io";

/// The printer column for the version in the definition of assignments. See
/// `docs/operators/platform.md`.
const VERSION_COLUMN: &str = "Version";

/// The page size, in objects, for objects of up to a few kilobytes.
const SMALL_OBJECTS_PAGE: u32 = 500;

/// The page size, in objects, for objects of some tens of kilobytes.
const MEDIUM_OBJECTS_PAGE: u32 = 50;

/// The page size, in objects, for objects of up to a megabyte.
const LARGE_OBJECTS_PAGE: u32 = 4;

const fn own_kind(
    plural: &'static str,
    kind: &'static str,
    purpose: &'static str,
    page_size: u32,
) -> Resource {
    Resource {
        group: OWN_GROUP,
        version: "v1",
        plural,
        kind,
        layout: Layout::Spec,
        purpose,
        page_size,
        version_column: None,
        urgent_writes: false,
    }
}

/// Leases, one per instance. Renewals are urgent: if one had to wait behind the pages that a new
/// instance reads, the lease could expire and the instance would lose its roles.
pub const LEASES: Resource = Resource {
    group: "coordination.k8s.io",
    version: "v1",
    plural: "leases",
    kind: "Lease",
    layout: Layout::Spec,
    purpose: "leases",
    page_size: SMALL_OBJECTS_PAGE,
    version_column: None,
    urgent_writes: true,
};

/// EndpointSlices, which hold the instance list.
pub const ENDPOINT_SLICES: Resource = Resource {
    group: "discovery.k8s.io",
    version: "v1",
    plural: "endpointslices",
    kind: "EndpointSlice",
    layout: Layout::Flat,
    purpose: "instance_list",
    page_size: MEDIUM_OBJECTS_PAGE,
    version_column: None,
    urgent_writes: false,
};

/// The head record of the configuration.
pub const CONFIG_HEADS: Resource = own_kind(
    "configheads",
    "ConfigHead",
    "config_head",
    SMALL_OBJECTS_PAGE,
);

/// The pages of the configuration.
pub const CONFIG_PAGES: Resource = own_kind(
    "configpages",
    "ConfigPage",
    "config_pages",
    LARGE_OBJECTS_PAGE,
);

/// Assignments of roles to instances. They are numerous enough for a table to pay off: its header
/// is larger than that of a metadata list by the size of four objects in the latter.
pub const ASSIGNMENTS: Resource = Resource {
    version_column: Some(VERSION_COLUMN),
    ..own_kind(
        "assignments",
        "Assignment",
        "assignments",
        LARGE_OBJECTS_PAGE,
    )
};

/// Pages of idempotency claims.
pub const CLAIM_PAGES: Resource = own_kind("claimpages", "ClaimPage", "claims", LARGE_OBJECTS_PAGE);
