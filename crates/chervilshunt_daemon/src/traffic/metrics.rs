//! Metrics of callers' requests; see `docs/operators/metrics.md`.

use std::time::Duration;

use chervilshunt_model::Class;
use metrics::{Gauge, counter, gauge, histogram};

use super::problem::Problem;

/// Counts an accepted request.
pub(crate) fn request(class: Class) {
    counter!("chervilshunt_requests_total", "class" => class.as_str()).increment(1);
}

/// Counts a request that was refused or failed.
pub(crate) fn problem(problem: &Problem) {
    counter!(
        "chervilshunt_problems_total",
        "outcome" => problem.outcome.as_str(),
        "reason" => problem.reason.as_str()
    )
    .increment(1);
}

/// Records how long a request waited for its permit.
pub(crate) fn permit_wait(class: Class, wait: Duration) {
    histogram!("chervilshunt_permit_wait_seconds", "class" => class.as_str()).record(wait);
}

/// Records the time from the request's arrival to the first piece of the answer.
pub(crate) fn first_byte(class: Class, time: Duration) {
    histogram!("chervilshunt_first_byte_seconds", "class" => class.as_str()).record(time);
}

/// Counts the tokens of a complete answer and records its time since the request's arrival.
pub(crate) fn answered(class: Class, tokens: u32, time: Duration) {
    let class = class.as_str();
    counter!("chervilshunt_tokens_total", "class" => class).increment(u64::from(tokens));
    histogram!("chervilshunt_answer_seconds", "class" => class).record(time);
}

/// Counts a retry by its reason.
pub(crate) fn retry(reason: &'static str) {
    counter!("chervilshunt_retries_total", "reason" => reason).increment(1);
}

/// Counts a request as open until dropped.
#[derive(Debug)]
pub(crate) struct OpenRequest(Gauge);

impl OpenRequest {
    /// Increments the gauge of open requests.
    pub(crate) fn begin() -> Self {
        let open = gauge!("chervilshunt_open_requests");
        open.increment(1.0);
        Self(open)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.decrement(1.0);
    }
}
