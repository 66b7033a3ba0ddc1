//! Property tests: the parser never panics, and printed statements parse back to equal statements.

use chervilshunt_model::{
    Adapter, AdapterPatch, AdapterVersion, Change, Class, Edit, Fencing, Lifecycle, Priority,
    PriorityChoice, PriorityPatch, Revision, Service, ServiceKind, ServicePatch, Site, SitePatch,
    Target, TargetPatch, Version, VersionMap, WeightStore, WeightStorePatch,
};
use chervilshunt_query::{ChangeGroup, Condition, Op, Show, Statement, Table, parse};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::strategy::Union;
use proptest::test_runner::RngSeed;

const SEED: u64 = 7;

/// Generates any text but an empty one or `none`; the deployment, not the parser, refuses names
/// with unusual characters.
fn name() -> impl Strategy<Value = String> {
    prop_oneof![4 => "[a-z0-9._-]{1,12}", 1 => "\\PC{1,8}", 1 => "[\"\\\\\n\t\r #;={}]{1,6}"]
        .prop_filter("none refers to no object", |name| name != "none")
}

fn name_of<T: for<'a> From<&'a str> + std::fmt::Debug>() -> impl Strategy<Value = T> {
    name().prop_map(|name| T::from(&name))
}

fn model() -> impl Strategy<Value = AdapterVersion> {
    let adapter = name().prop_filter("@ ends the adapter", |name| !name.contains('@'));
    (adapter, name()).prop_map(|(adapter, version)| AdapterVersion::new(&*adapter, &*version))
}

fn finite() -> impl Strategy<Value = f64> {
    prop_oneof![any::<u32>().prop_map(f64::from), proptest::num::f64::NORMAL]
}

fn address() -> impl Strategy<Value = std::net::SocketAddr> {
    any::<(std::net::IpAddr, u16)>().prop_map(Into::into)
}

fn edit<O: std::fmt::Debug + Clone + 'static, P: std::fmt::Debug + Clone + 'static>(
    object: impl Strategy<Value = O> + 'static,
    patch: impl Strategy<Value = P> + 'static,
) -> impl Strategy<Value = Edit<O, P>> {
    prop_oneof![
        object.prop_map(Edit::Create),
        patch.prop_map(Edit::Set),
        Just(Edit::Delete),
    ]
}

fn adapter_change() -> impl Strategy<Value = Change> {
    let object = (name_of(), option::of(name_of())).prop_map(|(service, priority)| Adapter {
        service,
        priority,
        versions: VersionMap::new(),
    });
    let patch = prop_oneof![
        name_of().prop_map(PriorityChoice::Own),
        Just(PriorityChoice::OfService)
    ]
    .prop_map(|priority| AdapterPatch {
        priority: Some(priority),
    });
    (name_of(), edit(object, patch)).prop_map(|(name, edit)| Change::Adapter { name, edit })
}

fn version_change() -> impl Strategy<Value = Change> {
    let edit = prop_oneof![
        name().prop_map(|source| Edit::Create(Version {
            source: source.into()
        })),
        Just(Edit::Delete),
    ];
    (model(), edit).prop_map(|(name, edit)| Change::Version { name, edit })
}

fn service_change() -> impl Strategy<Value = Change> {
    let kind = prop_oneof![
        Just(ServiceKind::Plain),
        name().prop_map(|base_model| ServiceKind::Engine {
            base_model: base_model.into()
        }),
    ];
    let object = (kind, name_of(), any::<bool>(), any::<u64>()).prop_map(
        |(kind, priority, idempotent, deadline_ms)| Service {
            kind,
            priority,
            idempotent,
            deadline_ms,
        },
    );
    let patch = (
        option::of(name_of()),
        any::<Option<bool>>(),
        any::<Option<u64>>(),
    )
        .prop_map(|(priority, idempotent, deadline_ms)| ServicePatch {
            priority,
            idempotent,
            deadline_ms,
        })
        .prop_filter("a patch holds a field", |patch| {
            *patch != ServicePatch::default()
        });
    (name_of(), edit(object, patch)).prop_map(|(name, edit)| Change::Service { name, edit })
}

fn target() -> impl Strategy<Value = Target> {
    let places = (name_of(), address(), name_of(), name_of(), name_of());
    let numbers = (any::<u32>(), any::<u32>(), finite(), finite());
    (places, numbers, fencing(), lifecycle()).prop_map(
        |((service, address, zone, site, store), numbers, fencing, lifecycle)| Target {
            service,
            address,
            zone,
            site,
            store,
            slots: numbers.0,
            max_batch: numbers.1,
            fencing,
            lifecycle,
            idle_watts: numbers.2,
            watts_per_sequence: numbers.3,
        },
    )
}

fn fencing() -> impl Strategy<Value = Fencing> {
    select(vec![Fencing::Checks, Fencing::Ignores])
}

fn lifecycle() -> impl Strategy<Value = Lifecycle> {
    select(vec![Lifecycle::Active, Lifecycle::Draining])
}

fn target_patch() -> impl Strategy<Value = TargetPatch> {
    // Each field of a target may be in the patch or not.
    (target(), any::<[bool; 10]>())
        .prop_map(|(target, given)| TargetPatch {
            address: given[0].then_some(target.address),
            zone: given[1].then_some(target.zone),
            site: given[2].then_some(target.site),
            store: given[3].then_some(target.store),
            slots: given[4].then_some(target.slots),
            max_batch: given[5].then_some(target.max_batch),
            fencing: given[6].then_some(target.fencing),
            lifecycle: given[7].then_some(target.lifecycle),
            idle_watts: given[8].then_some(target.idle_watts),
            watts_per_sequence: given[9].then_some(target.watts_per_sequence),
        })
        .prop_filter("a patch holds a field", |patch| {
            *patch != TargetPatch::default()
        })
}

fn target_change() -> impl Strategy<Value = Change> {
    (name_of(), edit(target(), target_patch()))
        .prop_map(|(name, edit)| Change::Target { name, edit })
}

fn priority_change() -> impl Strategy<Value = Change> {
    let class = || select(vec![Class::Live, Class::Deferrable]);
    let object = (class(), any::<u32>()).prop_map(|(class, weight)| Priority { class, weight });
    let patch = (class(), any::<Option<u32>>()).prop_map(|(class, weight)| PriorityPatch {
        class: Some(class),
        weight,
    });
    (name_of(), edit(object, patch)).prop_map(|(name, edit)| Change::Priority { name, edit })
}

fn site_change() -> impl Strategy<Value = Change> {
    let object = finite().prop_map(|cap_watts| Site { cap_watts });
    let patch = finite().prop_map(|cap_watts| SitePatch {
        cap_watts: Some(cap_watts),
    });
    (name_of(), edit(object, patch)).prop_map(|(name, edit)| Change::Site { name, edit })
}

fn store_change() -> impl Strategy<Value = Change> {
    let object = (any::<u32>(), finite()).prop_map(|(concurrency, loads_per_second)| WeightStore {
        concurrency,
        loads_per_second,
    });
    let patch = (any::<Option<u32>>(), finite()).prop_map(|(concurrency, loads_per_second)| {
        WeightStorePatch {
            concurrency,
            loads_per_second: Some(loads_per_second),
        }
    });
    (name_of(), edit(object, patch)).prop_map(|(name, edit)| Change::Store { name, edit })
}

fn statement() -> impl Strategy<Value = Statement> {
    let change = Union::new([
        adapter_change().boxed(),
        version_change().boxed(),
        service_change().boxed(),
        target_change().boxed(),
        priority_change().boxed(),
        site_change().boxed(),
        store_change().boxed(),
    ]);
    let group = (any::<Option<u64>>(), vec(change, 1..5)).prop_map(|(expected, changes)| {
        Statement::Change(ChangeGroup {
            expected: expected.map(Revision::new),
            changes,
        })
    });
    prop_oneof![3 => group, 1 => show()]
}

fn show() -> impl Strategy<Value = Statement> {
    select(Table::ALL.to_vec()).prop_flat_map(|table| {
        let column = select(table.columns().to_vec());
        let op = select(vec![Op::Equal, Op::NotEqual, Op::Prefix]);
        let condition = (column, op, "\\PC{0,8}").prop_map(|(column, op, value)| Condition {
            column: column.to_owned(),
            op,
            value,
        });
        vec(condition, 0..4).prop_map(move |conditions| Statement::Show(Show { table, conditions }))
    })
}

/// Generates sequences of valid words, which get further into the parser than random text does.
fn almost_valid_script() -> impl Strategy<Value = String> {
    let word = select(vec![
        "show",
        "create",
        "set",
        "delete",
        "drain",
        "resume",
        "if",
        "revision",
        "where",
        "and",
        "target",
        "targets",
        "adapter",
        "version",
        "service",
        "site",
        "store",
        "priority",
        "=",
        "!=",
        "~",
        ";",
        "{",
        "}",
        "a@v",
        "@",
        "slots",
        "1",
        "-1",
        "\"",
        "\"x\"",
        "\\",
        "#",
        "\n",
        "address",
        "127.0.0.1:1",
        "å",
        "cap_watts",
        "none",
    ]);
    vec(word, 0..24).prop_map(|words| words.join(" "))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    #[test]
    fn printed_statements_parse_to_themselves(statements in vec(statement(), 0..4)) {
        let texts: Vec<_> = statements.iter().map(ToString::to_string).collect();
        let text = texts.join(";\n");
        prop_assert_eq!(parse(&text), Ok(statements), "{}", text);
    }

    #[test]
    fn random_text_never_panics(text in "(?s).{0,64}") {
        check_errors(&text);
    }

    #[test]
    fn almost_valid_scripts_never_panic(text in almost_valid_script()) {
        check_errors(&text);
    }
}

/// Checks that errors point into the text, and that valid statements survive printing and parsing.
fn check_errors(text: &str) {
    match parse(text) {
        Ok(statements) => {
            let texts: Vec<_> = statements.iter().map(ToString::to_string).collect();
            assert_eq!(parse(&texts.join(";")), Ok(statements));
        }
        Err(errors) => {
            assert!(!errors.is_empty());
            for error in &errors {
                assert!(error.line <= text.matches('\n').count() + 1, "{error:?}");
                assert!(error.column >= 1, "{error:?}");
            }
            assert!(!chervilshunt_query::render_errors(text, "test", &errors).is_empty());
        }
    }
}
