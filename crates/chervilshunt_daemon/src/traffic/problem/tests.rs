//! The response for every reason of a problem.

use std::time::Duration;

use chervilshunt_core::RefusalReason;
use chervilshunt_model::RequestId;
use rstest::rstest;
use serde_json::Value;

use super::{Outcome, Problem, Reason};

#[rstest]
#[case(Reason::BadRequest, 400, "bad_request")]
#[case(Reason::UnknownModel, 404, "unknown_model")]
#[case(Reason::UnknownService, 404, "unknown_service")]
#[case(Reason::UnknownPath, 404, "unknown_path")]
#[case(Reason::BadMethod, 405, "bad_method")]
#[case(Reason::HeadTooSlow, 408, "head_too_slow")]
#[case(Reason::BodyTooSlow, 408, "body_too_slow")]
#[case(Reason::BodyTooLarge, 413, "body_too_large")]
#[case(Reason::TooManyRequests, 429, "too_many_requests")]
#[case(Reason::Owner(RefusalReason::QueueFull), 429, "queue_full")]
#[case(Reason::TargetFailed, 502, "target_failed")]
#[case(Reason::TargetRefused, 502, "target_refused")]
#[case(Reason::WrongModel, 502, "wrong_model")]
#[case(Reason::BrokenOff, 502, "broken_off")]
#[case(Reason::NoBodyRoom, 503, "no_body_room")]
#[case(Reason::NotReady, 503, "not_ready")]
#[case(Reason::NoOwner, 503, "no_owner")]
#[case(Reason::NoTarget, 503, "no_target")]
#[case(Reason::ClaimUnavailable, 503, "claim_unavailable")]
#[case(Reason::Owner(RefusalReason::LoadFailed), 503, "load_failed")]
#[case(Reason::Owner(RefusalReason::Draining), 503, "draining")]
#[case(Reason::Owner(RefusalReason::NotOwner), 503, "not_owner")]
#[case(Reason::Owner(RefusalReason::TargetDown), 503, "target_down")]
#[case(Reason::Owner(RefusalReason::TargetFailing), 503, "target_failing")]
#[case(Reason::Owner(RefusalReason::Deadline), 504, "deadline")]
#[case(Reason::TargetTimeout, 504, "target_timeout")]
fn a_reason_has_a_status_and_a_name(
    #[case] reason: Reason,
    #[case] status: u16,
    #[case] name: &str,
) {
    let made = [
        (Problem::not_run(reason, "why"), "not_run"),
        (Problem::unknown(reason, "why"), "unknown"),
        (Problem::cut_short(reason, "why"), "cut_short"),
    ];
    for (problem, outcome) in made {
        let res = problem.to_response(&RequestId::new("slip-7"));
        assert_eq!(res.status(), status);
        assert_eq!(res.headers()["content-type"], "application/problem+json");
        assert!(!res.headers().contains_key("retry-after"));
        let document: Value = serde_json::from_slice(res.body()).unwrap();
        assert_eq!(document["type"], format!("/problems/{name}"));
        assert_eq!(document["title"].as_str(), res.status().canonical_reason());
        assert_eq!(document["status"], status);
        assert_eq!(document["detail"], "why");
        assert_eq!(document["outcome"], outcome);
        assert_eq!(document["reason"], name);
        assert_eq!(document["request_id"], "slip-7");
    }
}

// Rounded up to whole seconds, because an earlier retry would be refused again.
#[rstest]
#[case(0, "1")]
#[case(1, "1")]
#[case(1_000, "1")]
#[case(1_001, "2")]
#[case(59_500, "60")]
fn retry_after_is_rounded_up(#[case] millis: u64, #[case] seconds: &str) {
    let problem =
        Problem::not_run(Reason::NotReady, "why").retry_after(Duration::from_millis(millis));
    let res = problem.to_response(&RequestId::new("r"));
    assert_eq!(res.headers()["retry-after"], seconds);
}

// The answer of the first attempt is interrupted, and the retry is refused. The problem must not
// claim that the request did not run.
#[rstest]
#[case::refused_after_it_may_have_run(true, false, Outcome::Unknown, Reason::BrokenOff, Some(7))]
#[case::refused_each_time(
    false,
    false,
    Outcome::NotRun,
    Reason::Owner(RefusalReason::LoadFailed),
    Some(7)
)]
#[case::broken_off_each_time(true, true, Outcome::Unknown, Reason::TargetFailed, Some(2))]
fn the_last_attempt_does_not_hide_that_an_earlier_one_ran(
    #[case] earlier_ran: bool,
    #[case] last_ran: bool,
    #[case] outcome: Outcome,
    #[case] reason: Reason,
    #[case] retry_after: Option<u64>,
) {
    let earlier = earlier_ran.then(|| Problem::unknown(Reason::BrokenOff, "the answer broke off"));
    let last = if last_ran {
        Problem::unknown(Reason::TargetFailed, "").retry_after(Duration::from_secs(2))
    } else {
        let reason = Reason::Owner(RefusalReason::LoadFailed);
        Problem::not_run(reason, "").retry_after(Duration::from_secs(7))
    };
    let told = last.after(earlier);
    assert_eq!((told.outcome, told.reason), (outcome, reason));
    assert_eq!(told.retry_after, retry_after.map(Duration::from_secs));
}
