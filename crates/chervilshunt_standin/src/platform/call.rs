//! A call as its head says it.

use http::{HeaderMap, Method, header};

use super::faults::Tables;
use super::path::{Collection, ObjectPath, Query};
use super::store::Stored;

/// The header by which a client says which instance it is, so that a fault can hit it alone.
const INSTANCE_HEADER: &str = "x-instance";

/// How a client asks for metadata alone, as Kubernetes has it.
const METADATA_ONLY: &str = "as=PartialObjectMetadata";

/// How a client asks for a table, as Kubernetes has it.
const TABLE: &str = "as=Table";

/// The plural of the kind whose definition has a column for the version.
const TABLE_KIND: &str = "assignments";

/// What an answer shows of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    Whole,
    Metadata,
    Table,
    /// A table without the column for the version.
    TableOfNames,
}

/// A call as its head says it.
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

    /// Returns as much of an object as the client wants to see.
    pub(crate) fn shown(&self, object: &Stored) -> String {
        match self.shape {
            Shape::Metadata => object.metadata_json.clone(),
            Shape::Whole | Shape::Table | Shape::TableOfNames => object.json.clone(),
        }
    }
}

/// What a call does.
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

/// Returns the instance that a call names; empty if it names none.
pub(crate) fn instance_of(headers: &HeaderMap) -> String {
    let value = headers
        .get(INSTANCE_HEADER)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Returns what a call asks to see of each object.
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
