//! JSON encoding and decoding of objects, lists and watch events of the object API.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{Layout, Object, Resource, ResourceVersion};

/// The metadata of an object.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Metadata {
    pub(crate) name: Arc<str>,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub(crate) resource_version: String,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) labels: BTreeMap<String, String>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) annotations: BTreeMap<String, String>,
}

/// An object of which only the metadata is decoded.
#[derive(Debug, Deserialize)]
pub(crate) struct MetadataOnly {
    pub(crate) metadata: Metadata,
}

/// A list whose items are decoded individually, so that a malformed item does not fail the whole
/// list.
#[derive(Debug, Deserialize)]
pub(crate) struct RawList<'a> {
    pub(crate) metadata: ListMetadata,
    #[serde(borrow)]
    pub(crate) items: Vec<&'a RawValue>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ListMetadata {
    pub(crate) resource_version: String,
    #[serde(default, rename = "continue")]
    pub(crate) next: String,
}

/// One line of a watch's response.
#[derive(Debug, Deserialize)]
pub(crate) struct RawEvent<'a> {
    #[serde(rename = "type")]
    pub(crate) kind: EventKind,
    #[serde(borrow)]
    pub(crate) object: &'a RawValue,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum EventKind {
    Added,
    Modified,
    Deleted,
    Bookmark,
    Error,
}

/// The `Status` object with which the object API reports a failure.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Status {
    pub(crate) reason: String,
    pub(crate) message: String,
    pub(crate) code: u16,
}

#[derive(Serialize)]
struct SpecObjectRef<'a, S> {
    #[serde(flatten)]
    header: ObjectHeader<'a>,
    spec: &'a S,
}

#[derive(Serialize)]
struct FlatObjectRef<'a, S> {
    #[serde(flatten)]
    header: ObjectHeader<'a>,
    #[serde(flatten)]
    spec: &'a S,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct ObjectHeader<'a> {
    api_version: String,
    kind: &'a str,
    metadata: Metadata,
}

#[derive(Deserialize)]
#[serde(bound = "S: DeserializeOwned")]
struct SpecObject<S> {
    metadata: Metadata,
    /// Kubernetes omits an empty `spec`.
    #[serde(default = "Option::default")]
    spec: Option<S>,
}

#[derive(Deserialize)]
struct FlatObject<S> {
    metadata: Metadata,
    #[serde(flatten)]
    spec: S,
}

/// Encodes an object. `version` is the version that the stored object must have, if any.
pub(crate) fn encode<S: Serialize>(
    resource: Resource,
    object: &Object<S>,
    version: Option<ResourceVersion>,
) -> serde_json::Result<Vec<u8>> {
    let header = ObjectHeader {
        api_version: format!("{}/{}", resource.group, resource.version),
        kind: resource.kind,
        metadata: Metadata {
            name: Arc::clone(&object.name),
            resource_version: version.map_or_else(String::new, |version| version.to_string()),
            labels: object.labels.clone(),
            annotations: object.annotations.clone(),
        },
    };
    let spec = &object.spec;
    match resource.layout {
        Layout::Spec => serde_json::to_vec(&SpecObjectRef { header, spec }),
        Layout::Flat => serde_json::to_vec(&FlatObjectRef { header, spec }),
    }
}

/// Decodes an object.
pub(crate) fn decode<S: DeserializeOwned>(
    resource: Resource,
    text: &[u8],
) -> serde_json::Result<Object<S>> {
    let (metadata, spec) = match resource.layout {
        Layout::Spec => {
            let object: SpecObject<S> = serde_json::from_slice(text)?;
            let spec = match object.spec {
                Some(spec) => spec,
                None => S::deserialize(serde_json::Value::Null)?,
            };
            (object.metadata, spec)
        }
        Layout::Flat => {
            let object: FlatObject<S> = serde_json::from_slice(text)?;
            (object.metadata, object.spec)
        }
    };
    Ok(Object {
        resource_version: ResourceVersion::parse(&metadata.resource_version),
        name: metadata.name,
        labels: metadata.labels,
        annotations: metadata.annotations,
        spec,
    })
}
