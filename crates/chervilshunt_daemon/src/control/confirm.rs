//! Answering "accepted" only once the change is in force at the other instances too.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_mesh::Peer;
use chervilshunt_model::Revision;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::context::Context;
use crate::wire::PeerMessage;

/// How long an accepted change may take to come into force before the operator is answered anyway.
///
/// It is accepted and will come into force: an instance that can't be asked, as its links are cut,
/// learns of it from the platform, and stops taking work if it can't.
const CONFIRM_BOUND: Duration = Duration::from_secs(3);
/// The time that an instance has to say which revision it has in force.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause before an instance is asked again.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// Instances that are asked at a time.
const ASKED_AT_A_TIME: usize = 32;

impl Context {
    /// Waits until every live instance has the revision in force, or the bound has passed.
    ///
    /// The head has moved, but word of it may still be on its way: an operator who uses a new
    /// version right after "accepted" would be told by another instance that there is none.
    pub(super) async fn confirm_in_force(&self, revision: Revision) {
        let deadline = Instant::now() + CONFIRM_BOUND;
        let turns = Arc::new(Semaphore::new(ASKED_AT_A_TIME));
        let mut asked = JoinSet::new();
        for peer in self
            .routing
            .get()
            .peers()
            .filter(|peer| peer.instance != *self.me())
        {
            let (cx, turns) = (self.clone(), Arc::clone(&turns));
            asked.spawn(async move {
                while Instant::now() < deadline {
                    let turn = turns.acquire().await;
                    if cx.has_in_force(&peer, revision).await {
                        return;
                    }
                    drop(turn);
                    tokio::time::sleep(ASK_PAUSE).await;
                }
                slog::warn!(cx.log, "change not confirmed";
                    "revision" => revision.get(), "instance" => %peer.instance);
            });
        }
        while asked.join_next().await.is_some() {}
    }

    async fn has_in_force(&self, peer: &Peer, revision: Revision) -> bool {
        let asked = PeerMessage::InForceAsked(revision);
        let answer = self.mesh.request(peer, asked, ASK_TIMEOUT).await;
        matches!(answer, Ok(PeerMessage::Done))
    }
}
