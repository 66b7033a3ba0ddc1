//! Tests that reports match the records they are computed from.

use std::time::Duration;

use chervilshunt_model::Class;
use chervilshunt_standin::check::{
    Answer, Api, Call, CompletionCall, Record, RequestPlan, Route, Timing, Verdict,
};
use rstest::rstest;

use super::{SentRequest, added_first_token, latency, path};

#[rstest]
#[case::short(1, 0.05, 0.1)]
#[case::milliseconds(1_000, 50.0, 99.0)]
#[case::minutes(1_000_000, 50_000.0, 99_000.0)]
fn quantiles_keep_their_size(#[case] unit_us: u64, #[case] p50: f64, #[case] p99: f64) {
    let times = (1..=100).map(|number| Duration::from_micros(number * unit_us));
    let got = latency(times);
    let is_near = |got: f64, wanted: f64| (got - wanted).abs() <= wanted * 0.011;
    assert!(is_near(got.p50_ms, p50), "{got:?}");
    assert!(is_near(got.p99_ms, p99), "{got:?}");
    assert_eq!(got.count, 100);
}

fn sent(number: usize, route: Route, lag_ms: u64, first_ms: u64) -> SentRequest {
    let plan = RequestPlan {
        to: ([127, 0, 0, 1], 1).into(),
        route,
        request_id: format!("r{number}").into(),
        call: Call::Completion(CompletionCall {
            model: "a@v".into(),
            api: Api::Text,
            stream: true,
            max_tokens: 3,
            prompt: "p".into(),
        }),
        class: Class::Live,
        key: None,
        deadline: None,
        timeout: Duration::from_secs(1),
    };
    let record = Record {
        plan,
        verdict: Verdict::Answered(Answer {
            tokens: 3,
            ..Answer::default()
        }),
        timing: Timing {
            first: Some(Duration::from_millis(first_ms)),
            total: Duration::from_millis(2 * first_ms),
            longest_gap: Duration::ZERO,
        },
    };
    SentRequest {
        record,
        number,
        tries: 0,
        lag: Duration::from_millis(lag_ms),
        measured: true,
    }
}

/// Latency includes the delay of a request that the tool sent late, since it is measured from the
/// scheduled time. Otherwise coordinated omission would hide stalls.
#[test]
fn latency_counts_from_the_scheduled_moment() {
    let report = path(&[sent(1, Route::System, 100, 5)], Route::System);
    assert_eq!(report.first_token_live.count, 1);
    assert!(
        (report.first_token_live.max_ms - 105.0).abs() < 0.2,
        "{report:?}"
    );
    assert!((report.total_live.max_ms - 110.0).abs() < 0.2, "{report:?}");
    assert_eq!((report.answered, report.tokens), (1, 3));
}

#[test]
fn only_requests_answered_on_both_paths_are_compared() {
    let unanswered = SentRequest {
        record: Record {
            verdict: Verdict::Disconnected {
                sent: true,
                detail: String::new(),
            },
            ..sent(3, Route::Direct, 0, 1).record
        },
        ..sent(3, Route::Direct, 0, 1)
    };
    let records = [
        sent(1, Route::System, 0, 12),
        sent(1, Route::Direct, 0, 10),
        sent(2, Route::System, 0, 900),
        sent(3, Route::System, 0, 900),
        unanswered,
    ];
    let added = added_first_token(&records);
    assert_eq!(added.count, 1);
    assert!((added.p50_ms - 2.0).abs() < 0.05, "{added:?}");
}
