use chervilshunt_model::{InstanceId, Moment, ServiceName, ZoneName};

use super::{InstanceStatus, Presence};

fn status(zone: Option<&str>, cut_off: &[&str]) -> InstanceStatus {
    InstanceStatus {
        address: ([127, 0, 0, 1], 7000).into(),
        reaches_platform: true,
        processor_share: 1.0,
        zone: zone.map(ZoneName::from),
        cut_off: cut_off.iter().map(|it| ServiceName::from(*it)).collect(),
        needs_transit: !cut_off.is_empty(),
    }
}

fn report(presence: &mut Presence, instance: &str, status: InstanceStatus) {
    presence.record_report(&InstanceId::from(instance), status, Moment::from_millis(1));
}

fn known_to(presence: &Presence, instance: &str) -> Option<String> {
    let zone = ZoneName::from("here");
    let offer = presence.offer_to_know(&InstanceId::from(instance), Some(&zone));
    offer.map(|it| it.instance.as_str().to_owned())
}

#[test]
fn an_instance_is_told_of_the_one_that_reported_before() {
    let mut presence = Presence::default();
    assert_eq!(known_to(&presence, "i1"), None);
    report(&mut presence, "i1", status(Some("here"), &[]));
    assert_eq!(known_to(&presence, "i1"), None);
    assert_eq!(known_to(&presence, "i2").as_deref(), Some("i1"));
    report(&mut presence, "i2", status(Some("there"), &[]));
    assert_eq!(known_to(&presence, "i1").as_deref(), Some("i2"));
}

/// Guards against instances that are told of one that reaches no target, or can't pass requests on.
#[test]
fn only_instances_that_reach_all_services_are_named() {
    let mut presence = Presence::default();
    report(&mut presence, "i1", status(Some("here"), &[]));
    report(&mut presence, "i2", status(Some("here"), &["engines"]));
    report(&mut presence, "older", status(None, &[]));
    assert_eq!(known_to(&presence, "i3").as_deref(), Some("i1"));
    report(&mut presence, "i1", status(Some("here"), &["plain"]));
    assert_eq!(known_to(&presence, "i3"), None);
}
