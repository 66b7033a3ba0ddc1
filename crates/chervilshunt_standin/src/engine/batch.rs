//! Continuous batching: admits queued sequences and advances the running ones by one token per
//! step.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

/// A completion that is queued or running in the engine.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) request_id: Arc<str>,
    /// The model named in the request.
    pub(crate) requested_model: Arc<str>,
    /// The model selected to serve the sequence; differs from `requested_model` only under the
    /// `wrong_model` fault. If it is unloaded meanwhile, the base model serves instead.
    pub(crate) serving_model: Arc<str>,
    pub(crate) max_tokens: u32,
    progress: Mutex<Progress>,
}

/// The progress of a sequence.
#[derive(Debug, Default)]
struct Progress {
    produced: u32,
    /// The models that served the sequence, each with the first token that it served.
    served: Vec<Served>,
    /// Whether the client disconnected or the engine restarted.
    cancelled: bool,
    waker: Option<Waker>,
}

/// A model together with the first token that it served.
#[derive(Clone, Debug)]
pub(crate) struct Served {
    pub(crate) from_token: u32,
    pub(crate) model: Arc<str>,
}

impl Sequence {
    pub(crate) fn new(request_id: Arc<str>, requested_model: Arc<str>, max_tokens: u32) -> Self {
        Self {
            request_id,
            serving_model: Arc::clone(&requested_model),
            requested_model,
            max_tokens: max_tokens.max(1),
            progress: Mutex::default(),
        }
    }

    /// Cancels the sequence; it leaves the batch at the next step.
    pub(crate) fn cancel(&self) {
        let waker = {
            let mut progress = self.lock();
            progress.cancelled = true;
            progress.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Waits until more than `taken` tokens have been produced. Resolves to `None` if the sequence
    /// was cancelled before that.
    pub(crate) fn poll_tokens(&self, taken: u32, cx: &mut Context<'_>) -> Poll<Option<u32>> {
        let mut progress = self.lock();
        if progress.produced > taken {
            return Poll::Ready(Some(progress.produced));
        }
        if progress.cancelled {
            return Poll::Ready(None);
        }
        progress.waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Produces all tokens at once and bypasses the batch, so that a proxy's relay throughput can
    /// be measured.
    pub(crate) fn finish_without_batch(&self) {
        let mut progress = self.lock();
        progress.produced = self.max_tokens;
        progress.served.push(Served {
            from_token: 0,
            model: Arc::clone(&self.serving_model),
        });
    }

    /// Returns the model that served the token with this index, and the first token that it served.
    pub(crate) fn served_at(&self, token: u32) -> Option<Served> {
        let progress = self.lock();
        let mut latest_first = progress.served.iter().rev();
        latest_first
            .find(|served| served.from_token <= token)
            .cloned()
    }

    /// Returns the models that have served the sequence so far, in order.
    pub(crate) fn served_models(&self) -> Vec<Arc<str>> {
        let progress = self.lock();
        let served = progress.served.iter();
        served.map(|served| Arc::clone(&served.model)).collect()
    }

    fn is_cancelled(&self) -> bool {
        self.lock().cancelled
    }

    /// Records a token served by `model`, and returns whether the model changed and whether the
    /// sequence is complete.
    fn advance(&self, model: &Arc<str>) -> Advance {
        let mut progress = self.lock();
        let changed = progress
            .served
            .last()
            .is_none_or(|last| last.model != *model);
        if changed {
            let from_token = progress.produced;
            progress.served.push(Served {
                from_token,
                model: Arc::clone(model),
            });
        }
        progress.produced += 1;
        let finished = progress.produced >= self.max_tokens;
        let waker = progress.waker.take();
        drop(progress);
        if let Some(waker) = waker {
            waker.wake();
        }
        Advance { changed, finished }
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The effect of a step on one sequence.
#[derive(Clone, Copy, Debug)]
struct Advance {
    /// Whether a different model served this token than the previous one.
    changed: bool,
    finished: bool,
}

/// The key of a queued sequence: lower priority numbers first, then order of arrival.
type QueueKey = (i64, u64);

/// The running and queued sequences.
#[derive(Debug)]
pub(crate) struct Batch {
    limit: usize,
    waiting: BTreeMap<QueueKey, Arc<Sequence>>,
    running: Vec<Arc<Sequence>>,
    arrivals: u64,
}

/// An event of a step that goes into the run records.
#[derive(Clone, Debug)]
pub(crate) enum BatchEvent {
    /// The sequence left the queue and started running.
    Started(Arc<Sequence>),
    /// The model serves the sequence from this token on.
    ServedBy(Arc<Sequence>, Arc<str>),
}

impl Batch {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            arrivals: 0,
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn running_models(&self) -> impl Iterator<Item = &Arc<str>> {
        self.running.iter().map(|sequence| &sequence.serving_model)
    }

    pub(crate) fn push(&mut self, priority: i64, sequence: Arc<Sequence>) {
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals), sequence);
    }

    /// Removes cancelled sequences and fills the batch from the queue.
    pub(crate) fn admit(&mut self, events: &mut Vec<BatchEvent>) {
        self.running.retain(|sequence| !sequence.is_cancelled());
        self.waiting.retain(|_, sequence| !sequence.is_cancelled());
        while self.running.len() < self.limit {
            let Some((_, sequence)) = self.waiting.pop_first() else {
                return;
            };
            events.push(BatchEvent::Started(Arc::clone(&sequence)));
            self.running.push(sequence);
        }
    }

    /// Advances each running sequence by one token and returns the number of tokens produced.
    pub(crate) fn step(
        &mut self,
        serving: impl Fn(&Sequence) -> Arc<str>,
        events: &mut Vec<BatchEvent>,
    ) -> usize {
        let tokens = self.running.len();
        self.running.retain(|sequence| {
            let model = serving(sequence);
            let advance = sequence.advance(&model);
            if advance.changed {
                events.push(BatchEvent::ServedBy(Arc::clone(sequence), model));
            }
            !advance.finished
        });
        tokens
    }

    /// Cancels all running and queued sequences, as an engine restart does.
    pub(crate) fn clear(&mut self) {
        for sequence in self.running.drain(..) {
            sequence.cancel();
        }
        while let Some((_, sequence)) = self.waiting.pop_first() {
            sequence.cancel();
        }
    }
}

/// Returns the duration of a step with `running` sequences.
pub(crate) fn step_time(fixed: Duration, per_sequence: Duration, running: usize) -> Duration {
    fixed + per_sequence * u32::try_from(running).unwrap_or(u32::MAX)
}
