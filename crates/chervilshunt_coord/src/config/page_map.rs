//! The serialized form of the head's page map: pages grouped by the common prefix of their keys.
//!
//! Each instance receives the head with all its 257 pages twice for each change. With ungrouped
//! keys, the keys alone would be a third of its size. See `docs/CAPACITY.md`.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::model::PageKey;
use super::stamp::PageStamp;

/// Ends the key prefix that the pages of a group share.
const SEPARATOR: char = '-';

/// The value of one member of the serialized map.
#[derive(Deserialize)]
#[serde(untagged)]
enum PageMapEntry {
    /// The page with this key, in heads written before pages were grouped.
    Page(PageStamp),
    /// The pages of a group by the rest of their keys.
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
    let members: BTreeMap<String, PageMapEntry> = BTreeMap::deserialize(deserializer)?;
    let mut pages = BTreeMap::new();
    for (name, member) in members {
        match member {
            PageMapEntry::Page(stamp) => {
                pages.insert(PageKey::new(name), stamp);
            }
            PageMapEntry::Group(group) => pages.extend(group.into_iter().map(|(rest, stamp)| {
                let key = format!("{name}{rest}");
                (PageKey::new(key), stamp)
            })),
        }
    }
    Ok(pages)
}

/// Splits a key after its last separator.
fn split(key: &str) -> (&str, &str) {
    let end = key.rfind(SEPARATOR).map_or(0, |index| index + 1);
    key.split_at(end)
}

#[cfg(test)]
mod tests;
