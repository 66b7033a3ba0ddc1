//! Selects the electors.

use std::collections::BTreeMap;

use chervilshunt_model::ZoneName;

use crate::config::Elector;
use crate::hashing::text_hash;

/// The maximum number of electors.
///
/// With seven, a majority remains after three failures. More electors would only add messages.
const MAX_ELECTORS: usize = 7;

/// Returns the set of electors, given the present ones and all candidates.
///
/// Present electors that are still candidates stay. Others are added from the zones with the fewest
/// electors, so that the failure of a zone affects as few as possible. The number is odd, because
/// one more elector would not tolerate one more failure.
pub(crate) fn choose_electors(
    present: &[Elector],
    instances: &[(Elector, ZoneName)],
) -> Vec<Elector> {
    let count = instances.len().min(MAX_ELECTORS);
    let count = if count.is_multiple_of(2) {
        count.saturating_sub(1)
    } else {
        count
    };
    let is_candidate = |elector: &&Elector| instances.iter().any(|(there, _)| there == *elector);
    let mut chosen: Vec<_> = present.iter().filter(is_candidate).cloned().collect();
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
