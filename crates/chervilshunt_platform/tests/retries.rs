//! Tests that retries stay within their budget and that no write is sent twice.

mod support;

use chervilshunt_platform::{CONFIG_HEADS, Object, PlatformError, Selector};
use chervilshunt_standin::platform::{Down, FaultPatch};
use rstest::rstest;
use support::{Spec, client, config, standin, within};

const INSTANCE: &str = "i-1";
const CALLS: u64 = 60;

/// The platform fails every call. Each call must return its error, and the retries must stay within
/// the budget: its burst plus a tenth of the calls.
#[rstest]
#[case::unavailable(FaultPatch { down: Some(Down::Unavailable), ..FaultPatch::default() })]
#[case::failing(FaultPatch { fail_ratio: Some(1.0), ..FaultPatch::default() })]
#[case::cut(FaultPatch { cut: Some(vec![INSTANCE.into()]), ..FaultPatch::default() })]
#[tokio::test]
async fn a_failing_platform_sees_bounded_retries(#[case] fault: FaultPatch) {
    let standin = standin().await;
    let platform = client(&standin, INSTANCE);
    standin.set_faults(fault);
    for _ in 0..CALLS {
        let got = within(platform.get::<Spec>(CONFIG_HEADS, "a")).await;
        assert!(
            matches!(got, Err(PlatformError::Unavailable { .. })),
            "{got:?}"
        );
    }
    let budget = config(&standin, INSTANCE).retries;
    let earned = budget.ratio * CALLS as f64;
    let bound = CALLS + (budget.burst + earned).ceil() as u64;
    let calls = standin.stats().total_calls();
    assert!(calls <= bound, "{calls} calls, at most {bound} allowed");
    assert!(calls > CALLS, "no call was retried");
}

/// A tenth of all calls fail. Retries must hide nearly all failures from the callers.
#[tokio::test]
async fn a_flaky_platform_is_hidden_by_retries() {
    let standin = standin().await;
    let platform = client(&standin, INSTANCE);
    let flaky = FaultPatch {
        fail_ratio: Some(0.1),
        ..FaultPatch::default()
    };
    standin.set_faults(flaky);
    let mut failed = 0;
    for _ in 0..CALLS {
        let list = within(platform.list::<Spec>(CONFIG_HEADS, &Selector::all())).await;
        failed += u32::from(list.is_err());
    }
    assert!(failed <= 2, "{failed} of {CALLS} calls failed");
}

/// Every write takes effect, but its response is lost. The call must report an unknown outcome, the
/// write must be sent exactly once, and reading the object back shows the result.
#[tokio::test]
async fn a_lost_response_never_duplicates_a_write() {
    let standin = standin().await;
    let platform = client(&standin, INSTANCE);
    let losing = FaultPatch {
        lose_answer_after_write: Some(CALLS),
        ..FaultPatch::default()
    };
    standin.set_faults(losing);
    for value in 0..CALLS {
        let object = Object::new(format!("o-{value}"), Spec { value });
        let created = within(platform.create(CONFIG_HEADS, &object)).await;
        assert!(
            matches!(created, Err(PlatformError::OutcomeUnknown { .. })),
            "{created:?}"
        );
        let read = platform.get::<Spec>(CONFIG_HEADS, &object.name).await;
        assert_eq!(read.expect("it was written").spec.value, value);
    }
    let stats = standin.stats();
    assert_eq!(stats.writes, CALLS);
    assert_eq!(stats.calls_of("create"), CALLS);
}

/// The platform freezes and resumes after the call has timed out. Only then does the write take
/// effect, so an object that looks unchanged at first does not prove that the write was not
/// applied. A following update with the old version must fail with a conflict.
#[tokio::test]
async fn a_write_can_take_effect_after_its_timeout() {
    let standin = standin().await;
    let platform = client(&standin, INSTANCE);
    let mut object = Object::new("a", Spec { value: 1 });
    let version = platform.create(CONFIG_HEADS, &object).await;
    object.resource_version = Some(version.expect("the platform is up"));

    let frozen = FaultPatch {
        freeze: Some(true),
        ..FaultPatch::default()
    };
    standin.set_faults(frozen);
    object.spec.value = 2;
    let late = within(platform.update(CONFIG_HEADS, &object)).await;
    assert!(
        matches!(late, Err(PlatformError::OutcomeUnknown { .. })),
        "{late:?}"
    );
    standin.clear_faults();
    within(async {
        while standin.stats().writes < 2 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    object.spec.value = 3;
    let next = within(platform.update(CONFIG_HEADS, &object)).await;
    assert!(
        matches!(next, Err(PlatformError::Conflict { .. })),
        "{next:?}"
    );
}

/// Five watches lose their platform, which becomes unavailable. They must retry one at a time with
/// a shared backoff, so that the platform does not receive five times the calls.
#[tokio::test]
async fn watches_reconnect_one_at_a_time() {
    let standin = standin().await;
    let mut cfg = config(&standin, INSTANCE);
    cfg.watch.backoff.base = std::time::Duration::from_millis(100);
    cfg.watch.backoff.cap = std::time::Duration::from_millis(100);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let platform = chervilshunt_platform::Platform::new(cfg, log);
    let mut watches: Vec<_> = (0..5)
        .map(|_| platform.watch::<Spec>(CONFIG_HEADS, Selector::all()))
        .collect();
    within(async {
        while standin.stats().open_watches < 5 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    let before = standin.stats().total_calls();
    let unavailable = FaultPatch {
        down: Some(Down::Unavailable),
        ..FaultPatch::default()
    };
    standin.set_faults(unavailable);
    let started = std::time::Instant::now();
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    let elapsed = started.elapsed().as_millis() as u64;
    let calls = standin.stats().total_calls() - before;
    // Each watch detects the outage with one call of its own. After that there is one call per
    // backoff of 100 ms.
    let bound = 5 + elapsed / 100 + 1;
    assert!(calls <= bound, "{calls} calls, at most {bound} allowed");
    watches.clear();
}
