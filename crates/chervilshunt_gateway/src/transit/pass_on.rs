//! Passes one request of another instance on to its target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_core::{HealthSignal, PartId, TargetPath};
use chervilshunt_engine::{ConnectionUse, EngineError, Limits, Outcome, strip_hop_by_hop};
use chervilshunt_model::{InstanceId, Moment, ServiceName, TargetName};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;

use super::answer::{PassedAnswer, TransitBody, queue_ended};
use super::header::{OUTCOME, TransitHead, strip_transit_headers, take_ticket};
use super::outcome::TransitOutcome;
use super::server::BUFFER_BYTES;
use crate::links::count_mismatch;
use crate::run_check::TargetRun;
use crate::shared::{OpenRequest, Shared};
use crate::traffic::{CONNECT_TIMEOUT, REACHABLE_WINDOW, Reason, read_body};

/// Maximum number of requests that an instance passes on at the same time. It keeps memory for its
/// own callers.
const MAX_PASSED_REQUESTS: usize = 256;

/// A request that is being passed on. A shutdown waits for it.
#[derive(Debug)]
pub(super) struct PassedRequest {
    shared: Arc<Shared>,
    _open: OpenRequest,
}

impl PassedRequest {
    fn begin(shared: &Arc<Shared>) -> Option<Self> {
        let before = shared.passed_requests.fetch_add(1, Ordering::Relaxed);
        let passed = Self {
            shared: Arc::clone(shared),
            _open: OpenRequest::begin(shared),
        };
        (before < MAX_PASSED_REQUESTS).then_some(passed)
    }

    pub(super) const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }
}

impl Drop for PassedRequest {
    fn drop(&mut self) {
        self.shared.passed_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers one request of another instance.
pub(super) async fn pass_on(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<TransitBody> {
    let arrived = shared.clock.now();
    let (mut head, body) = req.into_parts();
    let id = head
        .headers
        .get(&shared.dialect.headers.request_id)
        .cloned();
    let from = holder(shared, &mut head.headers);
    let result = match &from {
        Some(_) => exchange(shared, head, body, arrived).await,
        None => Err(TransitOutcome::NoTicket),
    };
    let outcome = result.as_ref().err().map_or("passed", |it| it.as_str());
    let answer = result.as_ref().ok();
    let names = &shared.dialect.headers;
    let named = answer.and_then(|it| it.headers().get(&names.request_id));
    slog::info!(shared.log, "request passed on";
        "request" => id.as_ref().and_then(|it| it.to_str().ok()),
        "from" => from.as_ref().map(|it| it.as_str().to_owned()),
        "outcome" => outcome, "status" => answer.map(|it| it.status().as_u16()),
        "answered_id" => named.and_then(|it| it.to_str().ok()),
        "denies_run" => answer.map(|it| it.headers().contains_key(&names.not_run)),
        "reused" => answer.map(|it| it.body().is_on_reused_connection()),
        "took_ms" => shared.clock.now().since(arrived).as_millis() as u64);
    metrics::counter!("chervilshunt_passed_requests_total", "outcome" => outcome).increment(1);
    let mut res = result.unwrap_or_else(refuse);
    // The other instance accepts only an answer that states the request's id: that of a target has
    // been verified here, and a refusal is this instance's own.
    if let Some(id) = id {
        res.headers_mut().insert(names.request_id.clone(), id);
    }
    res
}

fn holder(shared: &Shared, headers: &mut HeaderMap) -> Option<InstanceId> {
    let ticket = take_ticket(headers)?;
    shared.issued_tickets.holder(ticket.to_str().ok()?)
}

fn refuse(outcome: TransitOutcome) -> Response<TransitBody> {
    let (status, value) = outcome.head();
    let mut res = Response::new(TransitBody::Empty);
    *res.status_mut() = status;
    res.headers_mut().insert(OUTCOME, value);
    res
}

async fn exchange(
    shared: &Arc<Shared>,
    mut head: Parts,
    body: Incoming,
    arrived: Moment,
) -> Result<Response<TransitBody>, TransitOutcome> {
    if shared.is_stopping() {
        return Err(TransitOutcome::Stopping);
    }
    let open = PassedRequest::begin(shared).ok_or(TransitOutcome::Busy)?;
    let transit = TransitHead::take(&mut head.headers).ok_or(TransitOutcome::Malformed)?;
    let routes = shared.routes.load_full();
    let longest = routes.ok_or(TransitOutcome::NoTarget)?.bounds.body_bytes;
    let body = read_body(shared, body, longest, BUFFER_BYTES).await;
    let body = body.map_err(|refusal| match refusal.reason {
        Reason::NoBodyRoom => TransitOutcome::Busy,
        _ => TransitOutcome::Malformed,
    })?;
    // Its body may have come late.
    if shared.is_stopping() {
        return Err(TransitOutcome::Stopping);
    }
    let (service, address, using) = find_target(shared, &transit)?;
    let left = time_left(shared, &mut head.headers, arrived)?;
    let sent_at = shared.clock.now();
    let started = shared.dispatch().started(&transit.target);
    let parts = shared_parts(shared, &head.headers);
    let limits = Limits {
        connect: CONNECT_TIMEOUT.min(left),
        head: left,
        idle: left,
        body: left,
    };
    let client = shared.engines.client(address);
    let is_in_time = || {
        let held = shared.clock.now().since(arrived);
        transit.send_within.is_none_or(|within| held <= within)
    };
    let answer = client.forward_if(outgoing(head, body), using, limits, is_in_time);
    let answer = answer.await;
    let run = TargetRun {
        target: transit.target,
        service,
        address,
        started,
    };
    let (head, body) = match answer {
        Ok(answer) => answer,
        Err(error) => {
            if matches!(error, EngineError::OutcomeUnknown { .. }) {
                shared.connection_ended(&run.target);
                queue_ended(shared, run.clone(), sent_at, parts, false);
            }
            return Err(failed(shared, &run.target, &error));
        }
    };
    let names = &shared.dialect.headers;
    if !names.name_other_target(&head.headers, &run.target) {
        if !body.is_on_reused_connection() {
            shared.record_connection_opened(&run.target);
        }
        let now = shared.clock.now();
        shared
            .dispatch()
            .response_received(&run.target, TargetPath::Direct, now);
    }
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    strip_transit_headers(&mut headers);
    if body.size_hint().exact().is_none() {
        headers.remove(header::CONTENT_LENGTH);
    }
    let answer = PassedAnswer {
        body,
        run,
        sent_at,
        deadline: sent_at + left,
        parts,
        begun_at: None,
        settling: None,
        open,
        checking: None,
    };
    let mut res = Response::new(TransitBody::Passed(Box::new(answer)));
    *res.status_mut() = head.status;
    *res.headers_mut() = headers;
    Ok(res)
}

/// Returns the parts of the request's prompt that other requests may share.
fn shared_parts(shared: &Shared, headers: &HeaderMap) -> Vec<PartId> {
    let parts = headers.get(&shared.dialect.headers.prompt_parts);
    let parts = parts.and_then(|it| it.to_str().ok());
    let parts = parts.map(shared.dialect.targets.shared_parts);
    parts.unwrap_or_default()
}

/// Returns the target's service and address, and how connections to it are used.
fn find_target(
    shared: &Shared,
    transit: &TransitHead,
) -> Result<(ServiceName, SocketAddr, ConnectionUse), TransitOutcome> {
    let now = shared.clock.now();
    let dispatch = shared.dispatch();
    let target = dispatch.target(&transit.target);
    let target = target.filter(|it| it.leaving.is_none());
    let target = target.ok_or(TransitOutcome::NoTarget)?;
    if dispatch.is_cut_off(&target.service) {
        return Err(TransitOutcome::CutOff);
    }
    if dispatch.is_unreachable(&transit.target, now) {
        return Err(TransitOutcome::Unreachable);
    }
    let heard = dispatch.since_last_response(&transit.target, now);
    let is_reachable = heard.is_some_and(|it| it < REACHABLE_WINDOW);
    let reuse = !transit.is_sent_before && (transit.is_repeatable || is_reachable);
    let may_reset = dispatch.may_reset_fresh_connection(&transit.target, now);
    let using = ConnectionUse {
        reuse,
        checks_fresh: !transit.is_repeatable && may_reset,
    };
    Ok((target.service.clone(), target.address, using))
}

/// Returns the time that the request has left, and shortens its deadline by the time spent here.
fn time_left(
    shared: &Shared,
    headers: &mut HeaderMap,
    arrived: Moment,
) -> Result<Duration, TransitOutcome> {
    let name = &shared.dialect.headers.deadline_ms;
    let stated = headers.get(name).and_then(|it| it.to_str().ok());
    let stated = stated.and_then(|it| it.parse().ok());
    let stated = Duration::from_millis(stated.ok_or(TransitOutcome::Malformed)?);
    let left = stated.saturating_sub(shared.clock.now().since(arrived));
    if left.is_zero() {
        return Err(TransitOutcome::Late);
    }
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(name.clone(), HeaderValue::from(millis));
    Ok(left)
}

fn outgoing(mut head: Parts, body: Bytes) -> Request<Full<Bytes>> {
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = head.method;
    *req.uri_mut() = head.uri;
    *req.headers_mut() = head.headers;
    req
}

/// Records a failed exchange with the target.
fn failed(shared: &Shared, target: &TargetName, error: &EngineError) -> TransitOutcome {
    slog::info!(shared.log, "passing on failed";
        "target" => target.as_str(), "reason" => error.to_string());
    count_mismatch(error, "request");
    if matches!(error, EngineError::Withheld { .. }) {
        return TransitOutcome::Late;
    }
    if error.is_fresh_reset() {
        shared.record_fresh_reset(target, error);
    }
    if !error.is_connect_failure() {
        return match error.outcome() {
            Outcome::NotRun => TransitOutcome::Unreachable,
            Outcome::Unknown | Outcome::CutShort => TransitOutcome::AnswerLost,
        };
    }
    shared.record_connection_failed(target);
    let now = shared.clock.now();
    let (path, signal) = (TargetPath::Direct, HealthSignal::Unreachable);
    shared.dispatch().record_signal(target, path, signal, now);
    TransitOutcome::Unreachable
}
