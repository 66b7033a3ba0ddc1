//! The pages of the head as the platform holds them: grouped by the first part of their keys.
//!
//! Each instance gets the head of all 257 pages twice with each change. Written in full, the keys
//! alone are a third of it. See `docs/CAPACITY.md`.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::model::PageKey;
use super::stamp::PageStamp;

/// Ends the part of a key that a group has in common.
const SEPARATOR: char = '-';

/// What a member of the map holds.
#[derive(Deserialize)]
#[serde(untagged)]
enum Member {
    /// The page of this key, in heads that were written before pages were grouped.
    Page(PageStamp),
    /// Pages by the rest of their keys.
    Group(BTreeMap<String, PageStamp>),
}

pub(super) fn serialize<S: Serializer>(
    pages: &BTreeMap<PageKey, PageStamp>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let mut groups: BTreeMap<&str, BTreeMap<&str, PageStamp>> = BTreeMap::new();
    for (key, stamp) in pages {
        let (group, rest) = split(key.as_str());
        groups.entry(group).or_default().insert(rest, *stamp);
    }
    groups.serialize(serializer)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<PageKey, PageStamp>, D::Error> {
    let members: BTreeMap<String, Member> = BTreeMap::deserialize(deserializer)?;
    let mut pages = BTreeMap::new();
    for (name, member) in members {
        match member {
            Member::Page(stamp) => {
                pages.insert(PageKey::new(name), stamp);
            }
            Member::Group(group) => pages.extend(group.into_iter().map(|(rest, stamp)| {
                let key = format!("{name}{rest}");
                (PageKey::new(key), stamp)
            })),
        }
    }
    Ok(pages)
}

/// Cuts a key behind its last separator.
fn split(key: &str) -> (&str, &str) {
    let end = key.rfind(SEPARATOR).map_or(0, |place| place + 1);
    key.split_at(end)
}

#[cfg(test)]
mod tests;
