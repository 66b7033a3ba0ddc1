//! The placer's knowledge of targets, sent to all instances when its lease ends.

use std::net::SocketAddr;

use chervilshunt_mesh::Peer;
use chervilshunt_model::InstanceId;

use super::actor::{Control, Placer};
use crate::peers::{PeerMessage, Snapshots};

/// Number of instances up to which the placer sends to each of them directly rather than through
/// forwarding instances.
const MAX_DIRECT_RECIPIENTS: usize = 16;

impl Control {
    /// Sends the knowledge of a placer whose lease has ended to all instances, unless there is
    /// another placer by now.
    pub(super) fn send_snapshots(&self, placer: &Placer) {
        let Some((holder, _)) = self.keeper.holder() else {
            return;
        };
        let (true, Some(term)) = (holder == self.own_id(), self.keeper.term()) else {
            return;
        };
        if !placer.residency.knows_targets() {
            return;
        }
        let targets = placer.residency.snapshots();
        let groups = groups(placer.presence.peers().collect());
        slog::info!(self.shared.log, "target snapshots sent";
            "term" => term, "targets" => targets.len(), "by" => groups.len());
        for (first, rest) in groups {
            let forward_to = rest.into_iter().map(|it| (it.instance, it.address));
            let snapshots = Snapshots {
                term,
                targets: targets.clone(),
                forward_to: forward_to.collect(),
            };
            self.send(&first, PeerMessage::Snapshots(snapshots));
        }
    }

    /// Applies and forwards the knowledge of a placer whose lease has ended.
    pub(super) fn handle_snapshots(&self, from: &InstanceId, snapshots: Snapshots) {
        // The sender has a successor by now, or is not known here as the placer yet.
        if self.keeper.term() != Some(snapshots.term) {
            return;
        }
        slog::info!(self.shared.log, "target snapshots received";
            "term" => snapshots.term, "from" => from.as_str(), "targets" => snapshots.targets.len(),
            "passed_on" => snapshots.forward_to.len());
        self.forward_snapshots(&snapshots);
        let now = self.now();
        let mut dispatch = self.shared.dispatch();
        dispatch.placer_lost();
        dispatch.apply_snapshots(snapshots.targets, now);
    }

    fn forward_snapshots(&self, snapshots: &Snapshots) {
        for (instance, address) in &snapshots.forward_to {
            let peer = Peer {
                instance: instance.clone(),
                address: *address,
            };
            let snapshots = Snapshots {
                forward_to: Vec::new(),
                ..snapshots.clone()
            };
            self.send(&peer, PeerMessage::Snapshots(snapshots));
        }
    }
}

/// Divides instances into about as many groups as each group has members. The first member of a
/// group forwards to the others. Members of one group have adjacent addresses and so mostly share
/// an availability zone.
fn groups(mut peers: Vec<Peer>) -> Vec<(Peer, Vec<Peer>)> {
    peers.sort_by_key(|it: &Peer| -> SocketAddr { it.address });
    let size = if peers.len() <= MAX_DIRECT_RECIPIENTS {
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
