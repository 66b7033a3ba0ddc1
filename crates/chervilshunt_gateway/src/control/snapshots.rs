//! What a placer knows, passed on to all instances when its lease ends.

use std::net::SocketAddr;

use chervilshunt_mesh::Peer;
use chervilshunt_model::InstanceId;

use super::actor::{Control, Placer};
use crate::peers::{PeerMessage, Snapshots};

/// Instances to which a placer sends by itself, without one that passes on.
const DIRECT: usize = 16;

impl Control {
    /// Tells all instances what a placer knew that places no longer, unless there is another by now.
    pub(super) fn tell_snapshots(&self, placer: &Placer) {
        let Some((holder, _)) = self.keeper.holder() else {
            return;
        };
        let (true, Some(term)) = (holder == self.me(), self.keeper.term()) else {
            return;
        };
        if !placer.residency.knows_targets() {
            return;
        }
        let targets = placer.residency.snapshots();
        let groups = groups(placer.presence.peers().collect());
        slog::info!(self.shared.log, "targets' holds told";
            "term" => term, "targets" => targets.len(), "by" => groups.len());
        for (first, rest) in groups {
            let pass_on = rest.into_iter().map(|it| (it.instance, it.address));
            let snapshots = Snapshots {
                term,
                targets: targets.clone(),
                pass_on: pass_on.collect(),
            };
            self.send(&first, PeerMessage::Snapshots(snapshots));
        }
    }

    /// Takes in what a placer knew whose lease has ended, and passes it on.
    pub(super) fn take_snapshots(&self, from: &InstanceId, snapshots: Snapshots) {
        // From a placer that another has followed by now, or that is not known to be one yet.
        if self.keeper.term() != Some(snapshots.term) {
            return;
        }
        slog::info!(self.shared.log, "targets' holds learnt";
            "term" => snapshots.term, "from" => from.as_str(), "targets" => snapshots.targets.len(),
            "passed_on" => snapshots.pass_on.len());
        self.pass_on(&snapshots);
        let now = self.now();
        let mut dispatch = self.shared.dispatch();
        dispatch.placer_lost();
        dispatch.apply_snapshots(snapshots.targets, now);
    }

    fn pass_on(&self, snapshots: &Snapshots) {
        for (instance, address) in &snapshots.pass_on {
            let peer = Peer {
                instance: instance.clone(),
                address: *address,
            };
            let snapshots = Snapshots {
                pass_on: Vec::new(),
                ..snapshots.clone()
            };
            self.send(&peer, PeerMessage::Snapshots(snapshots));
        }
    }
}

/// Divides instances into as many groups as each has members, each of which the first member passes on
/// to. Those of one group have addresses close to each other, and so mostly share an availability zone.
fn groups(mut peers: Vec<Peer>) -> Vec<(Peer, Vec<Peer>)> {
    peers.sort_by_key(|it: &Peer| -> SocketAddr { it.address });
    let size = if peers.len() <= DIRECT {
        1
    } else {
        peers.len().isqrt()
    };
    let groups = peers.chunks(size);
    let split = groups.filter_map(|group| group.split_first());
    split
        .map(|(first, rest)| (first.clone(), rest.to_vec()))
        .collect()
}

#[cfg(test)]
mod tests;
