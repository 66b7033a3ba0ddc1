//! The configuration's head object: which pages are in force, and which change is under way.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use chervilshunt_model::{ChangeId, InstanceId, Revision};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

use super::model::PageKey;
use crate::hashing::text_hash;
use crate::holder::Holder;
use crate::platform::PageName;

/// Outcomes that the head remembers.
const REMEMBERED_OUTCOMES: usize = 32;

/// Electorates that the head remembers.
const REMEMBERED_ELECTORATES: usize = 8;

/// Which content of a page: the hash of its text, and the change that wrote it.
///
/// The change is part of it so that no two changes write the same page object; else one could
/// delete, as no longer needed, what another has just come to rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct PageStamp {
    hash: u64,
    change: u32,
}

impl PageStamp {
    /// Stamps the text of a page that `change` writes.
    pub(crate) fn of(body: &str, change: ChangeId) -> Self {
        let change = text_hash(&change.to_string()) >> 32;
        Self {
            hash: text_hash(body),
            change: u32::try_from(change).unwrap_or(0),
        }
    }

    /// Returns whether `body` is the text that was stamped.
    pub(crate) fn fits(self, body: &str) -> bool {
        self.hash == text_hash(body)
    }

    /// Returns the name of the page's object.
    pub(crate) fn page_name(self, key: &PageKey) -> PageName {
        PageName::new(format!("{key}-{self}"))
    }
}

impl fmt::Display for PageStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{:08x}", self.hash, self.change)
    }
}

impl FromStr for PageStamp {
    type Err = PageStampError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (hash, change) = text.split_once('.').context(NoChangeSnafu)?;
        Ok(Self {
            hash: u64::from_str_radix(hash, 16).context(BadNumberSnafu)?,
            change: u32::from_str_radix(change, 16).context(BadNumberSnafu)?,
        })
    }
}

impl From<PageStamp> for String {
    fn from(stamp: PageStamp) -> Self {
        stamp.to_string()
    }
}

impl TryFrom<String> for PageStamp {
    type Error = PageStampError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// Why a text is no stamp of a page.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum PageStampError {
    /// The text has no separator.
    #[snafu(display("a page's stamp must be written as HASH.CHANGE"))]
    NoChange,
    /// A part is no hexadecimal number.
    #[snafu(display("hash and change of a page's stamp must be hexadecimal: {source}"))]
    BadNumber {
        /// What the number parser said.
        source: std::num::ParseIntError,
    },
}

/// The configuration's head; there is one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Rises with every write, so that a stale read is recognised.
    pub generation: u64,
    /// The revision in force.
    pub revision: Revision,
    /// Which contents of which pages make up the configuration in force.
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
