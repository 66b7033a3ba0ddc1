//! A call as its head says it.

use http::{HeaderMap, Method, header};

use super::path::{ObjectPath, Query};
use super::store::Stored;

/// The header by which a client says which instance it is, so that a fault can hit it alone.
const INSTANCE_HEADER: &str = "x-instance";

/// How a client asks for metadata alone, as Kubernetes has it.
const METADATA_ONLY: &str = "as=PartialObjectMetadata";

/// A call as its head says it.
pub(crate) struct Call {
    pub(crate) verb: Verb,
    pub(crate) path: ObjectPath,
    pub(crate) query: Query,
    pub(crate) instance: String,
    pub(crate) metadata_only: bool,
}

impl Call {
    pub(crate) fn name(&self) -> &str {
        self.path.name.as_deref().unwrap_or_default()
    }

    /// Returns as much of an object as the client wants to see.
    pub(crate) fn shown(&self, object: &Stored) -> String {
        if self.metadata_only {
            object.metadata_json.clone()
        } else {
            object.json.clone()
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

/// Says whether a call asks for metadata alone.
pub(crate) fn wants_metadata_only(headers: &HeaderMap) -> bool {
    let accept = headers
        .get(header::ACCEPT)
        .and_then(|value| value.to_str().ok());
    accept.is_some_and(|accept| accept.contains(METADATA_ONLY))
}
