//! Handles one request, from its head to the head of its answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_config::{Limits, Settings};
use chervilshunt_core::RetryBudget;
use chervilshunt_model::RequestId;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use slog::Logger;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::body::{ResponseBody, whole};
use super::caller::{CallerRequest, Head};
use super::claims::Claims;
use super::headers::{REQUEST_ID, RequestHeaders, request_id};
use super::intake::read_body;
use super::metrics::{self, OpenRequest};
use super::now;
use super::permits::Permits;
use super::problem::{Problem, Reason};
use crate::routing::SharedRouting;
use chervilshunt_engine::EngineClients;
use chervilshunt_model::Clock;
use chervilshunt_start::{BodyIntake, memory_limit};

/// The `Retry-After` of an instance that may not accept new work.
const NOT_READY_RETRY: Duration = Duration::from_secs(2);
/// The `Retry-After` of an instance with too many open requests.
const TOO_MANY_RETRY: Duration = Duration::from_secs(1);
const COMPLETION_PATHS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];
const SERVICES_PREFIX: &str = "/services/";
/// The response header that names the entry instance.
const SERVED_BY: &str = "x-served-by";

/// Headers that are not forwarded: they apply to one connection only (RFC 9110, section 7.6.1) or
/// are set by this system.
const NOT_FORWARDED: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The state that all requests share.
#[derive(Clone, Debug)]
pub(crate) struct Traffic {
    pub(super) parts: Arc<Parts>,
}

/// The components that requests use.
#[derive(Debug)]
pub(crate) struct Parts {
    pub(super) settings: Arc<Settings>,
    pub(super) log: Logger,
    pub(super) clock: Clock,
    pub(super) routing: SharedRouting,
    pub(super) permits: Permits,
    pub(super) claims: Claims,
    pub(super) engines: EngineClients,
    pub(super) bodies: Arc<BodyIntake>,
    pub(super) open: Arc<Semaphore>,
    pub(super) retries: Mutex<RetryBudget>,
}

/// One of the limited slots for open requests, held until the last byte of the answer.
#[derive(Debug)]
pub(crate) struct OpenSlot {
    _permit: OwnedSemaphorePermit,
    _counted: OpenRequest,
}

impl Traffic {
    /// Creates the handle that all connections share.
    pub(crate) fn new(
        settings: Arc<Settings>,
        log: Logger,
        clock: Clock,
        routing: SharedRouting,
        permits: Permits,
        claims: Claims,
        retries: RetryBudget,
    ) -> Self {
        let open = Arc::new(Semaphore::new(settings.limits.open_requests));
        let engines = EngineClients::default();
        let bodies = BodyIntake::new(clock, memory_limit());
        let retries = Mutex::new(retries);
        Self {
            parts: Arc::new(Parts {
                settings,
                log,
                clock,
                routing,
                permits,
                claims,
                engines,
                bodies,
                open,
                retries,
            }),
        }
    }

    /// Returns the limits on callers' requests.
    pub(crate) fn limits(&self) -> &Limits {
        &self.parts.settings.limits
    }

    /// Returns the logger.
    pub(crate) fn log(&self) -> &Logger {
        &self.parts.log
    }

    /// Answers one request, with a problem document if it is refused or fails.
    pub(crate) async fn serve(
        &self,
        req: Request<Incoming>,
        peer: SocketAddr,
    ) -> Response<ResponseBody> {
        let id = request_id(req.headers());
        match self.answer(req, peer, &id).await {
            Ok(mut res) => {
                self.set_identity_headers(&mut res, &id);
                res
            }
            Err(problem) => whole(self.refuse(&problem, &id)),
        }
    }

    /// Logs and counts a problem and returns its response.
    pub(super) fn refuse(&self, problem: &Problem, id: &RequestId) -> Response<Bytes> {
        self.report(problem, id);
        let mut res = problem.to_response(id);
        self.set_identity_headers(&mut res, id);
        res
    }

    /// Sets the response headers that identify the request and the entry instance.
    fn set_identity_headers<B>(&self, res: &mut Response<B>, id: &RequestId) {
        set_header(res, REQUEST_ID, id.as_str());
        set_header(res, SERVED_BY, self.parts.settings.instance.id.as_str());
    }

    async fn answer(
        &self,
        req: Request<Incoming>,
        peer: SocketAddr,
        id: &RequestId,
    ) -> Result<Response<ResponseBody>, Problem> {
        let arrived = now();
        let (parts, body) = req.into_parts();
        let path = parts.uri.path();
        let plain_service = plain_service_of(path)?;
        if plain_service.is_none() {
            check_completion(path, &parts.method)?;
        }
        let parsed = RequestHeaders::read(&parts.headers, id.clone())?;
        let slot = self.open_slot()?;
        let body = read_body(&self.parts.bodies, body, self.limits()).await?;
        let routing = self.parts.routing.get();
        if !self.parts.routing.takes_work(self.parts.clock.now()) {
            return Err(Problem::not_run(
                Reason::NotReady,
                "the instance can't determine yet whether its configuration is in force",
            )
            .retry_after(NOT_READY_RETRY));
        }
        let rest = plain_service.as_ref().map_or(path, |(_, rest)| rest);
        let target_path = target_path(rest, parts.uri.query())?;
        let head = Head {
            parsed,
            peer,
            arrived,
            method: parts.method,
            path: target_path,
            forwarded: forwarded_headers(&parts.headers),
        };
        let req = match &plain_service {
            Some((service, _)) => CallerRequest::plain(head, body, service, &routing.deployment)?,
            None => CallerRequest::completion(head, &body, &routing.deployment)?,
        };
        metrics::request(req.class);
        let claim = match &req.key {
            Some(key) if !req.idempotent => Some(self.parts.claims.claim(&req, key).await?),
            Some(_) | None => None,
        };
        self.run(req, slot, claim).await
    }

    fn open_slot(&self) -> Result<OpenSlot, Problem> {
        let permit = Arc::clone(&self.parts.open).try_acquire_owned();
        let permit = permit.map_err(|_full| {
            Problem::not_run(
                Reason::TooManyRequests,
                "the instance has too many open requests",
            )
            .retry_after(TOO_MANY_RETRY)
        })?;
        Ok(OpenSlot {
            _permit: permit,
            _counted: OpenRequest::begin(),
        })
    }

    /// Records a first attempt in the retry budget.
    pub(super) fn record_first_try(&self) {
        let now = self.parts.clock.now();
        self.retries().record_first_try(now);
    }

    /// Takes one retry from the retry budget, and returns whether one was left.
    pub(super) fn try_retry(&self, reason: &'static str) -> bool {
        let now = self.parts.clock.now();
        let allowed = self.retries().try_retry(now);
        if allowed {
            metrics::retry(reason);
        }
        allowed
    }

    fn retries(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.parts
            .retries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs and counts a problem.
    pub(super) fn report(&self, problem: &Problem, id: &RequestId) {
        metrics::problem(problem);
        slog::info!(self.parts.log, "request failed";
            "request" => %id,
            "outcome" => problem.outcome.as_str(),
            "reason" => problem.reason.as_str(),
            "detail" => &problem.detail,
        );
    }
}

/// Splits `/services/NAME/REST` into the name and `/REST`.
fn plain_service_of(path: &str) -> Result<Option<(String, String)>, Problem> {
    let Some(rest) = path.strip_prefix(SERVICES_PREFIX) else {
        return Ok(None);
    };
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    if name.is_empty() {
        let detail = "the path must name a service, as /services/NAME/REST";
        return Err(Problem::not_run(Reason::UnknownPath, detail));
    }
    Ok(Some((name.to_owned(), format!("/{rest}"))))
}

fn target_path(path: &str, query: Option<&str>) -> Result<PathAndQuery, Problem> {
    let text = query.map_or_else(|| path.to_owned(), |query| format!("{path}?{query}"));
    text.parse()
        .map_err(|_invalid| Problem::not_run(Reason::BadRequest, "the path is malformed"))
}

fn check_completion(path: &str, method: &Method) -> Result<(), Problem> {
    if !COMPLETION_PATHS.contains(&path) {
        let known = COMPLETION_PATHS.join(", ");
        let detail =
            format!("{path} does not exist; the paths are {known}, {SERVICES_PREFIX}NAME/");
        return Err(Problem::not_run(Reason::UnknownPath, detail));
    }
    if method != Method::POST {
        let detail = format!("{path} supports POST, not {method}");
        return Err(Problem::not_run(Reason::BadMethod, detail));
    }
    Ok(())
}

/// Returns the headers that are forwarded between a caller and a target.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    // RFC 9110, section 7.6.1: the headers listed in `Connection` apply to this connection only.
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_forwarded = |name: &HeaderName| {
        !NOT_FORWARDED.contains(&name.as_str())
            && !listed.iter().any(|other| other == name.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| is_forwarded(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Sets a response header; it is omitted if the value is not a valid header value.
pub(super) fn set_header<B>(res: &mut Response<B>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}

/// Creates the response head for the caller from that of the target's answer.
pub(super) fn answer_head(status: StatusCode, headers: &HeaderMap) -> Response<()> {
    let mut res = Response::new(());
    *res.status_mut() = status;
    *res.headers_mut() = forwarded_headers(headers);
    if let Some(length) = headers.get(header::CONTENT_LENGTH) {
        res.headers_mut()
            .insert(header::CONTENT_LENGTH, length.clone());
    }
    res
}
