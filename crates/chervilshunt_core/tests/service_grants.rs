//! Places at plain services: which requests hold them, and when they are free again.

#[path = "support/plain_plays.rs"]
#[allow(dead_code, reason = "each test binary uses a part of it")]
mod plain_plays;

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{
    AdmissionRequest, AdmissionResult, Fingerprint, GrantNumber, GrantProgress, InstanceShare,
    Leaving, ResidencyEvent, ServiceQueues, ShareRequest, ShareResult, TargetUse,
};
use chervilshunt_model::{InstanceId, Moment, ServiceName, TargetName};
use plain_plays::{SERVICE, target_facts};
use rstest::rstest;

const OBJECTIVE: Duration = Duration::from_millis(150);
const TIME: Duration = Duration::from_secs(3);
const SLOTS: u32 = 6;
/// The requests that one target takes: its slots, and what is served within the objective at the
/// assumed time in a slot of 50 ms.
const PLACES: u64 = 18;

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

fn instance(name: &str) -> InstanceId {
    InstanceId::new(name)
}

fn queues(targets: &[&str]) -> ServiceQueues {
    let mut queues = ServiceQueues::default();
    for name in targets {
        let listed = ResidencyEvent::TargetListed(target_facts(name, SLOTS, 1));
        queues.observe(&listed, at(0));
    }
    queues
}

fn request(content: u64) -> AdmissionRequest {
    AdmissionRequest {
        service: ServiceName::new(SERVICE),
        team: Some(Arc::from("north")),
        weight: Some(1.0),
        objective_left: OBJECTIVE,
        time_left: TIME,
        priority: 0,
        content: Fingerprint::of([&content.to_le_bytes()[..]]),
        is_repeat: false,
        zone: None,
        avoid: Vec::new(),
    }
}

/// Asks for places until a request is refused, and returns how many were admitted.
fn fill(queues: &mut ServiceQueues, first: u64, from: &str, now: Moment) -> u64 {
    for count in 0..1_000 {
        let number = GrantNumber(first + count);
        let result = queues.admit(number, &instance(from), &request(first + count), 0.0, now);
        if !matches!(result, AdmissionResult::At { .. }) {
            return count;
        }
    }
    panic!("no bound");
}

fn usage(from: &str, in_flight: u32, grants: std::ops::Range<u64>) -> ResidencyEvent {
    let uses = vec![TargetUse {
        target: TargetName::new("t0"),
        weights: None,
        in_flight,
    }];
    let grants = grants.map(GrantNumber).collect();
    ResidencyEvent::UsageReported(instance(from), uses, grants)
}

/// Guards against places that are held for ever after what held them is gone.
#[rstest]
#[case::their_ends_are_reported(ResidencyEvent::GrantsProgressed(GrantProgress {
    ended: (0..100).map(GrantNumber).collect(),
    ..GrantProgress::default()
}))]
#[case::their_instance_is_gone(ResidencyEvent::InstanceGone(instance("i1")))]
#[case::the_report_omits_them(usage("i1", 0, 0..0))]
#[case::their_target_has_restarted(ResidencyEvent::TargetListed(target_facts("t0", SLOTS, 2)))]
fn places_are_free_again(#[case] event: ResidencyEvent) {
    let mut queues = queues(&["t0"]);
    let places = fill(&mut queues, 0, "i1", at(0));
    assert!((u64::from(SLOTS)..=PLACES).contains(&places), "{places}");
    assert_eq!(fill(&mut queues, 200, "i1", at(350)), 0);
    queues.observe(&event, at(400));
    assert_eq!(queues.open_grants(), 0);
    // The callers that were told to return have not done so, and their times have lapsed.
    assert_eq!(fill(&mut queues, 300, "i1", at(3_000)), places);
}

/// Guards against grants that are ended by a report which was sent before they were given.
#[test]
fn a_report_that_crosses_a_grant_does_not_end_it() {
    let mut queues = queues(&["t0"]);
    let places = fill(&mut queues, 0, "i1", at(0));
    queues.observe(&usage("i1", 0, 0..0), at(100));
    assert_eq!(queues.open_grants() as u64, places);
}

/// Guards against requests that are sent to a target that is gone or is leaving.
#[test]
fn targets_that_go_get_nothing() {
    let mut queues = queues(&["t0", "t1"]);
    let mut leaving = target_facts("t0", SLOTS, 1);
    leaving.leaving = Some(Leaving { gone_after: None });
    queues.observe(&ResidencyEvent::TargetListed(leaving), at(0));
    let gone = ResidencyEvent::TargetGone(TargetName::new("t1"));
    let target = |queues: &mut ServiceQueues| {
        let number = GrantNumber(1);
        queues.admit(number, &instance("i1"), &request(1), 0.0, at(1))
    };
    let AdmissionResult::At { target: name, .. } = target(&mut queues) else {
        panic!("not admitted");
    };
    assert_eq!(name.as_str(), "t1");
    queues.observe(&gone, at(1));
    assert_eq!(queues.open_grants(), 0);
    assert_eq!(target(&mut queues), AdmissionResult::NoTarget);
}

/// Guards against a new placer that takes a full service for an empty one.
#[test]
fn a_new_placer_learns_of_open_requests_from_reports() {
    let mut empty = queues(&["t0"]);
    let places = fill(&mut empty, 0, "i2", at(0));
    let mut queues = queues(&["t0"]);
    // The grants of the earlier placer are not known.
    queues.observe(&usage("i1", 4, 900..904), at(0));
    assert_eq!(fill(&mut queues, 0, "i2", at(1)) + 4, places);
    queues.observe(&usage("i1", 0, 0..0), at(2));
    assert_eq!(fill(&mut queues, 100, "i2", at(3)), 4);
}

/// Guards against a placer that grants the places which cut-off instances use without it.
#[test]
fn cut_off_instances_are_left_their_part() {
    let mut all = queues(&["t0"]);
    let places = fill(&mut all, 0, "i1", at(0));
    let mut queues = queues(&["t0"]);
    queues.set_absent(1.0 / 3.0);
    let left = fill(&mut queues, 0, "i1", at(0));
    assert!(left <= places - 2, "{left} of {places}");
    queues.set_absent(1.0);
    assert!(fill(&mut queues, 200, "i1", at(1)) == 0);
    queues.set_absent(0.0);
    assert_eq!(left + fill(&mut queues, 400, "i1", at(2)), places);
}

/// Guards against plain services whose targets are taken for engines, and engines that get places.
#[test]
fn services_with_engines_have_no_queue() {
    let mut queues = queues(&["t0"]);
    let limits = chervilshunt_core::PlacementLimits {
        models: Vec::new(),
        megabytes: 1.0,
        adapter_slots: 1,
        loads_per_second: 1.0,
    };
    queues.observe(
        &ResidencyEvent::Limits(ServiceName::new(SERVICE), limits),
        at(0),
    );
    let result = queues.admit(GrantNumber(1), &instance("i1"), &request(1), 0.0, at(1));
    assert_eq!(result, AdmissionResult::NoTarget);
}

/// Guards against a request that has failed at a target and is refused because it is late.
#[test]
fn a_repeat_is_admitted_although_its_objective_has_passed() {
    let mut queues = queues(&["t0"]);
    for number in 0..u64::from(SLOTS) {
        let number = GrantNumber(number);
        queues.admit(number, &instance("i1"), &request(number.0), 0.0, at(0));
    }
    let late = AdmissionRequest {
        objective_left: Duration::ZERO,
        ..request(50)
    };
    let decide = |queues: &mut ServiceQueues, req: &AdmissionRequest| {
        queues.admit(GrantNumber(50), &instance("i1"), req, 0.0, at(1))
    };
    let refused = decide(&mut queues, &late);
    assert!(matches!(refused, AdmissionResult::Busy(_)), "{refused:?}");
    let repeat = AdmissionRequest {
        is_repeat: true,
        ..late
    };
    let admitted = decide(&mut queues, &repeat);
    assert!(
        matches!(admitted, AdmissionResult::At { .. }),
        "{admitted:?}"
    );
}

/// Guards against memory that grows with refused callers, teams and finished requests.
#[test]
fn the_state_is_bounded() {
    let mut queues = queues(&["t0"]);
    for number in 0..50_000 {
        let team = format!("team-{}", number % 6_000);
        let req = AdmissionRequest {
            team: Some(Arc::from(team)),
            ..request(number)
        };
        let now = Moment::from_micros(10_000_000 + number * 100);
        queues.admit(GrantNumber(number), &instance("i1"), &req, 0.5, now);
    }
    assert!(queues.open_grants() <= PLACES as usize);
    let text = format!("{queues:?}");
    assert!(text.len() < 4_000_000, "{} characters of state", text.len());
}

fn share_request<'a>(
    service: &'a ServiceName,
    instances: usize,
    in_flight: u32,
) -> ShareRequest<'a> {
    ShareRequest {
        service,
        slots: 4 * SLOTS,
        instances,
        in_flight,
        objective: OBJECTIVE,
        objective_left: Duration::from_millis(20),
        time_left: TIME,
        content: Fingerprint::of([&b"one"[..]]),
        is_waiting: false,
    }
}

/// Guards against admission without a bound while no placer answers.
#[rstest]
#[case::many_instances(70, 1)]
#[case::few_instances(4, 9)]
#[case::one_instance(1, 36)]
fn without_a_placer_an_instance_keeps_to_its_share(#[case] instances: usize, #[case] share: u32) {
    let service = ServiceName::new(SERVICE);
    let mut shares = InstanceShare::default();
    let mut sent = 0;
    while shares.decide(&share_request(&service, instances, sent), at(0)) == ShareResult::Admitted {
        shares.sent(&service);
        sent += 1;
        assert!(sent <= share, "more than {share} sent");
    }
    assert_eq!(sent, share);
}

/// Guards against requests that are all admitted because none of them has been sent yet.
#[test]
fn requests_that_are_about_to_be_sent_count() {
    let service = ServiceName::new(SERVICE);
    let mut shares = InstanceShare::default();
    let req = share_request(&service, 70, 0);
    assert_eq!(shares.decide(&req, at(0)), ShareResult::Admitted);
    assert!(matches!(
        shares.decide(&req, at(0)),
        ShareResult::Refused(Some(_))
    ));
    shares.sent(&service);
    assert_eq!(shares.decide(&req, at(1)), ShareResult::Admitted);
}

/// Guards against refusals at an idle service, where two requests happen to come to one instance
/// at a time, and against waits that make a response late.
#[test]
fn a_request_waits_for_a_place_while_it_can_be_in_time() {
    let service = ServiceName::new(SERVICE);
    let mut shares = InstanceShare::default();
    let new = ShareRequest {
        objective_left: OBJECTIVE,
        ..share_request(&service, 70, 1)
    };
    assert_eq!(shares.decide(&new, at(0)), ShareResult::Wait);
    shares.wait_began(&service);
    let second = shares.decide(&new, at(0));
    assert!(matches!(second, ShareResult::Refused(_)), "{second:?}");
    let late = ShareRequest {
        is_waiting: true,
        objective_left: Duration::from_millis(90),
        ..new
    };
    assert!(matches!(
        shares.decide(&late, at(60)),
        ShareResult::Refused(_)
    ));
    let free = ShareRequest {
        in_flight: 0,
        is_waiting: true,
        ..new
    };
    assert_eq!(shares.decide(&free, at(50)), ShareResult::Admitted);
}

/// Guards against callers that were refused by an instance and find no place when they return.
#[test]
fn a_caller_that_returns_to_its_instance_has_a_place() {
    let service = ServiceName::new(SERVICE);
    let mut shares = InstanceShare::default();
    let req = share_request(&service, 70, 1);
    let ShareResult::Refused(Some(retry_in)) = shares.decide(&req, at(0)) else {
        panic!("no time to return");
    };
    assert!(retry_in <= TIME / 3);
    assert_eq!(shares.decide(&req, at(0) + retry_in), ShareResult::Admitted);
}
