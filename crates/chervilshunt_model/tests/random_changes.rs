//! Randomized test of change sets against a simple model: accepted sets leave a valid deployment,
//! and refused sets have no effect.

use std::collections::BTreeMap;

use chervilshunt_model::{
    Adapter, AdapterPatch, AdapterVersion, Change, ChangeError, ChangeId, ChangeSet, Class,
    Deployment, Edit, Fencing, Lifecycle, ObjectKind, Priority, PriorityChoice, Service,
    ServiceKind, ServicePatch, Site, Target, TargetPatch, Version, VersionMap, WeightStore,
};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

const SEED: u64 = 11;

/// Few names, so that changes often affect the same objects.
const NAMES: [&str; 3] = ["a", "b", "c"];

fn name() -> impl Strategy<Value = &'static str> {
    select(NAMES.to_vec())
}

fn edit<O: Clone + std::fmt::Debug, P: Clone + std::fmt::Debug>(
    object: impl Strategy<Value = O>,
    patch: impl Strategy<Value = P>,
) -> impl Strategy<Value = Edit<O, P>> {
    prop_oneof![
        3 => object.prop_map(Edit::Create),
        2 => patch.prop_map(Edit::Set),
        1 => Just(Edit::Delete),
    ]
}

fn adapter() -> impl Strategy<Value = Change> {
    let object = (name(), option::of(name())).prop_map(|(service, priority)| Adapter {
        service: service.into(),
        priority: priority.map(Into::into),
        versions: VersionMap::new(),
    });
    let patch = name().prop_map(|priority| AdapterPatch {
        priority: Some(PriorityChoice::Own(priority.into())),
    });
    (name(), edit(object, patch)).prop_map(|(name, edit)| Change::Adapter {
        name: name.into(),
        edit,
    })
}

fn version() -> impl Strategy<Value = Change> {
    let edit = prop_oneof![
        name().prop_map(|source| Edit::Create(Version {
            source: source.into()
        })),
        Just(Edit::Delete),
    ];
    (name(), name(), edit).prop_map(|(adapter, version, edit)| Change::Version {
        name: AdapterVersion::new(adapter, version),
        edit,
    })
}

fn service() -> impl Strategy<Value = Change> {
    let engine = ServiceKind::Engine {
        base_model: "base".into(),
    };
    let kind = select(vec![engine, ServiceKind::Plain]);
    let object = (kind, name()).prop_map(|(kind, priority)| Service {
        kind,
        priority: priority.into(),
        idempotent: true,
        deadline_ms: 1,
    });
    let patch = name().prop_map(|priority| ServicePatch {
        priority: Some(priority.into()),
        ..ServicePatch::default()
    });
    (name(), edit(object, patch)).prop_map(|(name, edit)| Change::Service {
        name: name.into(),
        edit,
    })
}

fn target() -> impl Strategy<Value = Change> {
    let numbers = (1..4_u16, 0..2_u32);
    let object =
        (name(), name(), name(), numbers).prop_map(|(service, site, store, (port, slots))| {
            Target {
                service: service.into(),
                address: ([127, 0, 0, 1], port).into(),
                zone: "z".into(),
                site: site.into(),
                store: store.into(),
                slots,
                max_batch: 1,
                fencing: Fencing::Checks,
                lifecycle: Lifecycle::Active,
                idle_watts: 0.0,
                watts_per_sequence: 0.0,
            }
        });
    let patch = (option::of(1..4_u16), name()).prop_map(|(port, site)| TargetPatch {
        address: port.map(|port| ([127, 0, 0, 1], port).into()),
        site: Some(site.into()),
        ..TargetPatch::default()
    });
    (name(), edit(object, patch)).prop_map(|(name, edit)| Change::Target {
        name: name.into(),
        edit,
    })
}

/// Creates or deletes priorities, sites and stores, which have no references of their own.
fn referenced_object() -> impl Strategy<Value = Change> {
    let kind = select(vec![
        ObjectKind::Priority,
        ObjectKind::Site,
        ObjectKind::Store,
    ]);
    (kind, name(), prop::bool::weighted(0.8)).prop_map(|(kind, name, create)| match kind {
        ObjectKind::Site => Change::Site {
            name: name.into(),
            edit: if create {
                Edit::Create(Site { cap_watts: 1.0 })
            } else {
                Edit::Delete
            },
        },
        ObjectKind::Store => Change::Store {
            name: name.into(),
            edit: if create {
                Edit::Create(WeightStore {
                    concurrency: 1,
                    loads_per_second: 1.0,
                })
            } else {
                Edit::Delete
            },
        },
        _ => Change::Priority {
            name: name.into(),
            edit: if create {
                Edit::Create(Priority {
                    class: Class::Live,
                    weight: 1,
                })
            } else {
                Edit::Delete
            },
        },
    })
}

fn change_sets() -> impl Strategy<Value = Vec<Vec<Change>>> {
    let change = prop_oneof![
        2 => adapter(),
        2 => version(),
        1 => service(),
        2 => target(),
        2 => referenced_object(),
    ];
    vec(vec(change, 1..4), 1..60)
}

/// Returns a deployment with objects to refer to, so that not every change set is refused.
fn first_deployment() -> Deployment {
    let mut deployment = Deployment::default();
    for name in ["a", "b"] {
        let priority = Priority {
            class: Class::Live,
            weight: 1,
        };
        deployment.priorities.insert(name.into(), priority);
        let site = Site { cap_watts: 1.0 };
        deployment.sites.insert(name.into(), site);
        let store = WeightStore {
            concurrency: 1,
            loads_per_second: 1.0,
        };
        deployment.stores.insert(name.into(), store);
    }
    let service = Service {
        kind: ServiceKind::Engine {
            base_model: "base".into(),
        },
        priority: "a".into(),
        idempotent: true,
        deadline_ms: 1,
    };
    deployment.services.insert("a".into(), service);
    deployment
}

/// Asserts that every reference in the deployment is valid, by checking all objects.
fn assert_valid(deployment: &Deployment) {
    for service in deployment.services.values() {
        assert!(deployment.priorities.contains_key(&service.priority));
    }
    let mut addresses = BTreeMap::new();
    for (name, target) in &deployment.targets {
        let service = &deployment.services[&target.service];
        let is_engine = service.kind != ServiceKind::Plain;
        assert!(deployment.sites.contains_key(&target.site));
        assert!(!is_engine || deployment.stores.contains_key(&target.store));
        assert_eq!(is_engine, target.slots > 0);
        assert_eq!(addresses.insert(target.address, name), None);
    }
    for adapter in deployment.adapters.values() {
        let service = &deployment.services[&adapter.service];
        assert_ne!(service.kind, ServiceKind::Plain);
        if let Some(priority) = &adapter.priority {
            assert!(deployment.priorities.contains_key(priority));
        }
    }
}

/// Applies a change to the expected versions, which are tracked separately from the deployment.
fn update_expected_versions(expected: &mut BTreeMap<String, Vec<String>>, change: &Change) {
    match change {
        Change::Adapter { name, edit } => match edit {
            Edit::Create(_) => drop(expected.insert(name.to_string(), Vec::new())),
            Edit::Set(_) => {}
            Edit::Delete => drop(expected.remove(name.as_str())),
        },
        Change::Version { name, edit } => {
            let versions = expected.get_mut(name.adapter.as_str());
            let versions = versions.expect("the set was accepted");
            match edit {
                Edit::Create(_) => versions.push(name.version.to_string()),
                Edit::Set(never) => match *never {},
                Edit::Delete => versions.retain(|version| *version != name.version.as_str()),
            }
        }
        Change::Service { .. }
        | Change::Target { .. }
        | Change::Priority { .. }
        | Change::Site { .. }
        | Change::Store { .. } => {}
    }
}

fn run(sets: Vec<Vec<Change>>, accepted: &mut usize) -> Result<(), TestCaseError> {
    let mut deployment = first_deployment();
    let mut expected = BTreeMap::new();
    for changes in sets {
        let before = deployment.clone();
        let set = ChangeSet {
            id: ChangeId::from_u128(1),
            expected: Some(before.revision),
            changes,
        };
        match deployment.apply(&set) {
            Ok(after) => {
                *accepted += 1;
                assert_valid(&after);
                prop_assert_eq!(after.revision, before.revision.next());
                let touched = set.touched_pages();
                let differing = before.differing_pages(&after);
                prop_assert!(differing.iter().all(|page| touched.contains(page)));
                set.changes
                    .iter()
                    .for_each(|change| update_expected_versions(&mut expected, change));
                deployment = after;
            }
            Err(error) => {
                let moved = matches!(error, ChangeError::RevisionMoved { .. });
                prop_assert!(!moved, "{}", error);
                prop_assert!(!error.to_string().is_empty());
            }
        }
        check_versions(&deployment, &expected)?;
    }
    let read = Deployment::from_pages(deployment.revision, deployment.pages());
    prop_assert_eq!(read, Ok(deployment));
    Ok(())
}

fn check_versions(
    deployment: &Deployment,
    expected: &BTreeMap<String, Vec<String>>,
) -> Result<(), TestCaseError> {
    prop_assert_eq!(deployment.adapters.len(), expected.len());
    for (adapter, versions) in expected {
        let found = deployment.adapters.get(&adapter.as_str().into());
        let found = found.expect("the adapter was created");
        prop_assert_eq!(found.versions.len(), versions.len());
        for version in versions {
            let model = AdapterVersion::new(adapter.as_str(), version.as_str());
            prop_assert!(deployment.version(&model).is_some());
        }
    }
    Ok(())
}

/// Random change sets are applied one after another, and many are refused because of earlier ones.
/// After each, all references must be valid, the revision must be the expected one, the versions
/// must match the model, and pages that the change set does not touch must be unchanged.
#[test]
fn deployment_stays_valid_under_random_changes() {
    let config = ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    };
    let accepted = std::cell::Cell::new(0);
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let outcome = runner.run(&change_sets(), |sets| {
        let mut count = 0;
        let outcome = run(sets, &mut count);
        accepted.set(accepted.get() + count);
        outcome
    });
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
    assert!(accepted.get() > 500, "only {} accepted", accepted.get());
}
