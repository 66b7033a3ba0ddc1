//! Messages from other instances.

use chervilshunt_coord::CoordEvent;
use chervilshunt_core::{OwnerEvent, ReleaseOutcome, ReleasedPermit, RequestChecksum};
use chervilshunt_mesh::{Inbound, InboundMessage, Reply};
use chervilshunt_model::InstanceId;
use xtra::prelude::*;

use super::actor::Control;
use super::address::addressed;
use super::claims::{AskClaim, ClaimReply};
use super::messages::{AskPermit, FromPeer, PermitReply, ReleasePermit};
use super::steps::Step;
use crate::wire::PeerMessage;

impl Handler<FromPeer> for Control {
    type Return = ();

    async fn handle(&mut self, message: FromPeer, _cx: &mut xtra::Context<Self>) {
        match message.0 {
            Inbound::Message(message) => self.take_message(message),
            Inbound::Lost(from) => self.lost_connection(from),
        }
    }
}

impl Control {
    fn take_message(&mut self, message: InboundMessage<PeerMessage>) {
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
                    self.ask_permit(AskPermit { req, reply });
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
                    self.ask_claim(AskClaim {
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
                // Another run of this instance knows nothing of the try.
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
                let step = addressed(message).map(|(_, step)| step);
                self.work_off(step);
                respond(reply, PeerMessage::Done);
            }
            message @ (PeerMessage::TurnAsked(_)
            | PeerMessage::TurnHeld(_)
            | PeerMessage::TurnGranted(_)
            | PeerMessage::Demanded(_)
            | PeerMessage::ShareSet(_)
            | PeerMessage::ShareConfirmed(_)) => {
                let step = addressed(message).map(|(_, step)| step);
                self.work_off(step);
            }
        }
    }

    /// Withdraws what a peer waits for, and compares the permits that it holds with ours.
    ///
    /// The peer's requests have failed with the connection, and it asks again. A grant or a release
    /// that was under way is lost: without the comparison its slot would stay pinned.
    fn lost_connection(&mut self, from: InstanceId) {
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
        self.work_off(steps);
        self.compare_permits(&from);
        self.coordinate(CoordEvent::PeerLost(from));
    }
}

fn respond(reply: Option<Reply<PeerMessage>>, answer: PeerMessage) {
    if let Some(reply) = reply {
        // A peer that can't get its answer any more has learnt so by itself.
        drop(reply.send(answer));
    }
}
