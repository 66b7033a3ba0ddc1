//! Where streams began, and which software version a target has.

use std::time::Duration;

use chervilshunt_core::{
    BegunStreams, Dispatch, DispatchConfig, SoftwareVersion, StreamKey, StreamOrigin,
    StreamOrigins, TargetFacts, TargetStart,
};
use chervilshunt_model::{Moment, ServiceName, TargetName, ZoneName};
use proptest::prelude::*;
use rstest::rstest;

const WAITS: Duration = Duration::from_secs(15);

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::from("drafts")
}

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::new(name)
}

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: service(),
        software: version(software),
    }
}

fn key(attempt: &str) -> StreamKey {
    StreamKey::new(attempt, None)
}

fn target(name: &str, software: Option<&str>) -> TargetFacts {
    TargetFacts {
        name: TargetName::from(name),
        started: None,
        service: service(),
        address: ([10, 0, 0, 1], 8000).into(),
        zone: ZoneName::from("zone"),
        slots: 4,
        leaving: None,
        software: software.map(version),
        models: Vec::new(),
    }
}

/// Returns the origin that a second instance knows after it was told everything by the first.
fn told(
    from: &mut StreamOrigins,
    at_sender: Moment,
    attempt: &str,
    now: Moment,
) -> Option<StreamOrigin> {
    let mut other = StreamOrigins::default();
    other.told(&from.take_untold(at_sender), at_sender);
    other.origin(key(attempt), now).cloned()
}

#[test]
fn a_stream_is_known_until_its_caller_waits_no_longer() {
    let mut origins = StreamOrigins::default();
    origins.began(key("a"), origin("v1"), WAITS, at(0));
    for millis in [0, 14_999, 16_999] {
        assert_eq!(origins.origin(key("a"), at(millis)), Some(&origin("v1")));
    }
    assert_eq!(origins.origin(key("a"), at(17_000)), None);
    assert_eq!(origins.origin(key("b"), at(0)), None);
}

#[test]
fn another_instance_knows_what_it_is_told() {
    let mut origins = StreamOrigins::default();
    origins.began(key("a"), origin("v1"), WAITS, at(0));
    assert_eq!(
        told(&mut origins, at(0), "a", at(16_000)),
        Some(origin("v1"))
    );
    assert!(origins.take_untold(at(0)).is_empty());
}

/// Guards against an origin that changes when a stream that was continued is recorded again.
#[test]
fn the_first_known_origin_stands() {
    let mut origins = StreamOrigins::default();
    origins.began(key("a"), origin("v1"), WAITS, at(0));
    let other = BegunStreams {
        origin: origin("v1.1"),
        streams: vec![(key("a"), 15)],
    };
    origins.told(&[other], at(1_000));
    assert_eq!(origins.origin(key("a"), at(2_000)), Some(&origin("v1")));
}

/// Guards against a stream of one team that is continued with the origin of another team's.
#[test]
fn attempts_of_two_teams_are_two_streams() {
    let mut origins = StreamOrigins::default();
    origins.began(StreamKey::new("a", Some("one")), origin("v1"), WAITS, at(0));
    for team in [None, Some("two"), Some("")] {
        assert_eq!(origins.origin(StreamKey::new("a", team), at(0)), None);
    }
    assert_eq!(origins.origin(StreamKey::new("aone", None), at(0)), None);
}

/// Guards against telling each new placer of all streams that have ended well.
#[test]
fn a_new_placer_is_told_of_streams_that_have_not_been_completed() {
    let mut origins = StreamOrigins::default();
    for attempt in ["a", "b"] {
        origins.began(key(attempt), origin("v1"), WAITS, at(0));
    }
    origins.completed(key("a"));
    let own = origins.own(at(1_000));
    let streams: Vec<_> = own.iter().flatten().flat_map(|it| &it.streams).collect();
    assert_eq!(streams, [&(key("b"), 16)]);
    assert_eq!(origins.origin(key("a"), at(1_000)), Some(&origin("v1")));
}

/// Guards against memory that grows with the number of streams.
#[test]
fn memory_is_bounded() {
    let mut origins = StreamOrigins::default();
    for number in 0..1_000_000_u64 {
        let attempt = number.to_string();
        origins.began(key(&attempt), origin("v1"), WAITS, at(number / 10));
        if number % 1_000 == 0 {
            origins.take_untold(at(number / 10));
        }
    }
    assert!(origins.len() <= 200_000, "{}", origins.len());
    assert!(origins.origin(key("999999"), at(100_000)).is_some());
}

proptest! {
    /// Guards against an origin that is guessed: whatever is told, late, twice or in part, the answer is the
    /// recorded origin or none.
    #[test]
    fn an_answer_is_always_the_recorded_origin(
        steps in prop::collection::vec((0_usize..3, 0_usize..20, 0_usize..3, 1_u64..9_000), 1..120)
    ) {
        let software = ["v1", "v1.1", "v2"];
        let mut instances = [(); 3].map(|()| StreamOrigins::default());
        let mut began = [None::<usize>; 20];
        let mut now = 0;
        for (instance, stream, other, millis) in steps {
            now += millis;
            let attempt = stream.to_string();
            if began[stream].is_none() {
                began[stream] = Some(other);
                instances[instance].began(key(&attempt), origin(software[other]), WAITS, at(now));
            } else {
                let untold = instances[instance].take_untold(at(now));
                let again = instances[instance].own(at(now));
                for begun in again.iter().chain([&untold]) {
                    instances[other].told(begun, at(now));
                }
            }
            for it in &instances {
                for (stream, began) in began.iter().enumerate() {
                    let known = it.origin(key(&stream.to_string()), at(now));
                    let expected = began.map(|it| origin(software[it]));
                    prop_assert!(known.is_none() || known == expected.as_ref());
                }
            }
        }
    }
}

fn started(name: &str, software: &str, born: u64) -> TargetFacts {
    TargetFacts {
        started: Some(TargetStart(born)),
        ..target(name, Some(software))
    }
}

fn dispatch_of(targets: &[TargetFacts]) -> Dispatch {
    let mut dispatch = Dispatch::new(DispatchConfig::default(), ZoneName::from("zone"));
    for facts in targets {
        dispatch.target_listed(facts.clone(), at(0));
    }
    dispatch
}

/// Guards against a target that counts as one of its earlier version after it has started again.
#[rstest]
#[case::the_same_start(7, false, Some("v1"))]
#[case::an_earlier_start(6, false, Some("v1"))]
#[case::a_later_start(8, true, None)]
fn a_stated_start(#[case] born: u64, #[case] is_later: bool, #[case] software: Option<&str>) {
    let mut dispatch = dispatch_of(&[started("t1", "v1", 7)]);
    let name = TargetName::from("t1");
    assert_eq!(
        dispatch.start_stated(&name, TargetStart(born), at(10)),
        is_later
    );
    assert_eq!(dispatch.software(&name), software.map(version));
    let serves = dispatch.serves_software(&service(), &version("v1"));
    assert_eq!(serves, software.is_some());
    // The entry of the earlier start may be read once more.
    dispatch.target_listed(started("t1", "v1", 7), at(20));
    assert_eq!(dispatch.software(&name), software.map(version));
    dispatch.target_listed(started("t1", "v2", 8), at(30));
    assert_eq!(dispatch.software(&name), Some(version("v2")));
}

/// Guards against a list of targets that counts as fresh although it is not confirmed any more.
#[rstest]
#[case::never_confirmed(&[], 500, false)]
#[case::just_confirmed(&[1_000, 2_000], 2_900, true)]
#[case::not_confirmed_for_long(&[1_000, 2_000], 3_100, false)]
#[case::an_earlier_confirmation_comes_late(&[2_000, 1_000], 2_900, true)]
fn a_fresh_list(#[case] confirmed: &[u64], #[case] now: u64, #[case] is_fresh: bool) {
    let mut dispatch = dispatch_of(&[]);
    for as_of in confirmed {
        dispatch.targets_confirmed(at(*as_of));
    }
    assert_eq!(dispatch.is_list_fresh(at(now)), is_fresh);
}
