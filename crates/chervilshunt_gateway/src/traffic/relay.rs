//! Passes a target's answer on as it arrives.

mod end_check;
mod report;

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_core::{HealthSignal, Repeat, SoftwareVersion, StreamOrigin};
use chervilshunt_engine::{BodyReader, FINAL_WAIT, Framing, MAX_READY_CHUNKS, poll_timer};
use chervilshunt_model::Moment;
use http_body::{Frame, SizeHint};
use tokio::task::coop;
use tokio::time::{Instant, Sleep};

use self::end_check::{EndCheck, EndOfBody};
use super::attempt::{AcceptedAnswer, RequestAttempts};
use super::body::TruncatedAnswer;
use super::events::EventBuffer;
use super::in_flight::InFlight;
use super::refusal::Refusal;
use super::request::CallerRequest;
use crate::shared::Shared;

/// Interval at which a stream records that its target responds: short enough for other requests to
/// use pooled connections to the target, and for a small part of the stream's pieces only.
const RESPONSE_RECORD_INTERVAL: Duration = Duration::from_millis(100);

/// Time since the last piece of an answer within which its target counts as still sending.
const SENDING_WINDOW: Duration = Duration::from_secs(1);

type Resuming = Pin<Box<dyn Future<Output = (Result<AcceptedAnswer, Refusal>, u32)> + Send>>;

/// An answer that is being passed on.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    req: Arc<CallerRequest>,
    body: BodyReader,
    in_flight: InFlight,
    runs: u32,
    /// Splits the stream into complete events, if another target may continue it.
    events: Option<EventBuffer>,
    /// The software version that began the stream, once an event of it has been passed on.
    software: Option<SoftwareVersion>,
    resuming: Option<Resuming>,
    /// Finds out whether the answer is whole, after a body that ended with its connection.
    checking: Option<EndCheck>,
    deadline: Pin<Box<Sleep>>,
    /// The number of times that the answer was polled after its deadline. What is ready by then is passed
    /// on.
    late_polls: u32,
    has_waited_finally: bool,
    status: u16,
    first_byte: Moment,
    last_piece: Moment,
    /// When a response of the target was last recorded.
    response_recorded_at: Moment,
    longest_pause: Duration,
    bytes: u64,
    resumed: u32,
    outcome: Option<&'static str>,
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay")
            .field("request", &self.req.id)
            .finish_non_exhaustive()
    }
}

impl Relay {
    /// Starts to pass on an answer.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        req: Arc<CallerRequest>,
        answered: AcceptedAnswer,
        runs: u32,
    ) -> Self {
        let now = shared.clock.now();
        let resumable = req.route.repeat == Repeat::Resumable && answered.body.events().is_some();
        Self {
            shared: Arc::clone(shared),
            body: answered.body,
            in_flight: answered.in_flight,
            runs,
            events: resumable.then(EventBuffer::default),
            software: None,
            resuming: None,
            checking: None,
            deadline: Box::pin(tokio::time::sleep(req.time_left(now))),
            late_polls: 0,
            has_waited_finally: false,
            status: answered.head.status.as_u16(),
            first_byte: now,
            last_piece: now,
            response_recorded_at: now,
            longest_pause: Duration::ZERO,
            bytes: 0,
            resumed: 0,
            outcome: None,
            req,
        }
    }

    pub(crate) fn is_end_stream(&self) -> bool {
        self.events.is_none() && !self.ends_with_connection() && self.body.is_end_stream()
    }

    pub(crate) fn size_hint(&self) -> SizeHint {
        if self.events.is_some() {
            return SizeHint::default();
        }
        self.body.size_hint()
    }

    pub(crate) fn poll_piece(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        if self.outcome.is_some() {
            return Poll::Ready(None);
        }
        loop {
            if self.checking.is_some() {
                match ready!(self.poll_end_check(cx)) {
                    Ok(EndOfBody::Whole) => {
                        self.end();
                        return Poll::Ready(None);
                    }
                    Ok(EndOfBody::Resuming) => {}
                    Err(truncated) => return Poll::Ready(Some(Err(truncated))),
                }
            }
            if self.resuming.is_some() {
                ready!(self.poll_resuming(cx))?;
            }
            // The timer alone would not expire while the target keeps this task busy.
            if Instant::now() >= self.deadline.deadline() {
                self.late_polls += 1;
                if self.late_polls > MAX_READY_CHUNKS {
                    return Poll::Ready(Some(self.cut_at_deadline()));
                }
            }
            let had_budget = coop::has_budget_remaining();
            let polled = self.body.poll_chunk(cx);
            if polled.is_pending() {
                if self.poll_deadline(had_budget, cx).is_ready() {
                    return Poll::Ready(Some(self.cut_at_deadline()));
                }
                return Poll::Pending;
            }
            match ready!(polled) {
                Some(Ok(frame)) => {
                    if let Some(piece) = self.take(frame) {
                        return Poll::Ready(Some(Ok(Frame::data(piece))));
                    }
                }
                Some(Err(error)) => {
                    if !self.resume_interrupted(&error.to_string()) {
                        return Poll::Ready(Some(self.cut("broke_off")));
                    }
                }
                None if self.ends_with_connection() => self.begin_end_check(),
                None => {
                    self.end();
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn ends_with_connection(&self) -> bool {
        self.body.framing() == Framing::Connection
    }

    /// Records that the target's answer was interrupted. Returns whether another target is asked to go on
    /// with it.
    fn resume_interrupted(&mut self, reason: &str) -> bool {
        let now = self.shared.clock.now();
        slog::info!(self.shared.log, "answer interrupted";
            "request" => &*self.req.id,
            "target" => self.in_flight.target.as_str(),
            "content" => self.req.fingerprint().to_string(),
            "has_begun" => self.in_flight.has_begun(),
            "begun_ms" => self.begun_before(now).map(|it| it.as_millis() as u64),
            "parts" => self.req.parts_for_log(),
            "sent_ms" => now.since(self.in_flight.sent_at()).as_millis() as u64,
            "bytes" => self.bytes, "reason" => reason);
        self.count_interrupted(now);
        self.in_flight.connection_ended(&self.req, true);
        self.in_flight.record_signal(HealthSignal::Failed, now);
        self.begin_resuming()
    }

    /// Polls whether the answer's time is over. It is over a little after the deadline; see [`FINAL_WAIT`].
    fn poll_deadline(&mut self, had_budget: bool, cx: &mut Context<'_>) -> Poll<()> {
        ready!(poll_timer(self.deadline.as_mut(), had_budget, cx));
        if std::mem::replace(&mut self.has_waited_finally, true) {
            return Poll::Ready(());
        }
        let end = Instant::now() + FINAL_WAIT;
        self.deadline.as_mut().reset(end);
        poll_timer(self.deadline.as_mut(), had_budget, cx)
    }

    fn take(&mut self, frame: Frame<Bytes>) -> Option<Bytes> {
        let data = frame.into_data().ok()?;
        let now = self.shared.clock.now();
        if self.bytes == 0 {
            self.first_byte = now;
            self.report_older_version(now);
        } else {
            self.record_pause(now);
        }
        self.in_flight.record_begin(&self.req);
        self.last_piece = now;
        if now.since(self.response_recorded_at) >= RESPONSE_RECORD_INTERVAL {
            self.response_recorded_at = now;
            self.in_flight.response_received(now);
        }
        self.bytes += data.len() as u64;
        let Some(events) = &mut self.events else {
            return Some(data);
        };
        let passed = events.push(data, self.body.outside_event());
        if self.software.is_none() && events.has_passed_event() {
            self.record_stream_began(now);
        }
        passed
    }

    /// Remembers which software version began the stream, before its caller can know of the first event.
    fn record_stream_began(&mut self, now: Moment) {
        let Some(software) = self.in_flight.software() else {
            return;
        };
        self.software = Some(software.clone());
        let origin = StreamOrigin {
            service: self.req.service.clone(),
            software: software.clone(),
        };
        let (stream, caller_waits) = (self.req.stream, self.req.caller_waits);
        let mut origins = self.shared.streams.origins();
        origins.began(stream, origin, caller_waits, now);
        drop(origins);
        self.shared.grants.stream_began();
    }

    /// Records the pause between two pieces. The first one that is longer than callers want is
    /// logged, so that it can be compared with what the target did at that time.
    fn record_pause(&mut self, now: Moment) {
        let pause = now.since(self.last_piece);
        let max_pause = self.req.route.longest_pause;
        if max_pause.is_some_and(|max_pause| pause > max_pause && self.longest_pause <= max_pause) {
            self.shared.grants.record_pause();
            slog::info!(self.shared.log, "long pause in answer";
                "request" => &*self.req.id, "target" => self.in_flight.target.as_str(),
                "pause_ms" => pause.as_millis() as u64, "bytes" => self.bytes);
        }
        self.longest_pause = self.longest_pause.max(pause);
    }

    fn end(&mut self) {
        let now = self.shared.clock.now();
        self.in_flight.response_received(now);
        self.in_flight.record_begin(&self.req);
        self.in_flight.answered_whole();
        self.outcome = Some("served");
        if self.software.is_some() {
            self.shared.streams.origins().completed(self.req.stream);
        }
    }

    /// Ends an answer that is not complete at its deadline. A stream may be slow for many reasons, but a
    /// target that is still sending any other answer does not know where it ends.
    fn cut_at_deadline<T>(&mut self) -> Result<T, TruncatedAnswer> {
        let now = self.shared.clock.now();
        let is_sending = now.since(self.last_piece) < SENDING_WINDOW;
        if self.body.events().is_none() && self.bytes > 0 && is_sending {
            self.in_flight.record_signal(HealthSignal::Failed, now);
        }
        self.cut("deadline")
    }

    fn cut<T>(&mut self, reason: &'static str) -> Result<T, TruncatedAnswer> {
        self.outcome = Some(reason);
        Err(TruncatedAnswer { reason })
    }

    /// Starts to look for a target that continues the stream, if that is allowed.
    fn begin_resuming(&mut self) -> bool {
        let Some(events) = &mut self.events else {
            return false;
        };
        events.drop_partial();
        if self.runs >= self.req.route.max_targets || !events.can_resume() {
            return false;
        }
        let last_event = events.last_id();
        // Any target may begin a stream of which the caller has no event yet.
        let software = if events.has_passed_event() {
            let Some(software) = self.software.clone() else {
                return false;
            };
            Some(software)
        } else {
            self.req.software.clone()
        };
        let shared = Arc::clone(&self.shared);
        let req = Arc::clone(&self.req);
        let (broke_at, runs) = (self.in_flight.target.clone(), self.runs);
        self.resuming = Some(Box::pin(async move {
            let mut run =
                RequestAttempts::resumed(&shared, &req, broke_at, runs, last_event, software);
            let answered = run.answer().await;
            (answered, run.runs())
        }));
        true
    }

    fn poll_resuming(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), TruncatedAnswer>> {
        let Some(resuming) = &mut self.resuming else {
            return Poll::Ready(Ok(()));
        };
        let (answered, runs) = ready!(resuming.as_mut().poll(cx));
        self.resuming = None;
        self.runs = runs;
        match answered {
            Ok(answered) if answered.can_continue_stream() => {
                self.resume_at(answered);
                Poll::Ready(Ok(()))
            }
            Ok(_) | Err(_) => Poll::Ready(self.cut("not_resumed")),
        }
    }

    /// Goes on with the answer of another target.
    fn resume_at(&mut self, answered: AcceptedAnswer) {
        self.report_resumed(&answered.in_flight);
        self.body = answered.body;
        self.in_flight = answered.in_flight;
        self.resumed += 1;
    }
}
