//! What is known of an open connection.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use chervilshunt_model::InstanceId;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::error::RequestError;
use crate::frame::Head;
use crate::handshake::ProcessId;
use crate::liveness::{Activity, Liveness, Step};
use crate::outgoing::{Outgoing, OutgoingRequest, REFUSAL};

/// Which connection this is, and who is at the other end.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Our number for it, unique in this process and rising.
    pub(crate) serial: u64,
    /// The instance at the other end.
    pub(crate) peer: InstanceId,
    /// The process at the other end; it changes when the instance restarts.
    pub(crate) peer_process: ProcessId,
    /// The peer's number for it; known only for connections that we opened.
    pub(crate) peer_serial: u64,
    /// Whether we opened it.
    pub(crate) dialled: bool,
}

/// The connections with one peer that live and break together.
///
/// There is more than one only after both sides opened one at the same moment.
#[derive(Debug, Default)]
pub(crate) struct Session {
    broken: AtomicBool,
}

impl Session {
    pub(crate) fn mark_broken(&self) {
        self.broken.store(true, SeqCst);
    }

    pub(crate) fn is_broken(&self) -> bool {
        self.broken.load(SeqCst)
    }
}

/// One open connection.
#[derive(Debug)]
pub(crate) struct Connection<M> {
    pub(crate) identity: Identity,
    pub(crate) session: Arc<Session>,
    /// Breaks the connection off.
    pub(crate) kill: CancellationToken,
    /// Tells the writer that the other side has closed.
    pub(crate) stop: CancellationToken,
    /// Set once nothing more comes from this connection.
    pub(crate) done: CancellationToken,
    /// Tells the writer to close the connection.
    pub(crate) close_begun: Notify,
    tx: mpsc::UnboundedSender<Outgoing<M>>,
    state: Mutex<State<M>>,
}

#[derive(Debug)]
struct State<M> {
    /// Whether the closing handshake has begun, on either side.
    closing: bool,
    /// Messages that wait to be written.
    queued: usize,
    /// Requests of the peer that the application has not answered.
    unanswered: usize,
    /// Requests of ours that were written and wait for an answer.
    pending: HashMap<u64, OutgoingRequest<M>>,
    next_id: u64,
    heard: Instant,
    used: Instant,
    pinged: Option<Instant>,
    waiting_since: Option<Instant>,
}

/// What becomes of a request that a peer sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It may be handed to the application.
    Accepted,
    /// Too many wait already.
    Busy,
    /// The peer sends it again on another connection, as this one is being closed.
    Ignored,
}

impl<M> Connection<M> {
    pub(crate) fn new(
        identity: Identity,
        session: Arc<Session>,
        now: Instant,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<Outgoing<M>>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let connection = Self {
            identity,
            session,
            kill: CancellationToken::new(),
            stop: CancellationToken::new(),
            done: CancellationToken::new(),
            close_begun: Notify::new(),
            tx,
            state: Mutex::new(State {
                closing: false,
                queued: 0,
                unanswered: 0,
                pending: HashMap::new(),
                next_id: 0,
                heard: now,
                used: now,
                pinged: None,
                waiting_since: None,
            }),
        };
        (Arc::new(connection), rx)
    }

    /// Returns whether messages may be given to it.
    pub(crate) fn is_usable(&self) -> bool {
        !self.kill.is_cancelled() && !self.lock().closing
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done.is_cancelled()
    }

    /// Returns when it was last used if nothing is under way on it.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        let mut state = self.lock();
        state.forget_abandoned();
        (!state.closing && state.is_idle()).then_some(state.used)
    }

    /// Queues a message; gives it back if too many are queued or the connection is closing.
    pub(crate) fn enqueue(&self, out: Outgoing<M>, limit: usize) -> Result<(), Outgoing<M>> {
        let mut state = self.lock();
        if state.closing || state.queued >= limit {
            return Err(out);
        }
        self.tx.send(out).map_err(|rejected| rejected.0)?;
        state.queued += 1;
        Ok(())
    }

    /// Queues the answer to a peer's request, which frees the request's place.
    ///
    /// Answers aren't bounded by the queue: they are by the number of accepted requests.
    pub(crate) fn enqueue_answer(&self, out: Outgoing<M>) -> bool {
        let mut state = self.lock();
        state.unanswered = state.unanswered.saturating_sub(1);
        let sent = self.tx.send(out).is_ok();
        state.queued += usize::from(sent);
        sent
    }

    /// Tells the peer that its request gets no answer.
    pub(crate) fn give_up(&self, head: Head) {
        self.enqueue_answer(Outgoing::Answer {
            head,
            body: None,
            purpose: REFUSAL,
        });
    }

    /// Takes a request of the peer into account.
    pub(crate) fn admit(&self, limit: usize) -> Admission {
        let mut state = self.lock();
        if state.closing {
            return Admission::Ignored;
        }
        state.unanswered += 1;
        if state.unanswered > limit {
            Admission::Busy
        } else {
            Admission::Accepted
        }
    }

    /// Numbers a request that is about to be written; gives none if its sender gave up on it.
    pub(crate) fn begin(&self, req: OutgoingRequest<M>, now: Instant) -> Option<u64> {
        if !req.stage.claim() {
            return None;
        }
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        if state.pending.is_empty() {
            state.waiting_since = Some(now);
        }
        state.pending.insert(id, req);
        Some(id)
    }

    /// Ends a request with its result.
    pub(crate) fn end(&self, id: u64, result: Result<M, RequestError>) {
        let mut state = self.lock();
        let req = state.pending.remove(&id);
        if state.pending.is_empty() {
            state.waiting_since = None;
        }
        drop(state);
        if let Some(req) = req {
            req.end(result);
        }
    }

    /// Notes that messages were written.
    pub(crate) fn wrote(&self, count: usize, now: Instant) {
        let mut state = self.lock();
        state.queued = state.queued.saturating_sub(count);
        state.used = now;
    }

    pub(crate) fn pinged(&self, now: Instant) {
        self.lock().pinged = Some(now);
    }

    /// Notes that something arrived; pongs are no use of the connection.
    pub(crate) fn heard(&self, is_message: bool, now: Instant) {
        let mut state = self.lock();
        state.heard = now;
        if is_message {
            state.used = now;
        }
    }

    pub(crate) fn step(&self, liveness: &Liveness, now: Instant) -> Step {
        let mut state = self.lock();
        state.forget_abandoned();
        let activity = Activity {
            heard: state.heard,
            used: state.used,
            pinged: state.pinged,
            waiting_since: state.waiting_since,
            busy: state.queued > 0 || state.unanswered > 0,
        };
        liveness.step(&activity, now)
    }

    /// Begins the closing handshake unless something is under way.
    ///
    /// From here on requests of the peer are ignored, which makes it safe for the peer to send
    /// those again that it finds unanswered when our close arrives.
    pub(crate) fn close_if_idle(&self) -> bool {
        let mut state = self.lock();
        state.forget_abandoned();
        if state.closing || !state.is_idle() {
            return false;
        }
        state.closing = true;
        self.close_begun.notify_one();
        true
    }

    /// Notes that the closing handshake has begun, whatever is under way.
    pub(crate) fn mark_closing(&self) {
        self.lock().closing = true;
    }

    /// Takes out the requests that have no answer, oldest first.
    pub(crate) fn take_pending(&self) -> Vec<OutgoingRequest<M>> {
        let mut state = self.lock();
        state.closing = true;
        let mut pending: Vec<_> = state.pending.drain().collect();
        drop(state);
        pending.sort_unstable_by_key(|(id, _)| *id);
        pending.into_iter().map(|(_, req)| req).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State<M>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<M> State<M> {
    fn is_idle(&self) -> bool {
        self.queued == 0 && self.unanswered == 0 && self.pending.is_empty()
    }

    /// Drops requests whose sender no longer waits, so that they keep nothing open.
    fn forget_abandoned(&mut self) {
        self.pending.retain(|_, req| !req.is_abandoned());
        if self.pending.is_empty() {
            self.waiting_since = None;
        }
    }
}
