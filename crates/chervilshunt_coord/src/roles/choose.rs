//! Selection of the holder for a role.

use std::cmp::Reverse;

use chervilshunt_model::{RegionName, ZoneName};

use super::role::Role;
use crate::hashing::rendezvous_weight;
use crate::holder::Holder;

/// A run of an instance that can hold roles.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// The run.
    pub holder: Holder,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// The number of roles that it holds or is about to receive.
    pub load: usize,
}

/// Selects a holder for `role` that is close to `zone` and not overloaded, by rendezvous hashing.
///
/// `region` is the region of the zone. Only the nearest non-empty group of candidates is
/// considered: the zone, then the region, then all. In the group, the load is limited to a quarter
/// above the average, which spreads the roles of a failed instance. Rendezvous hashing makes two
/// instances that choose at the same time choose the same holder. Returns `None` if there are no
/// candidates.
pub fn choose_holder<'a>(
    role: &Role,
    zone: Option<&ZoneName>,
    region: Option<&RegionName>,
    candidates: &'a [Candidate],
) -> Option<&'a Candidate> {
    let in_zone: Vec<_> = candidates
        .iter()
        .filter(|candidate| zone == Some(&candidate.zone))
        .collect();
    if !in_zone.is_empty() {
        return choose_among(role, &in_zone);
    }
    let in_region: Vec<_> = candidates
        .iter()
        .filter(|candidate| region == Some(&candidate.region))
        .collect();
    if !in_region.is_empty() {
        return choose_among(role, &in_region);
    }
    choose_among(role, &candidates.iter().collect::<Vec<_>>())
}

fn choose_among<'a>(role: &Role, group: &[&'a Candidate]) -> Option<&'a Candidate> {
    let total: usize = group.iter().map(|candidate| candidate.load).sum();
    let bound = ((total + 1) * 5).div_ceil(group.len().max(1) * 4);
    let key = role.to_string();
    let weight =
        |candidate: &Candidate| rendezvous_weight(&key, candidate.holder.instance.as_str());
    let within_bound = group
        .iter()
        .filter(|candidate| candidate.load < bound)
        .max_by_key(|candidate| weight(candidate));
    let least_loaded = || {
        group
            .iter()
            .min_by_key(|candidate| (candidate.load, Reverse(weight(candidate))))
    };
    within_bound.or_else(least_loaded).copied()
}
