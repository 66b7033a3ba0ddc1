//! Objects as a list or a watch gives them, readable or not.

use std::sync::Arc;

use serde::de::DeserializeOwned;

use super::WatchEvent;
use crate::wire::{MetadataOnly, decode};
use crate::{Object, Resource, ResourceVersion};

/// An object as it was listed or told.
pub(super) enum Item<S> {
    Object(Object<S>),
    Malformed {
        metadata: Option<(Arc<str>, ResourceVersion)>,
        problem: Arc<str>,
    },
}

impl<S: DeserializeOwned> Item<S> {
    pub(super) fn read(resource: Resource, text: &str) -> Self {
        match decode(resource, text.as_bytes()) {
            Ok(object) => Self::Object(object),
            Err(err) => Self::Malformed {
                metadata: metadata(text),
                problem: err.to_string().into(),
            },
        }
    }

    pub(super) fn version(&self) -> Option<(Arc<str>, ResourceVersion)> {
        match self {
            Self::Object(object) => Some((Arc::clone(&object.name), object.resource_version?)),
            Self::Malformed { metadata, .. } => metadata.clone(),
        }
    }

    pub(super) fn event(self) -> WatchEvent<S> {
        match self {
            Self::Object(object) => WatchEvent::Applied(object),
            Self::Malformed { metadata, problem } => WatchEvent::Malformed {
                name: metadata.map_or_else(|| "".into(), |(name, _)| name),
                problem,
            },
        }
    }
}

/// Reads the name and version of an object.
pub(super) fn metadata(object: &str) -> Option<(Arc<str>, ResourceVersion)> {
    let object: MetadataOnly = serde_json::from_str(object).ok()?;
    let version = ResourceVersion::parse(&object.metadata.resource_version)?;
    Some((object.metadata.name, version))
}
