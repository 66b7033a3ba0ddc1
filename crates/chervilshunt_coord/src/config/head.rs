//! The configuration's head object: which pages are in force, and which change is under way.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use chervilshunt_model::{ChangeId, InstanceId, Revision};
use serde::{Deserialize, Serialize};

use super::model::PageKey;
use super::page_map;
use super::stamp::PageStamp;
use crate::holder::Holder;
use crate::platform::PageName;

/// Outcomes that the head remembers.
const REMEMBERED_OUTCOMES: usize = 32;

/// Electorates that the head remembers.
const REMEMBERED_ELECTORATES: usize = 8;

/// The configuration's head; there is one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Rises with every write, so that a stale read is recognised.
    pub generation: u64,
    /// The revision in force.
    pub revision: Revision,
    /// Which contents of which pages make up the configuration in force.
    #[serde(with = "page_map")]
    pub pages: BTreeMap<PageKey, PageStamp>,
    /// The change under way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pending: Option<PendingChange>,
    /// The outcomes of the latest changes, oldest first: the revision of an accepted change, none
    /// for one that was given up.
    #[serde(default)]
    pub outcomes: VecDeque<(ChangeId, Option<Revision>)>,
    /// Pages that no revision refers to since the latest change.
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
    /// Who proposes it.
    pub proposer: Holder,
    /// The contents of the pages that it replaces.
    pub pages: BTreeMap<PageKey, PageStamp>,
}

/// The instances whose word decides whether the platform has failed for the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Electorate {
    /// Rises with every change of the electors.
    pub version: u64,
    /// The electors.
    pub electors: Vec<Elector>,
}

/// An elector: whoever answers at the address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Elector {
    /// The instance.
    pub instance: InstanceId,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

impl HeadRecord {
    /// Makes the head of a fleet that starts with these electors.
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

    /// Returns the outcome of a change, if the head remembers it: the revision if it was
    /// accepted, none within if it was given up.
    pub fn outcome(&self, change: ChangeId) -> Option<Option<Revision>> {
        let mut newest_first = self.outcomes.iter().rev();
        newest_first
            .find(|(id, _)| *id == change)
            .map(|(_, outcome)| *outcome)
    }

    /// Returns the electorate of that version, if the head remembers it.
    pub fn electorate(&self, version: u64) -> Option<&Electorate> {
        self.electorates
            .iter()
            .find(|electorate| electorate.version == version)
    }

    /// Returns the head with a change under way.
    pub(crate) fn with_pending(&self, pending: PendingChange) -> Self {
        Self {
            generation: self.generation + 1,
            pending: Some(pending),
            ..self.clone()
        }
    }

    /// Returns the head after the change under way was accepted.
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

    /// Returns the head after the change under way was given up.
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

    /// Returns the head with other electors.
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
