//! A request's sendings: to one target after the other, as long as that can do no harm.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_core::{Crash, HealthSignal, TargetStart, Weights};
use chervilshunt_engine::{BodyReader, EngineError, Limits, Outcome};
use chervilshunt_model::{Moment, TargetName};
use chervilshunt_platform::retry_after;
use http::response::Parts;
use http::{Request, StatusCode, Uri, header};
use http_body_util::Full;

use super::answer::{Verdict, judge};
use super::outdated::{begin_deadline_passed, withdraw};
use super::place::Chosen;
use super::refusal::{Reason, Refusal};
use super::request::{CallerRequest, set};
use crate::crashes::CrashSign;
use crate::grants::Grant;
use crate::peers::PeerMessage;
use crate::shared::Shared;

/// The time for a connection. Targets are a millisecond or two away; a packet that was lost is
/// sent again only after a second.
const CONNECT: Duration = Duration::from_millis(400);
/// Sendings of one request, including those that a target rejects but not refused connections.
const MAX_SENDINGS: u32 = 4;
/// What is taken off the time that a target is given, for the way back.
const WAY_BACK: Duration = Duration::from_millis(20);
/// How long a request that may run twice waits for the head of an answer, as a multiple of its
/// objective, before another target is tried.
const HEAD_PATIENCE: f64 = 2.5;
/// When a caller should come back whose request was refused by targets.
const REFUSED_RETRY: Duration = Duration::from_millis(600);

/// A request on its way through its sendings.
pub(crate) struct Run<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) req: &'a CallerRequest,
    /// Targets that are not tried again.
    pub(crate) avoid: Vec<TargetName>,
    /// The last event of the stream that the caller has, where the stream is resumed.
    pub(crate) last_event: Option<Arc<str>>,
    sendings: u32,
    runs: u32,
}

/// A request under way at a target; dropping it ends that.
#[derive(Debug)]
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    pub(crate) target: TargetName,
    address: SocketAddr,
    /// When the target started that it was sent to.
    started: Option<TargetStart>,
    weights: Option<Weights>,
    /// The version that the target was asked for, or else the one that it was known to hold; none if
    /// neither is known.
    version: Option<u64>,
    sent_at: Moment,
    /// The prompt tokens that the target has not read yet, as far as is known.
    reading: u32,
    has_begun: bool,
    grant: Option<Grant>,
}

impl InFlight {
    fn begin(shared: &Arc<Shared>, chosen: &mut Chosen, req: &CallerRequest) -> Self {
        let target = &chosen.target;
        let weights = req.weights.as_ref();
        let reading = req.size.prompt_tokens;
        let mut dispatch = shared.dispatch();
        dispatch.sent(target, weights);
        dispatch.add_prefill(target, reading);
        let started = dispatch.started(target);
        drop(dispatch);
        Self {
            shared: Arc::clone(shared),
            target: target.clone(),
            address: chosen.address,
            started,
            weights: weights.cloned(),
            version: chosen.expect_version.or(chosen.held_version),
            sent_at: shared.clock.now(),
            reading,
            has_begun: false,
            grant: chosen.grant.take(),
        }
    }

    /// Takes note that the target has begun to answer, and so has read the prompt.
    pub(crate) fn begins(&mut self, req: &CallerRequest) {
        if std::mem::replace(&mut self.has_begun, true) {
            return;
        }
        self.clear(req);
        let tokens = std::mem::take(&mut self.reading);
        self.shared.dispatch().remove_prefill(&self.target, tokens);
        if let Some(grant) = &self.grant {
            grant.begun();
        }
    }
}

impl InFlight {
    /// Takes note that the target's connection has ended: if it had not begun to answer, it may have
    /// crashed under the request. An engine writes the head of an answer when it begins to run the
    /// request; a request without a head has most likely waited there.
    pub(crate) fn broke(&self, req: &CallerRequest, head_came: bool) {
        if self.has_begun {
            return;
        }
        let crash = Crash {
            fingerprint: req.fingerprint(),
            target: self.target.clone(),
            has_run: head_came || self.weights.is_none(),
        };
        let sign = CrashSign::Broke(crash, self.address);
        self.shared.note_crash_sign(sign);
    }

    /// Has a request that targets crashed under released, as this one has begun to answer it.
    fn clear(&self, req: &CallerRequest) {
        let fingerprint = req.fingerprint();
        if self.shared.quarantine().record_served(fingerprint) {
            self.shared.note_crash_sign(CrashSign::Served(fingerprint));
        }
    }

    /// Returns the version of the weights that the request was sent for, if known.
    pub(crate) const fn version(&self) -> Option<u64> {
        self.version
    }

    pub(crate) fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Returns the weights that the request names.
    pub(crate) const fn weights(&self) -> Option<&Weights> {
        self.weights.as_ref()
    }

    /// Returns when the request was sent to the target.
    pub(crate) const fn sent_at(&self) -> Moment {
        self.sent_at
    }

    /// Says whether the target has begun to answer.
    pub(crate) const fn has_begun(&self) -> bool {
        self.has_begun
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut dispatch = self.shared.dispatch();
        dispatch.remove_prefill(&self.target, self.reading);
        dispatch.ended(&self.target, self.weights.as_ref(), self.started);
    }
}

/// An answer that is passed on.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) head: Parts,
    pub(crate) body: BodyReader,
    pub(crate) in_flight: InFlight,
}

/// What came of one sending.
pub(super) enum Sent {
    Answered(Box<Answered>),
    /// It has not run. Another target may be tried.
    NotRun,
    /// It may have run.
    MayHaveRun(Reason),
}

impl<'a> Run<'a> {
    /// Begins the first run of a request.
    pub(crate) fn new(shared: &'a Arc<Shared>, req: &'a CallerRequest) -> Self {
        Self {
            shared,
            req,
            avoid: Vec::new(),
            last_event: None,
            sendings: 0,
            runs: 0,
        }
    }

    /// Goes on with a stream that broke off at a target.
    pub(crate) fn resumed(
        shared: &'a Arc<Shared>,
        req: &'a CallerRequest,
        broke_at: TargetName,
        runs: u32,
        last_event: Option<Arc<str>>,
    ) -> Self {
        Self {
            avoid: vec![broke_at],
            last_event,
            sendings: 1,
            runs,
            ..Self::new(shared, req)
        }
    }

    /// Sends the request until a target answers it or it has to be given up.
    pub(crate) async fn answer(&mut self) -> Result<Answered, Refusal> {
        let left = self.req.left(self.shared.clock.now());
        match tokio::time::timeout(left, self.send_until_answered()).await {
            Ok(result) => result,
            Err(_) if self.runs > 0 => Err(Refusal::new(Reason::Unanswered)),
            Err(_) => Err(Refusal::new(Reason::Late)),
        }
    }

    /// Returns how often the request may have run.
    pub(crate) const fn runs(&self) -> u32 {
        self.runs
    }

    async fn send_until_answered(&mut self) -> Result<Answered, Refusal> {
        loop {
            self.refuse_if_it_crashes_targets()?;
            let found = self.find_target().await;
            let mut chosen = found.map_err(|it| self.truly(it))?;
            if !self.may_send() {
                let spent = Refusal::retry_after(Reason::BudgetSpent, REFUSED_RETRY);
                return Err(self.truly(spent));
            }
            match self.send(&mut chosen).await {
                Sent::Answered(answered) => return Ok(*answered),
                Sent::NotRun => self.avoid.push(chosen.target),
                Sent::MayHaveRun(reason) => {
                    if !self.req.route.repeat.is_allowed()
                        || self.runs >= self.req.route.max_targets
                    {
                        return Err(Refusal::new(reason));
                    }
                    self.avoid.push(chosen.target);
                }
            }
        }
    }

    /// Refuses a request that has crashed targets, here or at another instance.
    fn refuse_if_it_crashes_targets(&self) -> Result<(), Refusal> {
        let now = self.shared.clock.now();
        let quarantine = self.shared.quarantine();
        if quarantine.is_empty() {
            return Ok(());
        }
        let Some(until) = quarantine.refused_until(self.req.fingerprint(), now) else {
            return Ok(());
        };
        let refusal = Refusal {
            reason: Reason::CrashesTargets,
            retry_after: Some(now.until(until)),
        };
        Err(self.truly(refusal))
    }

    /// Turns a refusal that says "not run" into one that doesn't, if the request may have run.
    fn truly(&self, refusal: Refusal) -> Refusal {
        if self.runs == 0 {
            return refusal;
        }
        Refusal::new(Reason::AnswerLost)
    }

    /// Says whether the request may be sent once more, and counts it if so.
    fn may_send(&mut self) -> bool {
        if self.sendings == 0 {
            self.sendings = 1;
            return true;
        }
        if self.sendings >= MAX_SENDINGS {
            return false;
        }
        let now = self.shared.clock.now();
        let instances = self.shared.instances();
        let mut budgets = self.shared.budgets();
        let allowed = budgets.of(&self.req.service).try_retry(instances, now);
        self.sendings += u32::from(allowed);
        metrics::counter!("chervilshunt_repeats_total", "allowed" => if allowed { "yes" } else { "no" })
            .increment(1);
        allowed
    }

    async fn send(&mut self, chosen: &mut Chosen) -> Sent {
        let in_flight = InFlight::begin(self.shared, chosen, self.req);
        let client = self.shared.engines.client(chosen.address);
        let left = self.req.left(self.shared.clock.now());
        let repeat = self.req.route.repeat.is_allowed();
        let patience = self.req.route.objective.mul_f64(HEAD_PATIENCE);
        let head = if repeat { left.min(patience) } else { left };
        let limits = Limits {
            connect: CONNECT,
            head,
            idle: left,
        };
        let req = self.outgoing(chosen, left);
        // From here on it may run: a refusal that comes while it is under way must not deny that.
        self.runs += 1;
        let forwarded = tokio::select! {
            biased;
            forwarded = client.forward(req, chosen.reuse, limits) => forwarded,
            () = begin_deadline_passed(&in_flight) => {
                return withdraw(self.req, &in_flight);
            }
        };
        match forwarded {
            Ok((head, body)) => self.judge(chosen, head, body, in_flight),
            Err(error) => {
                if matches!(error, EngineError::OutcomeUnknown { .. }) {
                    in_flight.broke(self.req, false);
                }
                self.failed(chosen, &error)
            }
        }
    }

    /// Says whether another target may run the request, so that a failure need not be passed on.
    fn may_run_again(&self) -> bool {
        let now = self.shared.clock.now();
        let instances = self.shared.instances();
        self.req.route.repeat.is_allowed()
            && self.runs < self.req.route.max_targets
            && self.sendings < MAX_SENDINGS
            && self
                .shared
                .budgets()
                .of(&self.req.service)
                .allows_retry(instances, now)
    }

    fn judge(
        &mut self,
        chosen: &Chosen,
        head: Parts,
        body: BodyReader,
        in_flight: InFlight,
    ) -> Sent {
        let now = self.shared.clock.now();
        let names = &self.shared.dialect.headers;
        let load = head.headers.get(&names.load);
        let load = load.and_then(|it| it.to_str().ok());
        let load = load.and_then(self.shared.dialect.targets.load);
        if let Some(load) = load {
            self.shared
                .dispatch()
                .load_reported(&chosen.target, load, now);
        }
        let again = self.may_run_again();
        let verdict = judge(names, &self.req.id, &chosen.target, &head, again);
        if verdict != Verdict::PassOn {
            slog::info!(self.shared.log, "not passed on";
                "request" => &*self.req.id, "target" => chosen.target.as_str(),
                "status" => head.status.as_u16(), "verdict" => ?verdict,
                "retry_after" => head.headers.get(header::RETRY_AFTER).and_then(|it| it.to_str().ok()));
        }
        if verdict != Verdict::OtherTarget {
            self.note_what_it_says(chosen, &in_flight, &head);
        }
        let sign = match verdict {
            Verdict::PassOn if head.status.is_server_error() => HealthSignal::Failed,
            Verdict::PassOn | Verdict::Full | Verdict::NotHeld => HealthSignal::Served,
            Verdict::OtherTarget => HealthSignal::Unreachable,
            Verdict::Failed | Verdict::Crossed => HealthSignal::Failed,
        };
        self.shared
            .dispatch()
            .record_signal(&chosen.target, sign, now);
        match verdict {
            Verdict::PassOn => Sent::Answered(Box::new(Answered {
                head,
                body,
                in_flight,
            })),
            Verdict::Full | Verdict::OtherTarget => self.not_run(),
            Verdict::NotHeld => self.not_held(chosen),
            Verdict::Failed => Sent::MayHaveRun(Reason::BadAnswer),
            Verdict::Crossed => Sent::MayHaveRun(Reason::AnswerLost),
        }
    }

    /// Takes in what a target says of itself with an answer: that it leaves, or wants nothing for a time.
    fn note_what_it_says(&self, chosen: &Chosen, in_flight: &InFlight, head: &Parts) {
        let (shared, target) = (self.shared, &chosen.target);
        shared.note_leaving(target, in_flight.started, &head.headers);
        let turned_away = head.status == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(pause) = retry_after(&head.headers).filter(|_| turned_away) {
            let now = shared.clock.now();
            slog::info!(shared.log, "target wants a pause";
                "request" => &*self.req.id, "target" => target.as_str(),
                "pause_ms" => pause.as_millis() as u64);
            shared.dispatch().pause_requested(target, pause, now);
        }
    }

    /// Takes back that the request may have run at the last target.
    fn not_run(&mut self) -> Sent {
        self.runs -= 1;
        Sent::NotRun
    }

    /// Reacts to a target that does not hold the adapter.
    fn not_held(&mut self, chosen: &Chosen) -> Sent {
        let Some(weights) = &self.req.weights else {
            return self.not_run();
        };
        self.shared.dispatch().not_held(&chosen.target, weights);
        if let Some(placer) = self.shared.placer.load_full() {
            let message = PeerMessage::NotHeld(chosen.target.clone(), weights.clone());
            if let Err(error) = self.shared.mesh.send(&placer, message) {
                slog::debug!(self.shared.log, "placer not told"; "reason" => error.to_string());
            }
        }
        self.not_run()
    }

    fn failed(&mut self, chosen: &Chosen, error: &EngineError) -> Sent {
        let now = self.shared.clock.now();
        slog::info!(self.shared.log, "sending failed";
            "request" => &*self.req.id, "target" => chosen.target.as_str(),
            "content" => self.req.fingerprint().to_string(),
            "reason" => error.to_string());
        // One that closes a connection is there, whatever became of the answer.
        let sign = match error {
            EngineError::NotSent { .. } | EngineError::Timeout { .. } => HealthSignal::Unreachable,
            _ => HealthSignal::Failed,
        };
        self.shared
            .dispatch()
            .record_signal(&chosen.target, sign, now);
        if error.is_connection_refused() {
            // Nothing was sent. Targets that have crashed but are still listed must not exhaust
            // `MAX_SENDINGS`.
            self.sendings -= 1;
        }
        match error.outcome() {
            Outcome::NotRun => self.not_run(),
            Outcome::Unknown | Outcome::CutShort => Sent::MayHaveRun(Reason::AnswerLost),
        }
    }

    fn outgoing(&self, chosen: &Chosen, left: Duration) -> Request<Full<Bytes>> {
        let req = self.req;
        let names = &self.shared.dialect.headers;
        let mut out = Request::new(Full::new(req.body.clone()));
        *out.method_mut() = req.method.clone();
        *out.uri_mut() = Uri::from(req.path.clone());
        let mut headers = req.headers.clone();
        let left = left.saturating_sub(WAY_BACK).as_millis().to_string();
        set(&mut headers, &names.deadline_ms, &left);
        set(&mut headers, &names.expected_target, chosen.target.as_str());
        let urgency = req.route.priority.min(9).to_string();
        set(&mut headers, &names.urgency, &urgency);
        if let Some(version) = chosen.expect_version {
            set(&mut headers, &names.expected_version, &version.to_string());
        }
        if let Some(event) = &self.last_event {
            set(&mut headers, &names.last_event, event);
        }
        *out.headers_mut() = headers;
        out
    }
}
