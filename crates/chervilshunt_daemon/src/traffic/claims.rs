//! Claims idempotency keys for callers' requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_config::KeyedDuringOutage;
use chervilshunt_coord::{ClaimAnswer, ClaimKey, ClaimOutcome, ClaimRequest, Holder};
use chervilshunt_model::AttemptId;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;

use super::caller::CallerRequest;
use super::links::Links;
use super::now;
use super::problem::{Problem, Reason};
use crate::control::{CLAIM_SHARDS, ClaimReply, EndClaim, RequestClaim};
use crate::keyed::KeyedAttempts;
use crate::wire::{ClaimEnded, PeerMessage};

/// The time limit for a claim keeper's answer; the keeper's own limit is shorter.
const KEEPER_TIMEOUT: Duration = Duration::from_secs(4);
/// The `Retry-After` if the claim keeper of a key can't be reached.
const KEEPER_RETRY: Duration = Duration::from_secs(2);
/// The number of attempts to report a request's outcome to its keeper. If all of them fail, a retry
/// of the request is answered with an unknown outcome.
const END_TRIES: u32 = 3;
/// The delay between attempts to report a request's outcome to its keeper.
const END_PAUSE: Duration = Duration::from_millis(300);
/// The maximum size of an answer that is kept for the caller's retry, in bytes; a thousand of them
/// have to fit into one page of claims.
const KEPT_ANSWER_BYTES: usize = 512;

/// A client for the claim keepers.
#[derive(Clone, Debug)]
pub(crate) struct Claims {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    links: Links,
    tries: KeyedAttempts,
    in_outage: KeyedDuringOutage,
}

impl Claims {
    /// Creates the client, which all requests share.
    pub(crate) fn new(links: Links, tries: KeyedAttempts, in_outage: KeyedDuringOutage) -> Self {
        let inner = Inner {
            links,
            tries,
            in_outage,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Claims a request's idempotency key; the request may be sent once this succeeds.
    ///
    /// # Errors
    /// Returns a problem if the request is running or has run, if the key was used for another
    /// request, or if the claim can't be recorded now.
    pub(crate) async fn claim(
        &self,
        req: &CallerRequest,
        idempotency_key: &str,
    ) -> Result<Claim, Problem> {
        let key = ClaimKey::new(req.caller.as_str(), req.service.as_str(), idempotency_key);
        let fingerprint = fingerprint(req);
        loop {
            let attempt = AttemptId::random();
            let claim = Claim::begin(self.clone(), key, attempt);
            let problem = match self.ask(key, fingerprint, attempt).await {
                Some(ClaimAnswer::Granted) => return Ok(claim),
                Some(answer) => refusal(answer),
                None => unreachable_keeper(),
            };
            let waits = match self.inner.in_outage {
                KeyedDuringOutage::Refuse => false,
                KeyedDuringOutage::Queue => problem.reason == Reason::ClaimUnavailable,
            };
            let pause = problem.retry_after.unwrap_or(KEEPER_RETRY);
            if !waits || now() + pause >= req.deadline {
                return Err(problem);
            }
            tokio::time::sleep(pause).await;
        }
    }

    async fn ask(
        &self,
        key: ClaimKey,
        fingerprint: u64,
        attempt: AttemptId,
    ) -> Option<ClaimAnswer> {
        let routing = self.inner.links.routing.get();
        let incarnation = routing.incarnation?;
        let entry = Holder::new(self.inner.links.me.clone(), incarnation);
        let req = ClaimRequest {
            key,
            fingerprint,
            attempt,
            entry,
        };
        let keeper = routing.claim_keepers.get(&key.shard(CLAIM_SHARDS))?;
        if *keeper == self.inner.links.me {
            let (tx, rx) = oneshot::channel();
            let ask = RequestClaim {
                req,
                reply: ClaimReply::Local(tx),
            };
            self.inner.links.control.send(ask).await.ok()?;
            return tokio::time::timeout(KEEPER_TIMEOUT, rx).await.ok()?.ok();
        }
        let peer = self.inner.links.peer(keeper)?;
        let asked = PeerMessage::ClaimAsked(req);
        match self
            .inner
            .links
            .mesh
            .request(&peer, asked, KEEPER_TIMEOUT)
            .await
        {
            Ok(PeerMessage::ClaimAnswered(answer)) => Some(answer),
            Ok(_) | Err(_) => None,
        }
    }

    /// Reports the outcome of a claimed attempt to its keeper.
    async fn end(&self, ended: ClaimEnded) {
        for _ in 0..END_TRIES {
            if self.try_end(&ended).await {
                return;
            }
            tokio::time::sleep(END_PAUSE).await;
        }
    }

    async fn try_end(&self, ended: &ClaimEnded) -> bool {
        let routing = self.inner.links.routing.get();
        let Some(keeper) = routing.claim_keepers.get(&ended.key.shard(CLAIM_SHARDS)) else {
            return false;
        };
        if *keeper == self.inner.links.me {
            return self
                .inner
                .links
                .control
                .send(EndClaim(ended.clone()))
                .await
                .unwrap_or(false);
        }
        let Some(peer) = self.inner.links.peer(keeper) else {
            return false;
        };
        let message = PeerMessage::ClaimEnded(ended.clone());
        let answer = self
            .inner
            .links
            .mesh
            .request(&peer, message, KEEPER_TIMEOUT)
            .await;
        matches!(answer, Ok(PeerMessage::Done))
    }
}

/// A claimed key, or one that is being claimed. Dropping it reports the attempt's outcome to the
/// keeper.
///
/// The outcome starts as "not run" and becomes "unknown" right before the call is sent, so that the
/// report is correct at whatever point the request is dropped.
#[derive(Debug)]
pub(crate) struct Claim {
    claims: Claims,
    key: ClaimKey,
    attempt: AttemptId,
    outcome: ClaimOutcome,
}

impl Claim {
    fn begin(claims: Claims, key: ClaimKey, attempt: AttemptId) -> Self {
        claims.inner.tries.begin(attempt);
        Self {
            claims,
            key,
            attempt,
            outcome: ClaimOutcome::NotRun,
        }
    }

    /// Records that the call may be sent from now on.
    pub(crate) fn may_run(&mut self) {
        self.outcome = ClaimOutcome::Unknown;
    }

    /// Records that the call has provably not run.
    pub(crate) fn did_not_run(&mut self) {
        self.outcome = ClaimOutcome::NotRun;
    }

    /// Records that the call has run and was answered, with the answer's body if it is complete.
    pub(crate) fn answered(&mut self, status: u16, body: Option<&[u8]>) {
        let kept = body.filter(|body| body.len() <= KEPT_ANSWER_BYTES);
        let text = kept.and_then(|body| std::str::from_utf8(body).ok());
        self.outcome = ClaimOutcome::Done {
            status,
            body: text.map(Arc::from),
        };
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let ended = ClaimEnded {
            key: self.key,
            attempt: self.attempt,
            outcome: self.outcome.clone(),
        };
        self.claims
            .inner
            .tries
            .end(self.attempt, self.outcome.clone());
        let claims = self.claims.clone();
        self.claims
            .inner
            .links
            .runtime
            .spawn(async move { claims.end(ended).await });
    }
}

/// Collects a short answer, so that it can be returned to a caller that retries because it did not
/// receive it.
#[derive(Debug, Default)]
pub(crate) struct KeptAnswer {
    bytes: Vec<u8>,
    too_long: bool,
}

impl KeptAnswer {
    /// Appends a piece of the answer.
    pub(crate) fn push(&mut self, piece: &Bytes) {
        if self.too_long || self.bytes.len() + piece.len() > KEPT_ANSWER_BYTES {
            self.too_long = true;
            self.bytes = Vec::new();
            return;
        }
        self.bytes.extend_from_slice(piece);
    }

    /// Returns the whole answer, or none if it was too long to keep.
    pub(crate) fn whole(&self) -> Option<&[u8]> {
        (!self.too_long).then_some(self.bytes.as_slice())
    }
}

/// Hashes a request, to distinguish its retry from a different request with the same key.
fn fingerprint(req: &CallerRequest) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(req.method.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(req.path.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(&req.body);
    hash.digest()
}

fn refusal(answer: ClaimAnswer) -> Problem {
    match answer {
        ClaimAnswer::Granted | ClaimAnswer::NotNow { .. } => {
            let detail = "the claim can't be recorded now; this attempt did not and will not run";
            let after = match answer {
                ClaimAnswer::NotNow { retry_after_ms } => Duration::from_millis(retry_after_ms),
                _ => KEEPER_RETRY,
            };
            Problem::not_run(Reason::ClaimUnavailable, detail).retry_after(after)
        }
        ClaimAnswer::InProgress { retry_after_ms } => Problem::unknown(
            Reason::KeyInProgress,
            "a request with this idempotency key is running; retry later for its outcome",
        )
        .retry_after(Duration::from_millis(retry_after_ms)),
        ClaimAnswer::Ended { status, body } => Problem::unknown(
            Reason::KeyUsed,
            match body {
                Some(body) => format!("the request has already run, with status {status}: {body}"),
                None => format!("the request has already run, with status {status}"),
            },
        ),
        ClaimAnswer::Unknown => Problem::unknown(
            Reason::KeyUsed,
            "a request with this idempotency key may have run; it will not be run again",
        ),
        ClaimAnswer::OtherRequest => Problem::not_run(
            Reason::KeyMismatch,
            "this idempotency key was used for another request; use a new key",
        ),
    }
}

fn unreachable_keeper() -> Problem {
    let detail = "the keeper of the idempotency key can't be reached; this attempt did not run";
    Problem::not_run(Reason::ClaimUnavailable, detail).retry_after(KEEPER_RETRY)
}
