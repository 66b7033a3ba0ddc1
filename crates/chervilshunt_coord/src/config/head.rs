//! The configuration's head object: the pages in force and the pending change.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use chervilshunt_model::{ChangeId, InstanceId, Revision};
use serde::{Deserialize, Serialize};

use super::model::PageKey;
use super::page_map;
use super::stamp::PageStamp;
use crate::holder::Holder;
use crate::platform::PageName;

/// Maximum number of change outcomes kept in the head.
const REMEMBERED_OUTCOMES: usize = 32;

/// Maximum number of electorates kept in the head.
const REMEMBERED_ELECTORATES: usize = 8;

/// The head of the configuration; there is exactly one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Rises with every write, so that stale reads are detected.
    pub generation: u64,
    /// The revision in force.
    pub revision: Revision,
    /// The pages that make up the configuration in force, each with the stamp of its content.
    #[serde(with = "page_map")]
    pub pages: BTreeMap<PageKey, PageStamp>,
    /// The pending change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pending: Option<PendingChange>,
    /// The outcomes of the latest changes, oldest first: the revision of an accepted change, `None`
    /// for one that was given up.
    #[serde(default)]
    pub outcomes: VecDeque<(ChangeId, Option<Revision>)>,
    /// Pages that the latest accepted change replaced and that no revision refers to any more.
    #[serde(default)]
    pub garbage: Vec<PageName>,
    /// The latest electorates, oldest first.
    #[serde(default)]
    pub electorates: VecDeque<Electorate>,
}

/// A change that waits for the acknowledgements of all live instances.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PendingChange {
    /// The change.
    pub change: ChangeId,
    /// The instance that proposes the change.
    pub proposer: Holder,
    /// The pages that the change replaces, each with the stamp of its new content.
    pub pages: BTreeMap<PageKey, PageStamp>,
}

/// The instances that decide together whether the platform has failed for the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Electorate {
    /// Rises with every change of the electors.
    pub version: u64,
    /// The electors.
    pub electors: Vec<Elector>,
}

/// An elector, identified by its address: whichever instance answers there is the elector.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Elector {
    /// The instance.
    pub instance: InstanceId,
    /// The address at which it accepts connections from peers.
    pub address: SocketAddr,
}

impl HeadRecord {
    /// Creates the first head of a fleet with these electors.
    pub fn first(electors: Vec<Elector>) -> Self {
        Self {
            generation: 1,
            electorates: VecDeque::from([Electorate {
                version: 1,
                electors,
            }]),
            ..Self::default()
        }
    }

    /// Returns the outcome of a change if the head still has it: `Some(Some(revision))` if it was
    /// accepted, `Some(None)` if it was given up.
    pub fn outcome(&self, change: ChangeId) -> Option<Option<Revision>> {
        let mut newest_first = self.outcomes.iter().rev();
        newest_first
            .find(|(id, _)| *id == change)
            .map(|(_, outcome)| *outcome)
    }

    /// Returns the electorate with the given version if the head still has it.
    pub fn electorate(&self, version: u64) -> Option<&Electorate> {
        self.electorates
            .iter()
            .find(|electorate| electorate.version == version)
    }

    /// Returns the next head with `pending` as the pending change.
    pub(crate) fn with_pending(&self, pending: PendingChange) -> Self {
        Self {
            generation: self.generation + 1,
            pending: Some(pending),
            ..self.clone()
        }
    }

    /// Returns the next head after acceptance of the pending change.
    pub(crate) fn accepted(&self) -> Self {
        let mut next = self.given_up();
        let Some(pending) = &self.pending else {
            return next;
        };
        let old = pending.pages.keys().filter_map(|key| {
            let stamp = self.pages.get(key)?;
            Some(stamp.page_name(key))
        });
        next.garbage = old.collect();
        next.pages.extend(
            pending
                .pages
                .iter()
                .map(|(key, stamp)| (key.clone(), *stamp)),
        );
        next.revision = self.revision.next();
        if let Some((_, outcome)) = next.outcomes.back_mut() {
            *outcome = Some(next.revision);
        }
        next
    }

    /// Returns the next head after the pending change was given up.
    pub(crate) fn given_up(&self) -> Self {
        let mut next = self.clone();
        next.generation += 1;
        if let Some(pending) = next.pending.take() {
            next.outcomes.push_back((pending.change, None));
        }
        while next.outcomes.len() > REMEMBERED_OUTCOMES {
            next.outcomes.pop_front();
        }
        next
    }

    /// Returns the next head with other electors.
    pub(crate) fn with_electors(&self, electors: Vec<Elector>) -> Self {
        let mut next = self.clone();
        next.generation += 1;
        let version = self
            .electorates
            .back()
            .map_or(0, |electorate| electorate.version);
        next.electorates.push_back(Electorate {
            version: version + 1,
            electors,
        });
        while next.electorates.len() > REMEMBERED_ELECTORATES {
            next.electorates.pop_front();
        }
        next
    }
}
