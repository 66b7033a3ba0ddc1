//! Tests of the effects of changes on a deployment, and of their refusals.

use chervilshunt_model::{
    Adapter, AdapterPatch, AdapterVersion, Change, ChangeId, ChangeSet, Class, Deployment, Edit,
    Fencing, Lifecycle, PageId, Priority, PriorityChoice, Revision, Service, ServiceKind,
    ServicePatch, Site, SitePatch, Target, TargetPatch, Version, VersionMap, WeightStore,
};
use rstest::rstest;

fn set(changes: impl Into<Vec<Change>>) -> ChangeSet {
    ChangeSet {
        id: ChangeId::from_u128(1),
        expected: None,
        changes: changes.into(),
    }
}

fn engine_service() -> Service {
    Service {
        kind: ServiceKind::Engine {
            base_model: "base".into(),
        },
        priority: "live".into(),
        idempotent: true,
        deadline_ms: 30_000,
    }
}

fn target(port: u16) -> Target {
    Target {
        service: "pack-assistant".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "worcester".into(),
        site: "mill".into(),
        store: "weights".into(),
        slots: 8,
        max_batch: 16,
        fencing: Fencing::Checks,
        lifecycle: Lifecycle::Active,
        idle_watts: 90.0,
        watts_per_sequence: 12.5,
    }
}

fn adapter(priority: Option<&str>) -> Adapter {
    Adapter {
        service: "pack-assistant".into(),
        priority: priority.map(Into::into),
        versions: VersionMap::from([("v1".into(), version("s3://flat-1/v1"))]),
    }
}

fn version(source: &str) -> Version {
    Version {
        source: source.into(),
    }
}

fn create_target(name: &str, target: Target) -> Change {
    Change::Target {
        name: name.into(),
        edit: Edit::Create(target),
    }
}

fn set_target(name: &str, patch: TargetPatch) -> Change {
    Change::Target {
        name: name.into(),
        edit: Edit::Set(patch),
    }
}

fn create_adapter(name: &str, adapter: Adapter) -> Change {
    Change::Adapter {
        name: name.into(),
        edit: Edit::Create(adapter),
    }
}

fn create_version(name: AdapterVersion, source: &str) -> Change {
    Change::Version {
        name,
        edit: Edit::Create(version(source)),
    }
}

fn create_priority(name: &str, class: Class, weight: u32) -> Change {
    Change::Priority {
        name: name.into(),
        edit: Edit::Create(Priority { class, weight }),
    }
}

fn create_service(name: &str, service: Service) -> Change {
    Change::Service {
        name: name.into(),
        edit: Edit::Create(service),
    }
}

/// Returns changes that create a deployment, in an order in which they refer to objects created
/// later.
fn first_changes() -> Vec<Change> {
    vec![
        create_adapter("flat-1", adapter(Some("night"))),
        create_adapter("flat-2", adapter(None)),
        create_target("lm-1", target(9_001)),
        create_target("lm-2", target(9_002)),
        create_service("pack-assistant", engine_service()),
        create_service(
            "depot-desk",
            Service {
                kind: ServiceKind::Plain,
                idempotent: false,
                ..engine_service()
            },
        ),
        Change::Site {
            name: "mill".into(),
            edit: Edit::Create(Site { cap_watts: 4_000.0 }),
        },
        Change::Store {
            name: "weights".into(),
            edit: Edit::Create(WeightStore {
                concurrency: 1,
                loads_per_second: 3.5,
            }),
        },
        create_priority("live", Class::Live, 4),
        create_priority("night", Class::Deferrable, 1),
        create_priority("spare", Class::Deferrable, 1),
    ]
}

fn deployment() -> Deployment {
    Deployment::default()
        .apply(&set(first_changes()))
        .expect("the first changes fit together")
}

#[test]
fn changes_may_refer_to_objects_created_later() {
    let deployment = deployment();
    assert_eq!(deployment.revision, Revision::new(1));
    assert_eq!(deployment.adapters.len(), 2);
    let model = AdapterVersion::new("flat-1", "v1");
    assert_eq!(
        deployment.version(&model).map(|version| &*version.source),
        Some("s3://flat-1/v1")
    );
}

#[test]
fn set_changes_only_the_given_fields() {
    let before = deployment();
    let after = before
        .apply(&set([
            set_target(
                "lm-1",
                TargetPatch {
                    lifecycle: Some(Lifecycle::Draining),
                    ..TargetPatch::default()
                },
            ),
            Change::Adapter {
                name: "flat-1".into(),
                edit: Edit::Set(AdapterPatch {
                    priority: Some(PriorityChoice::OfService),
                }),
            },
            Change::Service {
                name: "depot-desk".into(),
                edit: Edit::Set(ServicePatch {
                    deadline_ms: Some(5),
                    ..ServicePatch::default()
                }),
            },
            Change::Site {
                name: "mill".into(),
                edit: Edit::Set(SitePatch {
                    cap_watts: Some(3_000.0),
                }),
            },
        ]))
        .expect("the changes fit");
    let mut expected = before.clone();
    expected.revision = Revision::new(2);
    let lm_1 = expected.targets.get_mut("lm-1").expect("it is there");
    lm_1.lifecycle = Lifecycle::Draining;
    let flat_1 = expected.adapters.get_mut(&"flat-1".into());
    flat_1.expect("it is there").priority = None;
    let desk = expected.services.get_mut("depot-desk");
    desk.expect("it is there").deadline_ms = 5;
    expected
        .sites
        .insert("mill".into(), Site { cap_watts: 3_000.0 });
    assert_eq!(after, expected);
}

#[test]
fn refused_change_set_changes_nothing() {
    let before = deployment();
    let copy = before.clone();
    let error = before.apply(&set([
        Change::Adapter {
            name: "flat-1".into(),
            edit: Edit::Delete,
        },
        Change::Adapter {
            name: "no-such".into(),
            edit: Edit::Delete,
        },
    ]));
    assert!(error.is_err());
    assert_eq!(before, copy);
    assert!(before.adapters.contains_key(&"flat-1".into()));
}

#[test]
fn targets_can_swap_addresses_in_one_change_set() {
    let swapped = deployment()
        .apply(&set([
            set_target(
                "lm-1",
                TargetPatch {
                    address: Some(target(9_002).address),
                    ..TargetPatch::default()
                },
            ),
            set_target(
                "lm-2",
                TargetPatch {
                    address: Some(target(9_001).address),
                    ..TargetPatch::default()
                },
            ),
        ]))
        .expect("each address has one target in the end");
    assert_eq!(swapped.targets["lm-1"].address.port(), 9_002);
}

#[test]
fn whole_service_can_be_deleted_in_one_change_set() {
    let deletions = [
        Change::Service {
            name: "pack-assistant".into(),
            edit: Edit::Delete,
        },
        Change::Target {
            name: "lm-1".into(),
            edit: Edit::Delete,
        },
        Change::Target {
            name: "lm-2".into(),
            edit: Edit::Delete,
        },
        Change::Adapter {
            name: "flat-1".into(),
            edit: Edit::Delete,
        },
        Change::Adapter {
            name: "flat-2".into(),
            edit: Edit::Delete,
        },
    ];
    let after = deployment()
        .apply(&set(deletions))
        .expect("nothing is left");
    assert!(after.targets.is_empty());
    assert!(after.adapters.is_empty());
}

#[test]
fn only_touched_pages_differ() {
    let before = deployment();
    let change = set([create_version(
        AdapterVersion::new("flat-2", "v2"),
        "s3://2",
    )]);
    let after = before.apply(&change).expect("the change fits");
    assert_eq!(before.differing_pages(&after), change.touched_pages());
    assert_eq!(
        change.touched_pages(),
        [PageId::of_adapter(&"flat-2".into())]
    );
    assert_eq!(
        set(first_changes()).touched_pages().first(),
        Some(&PageId::Common)
    );
}

#[rstest]
#[case::exists("exists", create_adapter("flat-1", adapter(None)))]
#[case::missing("missing", Change::Site { name: "quay".into(), edit: Edit::Delete })]
#[case::version_of_no_adapter(
    "version_of_no_adapter",
    create_version(AdapterVersion::new("flat-9", "v1"), "s3://9")
)]
#[case::version_exists(
    "version_exists",
    create_version(AdapterVersion::new("flat-1", "v1"), "s3://1")
)]
#[case::empty_patch("empty_patch", set_target("lm-1", TargetPatch::default()))]
#[case::bad_name("bad_name", create_adapter("flat 1/2", adapter(None)))]
#[case::bad_version_name(
    "bad_version_name",
    create_version(AdapterVersion::new("flat-1", "v@2"), "s3://1")
)]
#[case::bad_source(
    "bad_source",
    create_version(AdapterVersion::new("flat-1", "v2"), "s3://1\n")
)]
#[case::no_service("no_service", create_target("lm-3", Target { service: "race".into(), ..target(9_003) }))]
#[case::no_site("no_site", create_target("lm-3", Target { site: "quay".into(), ..target(9_003) }))]
#[case::no_store("no_store", set_target("lm-1", TargetPatch { store: Some("tape".into()), ..TargetPatch::default() }))]
#[case::no_priority("no_priority", create_adapter("flat-3", adapter(Some("urgent"))))]
#[case::adapter_of_plain_service("adapter_of_plain_service", create_adapter("flat-3", Adapter { service: "depot-desk".into(), ..adapter(None) }))]
#[case::slots_of_engine("slots_of_engine", set_target("lm-1", TargetPatch { slots: Some(0), ..TargetPatch::default() }))]
#[case::slots_of_plain("slots_of_plain", create_target("desk-1", Target { service: "depot-desk".into(), ..target(9_003) }))]
#[case::no_batch("no_batch", set_target("lm-1", TargetPatch { max_batch: Some(0), ..TargetPatch::default() }))]
#[case::watts_not_finite("watts_not_finite", set_target("lm-1", TargetPatch { idle_watts: Some(f64::NAN), ..TargetPatch::default() }))]
#[case::watts_negative("watts_negative", set_target("lm-1", TargetPatch { watts_per_sequence: Some(-1.0), ..TargetPatch::default() }))]
#[case::no_cap("no_cap", Change::Site { name: "mill".into(), edit: Edit::Set(SitePatch { cap_watts: Some(0.0) }) })]
#[case::no_weight("no_weight", create_priority("idle", Class::Deferrable, 0))]
#[case::no_deadline("no_deadline", Change::Service { name: "depot-desk".into(), edit: Edit::Set(ServicePatch { deadline_ms: Some(0), ..ServicePatch::default() }) })]
#[case::bad_base_model("bad_base_model", create_service("regatta-lm", Service { kind: ServiceKind::Engine { base_model: "base@1".into() }, ..engine_service() }))]
#[case::no_loads("no_loads", Change::Store { name: "tape".into(), edit: Edit::Create(WeightStore { concurrency: 1, loads_per_second: 0.0 }) })]
#[case::address_taken("address_taken", create_target("lm-0", target(9_002)))]
#[case::service_in_use("service_in_use", Change::Service { name: "pack-assistant".into(), edit: Edit::Delete })]
#[case::priority_in_use("priority_in_use", Change::Priority { name: "night".into(), edit: Edit::Delete })]
#[case::site_in_use("site_in_use", Change::Site { name: "mill".into(), edit: Edit::Delete })]
#[case::store_in_use("store_in_use", Change::Store { name: "weights".into(), edit: Edit::Delete })]
fn refusals_name_the_object_and_what_to_do(#[case] name: &str, #[case] change: Change) {
    let error = deployment()
        .apply(&set([change.clone()]))
        .expect_err("the change is refused");
    assert!(error.object_kind().is_some());
    insta::assert_snapshot!(name, error);
}

#[rstest]
#[case::moved(Some(0), first_changes(), "revision 0 was expected, but 1 is in force")]
#[case::none(Some(1), Vec::new(), "change set is empty")]
fn refusals_of_the_whole_change_set(
    #[case] expected: Option<u64>,
    #[case] changes: Vec<Change>,
    #[case] message: &str,
) {
    let set = ChangeSet {
        expected: expected.map(Revision::new),
        ..set(changes)
    };
    let error = deployment().apply(&set).expect_err("the set is refused");
    assert!(error.to_string().contains(message), "{error}");
}

#[test]
fn unused_priority_can_be_deleted() {
    let delete = Change::Priority {
        name: "spare".into(),
        edit: Edit::Delete,
    };
    let after = deployment().apply(&set([delete])).expect("nothing uses it");
    assert!(!after.priorities.contains_key("spare"));
}

#[test]
fn change_sets_round_trip_through_cbor_and_json() {
    let set = ChangeSet {
        expected: Some(Revision::new(7)),
        ..set(first_changes())
    };
    let mut buf = Vec::new();
    ciborium::into_writer(&set, &mut buf).expect("a change set can be written");
    let from_cbor: ChangeSet = ciborium::from_reader(buf.as_slice()).expect("and read");
    assert_eq!(from_cbor, set);
    let json = serde_json::to_string(&set).expect("a change set can be written");
    let from_json: ChangeSet = serde_json::from_str(&json).expect("and read");
    assert_eq!(from_json, set);
}

#[test]
fn created_adapters_share_the_name_of_their_service() {
    let deployment = deployment()
        .apply(&set([create_adapter("flat-3", adapter(None))]))
        .expect("the change fits");
    let (service, _) = deployment
        .services
        .get_key_value("pack-assistant")
        .expect("it is there");
    let flat_3 = deployment.adapters.get(&"flat-3".into());
    let name = &flat_3.expect("it is there").service;
    assert!(std::ptr::eq(name.as_str(), service.as_str()));
}
