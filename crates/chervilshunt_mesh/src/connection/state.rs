//! The shared state of an open connection.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use chervilshunt_model::InstanceId;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::error::RequestError;
use crate::frame::FrameHeader;
use crate::handshake::ProcessId;
use crate::liveness::{Activity, Liveness, LivenessAction};
use crate::outgoing::{Outgoing, OutgoingRequest, REFUSAL};

/// The identity of a connection and of the peer at its other end.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// This process's serial number for the connection, unique and increasing.
    pub(crate) serial: u64,
    /// The peer's instance id.
    pub(crate) peer: InstanceId,
    /// The peer's process id; it changes when the instance restarts.
    pub(crate) peer_process: ProcessId,
    /// The peer's serial number for the connection; known only if this side opened it, 0 otherwise.
    pub(crate) peer_serial: u64,
    /// Whether this side opened the connection.
    pub(crate) dialled: bool,
}

/// A group of connections with one peer that fail together.
///
/// It has more than one connection only if both sides opened one at the same time.
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
pub(crate) struct PeerConnection<M> {
    pub(crate) identity: Identity,
    pub(crate) session: Arc<Session>,
    /// Cancelled to abort the connection.
    pub(crate) abort: CancellationToken,
    /// Cancelled when the peer has closed the connection, which stops the writer.
    pub(crate) peer_closed: CancellationToken,
    /// Cancelled once the connection delivers nothing more.
    pub(crate) done: CancellationToken,
    /// Notifies the writer to close the connection.
    pub(crate) close_begun: Notify,
    tx: mpsc::UnboundedSender<Outgoing<M>>,
    state: Mutex<State<M>>,
}

#[derive(Debug)]
struct State<M> {
    /// Whether either side has begun the closing handshake.
    closing: bool,
    /// The number of messages that wait to be written.
    queued: usize,
    /// The number of the peer's requests that the application has not answered.
    unanswered: usize,
    /// This side's requests that were written and await an answer, by request number.
    pending: HashMap<u64, OutgoingRequest<M>>,
    next_id: u64,
    last_received: Instant,
    last_used: Instant,
    last_ping: Option<Instant>,
    waiting_since: Option<Instant>,
}

/// Whether a request from a peer is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It may be passed to the application.
    Accepted,
    /// It is rejected, as too many requests of this peer are unanswered.
    Busy,
    /// It is ignored: this connection is closing, and the peer sends it again on another one.
    Ignored,
}

impl<M> PeerConnection<M> {
    pub(crate) fn new(
        identity: Identity,
        session: Arc<Session>,
        now: Instant,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<Outgoing<M>>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let connection = Self {
            identity,
            session,
            abort: CancellationToken::new(),
            peer_closed: CancellationToken::new(),
            done: CancellationToken::new(),
            close_begun: Notify::new(),
            tx,
            state: Mutex::new(State {
                closing: false,
                queued: 0,
                unanswered: 0,
                pending: HashMap::new(),
                next_id: 0,
                last_received: now,
                last_used: now,
                last_ping: None,
                waiting_since: None,
            }),
        };
        (Arc::new(connection), rx)
    }

    /// Returns whether messages may be queued on the connection.
    pub(crate) fn is_usable(&self) -> bool {
        !self.abort.is_cancelled() && !self.lock().closing
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done.is_cancelled()
    }

    /// Returns the time of the last message if the connection is idle and not closing.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        let mut state = self.lock();
        state.remove_abandoned();
        (!state.closing && state.is_idle()).then_some(state.last_used)
    }

    /// Queues a message; returns it as the error if the queue is full or the connection is closing.
    pub(crate) fn enqueue(&self, out: Outgoing<M>, limit: usize) -> Result<(), Outgoing<M>> {
        let mut state = self.lock();
        if state.closing || state.queued >= limit {
            return Err(out);
        }
        self.tx.send(out).map_err(|rejected| rejected.0)?;
        state.queued += 1;
        Ok(())
    }

    /// Queues the answer to a peer's request, which then no longer counts as unanswered.
    ///
    /// Returns whether it was queued. Answers aren't limited by the queue's capacity, as their
    /// number is bounded by the number of admitted requests.
    pub(crate) fn enqueue_answer(&self, out: Outgoing<M>) -> bool {
        let mut state = self.lock();
        state.unanswered = state.unanswered.saturating_sub(1);
        let sent = self.tx.send(out).is_ok();
        state.queued += usize::from(sent);
        sent
    }

    /// Queues a refusal, which informs the peer that its request gets no answer.
    pub(crate) fn enqueue_refusal(&self, header: FrameHeader) {
        self.enqueue_answer(Outgoing::Answer {
            header,
            body: None,
            purpose: REFUSAL,
        });
    }

    /// Counts a request of the peer as unanswered and returns whether it is admitted.
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

    /// Assigns a number to a request that is about to be written.
    ///
    /// Returns `None` if its sender has abandoned it.
    pub(crate) fn start_request(&self, req: OutgoingRequest<M>, now: Instant) -> Option<u64> {
        if !req.state.claim() {
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

    /// Completes a request with its result; does nothing if it is no longer pending.
    pub(crate) fn complete_request(&self, id: u64, result: Result<M, RequestError>) {
        let mut state = self.lock();
        let req = state.pending.remove(&id);
        if state.pending.is_empty() {
            state.waiting_since = None;
        }
        drop(state);
        if let Some(req) = req {
            req.complete(result);
        }
    }

    /// Records that `count` queued messages were written or skipped.
    pub(crate) fn record_written(&self, count: usize, now: Instant) {
        let mut state = self.lock();
        state.queued = state.queued.saturating_sub(count);
        state.last_used = now;
    }

    pub(crate) fn record_ping(&self, now: Instant) {
        self.lock().last_ping = Some(now);
    }

    /// Records that data arrived; only messages, not pongs, count as use of the connection.
    pub(crate) fn record_received(&self, is_message: bool, now: Instant) {
        let mut state = self.lock();
        state.last_received = now;
        if is_message {
            state.last_used = now;
        }
    }

    pub(crate) fn next_action(&self, liveness: &Liveness, now: Instant) -> LivenessAction {
        let mut state = self.lock();
        state.remove_abandoned();
        let activity = Activity {
            last_received: state.last_received,
            last_used: state.last_used,
            last_ping: state.last_ping,
            waiting_since: state.waiting_since,
            busy: state.queued > 0 || state.unanswered > 0,
        };
        liveness.next_action(&activity, now)
    }

    /// Begins the closing handshake if the connection is idle, and returns whether it did.
    ///
    /// From then on, requests of the peer are ignored. The peer can therefore safely resend the
    /// requests that are unanswered when it receives the close frame.
    pub(crate) fn close_if_idle(&self) -> bool {
        let mut state = self.lock();
        state.remove_abandoned();
        if state.closing || !state.is_idle() {
            return false;
        }
        state.closing = true;
        self.close_begun.notify_one();
        true
    }

    /// Records that the closing handshake has begun, even if the connection is in use.
    pub(crate) fn mark_closing(&self) {
        self.lock().closing = true;
    }

    /// Removes and returns the requests that have no answer, oldest first.
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

    /// Removes requests whose sender no longer waits, so that they don't keep the connection open.
    fn remove_abandoned(&mut self) {
        self.pending.retain(|_, req| !req.is_abandoned());
        if self.pending.is_empty() {
            self.waiting_since = None;
        }
    }
}
