//! Parsing of the request head of a call.

use http::{HeaderMap, Method, header};

use super::faults::Tables;
use super::path::{Collection, ObjectPath, Query};
use super::store::StoredObject;

/// The header with which a client identifies its instance, so that faults can be limited to it.
const INSTANCE_HEADER: &str = "x-instance";

/// The `Accept` parameter that requests metadata only, as in Kubernetes.
const METADATA_ONLY: &str = "as=PartialObjectMetadata";

/// The `Accept` parameter that requests a table, as in Kubernetes.
const TABLE: &str = "as=Table";

/// The plural of the only resource that is served as a table; its definition has a column for the
/// version.
const TABLE_KIND: &str = "assignments";

/// The representation of objects in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    Whole,
    Metadata,
    Table,
    /// A table without the version column.
    TableOfNames,
}

/// Parsing of the request head of a call.
pub(crate) struct Call {
    pub(crate) verb: Verb,
    pub(crate) path: ObjectPath,
    pub(crate) query: Query,
    pub(crate) instance: String,
    pub(crate) shape: Shape,
}

impl Call {
    pub(crate) fn name(&self) -> &str {
        self.path.name.as_deref().unwrap_or_default()
    }

    /// Returns the JSON of an object in the representation that the client requested.
    pub(crate) fn object_json(&self, object: &StoredObject) -> String {
        match self.shape {
            Shape::Metadata => object.metadata_json.clone(),
            Shape::Whole | Shape::Table | Shape::TableOfNames => object.json.clone(),
        }
    }
}

/// The operation of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verb {
    Get,
    List,
    Watch,
    Create,
    Update,
    Delete,
}

impl Verb {
    pub(crate) fn of(method: &Method, path: &ObjectPath, query: &Query) -> Option<Self> {
        match (method, path.name.is_some()) {
            (&Method::GET, true) => Some(Self::Get),
            (&Method::GET, false) if query.watch => Some(Self::Watch),
            (&Method::GET, false) => Some(Self::List),
            (&Method::POST, false) => Some(Self::Create),
            (&Method::PUT, true) => Some(Self::Update),
            (&Method::DELETE, true) => Some(Self::Delete),
            _ => None,
        }
    }

    pub(crate) const fn writes(self) -> bool {
        matches!(self, Self::Create | Self::Update | Self::Delete)
    }

    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::List => "list",
            Self::Watch => "watch",
            Self::Create => "create",
            Self::Update => "update",
            Self::Delete => "delete",
        }
    }
}

/// Returns the instance named in the request headers, or an empty string.
pub(crate) fn instance_of(headers: &HeaderMap) -> String {
    let value = headers
        .get(INSTANCE_HEADER)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Returns the representation that a call requests and the `tables` fault permits.
pub(crate) fn shape_of(headers: &HeaderMap, collection: &Collection, tables: Tables) -> Shape {
    let accept = headers.get(header::ACCEPT);
    let accept = accept.and_then(|value| value.to_str().ok());
    let accept = accept.unwrap_or_default();
    let wants_table = accept.contains(TABLE) && collection.plural == TABLE_KIND;
    match tables {
        Tables::Full if wants_table => Shape::Table,
        Tables::NoVersion if wants_table => Shape::TableOfNames,
        Tables::Full | Tables::NoVersion | Tables::None if accept.contains(METADATA_ONLY) => {
            Shape::Metadata
        }
        Tables::Full | Tables::NoVersion | Tables::None => Shape::Whole,
    }
}
