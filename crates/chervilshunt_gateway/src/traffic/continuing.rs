//! Requests that continue a stream: they may run only on the software version that began it.

use std::sync::Arc;
use std::time::Duration;

use super::refusal::{Reason, Refusal};
use super::request::{CallerRequest, Continuation};
use crate::shared::Shared;
use crate::streams::{OriginError, find_origin};

/// Delay after which a caller should retry when instances that may know its stream have not answered.
/// Retries go to other instances.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum length of a caller's header value in a log line.
const MAX_LOGGED_CHARS: usize = 64;

/// Finds the software version that began the stream which a request continues, and makes the request
/// require it.
///
/// # Errors
/// Refuses the request if the version is not known: what targets of two versions generate does not fit
/// together, and neither a target nor a caller would notice.
pub(super) async fn require_origin(
    shared: &Arc<Shared>,
    req: &mut CallerRequest,
) -> Result<(), Refusal> {
    let Some(continuation) = &req.continuation else {
        return Ok(());
    };
    let found = match continuation {
        Continuation::Of(_) => find_origin(shared, req.stream).await,
        Continuation::Unnamed => Err(OriginError::Unknown),
    };
    let result = match &found {
        Ok(found) => found.by.as_str(),
        Err(OriginError::Unknown) => "unknown",
        Err(OriginError::Unanswered) => "unanswered",
    };
    report(
        shared,
        req,
        continuation,
        result,
        found.as_ref().ok().map(|it| it.origin.software.as_str()),
    );
    let origin = found.map_err(refusal)?.origin;
    if !req.route.leads_to(&origin.service) {
        return Err(Refusal::new(Reason::OriginGone));
    }
    req.service = origin.service;
    req.software = Some(origin.software);
    Ok(())
}

fn refusal(error: OriginError) -> Refusal {
    match error {
        OriginError::Unknown => Refusal::new(Reason::OriginUnknown),
        OriginError::Unanswered => {
            Refusal::retry_after(Reason::OriginUnknown, UNANSWERED_RETRY_DELAY)
        }
    }
}

fn report(
    shared: &Shared,
    req: &CallerRequest,
    continuation: &Continuation,
    result: &'static str,
    software: Option<&str>,
) {
    let resumes = match continuation {
        Continuation::Of(attempt) => Some(shortened(attempt)),
        Continuation::Unnamed => None,
    };
    let last_event = req.headers.get(&shared.dialect.headers.last_event);
    let last_event = last_event.map(|it| shortened(&String::from_utf8_lossy(it.as_bytes())));
    slog::info!(shared.log, "stream taken up";
        "request" => &*req.id, "route" => &*req.route.name, "resumes" => resumes,
        "last_event" => last_event, "origin" => result, "software" => software);
    metrics::counter!("chervilshunt_streams_taken_up_total", "origin" => result).increment(1);
}

fn shortened(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}
