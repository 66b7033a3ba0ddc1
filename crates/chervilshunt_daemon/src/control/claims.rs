//! Claim keepers for idempotency keys.

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

/// Number of shards that idempotency keys are divided into.
///
/// All instances must use the same number, and a claim is looked up in the shard of its key, so it
/// may be changed only while no request with a key can be retried.
pub(crate) const CLAIM_SHARDS: u32 = 8;

/// A request for a claim, from a traffic thread or a peer.
#[derive(Debug)]
pub(crate) struct RequestClaim {
    /// The request.
    pub(crate) req: ClaimRequest,
    /// The channel for the answer.
    pub(crate) reply: ClaimReply,
}

/// The reply channel of a claim request.
#[derive(Debug)]
pub(crate) enum ClaimReply {
    /// Answers a traffic thread of this process.
    Local(oneshot::Sender<ClaimAnswer>),
    /// Answers a peer.
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

/// Reports from a traffic thread how a claimed attempt ended.
///
/// The answer is whether this instance keeps the claims of the key's shard.
#[derive(Debug)]
pub(crate) struct EndClaim(pub(crate) ClaimEnded);

impl Control {
    /// Starts the claim keeper of a shard.
    pub(super) fn start_claim_keeper(&mut self, shard: u32, epoch: Epoch) {
        let me = self.coordinator.me().clone();
        let mut cfg = ClaimConfig::new(shard, me, epoch);
        cfg.in_outage = ClaimsInOutage::Refuse;
        self.keepers
            .insert(shard, ClaimKeeper::new(cfg, self.cx.now()));
        self.run_steps([Step::Claims(shard, ClaimEvent::Tick)]);
    }

    /// Passes a claim request to the keeper of its shard.
    ///
    /// The reply channel is dropped without an answer if this instance's lease does not permit it
    /// to act as the keeper.
    pub(super) fn request_claim(&mut self, ask: RequestClaim) {
        let RequestClaim { req, reply } = ask;
        let shard = req.key.shard(CLAIM_SHARDS);
        let role = Role::ClaimKeeper(shard);
        // A keeper that resumes after a pause must not grant a claim that its successor may already
        // have granted. Its writes to the platform would be rejected, but the request must not even
        // wait for that.
        if self.coordinator.may_order(&role, self.cx.now()).is_none() {
            drop(reply);
            return;
        }
        self.claim_replies.insert(req.attempt, reply);
        self.run_steps([Step::Claims(shard, ClaimEvent::Requested(req))]);
    }

    /// Records how a claimed attempt ended and returns whether this instance keeps its shard.
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
        self.run_steps([Step::Claims(
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
                    self.query_attempt(entry, AttemptQuery { key, attempt }, steps);
                }
                ClaimAction::Superseded => {
                    slog::warn!(self.cx.log, "claim keeper superseded"; "shard" => shard);
                }
            }
        }
    }

    fn answer_claim(&mut self, attempt: AttemptId, answer: ClaimAnswer) {
        slog::debug!(self.cx.log, "claim"; "attempt" => %attempt, "answer" => ?answer);
        if let Some(reply) = self.claim_replies.remove(&attempt) {
            reply.send(answer);
        }
    }

    /// Asks the instance that runs a claimed attempt whether and how it ended.
    fn query_attempt(&self, entry: Holder, asked: AttemptQuery, steps: &mut Steps) {
        if entry == *self.coordinator.me() {
            steps.extend(self.try_ended(&asked).map(claim_ended_step));
        } else if entry.instance != *self.cx.me() {
            self.cx.send(
                &entry.instance,
                PeerMessage::AttemptAsked(entry.incarnation, asked),
            );
        }
    }

    /// Returns how an attempt of this process ended, or `None` while it is running.
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

impl Handler<RequestClaim> for Control {
    type Return = ();

    async fn handle(&mut self, message: RequestClaim, _cx: &mut xtra::Context<Self>) {
        self.request_claim(message);
    }
}

impl Handler<EndClaim> for Control {
    type Return = bool;

    async fn handle(&mut self, message: EndClaim, _cx: &mut xtra::Context<Self>) -> bool {
        self.end_claim(message.0)
    }
}
