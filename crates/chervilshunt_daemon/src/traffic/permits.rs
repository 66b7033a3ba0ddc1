//! Requests permits from owners and guarantees their release.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{
    CompactRequest, Permit, PermitAnswer, PermitRequest, RefusalReason, ReleaseOutcome,
    ReleasedPermit,
};
use chervilshunt_mesh::RequestError;
use chervilshunt_model::{AttemptId, Moment, TargetName};
use tokio::sync::oneshot;

use super::held::HeldPermits;
use super::links::Links;
use super::now;
use crate::control::{PermitReply, ReleasePermit, RequestPermit};
use crate::wire::PeerMessage;

/// The time limit for the owner's acknowledgement of a release.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay after the first failed release; it doubles after each further one.
const RELEASE_PAUSE: Duration = Duration::from_millis(100);
/// The maximum delay between two attempts to release a permit.
const LONGEST_RELEASE_PAUSE: Duration = Duration::from_secs(2);

/// An owner's answer to a permit request, or the reason why there is none.
#[derive(Debug)]
pub(crate) enum PermitResult {
    /// The permit, which is released when dropped.
    Granted(HeldPermit),
    /// The owner redirects the request to these targets, best first.
    Redirect(Vec<TargetName>),
    /// The owner refused and names the time to wait before a retry; nothing ran.
    Refused(RefusalReason, Duration),
    /// The owner is unknown or unreachable; nothing ran.
    NoOwner,
    /// The deadline passed while the request waited for the permit; nothing ran.
    Late,
}

/// The traffic threads' client for permits.
#[derive(Clone, Debug)]
pub(crate) struct Permits {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    links: Links,
    held: HeldPermits,
}

impl Permits {
    /// Creates the client, which all requests share.
    pub(crate) fn new(links: Links, held: HeldPermits) -> Self {
        Self {
            inner: Arc::new(Inner { links, held }),
        }
    }

    /// Requests a permit from the owner of `req.target` and waits for the answer until `deadline`.
    ///
    /// Dropping the future withdraws the request, so that a caller that disconnects while it waits
    /// leaves no permit behind.
    pub(crate) async fn ask(&self, req: PermitRequest, deadline: Moment) -> PermitResult {
        let guard = HeldPermit::waiting(self.clone(), req.attempt, req.target.clone());
        let answer = tokio::time::timeout(now().until(deadline), self.answer(req, deadline)).await;
        match answer {
            Ok(Ok(PermitAnswer::Granted { permit, .. })) => {
                PermitResult::Granted(guard.granted(permit))
            }
            Ok(Ok(PermitAnswer::Redirect { targets })) => {
                guard.forget();
                PermitResult::Redirect(targets.into_vec())
            }
            Ok(Ok(PermitAnswer::Refused {
                reason,
                retry_after_ms,
            })) => {
                guard.forget();
                PermitResult::Refused(reason, Duration::from_millis(retry_after_ms))
            }
            Ok(Err(NoAnswer::NotReceived)) => {
                guard.forget();
                PermitResult::NoOwner
            }
            // The owner may have queued or granted the request: dropping the guard withdraws it.
            Ok(Err(NoAnswer::MaybeReceived)) => PermitResult::NoOwner,
            Err(_elapsed) => PermitResult::Late,
        }
    }

    async fn answer(&self, req: PermitRequest, deadline: Moment) -> Result<PermitAnswer, NoAnswer> {
        let routing = self.inner.links.routing.get();
        let owner = routing
            .owners
            .get(&req.target)
            .ok_or(NoAnswer::NotReceived)?;
        if *owner == self.inner.links.me {
            let (tx, rx) = oneshot::channel();
            let ask = RequestPermit {
                req,
                reply: PermitReply::Local(tx),
            };
            self.inner
                .links
                .control
                .send(ask)
                .await
                .map_err(|_closed| NoAnswer::NotReceived)?;
            return rx.await.map_err(|_dropped| NoAnswer::MaybeReceived);
        }
        let peer = self.inner.links.peer(owner).ok_or(NoAnswer::NotReceived)?;
        let timeout = now().until(deadline);
        match self
            .inner
            .links
            .mesh
            .request(
                &peer,
                PeerMessage::PermitAsked(CompactRequest::of(&req)),
                timeout,
            )
            .await
        {
            // An answer to a different request does not show how the owner handled this one.
            Ok(PeerMessage::PermitAnswered(answer)) => answer
                .join(&req)
                .map_err(|_crossed| NoAnswer::MaybeReceived),
            Ok(_other) => Err(NoAnswer::MaybeReceived),
            Err(error) if error.is_unhandled() => Err(NoAnswer::NotReceived),
            Err(_error) => Err(NoAnswer::MaybeReceived),
        }
    }

    /// Releases a permit in the background.
    fn release(&self, released: ReleasedPermit) {
        let permits = self.clone();
        self.inner
            .links
            .runtime
            .spawn(async move { permits.release_now(released).await });
    }

    /// Releases a permit at the current owner of its target, retrying as long as the target exists.
    ///
    /// An unreachable owner may stay the owner. If the release were abandoned, the adapter would
    /// stay pinned: it could never be evicted, nor serve again once it was selected for eviction.
    async fn release_now(&self, released: ReleasedPermit) {
        let mut pause = RELEASE_PAUSE;
        while !self.try_release(&released).await && self.has_target(&released.target) {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_RELEASE_PAUSE);
        }
        self.inner.held.remove(released.attempt);
    }

    fn has_target(&self, target: &TargetName) -> bool {
        let routing = self.inner.links.routing.get();
        routing.deployment.targets.contains_key(target)
    }

    async fn try_release(&self, released: &ReleasedPermit) -> bool {
        let routing = self.inner.links.routing.get();
        let Some(owner) = routing.owners.get(&released.target) else {
            return false;
        };
        if *owner == self.inner.links.me {
            let sent = self
                .inner
                .links
                .control
                .send(ReleasePermit(released.clone()))
                .await;
            return sent.unwrap_or(false);
        }
        let Some(peer) = self.inner.links.peer(owner) else {
            return false;
        };
        let message = PeerMessage::PermitReleased(released.clone());
        let answer: Result<PeerMessage, RequestError> = self
            .inner
            .links
            .mesh
            .request(&peer, message, RELEASE_TIMEOUT)
            .await;
        matches!(answer, Ok(PeerMessage::Done))
    }
}

/// The reason why there is no answer from an owner: whether it can have received the request.
enum NoAnswer {
    NotReceived,
    MaybeReceived,
}

/// A permit, or a pending request for one, that is released when dropped.
///
/// Without this guard, a caller that disconnects would leave its adapter pinned, and the slot would
/// be lost until the target changes owners.
#[derive(Debug)]
pub(crate) struct HeldPermit {
    permits: Permits,
    attempt: AttemptId,
    target: TargetName,
    granted: Option<(Permit, Moment)>,
    outcome: ReleaseOutcome,
    armed: bool,
}

impl HeldPermit {
    fn waiting(permits: Permits, attempt: AttemptId, target: TargetName) -> Self {
        let outcome = ReleaseOutcome::Cancelled;
        Self {
            permits,
            attempt,
            target,
            granted: None,
            outcome,
            armed: true,
        }
    }

    fn granted(mut self, permit: Permit) -> Self {
        self.permits.inner.held.insert(permit.clone());
        self.granted = Some((permit, now()));
        self
    }

    /// Drops the guard without a release, because the owner no longer has the request.
    fn forget(mut self) {
        self.armed = false;
    }

    /// Returns the id of the attempt.
    pub(crate) fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Returns the target that the permit is for.
    pub(crate) fn target(&self) -> &TargetName {
        &self.target
    }

    /// Returns whether the call may still be opened.
    ///
    /// After the permit's window the owner may reclaim it as unused, and a late call would find its
    /// adapter no longer pinned.
    pub(crate) fn is_usable(&self, now: Moment) -> bool {
        self.granted.as_ref().is_some_and(|(permit, arrived)| {
            now.since(*arrived) < Duration::from_millis(permit.window_ms)
        })
    }

    /// Records the outcome of the call, which is reported with the release.
    pub(crate) fn set_outcome(&mut self, outcome: ReleaseOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        if self.armed {
            self.permits.release(ReleasedPermit {
                attempt: self.attempt,
                target: self.target.clone(),
                outcome: self.outcome,
            });
        }
    }
}
