//! Who the electors are.

use std::collections::BTreeMap;

use chervilshunt_model::ZoneName;

use crate::config::Elector;
use crate::hashing::text_hash;

/// The most electors.
///
/// With seven, three may fail and a majority is left; more would have to be asked for nothing.
const MOST_ELECTORS: usize = 7;

/// Returns the electors to have, given those there are and all instances that could be.
///
/// Electors that are still there stay. Others are added zone by zone, so that a zone's failure
/// takes as few as possible. The number is odd: one more would not let one more fail.
pub(crate) fn choose_electors(
    present: &[Elector],
    instances: &[(Elector, ZoneName)],
) -> Vec<Elector> {
    let count = instances.len().min(MOST_ELECTORS);
    let count = if count.is_multiple_of(2) {
        count.saturating_sub(1)
    } else {
        count
    };
    let is_there = |elector: &&Elector| instances.iter().any(|(there, _)| there == *elector);
    let mut chosen: Vec<_> = present.iter().filter(is_there).cloned().collect();
    chosen.truncate(count);
    let zone_of = |elector: &Elector| {
        let found = instances.iter().find(|(there, _)| there == elector);
        found.map(|(_, zone)| zone)
    };
    while chosen.len() < count {
        let mut by_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        for zone in chosen.iter().filter_map(zone_of) {
            *by_zone.entry(zone).or_default() += 1;
        }
        let others = instances
            .iter()
            .filter(|(elector, _)| !chosen.contains(elector));
        let next = others.min_by_key(|(elector, zone)| {
            let in_zone = by_zone.get(zone).copied().unwrap_or(0);
            (in_zone, text_hash(elector.instance.as_str()))
        });
        let Some((next, _)) = next else {
            break;
        };
        chosen.push(next.clone());
    }
    chosen
}
