//! What this instance tells the placer, and how it takes in what the placer tells.

use chervilshunt_coord::{HeldLease, SoleEvent};
use chervilshunt_core::{Holding, ResidencyEvent};
use chervilshunt_mesh::InboundMessage;
use chervilshunt_model::{InstanceId, TargetName};

use super::actor::Control;
use super::presence::SignOfLife;
use crate::peers::{EntriesView, PeerMessage};

/// What the placer knows of this instance.
#[derive(Debug, Default)]
pub(super) struct Uses {
    /// The term of the placer that has told everything that is held; none if it is to be asked.
    introduced: Option<u64>,
}

impl Control {
    /// Tells the placer what this instance has under way.
    pub(super) fn tell_use(&mut self) {
        let now = self.now();
        let uses = self.shared.dispatch().tell_uses();
        let grants = self.shared.grants.open();
        if self.placer.is_some() {
            let me = self.me().clone();
            self.plan(ResidencyEvent::Used(me.clone(), uses, grants));
            self.take_own_loads(&me);
            return;
        }
        let Some(placer) = self.shared.placer.load_full() else {
            return;
        };
        if placer.instance == *self.me() {
            return;
        }
        let first = self.uses.introduced != self.keeper.term()
            || !self.shared.dispatch().is_placer_heard(now);
        let message = PeerMessage::Using {
            address: self.shared.settings.addresses.peers,
            first,
            reaches_platform: self.reaches_platform,
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
            reply,
        } = message;
        match message {
            PeerMessage::Using {
                address,
                first,
                reaches_platform,
                uses,
                grants,
            } => {
                let sign = SignOfLife {
                    address,
                    reaches_platform,
                };
                self.instance_uses(&from, sign, first, (uses, grants));
            }
            PeerMessage::Want(want, within) => {
                let wanted = |question| ResidencyEvent::Wanted {
                    question,
                    from,
                    want,
                    within,
                };
                self.wanted(wanted, reply);
            }
            PeerMessage::Progress(progress) => self.plan(ResidencyEvent::Progressed(progress)),
            PeerMessage::NotHeld(target, weights) => {
                self.plan(ResidencyEvent::NotHeld(target, weights));
            }
            PeerMessage::HoldingsWhole(holdings) if self.is_placer(&from) => {
                self.uses.introduced = self.keeper.term();
                self.introduced(holdings);
            }
            PeerMessage::Holdings(holdings) if self.is_placer(&from) => {
                self.take_holdings(holdings);
            }
            PeerMessage::Loads {
                others,
                instances,
                entries,
                lease,
            } if self.is_placer(&from) => {
                self.holder_told(lease, entries);
                self.take_loads(&others, instances);
            }
            PeerMessage::CallLease(call) => self.call_lease_for(call, reply),
            // From an instance that was the placer, or is not known to be yet.
            PeerMessage::HoldingsWhole(_)
            | PeerMessage::Holdings(_)
            | PeerMessage::Loads { .. }
            | PeerMessage::Placed(..)
            | PeerMessage::LeaseCalled(_) => {}
        }
    }

    /// Takes in everything that the placer knows of who holds what.
    pub(super) fn introduced(&mut self, holdings: Vec<Holding>) {
        let now = self.now();
        self.shared.dispatch().holdings_whole(holdings, now);
        self.shared.set_placer_decided();
    }

    /// Takes in that a connection broke: what the placer told meanwhile is lost.
    pub(super) fn peer_lost(&mut self, peer: &InstanceId) {
        if self.placer.is_some() {
            // Most likely it has ended, and its requests with it; one that lives tells what it has under
            // way within half a second.
            self.plan(ResidencyEvent::InstanceGone(peer.clone()));
        }
        if self.is_placer(peer) {
            self.uses.introduced = None;
            self.shared.dispatch().placer_lost();
            self.paces.entries.placer_lost();
            self.paces.lease.placer_lost();
        }
    }

    pub(super) fn take_holdings(&mut self, holdings: Vec<Holding>) {
        let now = self.now();
        let mut dispatch = self.shared.dispatch();
        for holding in holdings {
            dispatch.holding_changed(holding, now);
        }
    }

    pub(super) fn take_loads(&mut self, others: &[(TargetName, u32)], instances: u32) {
        let now = self.now();
        let mut dispatch = self.shared.dispatch();
        dispatch.placer_heard(now);
        for (target, count) in others {
            dispatch.told_load(target, *count, now);
        }
        drop(dispatch);
        self.shared.set_instances(instances as usize);
    }

    /// Takes in what the placer tells of its lease, and what it sees of the platform.
    fn holder_told(&mut self, lease: Option<HeldLease>, entries: Option<EntriesView>) {
        let now = self.now();
        if let Some(lease) = lease.filter(|it| self.keeper.term() == Some(it.term)) {
            self.lease_event(SoleEvent::HolderTold(lease));
            self.paces.lease.told(0, now);
        }
        if let Some(view) = entries {
            self.take_entries_view(view, now);
        }
    }

    fn is_placer(&self, peer: &InstanceId) -> bool {
        let placer = self.shared.placer.load();
        placer.as_ref().is_some_and(|it| it.instance == *peer)
    }
}
