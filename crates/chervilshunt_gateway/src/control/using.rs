//! What this instance tells the placer, and how it takes in what the placer tells.

use chervilshunt_coord::{ExclusiveLeaseEvent, HeldLease};
use chervilshunt_core::ResidencyEvent;
use chervilshunt_mesh::InboundMessage;
use chervilshunt_model::{InstanceId, StoreRevision};

use super::actor::Control;
use super::presence::SignOfLife;
use crate::dialect::Kind;
use crate::peers::{PeerMessage, PlatformView};

impl Control {
    /// Tells the placer what this instance has under way.
    pub(super) fn tell_use(&mut self) {
        let uses = self.shared.dispatch().report_uses();
        let grants = self.shared.grants.open();
        if self.placer.is_some() {
            let me = self.me().clone();
            self.plan(ResidencyEvent::UsageReported(me, uses, grants));
            self.take_own_placing();
            self.choose_helpers();
            return;
        }
        let Some(placer) = self.shared.placer.load_full() else {
            return;
        };
        if placer.instance == *self.me() {
            return;
        }
        let message = PeerMessage::Using {
            address: self.shared.settings.addresses.peers,
            reaches_platform: self.reaches_platform,
            processor_share: self.processor_share(),
            uses,
            grants,
        };
        if let Err(error) = self.shared.mesh.send(&placer, message) {
            slog::debug!(self.shared.log, "placer not told"; "reason" => error.to_string());
        }
    }

    /// Takes in a message of another instance, or of this one's own traffic.
    pub(super) fn take_message(&mut self, message: InboundMessage<PeerMessage>) {
        let InboundMessage {
            from,
            message,
            received_at,
            reply,
        } = message;
        match message {
            PeerMessage::Using {
                address,
                reaches_platform,
                processor_share,
                uses,
                grants,
            } => {
                let sign = SignOfLife {
                    address,
                    reaches_platform,
                    processor_share,
                };
                self.instance_uses(&from, sign, (uses, grants));
            }
            PeerMessage::Want(want, within) => {
                // Where it waited here for longer than its request waits for it, the load would be made
                // for nobody: a placer that falls behind would load ever more in vain, and answer none.
                let Some(within) = within.checked_sub(received_at.elapsed()) else {
                    return slog::info!(self.shared.log, "want is too late"; "peer" => from.as_str());
                };
                let wanted = |question| ResidencyEvent::PlacementRequested {
                    request_id: question,
                    from,
                    request: want,
                    within,
                };
                self.wanted(wanted, reply);
            }
            PeerMessage::Progress(progress) => {
                self.plan(ResidencyEvent::GrantsProgressed(progress))
            }
            PeerMessage::NotHeld(target, weights) => {
                self.plan(ResidencyEvent::NotHeld(target, weights));
            }
            PeerMessage::Leaving(target, started) => self.told_of_leaving(&target, started, &from),
            PeerMessage::Snapshots(snapshots) => self.take_snapshots(&from, snapshots),
            PeerMessage::Placing {
                knows_targets,
                learnt,
                instances,
                platform,
                lease,
            } if self.is_placer(&from) => {
                self.learnt = learnt.or(self.learnt);
                self.holder_told(lease, platform);
                self.take_placing(knows_targets, instances);
            }
            PeerMessage::Changed(batch) if self.is_placer(&from) => self.take_changed(batch),
            PeerMessage::CallLease(call) => self.call_lease_for(call, reply),
            PeerMessage::ReadStore(read) => self.read_for(read, reply),
            // From an instance that was the placer, or is not known to be yet.
            PeerMessage::Placing { .. }
            | PeerMessage::Changed(_)
            | PeerMessage::Placed(..)
            | PeerMessage::LeaseCalled(_)
            | PeerMessage::StoreShows(..) => {}
        }
    }

    /// Takes in that a connection broke: what the placer told meanwhile is lost.
    pub(super) fn peer_lost(&mut self, peer: &InstanceId) {
        if self.placer.is_some() {
            // Most likely it has ended, and its requests with it; one that lives tells what it has under
            // way within half a second.
            self.plan(ResidencyEvent::InstanceGone(peer.clone()));
        }
        if self.is_placer(peer) {
            self.shared.dispatch().placer_lost();
            self.paces.placer_lost();
        }
    }

    /// Takes in whether the placer places, and how many instances there are.
    pub(super) fn take_placing(&self, knows_targets: bool, instances: u32) {
        let now = self.now();
        self.shared
            .dispatch()
            .placer_status_reported(knows_targets, now);
        if knows_targets {
            self.shared.set_placer_decided();
        }
        self.shared.set_instances(instances as usize);
    }

    /// Takes in what the placer tells of its lease, and what it sees of the platform.
    fn holder_told(&mut self, lease: Option<HeldLease>, platform: Option<PlatformView>) {
        let now = self.now();
        if let Some(lease) = lease.filter(|it| self.keeper.term() == Some(it.term)) {
            self.lease_event(ExclusiveLeaseEvent::HolderReported(lease));
            self.paces
                .guide(Kind::Lease)
                .notified(StoreRevision::default(), now);
        }
        if let Some(view) = platform {
            self.take_view(view, now);
        }
    }

    fn is_placer(&self, peer: &InstanceId) -> bool {
        let placer = self.shared.placer.load();
        placer.as_ref().is_some_and(|it| it.instance == *peer)
    }
}
