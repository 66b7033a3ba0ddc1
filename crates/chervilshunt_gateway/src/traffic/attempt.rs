//! Attempts of a request: it is sent to one target after another as long as that is safe.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_core::{HealthSignal, RetryPermit, SoftwareVersion};
use chervilshunt_engine::{BodyReader, ConnectionUse, EngineError, Limits, Outcome};
use chervilshunt_model::{Moment, TargetName};
use http::response::Parts;
use http::{Request, Uri};
use http_body_util::Full;

use super::arrival::Arrival;
use super::charge::Charge;
use super::in_flight::InFlight;
use super::not_run::NotRunProof;
use super::outdated::{begin_deadline_passed, withdraw};
use super::place::SelectedTarget;
use super::refusal::{Reason, Refusal};
use super::request::{CallerRequest, set};
use super::unanswered::UnansweredAttempts;
use crate::crashes::fingerprints;
use crate::links::count_mismatch;
use crate::shared::Shared;
use crate::transit::{TransitHead, TransitOutcome};

/// Timeout of a connection to a target. Targets are 1 ms to 2 ms away, and a lost packet is
/// retransmitted only after a second.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of attempts of one request. Attempts that a target rejects count, refused
/// connections do not.
pub(super) const MAX_ATTEMPTS: u32 = 4;
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
    /// The software version that began the stream, if it is being continued.
    pub(crate) software: Option<SoftwareVersion>,
    /// The charge to the team's quota.
    pub(super) charge: Option<Charge>,
    /// Targets that accepted no connection from this instance, and that another instance may reach.
    pub(super) unconnected: Vec<TargetName>,
    /// Addresses to which the request has been sent.
    addresses: Vec<SocketAddr>,
    pub(super) attempts: u32,
    /// Attempts that arrived at a target, or may have.
    pub(super) arrivals: u32,
    pub(super) runs: u32,
    /// The retry that is allowed for the next attempt.
    pub(super) retry: Option<RetryPermit>,
    /// When the target of the last attempt was found.
    pub(super) target_found_at: Moment,
    pub(super) unanswered: UnansweredAttempts<'a>,
    /// Whether the next attempt is to find out if a part of the prompt still crashes targets.
    tries_refused_part: bool,
}

/// An answer that is passed on.
#[derive(Debug)]
pub(crate) struct AcceptedAnswer {
    pub(crate) head: Parts,
    pub(crate) body: BodyReader,
    pub(crate) in_flight: InFlight,
}

impl AcceptedAnswer {
    /// Returns whether it can be joined to the events of an earlier answer; one without a body has
    /// no further events.
    pub(crate) fn can_continue_stream(&self) -> bool {
        let is_stream = self.body.events().is_some() || self.body.is_end_stream();
        self.head.status.is_success() && is_stream
    }
}

/// The result of one attempt.
pub(super) enum AttemptOutcome {
    Answered(Box<AcceptedAnswer>),
    /// The request has not run. Another target may be tried.
    NotRun,
    /// The target has no room, and the request has not run. Another target may be tried that is not
    /// known to be full.
    Rejected,
    /// A brittle target has turned the request away. Another one would have to do the same.
    TurnedAway,
    /// The request has not arrived. The same target may be tried on another path.
    NotConnected,
    /// The retry had expired when its connection was ready. Another one is needed, for any target.
    Withheld,
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
            software: req.software.clone(),
            charge: None,
            unconnected: Vec::new(),
            addresses: Vec::new(),
            attempts: 0,
            arrivals: 0,
            runs: 0,
            retry: None,
            target_found_at: Moment::ZERO,
            unanswered: UnansweredAttempts::new(shared, &req.service),
            tries_refused_part: false,
        }
    }

    /// Continues with a stream that broke off at a target.
    pub(crate) fn resumed(
        shared: &'a Arc<Shared>,
        req: &'a CallerRequest,
        broke_at: TargetName,
        runs: u32,
        last_event: Option<Arc<str>>,
        software: Option<SoftwareVersion>,
    ) -> Self {
        Self {
            avoid: vec![broke_at],
            last_event,
            software,
            attempts: 1,
            arrivals: 1,
            runs,
            ..Self::new(shared, req)
        }
    }

    /// Sends the request until a target answers it or it has to be given up.
    pub(crate) async fn answer(&mut self) -> Result<AcceptedAnswer, Refusal> {
        let left = self.req.time_left(self.shared.clock.now());
        let answered = tokio::time::timeout(left, self.send_until_answered()).await;
        let result = answered.unwrap_or_else(|_| Err(Refusal::new(Reason::Late)));
        // The only place from which a refusal leaves: while an attempt may have run, none of them says
        // that the request has not.
        result.map_err(|it| it.if_may_have_run(self.runs > 0))
    }

    /// Returns how often the request may have run.
    pub(crate) const fn runs(&self) -> u32 {
        self.runs
    }

    async fn send_until_answered(&mut self) -> Result<AcceptedAnswer, Refusal> {
        loop {
            self.tries_refused_part = false;
            self.refuse_if_quarantined()?;
            self.reconsider_unconnected();
            let mut chosen = self.find_target_in_time().await?;
            if !self.is_software_confirmed(&chosen).await {
                self.avoid.push(chosen.target);
                continue;
            }
            // The request may have crashed targets while this copy of it waited.
            self.refuse_if_quarantined()?;
            self.target_found_at = self.shared.clock.now();
            if !self.try_attempt().await {
                return Err(Refusal::retry_after(
                    Reason::BudgetSpent,
                    REFUSED_RETRY_DELAY,
                ));
            }
            match self.send(&mut chosen).await {
                AttemptOutcome::Answered(answered) => return Ok(*answered),
                AttemptOutcome::NotRun => self.avoid.push(chosen.target),
                AttemptOutcome::Rejected => {
                    self.avoid.push(chosen.target);
                    self.hold_second_attempt()?;
                }
                AttemptOutcome::TurnedAway => {
                    return Err(Refusal::retry_after(Reason::Full, REFUSED_RETRY_DELAY));
                }
                AttemptOutcome::NotConnected => {
                    self.unconnected.push(chosen.target.clone());
                    self.avoid.push(chosen.target);
                }
                AttemptOutcome::Withheld => {}
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

    /// Finds a target, unless the instance stops before an answer of it could end.
    async fn find_target_in_time(&mut self) -> Result<SelectedTarget, Refusal> {
        let shared = self.shared;
        if shared.stop_sending.is_cancelled() {
            return Err(Refusal::new(Reason::Stopping));
        }
        tokio::select! {
            biased;
            found = self.find_target() => found,
            () = shared.stop_sending.cancelled() => Err(Refusal::new(Reason::Stopping)),
        }
    }

    /// Refuses a request that has crashed targets, here or at another instance.
    fn refuse_if_quarantined(&mut self) -> Result<(), Refusal> {
        let now = self.shared.clock.now();
        let quarantine = self.shared.quarantine();
        if quarantine.is_empty() {
            return Ok(());
        }
        let until = quarantine.refused_until(self.req.fingerprint(), now);
        drop(quarantine);
        let Some(until) = until.or_else(|| self.refused_for_part(now)) else {
            return Ok(());
        };
        Err(Refusal {
            reason: Reason::CrashesTargets,
            retry_after: Some(now.until(until)),
        })
    }

    /// Returns until when the request is refused for a part of its prompt. The placer tries one from time to
    /// time.
    fn refused_for_part(&mut self, now: Moment) -> Option<Moment> {
        if self.tries_refused_part {
            return None;
        }
        let parts = fingerprints(&self.req.parts);
        let mut quarantine = self.shared.quarantine();
        let refused = quarantine.refused_parts(&parts, now);
        let first = *refused.first()?;
        let until = quarantine.part_refused_until(first)?;
        let is_tried = self.shared.is_placer() && quarantine.try_refused_parts(&refused, now);
        drop(quarantine);
        slog::info!(self.shared.log, "part of a prompt refused";
            "request" => &*self.req.id, "content" => first.to_string(),
            "parts" => refused.len(), "tried" => is_tried);
        metrics::counter!("chervilshunt_refused_parts_total",
            "tried" => if is_tried { "yes" } else { "no" })
        .increment(1);
        self.tries_refused_part = is_tried;
        (!is_tried).then_some(until)
    }

    async fn send(&mut self, chosen: &mut SelectedTarget) -> AttemptOutcome {
        let mut in_flight = InFlight::begin(self.shared, chosen, self.req);
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
            body: left,
        };
        // A target may come back at its address under another name. A late copy of its first rejection
        // states the id of the request as well, so the next attempt gets a connection of its own.
        let is_sent_before = self.addresses.contains(&chosen.address);
        self.addresses.push(chosen.address);
        let using = ConnectionUse {
            reuse: chosen.reuse && !(is_sent_before && chosen.route.is_none()),
            checks_fresh: !repeat && self.may_reset_fresh_connection(chosen),
        };
        let retry = self.retry.take();
        // Half of a retry's time is for the way to the instance in between, half for the way from there.
        let sendable = retry.map(|it| it.time_left(self.shared.clock.now()));
        let send_within = sendable.map(|it| it / 2).filter(|_| chosen.route.is_some());
        let req = self.outgoing(chosen, left, is_sent_before, send_within);
        let reserved = send_within.unwrap_or_default();
        let shared = self.shared;
        let may_send = move || retry.is_none_or(|it| it.time_left(shared.clock.now()) > reserved);
        if let Some(retry) = retry {
            self.report_retry_sent(retry, chosen);
        }
        // From here on the request may run; a refusal while it is in progress must not claim
        // otherwise.
        self.runs += 1;
        self.arrivals += 1;
        self.unanswered.sent();
        self.set_charge_final(true);
        let answer = async {
            tokio::join!(
                client.forward_if(req, using, limits, may_send),
                self.is_beginning_confirmed(chosen),
            )
        };
        let (forwarded, is_confirmed) = tokio::select! {
            biased;
            answer = answer => answer,
            () = begin_deadline_passed(&in_flight) => {
                return withdraw(self.req, &in_flight);
            }
        };
        if !is_confirmed {
            in_flight.forget_software();
        }
        let arrival = Arrival::of(&forwarded, chosen.route.is_some());
        if let Some(retry) = retry {
            self.report_retry_ended(retry, chosen, arrival);
        }
        self.unanswered.ended(arrival);
        match forwarded {
            Ok((head, body)) => {
                if let Some(route) = &chosen.route {
                    let now = self.shared.clock.now();
                    route.record_answer(now);
                    if let Some(outcome) = TransitOutcome::of(&head.headers) {
                        return self.not_passed_on(chosen, route, outcome, &in_flight);
                    }
                }
                let may_retry = self.reserve_retry(chosen, &head).await;
                self.classify(chosen, head, body, in_flight, may_retry)
            }
            Err(EngineError::Withheld { .. }) => self.withheld(chosen),
            Err(error) => {
                if error.is_connect_failure() {
                    self.record_connect_failure(chosen);
                }
                if chosen.route.is_none() && error.is_fresh_reset() {
                    self.shared.record_fresh_reset(&chosen.target, &error);
                }
                if matches!(error, EngineError::OutcomeUnknown { .. }) {
                    in_flight.connection_ended(self.req, false);
                }
                self.failed(chosen, &error, &in_flight)
            }
        }
    }

    pub(super) fn set_charge_final(&mut self, is_final: bool) {
        if let Some(charge) = &mut self.charge {
            charge.is_final = is_final;
        }
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
            "parts" => self.req.parts_for_log(),
            "reason" => error.to_string());
        count_mismatch(
            error,
            if chosen.route.is_some() {
                "transit"
            } else {
                "request"
            },
        );
        // A target that closes a connection is reachable, whatever became of the answer.
        let signal = match error {
            EngineError::NotSent {
                was_open: false, ..
            }
            | EngineError::Timeout { .. } => HealthSignal::Unreachable,
            _ => HealthSignal::Failed,
        };
        let is_connect_failure = error.is_connect_failure();
        let is_mismatch = matches!(error, EngineError::AnswerMismatch { .. });
        // The fault is that of the instance in between, not of the target.
        let is_of_route = chosen.route.is_some() && (is_connect_failure || is_mismatch);
        if !is_of_route {
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
                self.not_run(chosen, NotRunProof::NotConnected);
                AttemptOutcome::NotConnected
            }
            Outcome::NotRun if error.is_fresh_reset() => {
                self.not_run(chosen, NotRunProof::Unwritten);
                AttemptOutcome::Rejected
            }
            Outcome::NotRun => self.not_run(chosen, NotRunProof::Unwritten),
            Outcome::Unknown | Outcome::CutShort => AttemptOutcome::MayHaveRun(Reason::AnswerLost),
        }
    }

    fn outgoing(
        &self,
        chosen: &SelectedTarget,
        left: Duration,
        is_sent_before: bool,
        send_within: Option<Duration>,
    ) -> Request<Full<Bytes>> {
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
                is_sent_before,
                send_within,
            };
            transit.write(&route.ticket, &mut headers);
        }
        *out.headers_mut() = headers;
        out
    }
}
