//! Selects the roles that a run with less than its fair share requests from others.

use std::collections::BTreeMap;

use chervilshunt_model::ZoneName;

use super::assignment::RoleEntry;
use super::role::{Role, WantedRole};
use crate::holder::Holder;

/// The fleet as a run sees it when it selects roles to request.
#[derive(Debug)]
pub(crate) struct FleetView<'a> {
    pub(crate) me: &'a Holder,
    pub(crate) zone: &'a ZoneName,
    /// The number of live instances in the zone, including this one.
    pub(crate) in_zone: usize,
    /// The number of live instances in the fleet.
    pub(crate) in_all: usize,
    /// The availability zone of each known holder.
    pub(crate) zones: &'a BTreeMap<Holder, ZoneName>,
    pub(crate) wanted: &'a BTreeMap<Role, WantedRole>,
}

/// Returns at most `limit` roles to request, best first.
///
/// A run requests roles only up to its fair share, so that a returning instance moves no more roles
/// than it had. It first requests roles that prefer its zone and are held outside it, then roles of
/// holders that have at least two more than itself: with a difference of one, roles would move back
/// and forth forever.
pub(crate) fn roles_to_request<'a>(
    fleet: &FleetView<'_>,
    entries: impl Iterator<Item = (&'a Role, &'a RoleEntry)>,
    limit: usize,
) -> Vec<Role> {
    let entries: Vec<_> = entries.collect();
    let mut chosen = Vec::new();
    let near: Vec<_> = entries
        .iter()
        .copied()
        .filter(|(role, _)| fleet.prefers(role) == Some(fleet.zone))
        .collect();
    request_within(fleet, &near, fleet.in_zone, limit, &mut chosen);
    let anywhere: Vec<_> = entries
        .iter()
        .copied()
        .filter(|(role, _)| fleet.prefers(role).is_none_or(|zone| !fleet.has_zone(zone)))
        .collect();
    request_within(fleet, &anywhere, fleet.in_all, limit, &mut chosen);
    chosen
}

fn request_within(
    fleet: &FleetView<'_>,
    entries: &[(&Role, &RoleEntry)],
    sharers: usize,
    limit: usize,
    chosen: &mut Vec<Role>,
) {
    let fair = entries.len().div_ceil(sharers.max(1));
    let mut loads: BTreeMap<&Holder, usize> = BTreeMap::new();
    for (_, entry) in entries {
        *loads
            .entry(entry.next.as_ref().unwrap_or(&entry.holder))
            .or_default() += 1;
    }
    let mut mine = loads.get(fleet.me).copied().unwrap_or(0);
    let outside_zone = |entry: &RoleEntry| {
        fleet
            .zones
            .get(&entry.holder)
            .is_some_and(|zone| zone != fleet.zone)
    };
    let mut free: Vec<_> = entries
        .iter()
        .filter(|(_, entry)| entry.next.is_none() && entry.holder != *fleet.me)
        .collect();
    let near = |role: &Role| fleet.prefers(role) == Some(fleet.zone);
    free.sort_by_key(|(role, entry)| {
        let load = loads.get(&entry.holder).copied().unwrap_or(0);
        (
            !(near(role) && outside_zone(entry)),
            std::cmp::Reverse(load),
        )
    });
    for (role, entry) in free {
        if mine >= fair || chosen.len() >= limit {
            return;
        }
        let load = loads.get(&entry.holder).copied().unwrap_or(0);
        if (near(role) && outside_zone(entry)) || load >= mine + 2 {
            chosen.push((*role).clone());
            mine += 1;
            if let Some(load) = loads.get_mut(&entry.holder) {
                *load -= 1;
            }
        }
    }
}

impl FleetView<'_> {
    fn prefers(&self, role: &Role) -> Option<&ZoneName> {
        self.wanted.get(role)?.zone.as_ref()
    }

    fn has_zone(&self, zone: &ZoneName) -> bool {
        self.zones.values().any(|known| known == zone)
    }
}
