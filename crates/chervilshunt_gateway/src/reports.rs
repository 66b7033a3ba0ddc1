//! Queries of what a target holds, and since when it runs.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_core::TargetReport;
use chervilshunt_engine::{ConnectionUse, EngineClient, Limits};
use chervilshunt_model::TargetName;

use crate::shared::Shared;

/// Timeouts of an order to a target, or of a query for what it holds. A target answers within
/// milliseconds, and a placer that has used up its processor share reads the answer at most 0.1 s
/// later; a slower target may carry an order out late. With longer timeouts, targets that left a
/// third of the orders unanswered were idle half of the time.
pub(crate) const TARGET_CALL_LIMITS: Limits = Limits {
    connect: Duration::from_millis(250),
    head: Duration::from_millis(250),
    idle: Duration::from_millis(250),
    body: Duration::from_millis(500),
};
/// Maximum length of a target's report, in bytes.
pub(crate) const MAX_REPORT_BYTES: usize = 1 << 20;

/// Returns a client for a single order to a target, or a single query of what it holds.
///
/// Targets' answers to these state no id. On a shared connection, a late answer to an earlier call
/// would be taken for the answer to the next one. The client's connections close with it. See
/// `docs/design/answer-identity.md`.
pub(crate) fn single_call_client(shared: &Shared, address: SocketAddr) -> EngineClient {
    EngineClient::with_id_header(address, shared.dialect.headers.id_header())
}

/// Asks a target for its report.
pub(crate) async fn fetch_report(
    shared: &Shared,
    target: &TargetName,
) -> Result<TargetReport, String> {
    let dialect = &shared.dialect.targets;
    let (address, started) = {
        let dispatch = shared.dispatch();
        let facts = dispatch.target(target).ok_or("target is not known")?;
        (facts.address, facts.started)
    };
    let client = single_call_client(shared, address);
    let sent_at = shared.clock.now();
    let req = (dialect.report_query)(target);
    let answer = client.forward(req, ConnectionUse::NEW, TARGET_CALL_LIMITS);
    let answer = answer
        .await
        .inspect_err(|error| shared.record_call_failure(target, "report", error));
    let (head, body) = answer.map_err(|error| error.to_string())?;
    let names = &shared.dialect.headers;
    if names.name_other_target(&head.headers, target) {
        return Err("another target has the address".to_owned());
    }
    shared.record_connection_opened(target);
    if !head.status.is_success() {
        return Err(format!("target answered with status {}", head.status));
    }
    shared.check_leaving(target, started, &head.headers);
    shared.check_limit(target, started, &head.headers, None);
    shared.check_brittle(target, &head.headers, sent_at);
    let body = body.read_whole(MAX_REPORT_BYTES).await;
    let body = body.map_err(|error| error.to_string())?;
    (dialect.decode_report)(&body).map_err(|error| error.to_string())
}
