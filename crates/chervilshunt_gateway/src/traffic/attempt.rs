//! Attempts of a request: it is sent to one target after another as long as that is safe.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_core::HealthSignal;
use chervilshunt_engine::{BodyReader, EngineError, Limits, Outcome};
use chervilshunt_model::TargetName;
use chervilshunt_platform::retry_after;
use http::response::Parts;
use http::{Request, StatusCode, Uri, header};
use http_body_util::Full;

use super::answer::{Verdict, classify};
use super::charge::Charge;
use super::in_flight::InFlight;
use super::outdated::{begin_deadline_passed, withdraw};
use super::place::SelectedTarget;
use super::refusal::{Reason, Refusal};
use super::request::{CallerRequest, set};
use crate::peers::PeerMessage;
use crate::shared::Shared;
use crate::transit::{TransitHead, TransitOutcome, TransitRoute};

/// Timeout of a connection to a target. Targets are 1 ms to 2 ms away, and a lost packet is
/// retransmitted only after a second.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of attempts of one request. Attempts that a target rejects count, refused
/// connections do not.
const MAX_ATTEMPTS: u32 = 4;
/// Subtracted from the deadline that a target is given, for the way back.
const RETURN_MARGIN: Duration = Duration::from_millis(20);
/// Time that a request which may be repeated waits for the head of an answer before another target
/// is tried, as a multiple of its latency objective.
const HEAD_TIMEOUT_FACTOR: f64 = 2.5;
/// Delay after which a caller should retry when targets refused its request.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(600);

/// The attempts of one request.
pub(crate) struct RequestAttempts<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) req: &'a CallerRequest,
    /// Targets that are not tried again.
    pub(crate) avoid: Vec<TargetName>,
    /// The last event that the caller has received, if the stream is being resumed.
    pub(crate) last_event: Option<Arc<str>>,
    /// The charge to the team's quota.
    pub(super) charge: Option<Charge>,
    /// Targets that accepted no connection from this instance, and that another instance may reach.
    unconnected: Vec<TargetName>,
    attempts: u32,
    /// Attempts that arrived at a target, or may have.
    arrivals: u32,
    runs: u32,
}

/// An answer that is passed on.
#[derive(Debug)]
pub(crate) struct AcceptedAnswer {
    pub(crate) head: Parts,
    pub(crate) body: BodyReader,
    pub(crate) in_flight: InFlight,
}

/// The result of one attempt.
pub(super) enum AttemptOutcome {
    Answered(Box<AcceptedAnswer>),
    /// The request has not run. Another target may be tried.
    NotRun,
    /// A brittle target has turned the request away. Another one would have to do the same.
    TurnedAway,
    /// The request has not arrived. The same target may be tried on another path.
    NotConnected,
    /// The request may have run.
    MayHaveRun(Reason),
}

impl<'a> RequestAttempts<'a> {
    /// Starts the attempts of a new request.
    pub(crate) fn new(shared: &'a Arc<Shared>, req: &'a CallerRequest) -> Self {
        Self {
            shared,
            req,
            avoid: Vec::new(),
            last_event: None,
            charge: None,
            unconnected: Vec::new(),
            attempts: 0,
            arrivals: 0,
            runs: 0,
        }
    }

    /// Continues with a stream that broke off at a target.
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
            attempts: 1,
            arrivals: 1,
            runs,
            ..Self::new(shared, req)
        }
    }

    /// Sends the request until a target answers it or it has to be given up.
    pub(crate) async fn answer(&mut self) -> Result<AcceptedAnswer, Refusal> {
        let left = self.req.time_left(self.shared.clock.now());
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

    async fn send_until_answered(&mut self) -> Result<AcceptedAnswer, Refusal> {
        loop {
            self.refuse_if_quarantined()?;
            self.reconsider_unconnected();
            let found = self.find_target().await;
            let mut chosen = found.map_err(|it| self.unless_run(it))?;
            if !self.try_attempt() {
                let spent = Refusal::retry_after(Reason::BudgetSpent, REFUSED_RETRY_DELAY);
                return Err(self.unless_run(spent));
            }
            match self.send(&mut chosen).await {
                AttemptOutcome::Answered(answered) => return Ok(*answered),
                AttemptOutcome::NotRun => self.avoid.push(chosen.target),
                AttemptOutcome::TurnedAway => {
                    let full = Refusal::retry_after(Reason::Full, REFUSED_RETRY_DELAY);
                    return Err(self.unless_run(full));
                }
                AttemptOutcome::NotConnected => {
                    self.unconnected.push(chosen.target.clone());
                    self.avoid.push(chosen.target);
                }
                AttemptOutcome::MayHaveRun(reason) => {
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

    /// Tries targets again that accepted no connection, once it is known that this instance is cut
    /// off from them: another one may reach them.
    fn reconsider_unconnected(&mut self) {
        if self.unconnected.is_empty() || !self.shared.dispatch().is_cut_off(&self.req.service) {
            return;
        }
        let unconnected = std::mem::take(&mut self.unconnected);
        self.avoid.retain(|it| !unconnected.contains(it));
    }

    /// Refuses a request that has crashed targets, here or at another instance.
    fn refuse_if_quarantined(&self) -> Result<(), Refusal> {
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
        Err(self.unless_run(refusal))
    }

    /// Replaces a refusal whose status says "not run" if the request may have run.
    fn unless_run(&self, refusal: Refusal) -> Refusal {
        if self.runs == 0 {
            return refusal;
        }
        Refusal::new(Reason::AnswerLost)
    }

    /// Returns whether the request may be sent once more, and counts the attempt if so. Only
    /// attempts after one that arrived at a target draw on the retry budget, which protects the
    /// targets.
    fn try_attempt(&mut self) -> bool {
        if self.attempts >= MAX_ATTEMPTS {
            return false;
        }
        if self.arrivals == 0 {
            self.attempts += 1;
            return true;
        }
        let now = self.shared.clock.now();
        let instances = self.shared.instances();
        let mut budgets = self.shared.budgets();
        let allowed = budgets.of(&self.req.service).try_retry(instances, now);
        self.attempts += u32::from(allowed);
        metrics::counter!("chervilshunt_repeats_total", "allowed" => if allowed { "yes" } else { "no" })
            .increment(1);
        allowed
    }

    async fn send(&mut self, chosen: &mut SelectedTarget) -> AttemptOutcome {
        let in_flight = InFlight::begin(self.shared, chosen, self.req);
        let client = match &chosen.route {
            Some(route) => route.client.clone(),
            None => self.shared.engines.client(chosen.address),
        };
        let left = self.req.time_left(self.shared.clock.now());
        let repeat = self.req.route.repeat.is_allowed();
        let max_wait = self.req.route.objective.mul_f64(HEAD_TIMEOUT_FACTOR);
        let head = if repeat { left.min(max_wait) } else { left };
        let limits = Limits {
            connect: CONNECT_TIMEOUT,
            head,
            idle: left,
        };
        let req = self.outgoing(chosen, left);
        // From here on the request may run; a refusal while it is in progress must not claim
        // otherwise.
        self.runs += 1;
        self.arrivals += 1;
        self.set_charge_final(true);
        let forwarded = tokio::select! {
            biased;
            forwarded = client.forward(req, chosen.reuse, limits) => forwarded,
            () = begin_deadline_passed(&in_flight) => {
                return withdraw(self.req, &in_flight);
            }
        };
        match forwarded {
            Ok((head, body)) => {
                if let Some(route) = &chosen.route {
                    let now = self.shared.clock.now();
                    route.record_answer(now);
                    if let Some(outcome) = TransitOutcome::of(&head.headers) {
                        return self.not_passed_on(chosen, route, outcome, &in_flight);
                    }
                } else if !body.is_on_reused_connection() {
                    self.shared.record_connection_opened(&chosen.target);
                }
                self.classify(chosen, head, body, in_flight)
            }
            Err(error) => {
                if error.is_connect_failure() {
                    self.record_connect_failure(chosen);
                }
                if matches!(error, EngineError::OutcomeUnknown { .. }) {
                    in_flight.connection_ended(self.req, false);
                }
                self.failed(chosen, &error, &in_flight)
            }
        }
    }

    fn record_connect_failure(&self, chosen: &SelectedTarget) {
        match &chosen.route {
            Some(route) => route.record_failure(self.shared.clock.now()),
            None => self.shared.record_connection_failed(&chosen.target),
        }
    }

    /// Handles an instance that has not passed the request on, or has lost its answer.
    fn not_passed_on(
        &mut self,
        chosen: &SelectedTarget,
        route: &TransitRoute,
        outcome: TransitOutcome,
        in_flight: &InFlight,
    ) -> AttemptOutcome {
        let now = self.shared.clock.now();
        slog::info!(self.shared.log, "request not passed on";
            "request" => &*self.req.id, "target" => chosen.target.as_str(),
            "via" => route.instance.as_str(), "outcome" => outcome.as_str());
        if outcome == TransitOutcome::NoTicket {
            self.shared.transit_routes.remove(&route.instance);
        }
        if outcome.may_have_run() {
            in_flight.record_signal(HealthSignal::Failed, now);
            return AttemptOutcome::MayHaveRun(Reason::AnswerLost);
        }
        self.arrivals -= 1;
        if outcome.closes_route() {
            route.record_failure(now);
            self.not_run();
            return AttemptOutcome::NotConnected;
        }
        if outcome == TransitOutcome::Unreachable {
            in_flight.record_signal(HealthSignal::Unreachable, now);
        }
        self.not_run()
    }

    /// Returns whether another target may run the request, so that a failure need not be passed on.
    fn may_retry(&self) -> bool {
        let now = self.shared.clock.now();
        let instances = self.shared.instances();
        self.req.route.repeat.is_allowed()
            && self.runs < self.req.route.max_targets
            && self.attempts < MAX_ATTEMPTS
            && self
                .shared
                .budgets()
                .of(&self.req.service)
                .allows_retry(instances, now)
    }

    fn classify(
        &mut self,
        chosen: &SelectedTarget,
        head: Parts,
        body: BodyReader,
        in_flight: InFlight,
    ) -> AttemptOutcome {
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
        let again = self.may_retry();
        let verdict = classify(names, &self.req.id, &chosen.target, &head, again);
        if verdict != Verdict::PassOn {
            slog::info!(self.shared.log, "answer not passed on";
                "request" => &*self.req.id, "target" => chosen.target.as_str(),
                "status" => head.status.as_u16(), "verdict" => ?verdict,
                "retry_after" => head.headers.get(header::RETRY_AFTER).and_then(|it| it.to_str().ok()));
        }
        if verdict != Verdict::OtherTarget {
            self.handle_self_report(chosen, &in_flight, &head);
        }
        if !matches!(verdict, Verdict::OtherTarget | Verdict::Crossed) {
            self.shared
                .check_brittle(&chosen.target, &head.headers, in_flight.sent_at);
            // A target may refuse a request without naming its limit.
            let sent_at = (verdict == Verdict::PassOn).then_some(in_flight.sent_at);
            self.shared
                .check_limit(&chosen.target, in_flight.started, &head.headers, sent_at);
        }
        let signal = match verdict {
            Verdict::PassOn if head.status.is_server_error() => HealthSignal::Failed,
            Verdict::PassOn | Verdict::Full | Verdict::NotHeld => HealthSignal::Served,
            Verdict::OtherTarget => HealthSignal::Unreachable,
            Verdict::Failed | Verdict::Crossed => HealthSignal::Failed,
        };
        in_flight.record_signal(signal, now);
        match verdict {
            Verdict::PassOn => AttemptOutcome::Answered(Box::new(AcceptedAnswer {
                head,
                body,
                in_flight,
            })),
            Verdict::Full if self.is_brittle() => {
                self.shared.record_turned_away(&chosen.target);
                self.not_run();
                AttemptOutcome::TurnedAway
            }
            Verdict::Full | Verdict::OtherTarget => self.not_run(),
            Verdict::NotHeld => self.not_held(chosen),
            Verdict::Failed => AttemptOutcome::MayHaveRun(Reason::BadAnswer),
            Verdict::Crossed => AttemptOutcome::MayHaveRun(Reason::AnswerLost),
        }
    }

    /// Handles what a target reports about itself in an answer: that it is leaving, or requests a
    /// pause.
    fn handle_self_report(&self, chosen: &SelectedTarget, in_flight: &InFlight, head: &Parts) {
        let (shared, target) = (self.shared, &chosen.target);
        shared.check_leaving(target, in_flight.started, &head.headers);
        let turned_away = head.status == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(pause) = retry_after(&head.headers).filter(|_| turned_away) {
            let now = shared.clock.now();
            slog::info!(shared.log, "target requested a pause";
                "request" => &*self.req.id, "target" => target.as_str(),
                "pause_ms" => pause.as_millis() as u64);
            shared.dispatch().pause_requested(target, pause, now);
        }
    }

    /// Withdraws the assumption that the request may have run at the last target.
    fn not_run(&mut self) -> AttemptOutcome {
        self.runs -= 1;
        self.set_charge_final(self.runs > 0);
        AttemptOutcome::NotRun
    }

    fn set_charge_final(&mut self, is_final: bool) {
        if let Some(charge) = &mut self.charge {
            charge.is_final = is_final;
        }
    }

    fn is_brittle(&self) -> bool {
        let dispatch = self.shared.dispatch();
        dispatch.brittleness(&self.req.service).is_some()
    }

    /// Handles a target that does not hold the adapter.
    fn not_held(&mut self, chosen: &SelectedTarget) -> AttemptOutcome {
        let Some(weights) = &self.req.weights else {
            return self.not_run();
        };
        self.shared.dispatch().not_held(&chosen.target, weights);
        if let Some(placer) = self.shared.placer.load_full() {
            let message = PeerMessage::NotHeld(chosen.target.clone(), weights.clone());
            if let Err(error) = self.shared.mesh.send(&placer, message) {
                slog::debug!(self.shared.log, "message to placer not sent"; "reason" => error.to_string());
            }
        }
        self.not_run()
    }

    fn failed(
        &mut self,
        chosen: &SelectedTarget,
        error: &EngineError,
        in_flight: &InFlight,
    ) -> AttemptOutcome {
        let now = self.shared.clock.now();
        slog::info!(self.shared.log, "attempt failed";
            "request" => &*self.req.id, "target" => chosen.target.as_str(),
            "via" => chosen.route.as_ref().map(|it| it.instance.as_str().to_owned()),
            "content" => self.req.fingerprint().to_string(),
            "reason" => error.to_string());
        // A target that closes a connection is reachable, whatever became of the answer.
        let signal = match error {
            EngineError::NotSent { .. } | EngineError::Timeout { .. } => HealthSignal::Unreachable,
            _ => HealthSignal::Failed,
        };
        let is_connect_failure = error.is_connect_failure();
        if !(is_connect_failure && chosen.route.is_some()) {
            in_flight.record_signal(signal, now);
        }
        if error.is_connection_refused() {
            // Nothing was sent. Targets that have crashed but are still listed must not exhaust
            // `MAX_ATTEMPTS`.
            self.attempts -= 1;
        }
        match error.outcome() {
            Outcome::NotRun if is_connect_failure => {
                self.arrivals -= 1;
                self.not_run();
                AttemptOutcome::NotConnected
            }
            Outcome::NotRun => self.not_run(),
            Outcome::Unknown | Outcome::CutShort => AttemptOutcome::MayHaveRun(Reason::AnswerLost),
        }
    }

    fn outgoing(&self, chosen: &SelectedTarget, left: Duration) -> Request<Full<Bytes>> {
        let req = self.req;
        let names = &self.shared.dialect.headers;
        let mut out = Request::new(Full::new(req.body.clone()));
        *out.method_mut() = req.method.clone();
        *out.uri_mut() = Uri::from(req.path.clone());
        let mut headers = req.headers.clone();
        let left = left.saturating_sub(RETURN_MARGIN).as_millis().to_string();
        set(&mut headers, &names.deadline_ms, &left);
        set(&mut headers, &names.expected_target, chosen.target.as_str());
        let priority = req.priority().min(9).to_string();
        set(&mut headers, &names.priority, &priority);
        if let Some(version) = chosen.expect_version {
            set(&mut headers, &names.expected_version, &version.to_string());
        }
        if let Some(event) = &self.last_event {
            set(&mut headers, &names.last_event, event);
        }
        if let Some(route) = &chosen.route {
            let transit = TransitHead {
                target: chosen.target.clone(),
                is_repeatable: req.route.repeat.is_allowed(),
            };
            transit.write(&route.ticket, &mut headers);
        }
        *out.headers_mut() = headers;
        out
    }
}
