//! Serves one request, from its head to the head of its answer.

use std::sync::Arc;

use chervilshunt_engine::strip_hop_by_hop;
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;

use super::attempt::{AcceptedAnswer, RequestAttempts};
use super::authentication::authenticate;
use super::body::ReplyBody;
use super::continuing::require_origin;
use super::intake::read_body;
use super::refusal::{Reason, Refusal};
use super::relay::Relay;
use super::request::{Accepted, CallerRequest, find_route, read_request, request_id, set};
use crate::crashes::fingerprints;
use crate::front::{CallerConnection, read_buffer};
use crate::shared::{OpenRequest, Shared};

/// Answers one request.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    connection: &CallerConnection,
    req: Request<Incoming>,
) -> Response<ReplyBody> {
    let names = &shared.dialect.headers;
    let id = request_id(req.headers(), &names.request_id);
    let result = match &id {
        Some(id) => answer(shared, connection, req, Arc::clone(id)).await,
        None => Err(Refusal::new(Reason::Malformed)),
    };
    let mut res = result.unwrap_or_else(|refusal| {
        report(shared, id.as_deref(), refusal);
        refusal.into_response()
    });
    if let Some(id) = &id {
        set(res.headers_mut(), &names.request_id, id);
    }
    if shared.is_stopping() || !shared.admission().may_keep() {
        // The connection closes after this answer, so that the caller sends its next request to
        // another instance.
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

async fn answer(
    shared: &Arc<Shared>,
    connection: &CallerConnection,
    req: Request<Incoming>,
    id: Arc<str>,
) -> Result<Response<ReplyBody>, Refusal> {
    let arrived = shared.clock.now();
    let open = OpenRequest::begin(shared);
    let Some(routes) = shared.routes.load_full() else {
        return Err(Refusal::new(Reason::NoConfiguration));
    };
    let (mut head, body) = req.into_parts();
    let route = find_route(&routes, &head)?;
    let team = authenticate(&routes, &route, &mut head.headers)?;
    if team.is_some() && shared.are_keys_outdated(arrived) {
        return Err(Refusal::new(Reason::KeysOutdated));
    }
    let bounds = routes.bounds;
    let body = read_body(shared, body, bounds.body_bytes, read_buffer(bounds)).await;
    if !connection.request_read() {
        // The connection is about to be closed for another one.
        return Err(Refusal::new(Reason::NotAdmitted));
    }
    let body = body?;
    if shared.close_connections.is_cancelled() {
        return Err(Refusal::new(Reason::Stopping));
    }
    let accepted = Accepted {
        id,
        route,
        team,
        arrived,
        open,
    };
    let mut req = read_request(&shared.dialect, accepted, head, body)?;
    require_origin(shared, &mut req).await?;
    let req = Arc::new(req);
    count_request(shared, &req);
    if !req.parts.is_empty() {
        let parts = fingerprints(&req.parts);
        shared.quarantine().record_request_parts(&parts);
    }
    let mut run = RequestAttempts::new(shared, &req);
    let waiting = PendingRequest(Some(&req), shared);
    let result = run.answer().await;
    waiting.finish();
    let answered = result.inspect_err(|refusal| run.report_given_up(*refusal))?;
    let runs = run.runs();
    Ok(relayed(shared, &req, answered, runs))
}

/// Counts the request for the retries that it earns.
///
/// It counts from the time at which it may have arrived. Counted when it is read after a stall, it would earn retries
/// in windows that end long after it was sent.
fn count_request(shared: &Shared, req: &CallerRequest) {
    let arrived = shared.stalls().earliest_arrival(req.arrived);
    shared.retries().record_request(&req.service, arrived);
    let delay = req.arrived.since(arrived);
    if !delay.is_zero() {
        slog::info!(shared.log, "request read late";
            "request" => &*req.id, "service" => req.service.as_str(),
            "late_ms" => delay.as_millis() as u64);
        metrics::counter!("chervilshunt_late_reads_total").increment(1);
    }
}

/// A request without an answer yet. If its caller disconnects, it is dropped, and the drop is
/// logged.
struct PendingRequest<'a>(Option<&'a CallerRequest>, &'a Shared);

impl PendingRequest<'_> {
    fn finish(mut self) {
        self.0 = None;
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        let Self(Some(req), shared) = self else {
            return;
        };
        let waited = shared.clock.now().since(req.arrived);
        slog::info!(shared.log, "caller disconnected";
            "request" => &*req.id, "route" => &*req.route.name,
            "waited_ms" => waited.as_millis() as u64);
        metrics::counter!("chervilshunt_abandoned_total").increment(1);
    }
}

fn relayed(
    shared: &Arc<Shared>,
    req: &Arc<CallerRequest>,
    mut answered: AcceptedAnswer,
    runs: u32,
) -> Response<ReplyBody> {
    let mut res = Response::new(());
    *res.status_mut() = answered.head.status;
    let mut headers = std::mem::take(&mut answered.head.headers);
    strip_hop_by_hop(&mut headers);
    let relay = Relay::new(shared, Arc::clone(req), answered, runs);
    if relay.size_hint().exact().is_none() {
        headers.remove(header::CONTENT_LENGTH);
    }
    *res.headers_mut() = headers;
    res.map(|()| ReplyBody::Relayed(Box::new(relay)))
}

fn report(shared: &Shared, id: Option<&str>, refusal: Refusal) {
    slog::info!(shared.log, "refused";
        "request" => id, "reason" => refusal.reason.as_str(),
        "status" => refusal.status().as_u16(),
        "retry_after_ms" => refusal.retry_after.map(|it| it.as_millis() as u64));
    metrics::counter!("chervilshunt_refusals_total", "reason" => refusal.reason.as_str())
        .increment(1);
}
