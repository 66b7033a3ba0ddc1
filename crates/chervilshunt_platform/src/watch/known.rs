//! The versions of the objects that a watch has delivered.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::{ResourceVersion, VersionList};

/// The versions of the objects that a watch has delivered, and the version to resume from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KnownVersions {
    versions: HashMap<Arc<str>, ResourceVersion>,
    resume: Option<ResourceVersion>,
}

/// The difference between a new list and the known versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Difference {
    /// The indices in the list of objects that are new or have a higher version.
    pub(crate) applied: Vec<usize>,
    /// The names of objects that are no longer listed, sorted.
    pub(crate) deleted: Vec<Arc<str>>,
}

/// The error for a list that is older than the version reached already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OldList;

impl KnownVersions {
    /// Returns the version to resume from, or `None` before the first list.
    pub(crate) const fn resume(&self) -> Option<ResourceVersion> {
        self.resume
    }

    /// Replaces the known versions with those of a list and returns the difference.
    ///
    /// # Errors
    /// Fails without changes if the list is older than the version reached already. Otherwise a
    /// lagging cache of the platform could bring back deleted objects or an older configuration.
    pub(crate) fn relist(&mut self, listed: &VersionList) -> Result<Difference, OldList> {
        if self
            .resume
            .is_some_and(|resume| listed.resource_version < resume)
        {
            return Err(OldList);
        }
        let mut difference = Difference::default();
        for (index, (name, version)) in listed.items.iter().enumerate() {
            if self.is_newer(name, *version) {
                difference.applied.push(index);
                self.versions.insert(Arc::clone(name), *version);
            }
        }
        let names: HashSet<&Arc<str>> = listed.items.iter().map(|(name, _)| name).collect();
        self.versions.retain(|name, _| {
            let kept = names.contains(name);
            if !kept {
                difference.deleted.push(Arc::clone(name));
            }
            kept
        });
        difference.deleted.sort();
        self.resume = Some(listed.resource_version);
        Ok(difference)
    }

    /// Records a created or modified object. Returns whether its version had not been seen before.
    pub(crate) fn apply(&mut self, name: &Arc<str>, version: ResourceVersion) -> bool {
        let is_new = self.is_after_resume(version) && self.is_newer(name, version);
        if is_new {
            self.versions.insert(Arc::clone(name), version);
        }
        self.advance(version);
        is_new
    }

    /// Records a deleted object. Returns whether the object was known and the deletion is new.
    pub(crate) fn delete(&mut self, name: &str, version: ResourceVersion) -> bool {
        let is_new = self.is_after_resume(version) && self.versions.remove(name).is_some();
        self.advance(version);
        is_new
    }

    /// Records that all events up to a version have been received.
    pub(crate) fn advance(&mut self, version: ResourceVersion) {
        self.resume = self.resume.max(Some(version));
    }

    /// Counts the objects whose latest event up to the version of `listed` was not received.
    ///
    /// `listed` may be some time old. Events received since then have versions above that of the
    /// list and are not counted as missed.
    pub(crate) fn missed(&self, listed: &VersionList) -> usize {
        let names: HashSet<&Arc<str>> = listed.items.iter().map(|(name, _)| name).collect();
        let changes = listed.items.iter();
        let changes = changes.filter(|(name, version)| self.is_newer(name, *version));
        let deletions = self.versions.iter();
        let deletions = deletions.filter(|(name, version)| {
            **version <= listed.resource_version && !names.contains(name)
        });
        changes.count() + deletions.count()
    }

    fn is_newer(&self, name: &Arc<str>, version: ResourceVersion) -> bool {
        self.versions.get(name).is_none_or(|known| *known < version)
    }

    fn is_after_resume(&self, version: ResourceVersion) -> bool {
        self.resume.is_none_or(|resume| resume < version)
    }
}
