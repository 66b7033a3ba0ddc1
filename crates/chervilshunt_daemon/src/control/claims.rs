//! Keeping the claims of idempotency keys.

use chervilshunt_coord::{
    ClaimAction, ClaimAnswer, ClaimConfig, ClaimEvent, ClaimKeeper, ClaimRequest, ClaimsInOutage,
    Holder, Role,
};
use chervilshunt_mesh::Reply;
use chervilshunt_model::{AttemptId, Epoch};
use tokio::sync::oneshot;
use xtra::prelude::*;

use super::actor::Control;
use super::steps::{Step, Steps};
use crate::keyed::AttemptState;
use crate::wire::{AttemptQuery, ClaimEnded, PeerMessage};

/// The shards of the idempotency keys. All instances have to agree, and a claim is looked for in its
/// key's shard: change it only while no keyed request can be retried.
pub(crate) const CLAIM_SHARDS: u32 = 8;

/// A traffic thread or a peer asks for a claim.
#[derive(Debug)]
pub(crate) struct AskClaim {
    /// What is asked for.
    pub(crate) req: ClaimRequest,
    /// Where the answer goes.
    pub(crate) reply: ClaimReply,
}

/// Where the answer to a request for a claim goes.
#[derive(Debug)]
pub(crate) enum ClaimReply {
    /// To a traffic thread of this process.
    Local(oneshot::Sender<ClaimAnswer>),
    /// To a peer.
    Peer(Reply<PeerMessage>),
}

impl ClaimReply {
    fn send(self, answer: ClaimAnswer) {
        match self {
            Self::Local(tx) => drop(tx.send(answer)),
            Self::Peer(reply) => drop(reply.send(PeerMessage::ClaimAnswered(answer))),
        }
    }
}

/// A traffic thread says how a claimed try ended; the answer says whether its keeper took it.
#[derive(Debug)]
pub(crate) struct EndClaim(pub(crate) ClaimEnded);

impl Control {
    /// Begins to keep a shard's claims.
    pub(super) fn keep_claims(&mut self, shard: u32, epoch: Epoch) {
        let me = self.coordinator.me().clone();
        let mut cfg = ClaimConfig::new(shard, me, epoch);
        cfg.in_outage = ClaimsInOutage::Refuse;
        self.keepers
            .insert(shard, ClaimKeeper::new(cfg, self.cx.now()));
        self.work_off([Step::Claims(shard, ClaimEvent::Tick)]);
    }

    pub(super) fn ask_claim(&mut self, ask: AskClaim) {
        let AskClaim { req, reply } = ask;
        let shard = req.key.shard(CLAIM_SHARDS);
        let role = Role::ClaimKeeper(shard);
        // A keeper that was paused must not grant what its successor may have granted already; its
        // records can't be written any more, but it must not even wait for that.
        if self.coordinator.may_order(&role, self.cx.now()).is_none() {
            drop(reply);
            return;
        }
        self.claimants.insert(req.attempt, reply);
        self.work_off([Step::Claims(shard, ClaimEvent::Requested(req))]);
    }

    pub(super) fn end_claim(&mut self, ended: ClaimEnded) -> bool {
        let ClaimEnded {
            key,
            attempt,
            outcome,
        } = ended;
        let shard = key.shard(CLAIM_SHARDS);
        if !self.keepers.contains_key(&shard) {
            return false;
        }
        self.work_off([Step::Claims(
            shard,
            ClaimEvent::Ended {
                key,
                attempt,
                outcome,
            },
        )]);
        true
    }

    pub(super) fn step_claims(&mut self, shard: u32, event: ClaimEvent, steps: &mut Steps) {
        let now = self.cx.now();
        let Some(keeper) = self.keepers.get_mut(&shard) else {
            return;
        };
        for action in keeper.handle(event, now) {
            match action {
                ClaimAction::Call(call) => self.call_platform(call),
                ClaimAction::Answer {
                    attempt, answer, ..
                } => self.answer_claim(attempt, answer),
                ClaimAction::QueryAttempt {
                    entry,
                    key,
                    attempt,
                } => {
                    self.ask_entry(entry, AttemptQuery { key, attempt }, steps);
                }
                ClaimAction::Superseded => {
                    slog::warn!(self.cx.log, "claim keeper superseded"; "shard" => shard);
                }
            }
        }
    }

    fn answer_claim(&mut self, attempt: AttemptId, answer: ClaimAnswer) {
        slog::debug!(self.cx.log, "claim"; "attempt" => %attempt, "answer" => ?answer);
        if let Some(reply) = self.claimants.remove(&attempt) {
            reply.send(answer);
        }
    }

    /// Asks the instance that runs a claimed try what became of it.
    fn ask_entry(&self, entry: Holder, asked: AttemptQuery, steps: &mut Steps) {
        if entry == *self.coordinator.me() {
            steps.extend(self.try_ended(&asked).map(claim_ended_step));
        } else if entry.instance != *self.cx.me() {
            self.cx.send(
                &entry.instance,
                PeerMessage::AttemptAsked(entry.incarnation, asked),
            );
        }
    }

    /// Returns how a try of this process ended, unless it still runs.
    pub(super) fn try_ended(&self, asked: &AttemptQuery) -> Option<ClaimEnded> {
        match self.cx.tries.state(asked.attempt) {
            AttemptState::Running => None,
            AttemptState::Ended(outcome) => Some(ClaimEnded {
                key: asked.key,
                attempt: asked.attempt,
                outcome,
            }),
        }
    }
}

fn claim_ended_step(ended: ClaimEnded) -> Step {
    let ClaimEnded {
        key,
        attempt,
        outcome,
    } = ended;
    Step::Claims(
        key.shard(CLAIM_SHARDS),
        ClaimEvent::Ended {
            key,
            attempt,
            outcome,
        },
    )
}

impl Handler<AskClaim> for Control {
    type Return = ();

    async fn handle(&mut self, message: AskClaim, _cx: &mut xtra::Context<Self>) {
        self.ask_claim(message);
    }
}

impl Handler<EndClaim> for Control {
    type Return = bool;

    async fn handle(&mut self, message: EndClaim, _cx: &mut xtra::Context<Self>) -> bool {
        self.end_claim(message.0)
    }
}
