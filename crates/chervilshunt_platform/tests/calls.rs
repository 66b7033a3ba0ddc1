//! Tests of the errors that calls return for each fault of the platform.

mod support;

use std::time::Duration;

use chervilshunt_platform::{
    CONFIG_HEADS, LEASES, Object, PlatformError, ResourceVersion, Selector, Timeouts,
};
use chervilshunt_standin::platform::{Down, FaultPatch};
use rstest::rstest;
use support::{Spec, client, config, standin, within};

const INSTANCE: &str = "i-1";

fn down(down: Down) -> FaultPatch {
    FaultPatch {
        down: Some(down),
        ..FaultPatch::default()
    }
}

fn frozen() -> FaultPatch {
    FaultPatch {
        freeze: Some(true),
        ..FaultPatch::default()
    }
}

fn slow() -> FaultPatch {
    FaultPatch {
        slow_ms: Some(2_000),
        ..FaultPatch::default()
    }
}

fn failing() -> FaultPatch {
    FaultPatch {
        fail_ratio: Some(1.0),
        ..FaultPatch::default()
    }
}

fn cut() -> FaultPatch {
    FaultPatch {
        cut: Some(vec![INSTANCE.into()]),
        ..FaultPatch::default()
    }
}

fn losing_answers() -> FaultPatch {
    FaultPatch {
        lose_answer_after_write: Some(100),
        ..FaultPatch::default()
    }
}

fn rate_limited() -> FaultPatch {
    FaultPatch {
        reads_per_second: Some(1),
        writes_per_second: Some(1),
        ..FaultPatch::default()
    }
}

/// Reads may be retried because they have no effect. The outcome of a write that was sent is
/// unknown unless the response reports it. Of the faults here, only a refused connection proves
/// that a write was not applied.
#[rstest]
#[case::up(FaultPatch::default(), "ok", "ok")]
#[case::refused(down(Down::Refuse), "unavailable", "unavailable")]
#[case::unavailable(down(Down::Unavailable), "unavailable", "outcome_unknown")]
#[case::frozen(frozen(), "timeout", "outcome_unknown")]
#[case::slow(slow(), "timeout", "outcome_unknown")]
#[case::failing(failing(), "unavailable", "outcome_unknown")]
#[case::cut(cut(), "unavailable", "outcome_unknown")]
#[case::losing_answers(losing_answers(), "ok", "outcome_unknown")]
#[tokio::test]
async fn reports_the_error_of_each_fault(
    #[case] fault: FaultPatch,
    #[case] read: &str,
    #[case] write: &str,
) {
    let standin = standin().await;
    let platform = client(&standin, INSTANCE);
    let mut object = Object::new("a", Spec { value: 1 });
    let version = platform.create(CONFIG_HEADS, &object).await;
    object.resource_version = Some(version.expect("the platform is up"));
    standin.set_faults(fault);

    let got = within(platform.get::<Spec>(CONFIG_HEADS, "a")).await;
    let listed = within(platform.list::<Spec>(CONFIG_HEADS, &Selector::all())).await;
    let created = Object::new("b", Spec { value: 1 });
    let created = within(platform.create(CONFIG_HEADS, &created)).await;
    let updated = within(platform.update(CONFIG_HEADS, &object)).await;
    let deleted = within(platform.delete(CONFIG_HEADS, "a", None)).await;
    assert_eq!(kind(&got), read, "get");
    assert_eq!(kind(&listed), read, "list");
    assert_eq!(kind(&created), write, "create");
    assert_eq!(kind(&updated), write, "update");
    assert_eq!(kind(&deleted), write, "delete");
}

fn kind<T>(result: &Result<T, PlatformError>) -> &'static str {
    result.as_ref().map_or_else(PlatformError::kind, |_| "ok")
}

/// The platform rejects calls with a `Retry-After`. If that lies beyond the call's time limit, the
/// call fails immediately instead of waiting in vain.
#[tokio::test]
async fn reports_the_platforms_rate_limit() {
    let standin = standin().await;
    let platform = client(&standin, INSTANCE);
    let hasty = platform.with_timeouts(Timeouts {
        call: Duration::from_millis(500),
        ..platform.config().timeouts
    });
    standin.set_faults(rate_limited());
    let first = Object::new("a", Spec { value: 1 });
    assert_eq!(kind(&platform.create(CONFIG_HEADS, &first).await), "ok");
    let second = Object::new("b", Spec { value: 1 });
    let refused = within(hasty.create(CONFIG_HEADS, &second)).await;
    let Err(PlatformError::RateLimited { retry_after, .. }) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(retry_after, Some(Duration::from_secs(1)));
    assert_eq!(standin.stats().calls_of("create"), 2);
    assert_eq!(
        kind(&within(platform.create(CONFIG_HEADS, &second)).await),
        "ok"
    );
}

/// Two operators read the same version and both write. The second write must fail with a conflict,
/// distinct from the errors for existing and missing objects.
#[tokio::test]
async fn distinguishes_conflicts() {
    let standin = standin().await;
    let platform = client(&standin, INSTANCE);
    let mut object = Object::new("a", Spec { value: 1 });
    let first = platform
        .create(CONFIG_HEADS, &object)
        .await
        .expect("it is up");
    let again = platform.create(CONFIG_HEADS, &object).await;
    assert_eq!(kind(&again), "already_exists");

    object.resource_version = Some(first);
    let second = platform
        .update(CONFIG_HEADS, &object)
        .await
        .expect("it is up");
    assert!(second > first);
    assert_eq!(
        kind(&platform.update(CONFIG_HEADS, &object).await),
        "conflict"
    );
    let stale_delete = platform.delete(CONFIG_HEADS, "a", Some(first)).await;
    assert_eq!(kind(&stale_delete), "conflict");

    let missing = Object {
        resource_version: Some(ResourceVersion::new(1)),
        ..Object::new("missing", Spec { value: 1 })
    };
    assert_eq!(
        kind(&platform.update(CONFIG_HEADS, &missing).await),
        "not_found"
    );
    let got = platform.get::<Spec>(CONFIG_HEADS, "missing").await;
    assert_eq!(kind(&got), "not_found");
    let unversioned = Object::new("a", Spec { value: 1 });
    assert_eq!(
        kind(&platform.update(CONFIG_HEADS, &unversioned).await),
        "invalid"
    );
    let unreadable = platform.get::<String>(CONFIG_HEADS, "a").await;
    assert_eq!(kind(&unreadable), "invalid");
}

/// In a path, an empty name or one with special characters would refer to the whole collection or
/// to a different object. Such names must be rejected before any call is sent.
#[rstest]
#[case("")]
#[case("..")]
#[case("a/b")]
#[case("a?x=1")]
#[tokio::test]
async fn rejects_invalid_object_names(#[case] name: &str) {
    let standin = standin().await;
    let platform = client(&standin, INSTANCE);
    let deleted = platform.delete(CONFIG_HEADS, name, None).await;
    assert_eq!(kind(&deleted), "invalid");
    let got = platform.get::<Spec>(CONFIG_HEADS, name).await;
    assert_eq!(kind(&got), "invalid");
    assert_eq!(standin.stats().total_calls(), 0);
}

/// Another client wrote an object that can't be decoded. The others must still be listed: one
/// malformed lease must not hide all leases from every instance.
#[tokio::test]
async fn lists_other_objects_despite_a_malformed_one() {
    let standin = standin().await;
    let platform = client(&standin, INSTANCE);
    let good = Object::new("good", Spec { value: 1 });
    assert_eq!(kind(&platform.create(CONFIG_HEADS, &good).await), "ok");
    let bad = Object::new("bad", "no number");
    assert_eq!(kind(&platform.create(CONFIG_HEADS, &bad).await), "ok");
    let list = platform.list::<Spec>(CONFIG_HEADS, &Selector::all()).await;
    let list = list.expect("the platform is up");
    let names: Vec<_> = list.objects.iter().map(|object| &*object.name).collect();
    assert_eq!(names, ["good"]);
    let malformed: Vec<_> = list.malformed.iter().map(|object| &*object.name).collect();
    assert_eq!(malformed, ["bad"]);
}

/// A list of several pages returns one consistent version of the collection.
#[tokio::test]
async fn lists_all_pages_as_of_one_version() {
    let standin = standin().await;
    let platform = client(&standin, INSTANCE);
    let small_pages = chervilshunt_platform::Resource {
        page_size: 3,
        ..CONFIG_HEADS
    };
    for value in 0..10 {
        let object = Object::new(format!("o-{value}"), Spec { value });
        platform
            .create(CONFIG_HEADS, &object)
            .await
            .expect("it is up");
    }
    let list = platform.list::<Spec>(small_pages, &Selector::all()).await;
    let list = list.expect("it is up");
    let values: Vec<_> = list
        .objects
        .iter()
        .map(|object| object.spec.value)
        .collect();
    assert_eq!(values, (0..10).collect::<Vec<_>>());
    assert!(
        list.objects
            .iter()
            .all(|object| object.resource_version <= Some(list.resource_version))
    );
}

/// Reads use up the process's rate limit, as when a new instance reads many pages. A lease write
/// must still be allowed, because part of the burst is reserved for urgent calls.
#[tokio::test]
async fn renews_a_lease_while_reads_use_up_the_rate() {
    let standin = standin().await;
    let mut cfg = config(&standin, INSTANCE);
    cfg.rate.per_second = 0.001;
    cfg.rate.burst = 6.0;
    cfg.rate.urgent_reserve = 2.0;
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let platform = chervilshunt_platform::Platform::new(cfg, log);
    let mut kinds = Vec::new();
    for _ in 0..5 {
        let list = within(platform.list::<Spec>(CONFIG_HEADS, &Selector::all())).await;
        kinds.push(kind(&list));
    }
    assert_eq!(kinds, ["ok", "ok", "ok", "ok", "rate_limited"]);
    let lease = Object::new("i-1", Spec { value: 1 });
    assert_eq!(kind(&within(platform.create(LEASES, &lease)).await), "ok");
}

/// Kubernetes omits an empty `spec`.
#[tokio::test]
async fn reads_an_object_without_a_spec() {
    let standin = standin().await;
    let platform = client(&standin, INSTANCE);
    let empty = Object::new("a", ());
    assert_eq!(kind(&platform.create(CONFIG_HEADS, &empty).await), "ok");
    let got = platform.get::<Option<Spec>>(CONFIG_HEADS, "a").await;
    assert_eq!(got.expect("it was created").spec, None);
    assert_eq!(
        kind(&platform.get::<Spec>(CONFIG_HEADS, "a").await),
        "invalid"
    );
}
