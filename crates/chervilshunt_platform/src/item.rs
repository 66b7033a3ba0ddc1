//! Objects from a list or a watch, which may be malformed.

use std::sync::Arc;

use serde::de::DeserializeOwned;

use crate::watch::WatchEvent;
use crate::wire::{MetadataOnly, decode};
use crate::{MalformedObject, Object, Resource, ResourceVersion};

/// An object from a list or a watch event.
pub(crate) enum ParsedItem<S> {
    Object(Object<S>),
    Malformed {
        object: MalformedObject,
        version: Option<ResourceVersion>,
    },
}

impl<S: DeserializeOwned> ParsedItem<S> {
    pub(crate) fn parse(resource: Resource, text: &str) -> Self {
        let err = match decode(resource, text.as_bytes()) {
            Ok(object) => return Self::Object(object),
            Err(err) => err,
        };
        let (name, version) = metadata(text).unzip();
        Self::Malformed {
            object: MalformedObject {
                name: name.unwrap_or_default(),
                problem: err.to_string().into(),
            },
            version,
        }
    }

    pub(crate) fn version(&self) -> Option<(Arc<str>, ResourceVersion)> {
        match self {
            Self::Object(object) => Some((Arc::clone(&object.name), object.resource_version?)),
            Self::Malformed { object, version } => Some((Arc::clone(&object.name), (*version)?)),
        }
    }

    pub(crate) fn into_event(self) -> WatchEvent<S> {
        match self {
            Self::Object(object) => WatchEvent::Applied(object),
            Self::Malformed { object, .. } => WatchEvent::Malformed {
                name: object.name,
                problem: object.problem,
            },
        }
    }
}

/// Parses only the name and version of an object.
pub(crate) fn metadata(object: &str) -> Option<(Arc<str>, ResourceVersion)> {
    let object: MetadataOnly = serde_json::from_str(object).ok()?;
    let version = ResourceVersion::parse(&object.metadata.resource_version)?;
    Some((object.metadata.name, version))
}
