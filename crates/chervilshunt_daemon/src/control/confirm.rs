//! Delays the answer to an accepted change until it is in force on the other instances.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_mesh::Peer;
use chervilshunt_model::Revision;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::context::Context;
use crate::wire::PeerMessage;

/// The longest that the answer to an accepted change waits for other instances.
///
/// Answering after that is safe. An instance that cannot be queried because its connections are cut
/// reads the change from the platform, and stops taking work if it cannot reach the platform
/// either.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for asking one instance whether the revision is in force.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before an instance is queried again.
const QUERY_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of instances that are queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 32;

impl Context {
    /// Waits until every live instance has the revision in force, or until the timeout.
    ///
    /// The head has been updated, but other instances may not have seen it yet. Without the wait,
    /// an operator who uses a new version right after its change was accepted could be refused by
    /// another instance that does not know the version.
    pub(super) async fn confirm_in_force(&self, revision: Revision) {
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        let semaphore = Arc::new(Semaphore::new(MAX_CONCURRENT_QUERIES));
        let mut asked = JoinSet::new();
        for peer in self
            .routing
            .get()
            .peers()
            .filter(|peer| peer.instance != *self.me())
        {
            let (cx, semaphore) = (self.clone(), Arc::clone(&semaphore));
            asked.spawn(async move {
                while Instant::now() < deadline {
                    let guard = semaphore.acquire().await;
                    if cx.has_in_force(&peer, revision).await {
                        return;
                    }
                    drop(guard);
                    tokio::time::sleep(QUERY_RETRY_PAUSE).await;
                }
                slog::warn!(cx.log, "change not confirmed";
                    "revision" => revision.get(), "instance" => %peer.instance);
            });
        }
        while asked.join_next().await.is_some() {}
    }

    async fn has_in_force(&self, peer: &Peer, revision: Revision) -> bool {
        let asked = PeerMessage::InForceAsked(revision);
        let answer = self.mesh.request(peer, asked, QUERY_TIMEOUT).await;
        matches!(answer, Ok(PeerMessage::Done))
    }
}
