//! What a watch has told so far, by name and version.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::{ResourceVersion, VersionList};

/// The versions that a watch has told, and the one that it goes on from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Known {
    versions: HashMap<Arc<str>, ResourceVersion>,
    resume: Option<ResourceVersion>,
}

/// How a list differs from what was told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Difference {
    /// Objects that are new or newer, as places in the list.
    pub(crate) applied: Vec<usize>,
    /// Objects that are gone.
    pub(crate) deleted: Vec<Arc<str>>,
}

/// The list is older than what was told already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OldList;

impl Known {
    /// Returns the version to go on from; none before the first list.
    pub(crate) const fn resume(&self) -> Option<ResourceVersion> {
        self.resume
    }

    /// Takes over a list and returns how it differs.
    ///
    /// # Errors
    /// Fails, and changes nothing, if the list is older than what was told. A cache of the
    /// platform that lags would otherwise bring back what has been deleted since, or an older
    /// configuration.
    pub(crate) fn relist(&mut self, listed: &VersionList) -> Result<Difference, OldList> {
        if self
            .resume
            .is_some_and(|resume| listed.resource_version < resume)
        {
            return Err(OldList);
        }
        let mut difference = Difference::default();
        for (place, (name, version)) in listed.items.iter().enumerate() {
            if self.is_news(name, *version) {
                difference.applied.push(place);
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

    /// Takes note of a changed object; says whether that is news.
    pub(crate) fn apply(&mut self, name: &Arc<str>, version: ResourceVersion) -> bool {
        let news = self.is_after_resume(version) && self.is_news(name, version);
        if news {
            self.versions.insert(Arc::clone(name), version);
        }
        self.advance(version);
        news
    }

    /// Takes note of a deleted object; says whether that is news.
    pub(crate) fn delete(&mut self, name: &str, version: ResourceVersion) -> bool {
        let news = self.is_after_resume(version) && self.versions.remove(name).is_some();
        self.advance(version);
        news
    }

    /// Takes note that everything up to a version has been told.
    pub(crate) fn advance(&mut self, version: ResourceVersion) {
        self.resume = self.resume.max(Some(version));
    }

    /// Counts the objects whose last event was never told.
    ///
    /// `listed` may be of some time ago: what was told since then lies above its version.
    pub(crate) fn missed(&self, listed: &VersionList) -> usize {
        let names: HashSet<&Arc<str>> = listed.items.iter().map(|(name, _)| name).collect();
        let changes = listed.items.iter();
        let changes = changes.filter(|(name, version)| self.is_news(name, *version));
        let deletions = self.versions.iter();
        let deletions = deletions.filter(|(name, version)| {
            **version <= listed.resource_version && !names.contains(name)
        });
        changes.count() + deletions.count()
    }

    fn is_news(&self, name: &Arc<str>, version: ResourceVersion) -> bool {
        self.versions.get(name).is_none_or(|known| *known < version)
    }

    fn is_after_resume(&self, version: ResourceVersion) -> bool {
        self.resume.is_none_or(|resume| resume < version)
    }
}
