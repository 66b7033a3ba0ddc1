//! A caller's request, decoded once.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_core::{
    Fingerprint, PartId, RequestSize, Route, RouteTable, SoftwareVersion, StreamKey, Team, Weights,
};
use chervilshunt_engine::strip_hop_by_hop;
use chervilshunt_model::{Moment, ServiceName};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};

use super::refusal::{Reason, Refusal};
use crate::dialect::{Dialect, Headers};
use crate::shared::OpenRequest;
use crate::transit::strip_transit_headers;

/// A caller's request.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// The id of this attempt by the caller.
    pub(crate) id: Arc<str>,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    /// The headers that are sent to targets.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    /// The team that sent it, if the route needs a key.
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) service: ServiceName,
    pub(crate) weights: Option<Weights>,
    pub(crate) size: RequestSize,
    /// The parts of its prompt that other requests may share.
    pub(crate) parts: Vec<PartId>,
    /// The size, if the caller stated it.
    pub(crate) stated_size: Option<RequestSize>,
    pub(crate) arrived: Moment,
    /// How long the caller waits, as far as it says so.
    pub(crate) caller_waits: Duration,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(crate) deadline: Moment,
    /// Present if the caller continues a stream.
    pub(crate) continuation: Option<Continuation>,
    /// Identifies the stream, whichever of its attempts this is.
    pub(crate) stream: StreamKey,
    /// The software version at which the caller's stream has to continue.
    pub(crate) software: Option<SoftwareVersion>,
    /// Keeps the request counted as open while anything holds it.
    pub(crate) _open: OpenRequest,
}

impl CallerRequest {
    /// Returns what identifies the request across its caller's attempts, each of which has its own
    /// id.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let header = |name| {
            self.headers
                .get(name)
                .map_or(&b""[..], HeaderValue::as_bytes)
        };
        Fingerprint::of([
            self.method.as_str().as_bytes(),
            header(header::HOST),
            self.path.as_str().as_bytes(),
            header(header::AUTHORIZATION),
            self.team.as_ref().map_or(&b""[..], |it| it.name.as_bytes()),
            &self.body,
        ])
    }

    /// Returns the shared parts of the prompt as they are logged.
    pub(crate) fn parts_for_log(&self) -> String {
        let parts: Vec<String> = self.parts.iter().map(ToString::to_string).collect();
        parts.join(",")
    }

    /// Returns the priority at the target; 0 is the most urgent. The team's goes before the route's.
    pub(crate) fn priority(&self) -> u8 {
        let of_team = self.team.as_ref().and_then(|it| it.priority);
        of_team.unwrap_or(self.route.priority)
    }

    /// Returns the time that is left until the deadline.
    pub(crate) fn time_left(&self, now: Moment) -> Duration {
        now.until(self.deadline)
    }
}

/// How a caller refers to a stream that it continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Continuation {
    /// By the attempt that brought its first event.
    Of(Arc<str>),
    /// Not, or not readably.
    Unnamed,
}

impl Continuation {
    /// Reads it from a request's headers; `None` if the request begins a stream. Empty values count as
    /// absent ones.
    pub(crate) fn read(headers: &HeaderMap, names: &Headers) -> Option<Self> {
        let values = |name: &HeaderName| -> Vec<HeaderValue> {
            let values = headers.get_all(name).iter().cloned();
            let mut values: Vec<_> = values.filter(|it| !it.is_empty()).collect();
            values.dedup();
            values
        };
        match values(&names.resumes).as_slice() {
            [] => (!values(&names.last_event).is_empty()).then_some(Self::Unnamed),
            [attempt] => Some(match attempt.to_str() {
                Ok(attempt) => Self::Of(attempt.into()),
                Err(_) => Self::Unnamed,
            }),
            _ => Some(Self::Unnamed),
        }
    }
}

/// Returns the id of a request.
pub(crate) fn request_id(headers: &HeaderMap, name: &HeaderName) -> Option<Arc<str>> {
    let value = headers.get(name)?.to_str().ok()?;
    (!value.is_empty()).then(|| value.into())
}

/// Finds a request's route.
pub(crate) fn find_route(table: &RouteTable, head: &Parts) -> Result<Arc<Route>, Refusal> {
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|value| value.to_str().ok());
    let Some(host) = host else {
        return Err(Refusal::new(Reason::Malformed));
    };
    let route = table.find(host, head.uri.path());
    route.cloned().ok_or_else(|| Refusal::new(Reason::NoRoute))
}

/// What was decided on a request before its body was read.
pub(crate) struct Accepted {
    pub(crate) id: Arc<str>,
    pub(crate) route: Arc<Route>,
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) arrived: Moment,
    pub(crate) open: OpenRequest,
}

/// Creates the request from its head and body.
pub(crate) fn read_request(
    dialect: &Dialect,
    accepted: Accepted,
    head: Parts,
    body: Bytes,
) -> Result<CallerRequest, Refusal> {
    let Accepted {
        id,
        route,
        team,
        arrived,
        open,
    } = accepted;
    let Some(path) = head.uri.path_and_query().cloned() else {
        return Err(Refusal::new(Reason::Malformed));
    };
    let names = &dialect.headers;
    let text = |name: &HeaderName| head.headers.get(name).and_then(|it| it.to_str().ok());
    let weights = text(&names.weights).map(dialect.targets.weights);
    let size = text(&names.size).and_then(dialect.targets.size);
    let parts = text(&names.prompt_parts).map(dialect.targets.shared_parts);
    let requested = text(&names.deadline_ms).and_then(|it| it.parse().ok());
    let requested = requested.map_or(route.timeout, Duration::from_millis);
    let Some(service) = route.pick_service(rand::random()).cloned() else {
        return Err(Refusal::new(Reason::NoTarget));
    };
    let continuation = Continuation::read(&head.headers, names).filter(|_| route.streams);
    let first = match &continuation {
        Some(Continuation::Of(attempt)) => attempt,
        Some(Continuation::Unnamed) | None => &id,
    };
    let stream = StreamKey::new(first, team.as_ref().map(|it| &*it.name));
    Ok(CallerRequest {
        continuation,
        stream,
        software: None,
        caller_waits: requested,
        id,
        method: head.method,
        path,
        headers: forwarded(head.headers, team.as_deref(), dialect),
        body,
        deadline: arrived + requested.min(route.timeout),
        route,
        team,
        service,
        weights,
        size: size.unwrap_or_default(),
        parts: parts.unwrap_or_default(),
        stated_size: size,
        arrived,
        _open: open,
    })
}

/// Returns the headers that are sent to targets: all except hop-by-hop headers, headers that only
/// this system may set, `Expect`, and the length, which is set again. The team is added.
fn forwarded(mut headers: HeaderMap, team: Option<&Team>, dialect: &Dialect) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    for name in &dialect.headers.reserved {
        headers.remove(name);
    }
    strip_transit_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    if let Some(team) = team {
        set(&mut headers, &dialect.headers.team, &team.name);
    }
    headers
}

/// Sets a header; a value that is not valid in a header is omitted.
pub(crate) fn set(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
