//! Parts of prompts that several requests share.

use std::fmt;
use std::sync::Arc;

use super::fingerprint::Fingerprint;

/// The id of a part of a prompt: the same in all requests that share the part, whatever their adapter,
/// route or service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(Arc<str>);

impl PartId {
    /// Creates an id from its text.
    pub fn new(id: impl Into<Arc<str>>) -> Self {
        Self(id.into())
    }

    /// Returns what identifies the part in crash records.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of([&b"part"[..], self.0.as_bytes()])
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
