//! The assignment of leases to the instances that watch them.

use std::collections::{BTreeMap, BTreeSet};

use chervilshunt_model::{InstanceId, ZoneName};

use crate::hashing::text_hash;

/// Returns the instances whose leases `me` watches: those that have `me` among their `watchers`
/// watchers.
///
/// `instances` can watch and be watched; `departed` instances are only watched. Their zones are
/// unknown, and all instances must compute the same assignment. If each instance assumed its own
/// zone for them, it would leave them to the instances of other zones, and nobody would watch them.
///
/// All instances are placed on a ring by the hash of their id. Each is watched by its successors on
/// the ring, those in other availability zones first, so that the failure of a zone does not take
/// down instances together with all their watchers. Each instance thus watches about as many
/// others as watch it, regardless of the number of instances.
pub(crate) fn watched_by(
    me: &InstanceId,
    instances: &BTreeMap<InstanceId, ZoneName>,
    departed: &BTreeSet<InstanceId>,
    watchers: usize,
) -> Vec<InstanceId> {
    let listed = instances.iter().map(|(id, zone)| (id, Some(zone)));
    let departed = departed.iter().map(|id| (id, None));
    let mut ring: Vec<_> = listed.chain(departed).collect();
    ring.sort_by_key(|(instance, _)| (text_hash(instance.as_str()), *instance));
    let watched = (0..ring.len())
        .filter(|index| ring[*index].0 != me && watchers_of(*index, &ring, watchers).contains(&me));
    watched.map(|index| ring[index].0.clone()).collect()
}

fn watchers_of<'a>(
    index: usize,
    ring: &[(&'a InstanceId, Option<&'a ZoneName>)],
    watchers: usize,
) -> Vec<&'a InstanceId> {
    let zone = ring[index].1;
    let after = || {
        let others = (1..ring.len()).map(|step| ring[(index + step) % ring.len()]);
        others.filter(|(_, zone)| zone.is_some())
    };
    let other_zones = after().filter(|(_, other)| *other != zone).take(watchers);
    let mut chosen: Vec<_> = other_zones.map(|(instance, _)| instance).collect();
    let remaining = watchers.saturating_sub(chosen.len());
    let same_zone = after().filter(|(_, other)| *other == zone).take(remaining);
    chosen.extend(same_zone.map(|(instance, _)| instance));
    chosen
}
