//! One call to the object API: what it asks, and how it is written.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use serde::Serialize;

use crate::accounting::Verb;
use crate::pacer::Urgency;
use crate::{PlatformError, Resource, ResourceVersion, Selector};

const ACCEPT_OBJECTS: &str = "application/json";
const ACCEPT_METADATA: &str =
    "application/json;as=PartialObjectMetadata;g=meta.k8s.io;v=v1,application/json";
const ACCEPT_METADATA_LIST: &str =
    "application/json;as=PartialObjectMetadataList;g=meta.k8s.io;v=v1,application/json";

/// One call, as often as it may be tried.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) verb: Verb,
    pub(crate) resource: Resource,
    /// The call as errors name it.
    pub(crate) label: Arc<str>,
    pub(crate) path: String,
    pub(crate) accept: &'static str,
    pub(crate) body: Bytes,
}

impl Call {
    /// Makes a call about one object.
    ///
    /// # Errors
    /// Fails if the name is none that an object can have. In a path it would name something else:
    /// to delete the object of an empty name is to delete them all.
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
        };
        if is_name(name) {
            Ok(call)
        } else {
            Err(call.invalid("an object's name has letters, digits, `-`, `.` and `_` only"))
        }
    }

    /// Makes a call about a kind of objects.
    pub(crate) fn of_kind(verb: Verb, resource: Resource, namespace: &str, query: &str) -> Self {
        let mark = if query.is_empty() { "" } else { "?" };
        Self {
            verb,
            resource,
            label: format!("{} {}", verb.as_str(), resource.plural).into(),
            path: format!("{}{mark}{query}", resource.path(namespace)),
            accept: if verb.writes() {
                ACCEPT_METADATA
            } else {
                ACCEPT_OBJECTS
            },
            body: Bytes::new(),
        }
    }

    /// Asks for the metadata of the objects of a list alone.
    #[must_use]
    pub(crate) const fn metadata_only(mut self) -> Self {
        self.accept = ACCEPT_METADATA_LIST;
        self
    }

    /// Adds a body.
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

/// Returns the query of one page of a list; `next` says where it goes on.
pub(crate) fn list_query(resource: Resource, selector: &Selector, next: &str) -> String {
    let mut query = form_urlencoded::Serializer::new(String::new());
    query.append_pair("limit", &resource.page.to_string());
    append_selector(&mut query, selector);
    if !next.is_empty() {
        query.append_pair("continue", next);
    }
    query.finish()
}

/// Returns the query of a watch.
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

/// Returns the body of a deletion that depends on the object's version.
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

fn is_name(name: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_');
    !matches!(name, "" | "." | "..") && name.bytes().all(fits)
}
