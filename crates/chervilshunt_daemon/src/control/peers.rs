//! Handles messages from other instances.

use chervilshunt_coord::CoordEvent;
use chervilshunt_core::{OwnerEvent, ReleaseOutcome, ReleasedPermit, RequestChecksum};
use chervilshunt_mesh::{Inbound, InboundMessage, Reply};
use chervilshunt_model::InstanceId;
use xtra::prelude::*;

use super::actor::Control;
use super::address::role_and_step;
use super::claims::{ClaimReply, RequestClaim};
use super::messages::{FromPeer, PermitReply, ReleasePermit, RequestPermit};
use super::steps::Step;
use crate::wire::PeerMessage;

impl Handler<FromPeer> for Control {
    type Return = ();

    async fn handle(&mut self, message: FromPeer, _cx: &mut xtra::Context<Self>) {
        match message.0 {
            Inbound::Message(message) => self.handle_message(message),
            Inbound::Lost(from) => self.handle_connection_loss(from),
        }
    }
}

impl Control {
    fn handle_message(&mut self, message: InboundMessage<PeerMessage>) {
        let InboundMessage {
            from,
            message,
            reply,
            ..
        } = message;
        if self.suspects.contains(&from) {
            self.coordinate(CoordEvent::PeerReachable(from.clone()));
        }
        match message {
            PeerMessage::PermitAsked(req) => {
                if let Some(reply) = reply {
                    let req = req.sent_by(from);
                    let reply = PermitReply::Peer(reply, RequestChecksum::of_request(&req));
                    self.request_permit(RequestPermit { req, reply });
                }
            }
            PeerMessage::PermitReleased(released) => {
                let taken = self.release_permit(ReleasePermit(released));
                respond(
                    reply,
                    if taken {
                        PeerMessage::Done
                    } else {
                        PeerMessage::NotHolder
                    },
                );
            }
            PeerMessage::PermitsAsked(target) => {
                let permits = self.cx.held.of_target(&target);
                respond(reply, PeerMessage::PermitsHeld(permits));
            }
            PeerMessage::FactsAsked(table) => {
                let facts = self.facts().shown_by(table);
                respond(reply, PeerMessage::Facts(Box::new(facts)));
            }
            PeerMessage::ClaimAsked(req) => {
                if let Some(reply) = reply {
                    self.request_claim(RequestClaim {
                        req,
                        reply: ClaimReply::Peer(reply),
                    });
                }
            }
            PeerMessage::ClaimEnded(ended) => {
                let taken = self.end_claim(ended);
                respond(
                    reply,
                    if taken {
                        PeerMessage::Done
                    } else {
                        PeerMessage::NotHolder
                    },
                );
            }
            PeerMessage::AttemptAsked(incarnation, asked) => {
                // A different run of this instance has no record of the attempt.
                if self.coordinator.me().incarnation == incarnation
                    && let Some(ended) = self.try_ended(&asked)
                {
                    self.cx.send(&from, PeerMessage::ClaimEnded(ended));
                }
            }
            PeerMessage::InForceAsked(revision) => {
                let has = self.deployment.revision >= revision;
                respond(
                    reply,
                    if has {
                        PeerMessage::Done
                    } else {
                        PeerMessage::NotHolder
                    },
                );
            }
            PeerMessage::Coord(message) => self.coord_message(from, message),
            PeerMessage::PermitAnswered(_)
            | PeerMessage::PermitsHeld(_)
            | PeerMessage::ClaimAnswered(_)
            | PeerMessage::Facts(_)
            | PeerMessage::Done
            | PeerMessage::NotHolder => {
                slog::debug!(self.cx.log, "answer without question"; "from" => %from);
            }
            message @ PeerMessage::TurnEnded(_) => {
                let step = role_and_step(message).map(|(_, step)| step);
                self.run_steps(step);
                respond(reply, PeerMessage::Done);
            }
            message @ (PeerMessage::TurnAsked(_)
            | PeerMessage::TurnHeld(_)
            | PeerMessage::TurnGranted(_)
            | PeerMessage::Demanded(_)
            | PeerMessage::ShareSet(_)
            | PeerMessage::ShareConfirmed(_)) => {
                let step = role_and_step(message).map(|(_, step)| step);
                self.run_steps(step);
            }
        }
    }

    /// Withdraws the pending requests of a peer and compares the permits that it holds with ours.
    ///
    /// The peer's requests failed with the connection, and the peer sends them again. A grant or a
    /// release that was in flight is lost; without the comparison its adapter slot would stay
    /// pinned.
    fn handle_connection_loss(&mut self, from: InstanceId) {
        let mut steps = Vec::new();
        for (name, owned) in &mut self.targets {
            let gone = owned.waiting.extract_if(|_, reply| reply.is_gone());
            steps.extend(gone.map(|(attempt, _)| {
                let released = ReleasedPermit {
                    attempt,
                    target: name.clone(),
                    outcome: ReleaseOutcome::Cancelled,
                };
                Step::Owner(name.clone(), OwnerEvent::PermitReleased(released))
            }));
        }
        self.run_steps(steps);
        self.compare_permits(&from);
        self.coordinate(CoordEvent::PeerLost(from));
    }
}

fn respond(reply: Option<Reply<PeerMessage>>, answer: PeerMessage) {
    if let Some(reply) = reply {
        // If the answer can't be delivered, the peer has noticed the lost connection itself.
        drop(reply.send(answer));
    }
}
