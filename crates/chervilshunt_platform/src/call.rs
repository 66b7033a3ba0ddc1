//! Calls to the object API and their encoding as HTTP requests.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use serde::Serialize;

use crate::accounting::Verb;
use crate::answer::{FailureReader, failure};
use crate::pacer::Urgency;
use crate::{PlatformError, Resource, ResourceVersion, Selector};

const ACCEPT_OBJECTS: &str = "application/json";
const ACCEPT_METADATA: &str =
    "application/json;as=PartialObjectMetadata;g=meta.k8s.io;v=v1,application/json";
const ACCEPT_METADATA_LIST: &str =
    "application/json;as=PartialObjectMetadataList;g=meta.k8s.io;v=v1,application/json";
/// An API server without support for tables falls back to metadata within the same call.
const ACCEPT_TABLE: &str = "application/json;as=Table;g=meta.k8s.io;v=v1,\
    application/json;as=PartialObjectMetadataList;g=meta.k8s.io;v=v1,application/json";

/// The number of objects in one page of a version list. It does not depend on the size of the
/// objects because their content is not sent.
const VERSIONS_PAGE: u32 = 500;

/// The part of each object that a list returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListedPart {
    Whole,
    Metadata,
    /// The printer columns of the kind's definition.
    Table,
}

/// A call to the platform, which may be attempted several times.
#[derive(Clone, Debug)]
pub struct Call {
    pub(crate) verb: Verb,
    pub(crate) resource: Resource,
    /// The call as error messages show it.
    pub(crate) label: Arc<str>,
    pub(crate) path: String,
    pub(crate) accept: &'static str,
    pub(crate) body: Bytes,
    /// Maps an error response to an error.
    pub(crate) failure: FailureReader,
}

impl Call {
    /// Creates a call to an object service with its own paths and error responses.
    ///
    /// `failure` maps error responses to errors.
    pub fn custom(
        verb: Verb,
        resource: Resource,
        path: String,
        body: Bytes,
        failure: FailureReader,
    ) -> Self {
        Self {
            verb,
            resource,
            label: format!("{} {}", verb.as_str(), resource.plural).into(),
            path,
            accept: ACCEPT_OBJECTS,
            body,
            failure,
        }
    }

    /// Returns the path and query of the request.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the request body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Creates a call for one object.
    ///
    /// # Errors
    /// Returns `Invalid` if the name is not a valid object name. Such a name would make the path
    /// refer to something else: deleting an object with an empty name would delete the whole
    /// collection.
    pub(crate) fn of_object(
        verb: Verb,
        resource: Resource,
        namespace: &str,
        name: &str,
    ) -> Result<Self, PlatformError> {
        let call = Self {
            verb,
            resource,
            label: format!("{} {}/{name}", verb.as_str(), resource.plural).into(),
            path: format!("{}/{name}", resource.path(namespace)),
            accept: if verb.writes() {
                ACCEPT_METADATA
            } else {
                ACCEPT_OBJECTS
            },
            body: Bytes::new(),
            failure,
        };
        if is_valid_name(name) {
            Ok(call)
        } else {
            Err(call.invalid("object names may contain only letters, digits, `-`, `.` and `_`"))
        }
    }

    /// Creates a call for the collection of objects of a kind.
    pub(crate) fn of_kind(verb: Verb, resource: Resource, namespace: &str, query: &str) -> Self {
        let separator = if query.is_empty() { "" } else { "?" };
        Self {
            verb,
            resource,
            label: format!("{} {}", verb.as_str(), resource.plural).into(),
            path: format!("{}{separator}{query}", resource.path(namespace)),
            accept: if verb.writes() {
                ACCEPT_METADATA
            } else {
                ACCEPT_OBJECTS
            },
            body: Bytes::new(),
            failure,
        }
    }

    /// Creates a call for one page of a list. `next` is the continuation token of the previous
    /// page, or empty for the first page.
    pub(crate) fn of_page(
        resource: Resource,
        namespace: &str,
        selector: &Selector,
        part: ListedPart,
        next: &str,
    ) -> Self {
        let query = list_query(resource, selector, part, next);
        let mut call = Self::of_kind(Verb::List, resource, namespace, &query);
        call.accept = match part {
            ListedPart::Whole => ACCEPT_OBJECTS,
            ListedPart::Metadata => ACCEPT_METADATA_LIST,
            ListedPart::Table => ACCEPT_TABLE,
        };
        call
    }

    /// Sets the body.
    ///
    /// # Errors
    /// Returns `Invalid` if encoding the body failed.
    pub(crate) fn with_body(
        mut self,
        body: serde_json::Result<Vec<u8>>,
    ) -> Result<Self, PlatformError> {
        self.body = body.map_err(|err| self.malformed(&err))?.into();
        Ok(self)
    }

    pub(crate) const fn method(&self) -> Method {
        match self.verb {
            Verb::Get | Verb::List | Verb::Watch => Method::GET,
            Verb::Create => Method::POST,
            Verb::Update => Method::PUT,
            Verb::Delete => Method::DELETE,
        }
    }

    pub(crate) const fn urgency(&self) -> Urgency {
        if self.verb.writes() && self.resource.urgent_writes {
            Urgency::Urgent
        } else {
            Urgency::Normal
        }
    }

    pub(crate) fn unavailable(&self, cause: &str) -> PlatformError {
        PlatformError::Unavailable {
            call: Arc::clone(&self.label),
            cause: cause.into(),
        }
    }

    pub(crate) fn invalid(&self, problem: &str) -> PlatformError {
        PlatformError::Invalid {
            call: Arc::clone(&self.label),
            problem: problem.into(),
        }
    }

    pub(crate) fn malformed(&self, err: &serde_json::Error) -> PlatformError {
        self.invalid(&format!("malformed JSON: {err}"))
    }
}

fn list_query(resource: Resource, selector: &Selector, part: ListedPart, next: &str) -> String {
    let mut query = form_urlencoded::Serializer::new(String::new());
    let limit = match part {
        ListedPart::Whole => resource.page_size,
        ListedPart::Metadata | ListedPart::Table => VERSIONS_PAGE,
    };
    query.append_pair("limit", &limit.to_string());
    if part == ListedPart::Table {
        query.append_pair("includeObject", "None");
    }
    append_selector(&mut query, selector);
    if !next.is_empty() {
        query.append_pair("continue", next);
    }
    query.finish()
}

/// Returns the query string of a watch that starts after the version `from`.
pub(crate) fn watch_query(
    selector: &Selector,
    from: ResourceVersion,
    lifetime_seconds: u64,
) -> String {
    let mut query = form_urlencoded::Serializer::new(String::new());
    query
        .append_pair("watch", "1")
        .append_pair("allowWatchBookmarks", "true")
        .append_pair("resourceVersion", &from.to_string())
        .append_pair("timeoutSeconds", &lifetime_seconds.to_string());
    append_selector(&mut query, selector);
    query.finish()
}

/// Returns the body of a delete call that succeeds only if the object has the given version.
pub(crate) fn delete_body(version: ResourceVersion) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&DeleteOptions {
        api_version: "v1",
        kind: "DeleteOptions",
        preconditions: Preconditions {
            resource_version: version.to_string(),
        },
    })
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct DeleteOptions {
    api_version: &'static str,
    kind: &'static str,
    preconditions: Preconditions,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Preconditions {
    resource_version: String,
}

fn append_selector(query: &mut form_urlencoded::Serializer<'_, String>, selector: &Selector) {
    if !selector.is_all() {
        query.append_pair("labelSelector", &selector.to_string());
    }
}

fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_');
    !matches!(name, "" | "." | "..") && name.bytes().all(is_allowed)
}
