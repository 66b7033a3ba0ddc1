//! Asking owners for permits, and giving them back whatever happens.

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

/// The time that the owner has to acknowledge a release.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after the first try to give a permit back; it doubles with each.
const RELEASE_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between two such tries.
const LONGEST_RELEASE_PAUSE: Duration = Duration::from_secs(2);

/// What an owner said, or why it could not be asked.
#[derive(Debug)]
pub(crate) enum Asked {
    /// The permit, which gives itself back when dropped.
    Granted(HeldPermit),
    /// Ask at these targets, best first.
    Redirect(Vec<TargetName>),
    /// Nothing ran.
    Refused(RefusalReason, Duration),
    /// The owner is not known or can't be reached; nothing ran.
    NoOwner,
    /// The deadline passed while the request waited; nothing ran.
    Late,
}

/// Asks owners for permits on behalf of the traffic threads.
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
    /// Makes the handle that all requests share.
    pub(crate) fn new(links: Links, held: HeldPermits) -> Self {
        Self {
            inner: Arc::new(Inner { links, held }),
        }
    }

    /// Asks the owner of `req.target` and waits for its answer until `deadline`.
    ///
    /// Dropping the future withdraws the request: a caller that goes away while it waits leaves no
    /// permit behind.
    pub(crate) async fn ask(&self, req: PermitRequest, deadline: Moment) -> Asked {
        let guard = HeldPermit::waiting(self.clone(), req.attempt, req.target.clone());
        let answer = tokio::time::timeout(now().until(deadline), self.answer(req, deadline)).await;
        match answer {
            Ok(Ok(PermitAnswer::Granted { permit, .. })) => Asked::Granted(guard.granted(permit)),
            Ok(Ok(PermitAnswer::Redirect { targets })) => {
                guard.forget();
                Asked::Redirect(targets.into_vec())
            }
            Ok(Ok(PermitAnswer::Refused {
                reason,
                retry_after_ms,
            })) => {
                guard.forget();
                Asked::Refused(reason, Duration::from_millis(retry_after_ms))
            }
            Ok(Err(Unreached::NeverSeen)) => {
                guard.forget();
                Asked::NoOwner
            }
            // The owner may have queued or granted the request: dropping the guard withdraws it.
            Ok(Err(Unreached::MaybeSeen)) => Asked::NoOwner,
            Err(_elapsed) => Asked::Late,
        }
    }

    async fn answer(
        &self,
        req: PermitRequest,
        deadline: Moment,
    ) -> Result<PermitAnswer, Unreached> {
        let routing = self.inner.links.routing.get();
        let owner = routing
            .owners
            .get(&req.target)
            .ok_or(Unreached::NeverSeen)?;
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
                .map_err(|_closed| Unreached::NeverSeen)?;
            return rx.await.map_err(|_dropped| Unreached::MaybeSeen);
        }
        let peer = self.inner.links.peer(owner).ok_or(Unreached::NeverSeen)?;
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
            // An answer to another request says nothing of what the owner made of this one.
            Ok(PeerMessage::PermitAnswered(answer)) => {
                answer.join(&req).map_err(|_crossed| Unreached::MaybeSeen)
            }
            Ok(_other) => Err(Unreached::MaybeSeen),
            Err(error) if error.is_unhandled() => Err(Unreached::NeverSeen),
            Err(_error) => Err(Unreached::MaybeSeen),
        }
    }

    /// Gives a permit back in the background.
    fn release(&self, released: ReleasedPermit) {
        let permits = self.clone();
        self.inner
            .links
            .runtime
            .spawn(async move { permits.release_now(released).await });
    }

    /// Gives a permit back to whoever owns the target, for as long as there is the target.
    ///
    /// An owner that is cut off may stay the owner. A release given up on would leave its adapter
    /// pinned: the adapter could never be evicted, nor serve again once it was to make room.
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

/// Why an owner gave no answer.
enum Unreached {
    NeverSeen,
    MaybeSeen,
}

/// A permit, or a wait for one, that is given back when dropped.
///
/// Without it a caller that hangs up would leave its adapter pinned: the slot would be lost until
/// the owner changes.
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

    /// Ends a wait of which the owner knows nothing any more.
    fn forget(mut self) {
        self.armed = false;
    }

    /// Returns the id of the try.
    pub(crate) fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Returns the target that the attempt may go to.
    pub(crate) fn target(&self) -> &TargetName {
        &self.target
    }

    /// Returns whether the call may still be opened.
    ///
    /// After its window the owner may count the permit as unused, so that a late call would meet an
    /// adapter that is no longer pinned for it.
    pub(crate) fn is_usable(&self, now: Moment) -> bool {
        self.granted.as_ref().is_some_and(|(permit, arrived)| {
            now.since(*arrived) < Duration::from_millis(permit.window_ms)
        })
    }

    /// Says what became of the call; the permit is given back with it when dropped.
    pub(crate) fn ended(&mut self, outcome: ReleaseOutcome) {
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
