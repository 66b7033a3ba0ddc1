//! Which leases an instance watches.

use std::collections::{BTreeMap, BTreeSet};

use chervilshunt_model::{InstanceId, ZoneName};

use crate::hashing::text_hash;

/// Returns the instances that `me` watches: those that have it among their `watchers` watchers.
///
/// `instances` are those that may watch; `departed` ones are to be watched alone. No zone is known of
/// them, and all instances have to choose alike: were each to take a zone of its own for theirs, each
/// would leave them to the instances of other zones, and nobody would watch them.
///
/// All instances stand on a ring by the hash of their id, and each is watched by the ones after it,
/// those of other availability zones first, so that a zone's failure does not take instances and
/// all their watchers at once. So each watches as many as it is watched by, however many there
/// are.
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
        .filter(|place| ring[*place].0 != me && watchers_of(*place, &ring, watchers).contains(&me));
    watched.map(|place| ring[place].0.clone()).collect()
}

fn watchers_of<'a>(
    place: usize,
    ring: &[(&'a InstanceId, Option<&'a ZoneName>)],
    watchers: usize,
) -> Vec<&'a InstanceId> {
    let zone = ring[place].1;
    let after = || {
        let others = (1..ring.len()).map(|step| ring[(place + step) % ring.len()]);
        others.filter(|(_, zone)| zone.is_some())
    };
    let abroad = after().filter(|(_, other)| *other != zone).take(watchers);
    let mut chosen: Vec<_> = abroad.map(|(instance, _)| instance).collect();
    let lacking = watchers.saturating_sub(chosen.len());
    let at_home = after().filter(|(_, other)| *other == zone).take(lacking);
    chosen.extend(at_home.map(|(instance, _)| instance));
    chosen
}
