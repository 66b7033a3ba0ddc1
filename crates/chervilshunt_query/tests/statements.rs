//! Tests of what statements parse to, and of the error texts for invalid ones.

use chervilshunt_model::{
    AdapterVersion, Change, Edit, Fencing, Lifecycle, Revision, TargetPatch, Version,
};
use chervilshunt_query::{ChangeGroup, Show, Statement, Table, parse, render_errors};
use rstest::rstest;

fn only(text: &str) -> Statement {
    let mut statements = parse(text).unwrap_or_else(|errors| {
        panic!("{}", render_errors(text, "test", &errors));
    });
    assert_eq!(statements.len(), 1, "{text}");
    statements.remove(0)
}

fn only_change(text: &str) -> Change {
    match only(text) {
        Statement::Change(mut group) => {
            assert_eq!(group.changes.len(), 1, "{text}");
            group.changes.remove(0)
        }
        Statement::Show(show) => panic!("{show} is no change"),
    }
}

fn show(text: &str) -> Show {
    match only(text) {
        Statement::Show(show) => show,
        Statement::Change(group) => panic!("{group} is no query"),
    }
}

#[test]
fn create_target_reads_each_field() {
    let text = "create target lm-1 service=regatta-lm address=[::1]:9000 zone=herning site=quay \
                store=weights slots=8 max_batch=16 fencing=checks lifecycle=draining \
                idle_watts=90.5 watts_per_sequence=12";
    let Change::Target {
        name,
        edit: Edit::Create(target),
    } = only_change(text)
    else {
        panic!("a target is created");
    };
    assert_eq!(name.as_str(), "lm-1");
    assert_eq!(target.address, "[::1]:9000".parse().expect("an address"));
    assert_eq!(target.fencing, Fencing::Checks);
    assert_eq!(target.lifecycle, Lifecycle::Draining);
    assert_eq!((target.slots, target.max_batch), (8, 16));
    assert_eq!((target.idle_watts, target.watts_per_sequence), (90.5, 12.0));
}

#[test]
fn fields_that_are_left_out_take_defaults() {
    let text = "create target desk service=depot-desk address=127.0.0.1:80 zone=worcester \
                site=mill max_batch=4";
    let Change::Target {
        edit: Edit::Create(target),
        ..
    } = only_change(text)
    else {
        panic!("a target is created");
    };
    // Unless configured, a target must be assumed not to check fencing tokens.
    assert_eq!(target.fencing, Fencing::Ignores);
    assert_eq!(target.lifecycle, Lifecycle::Active);
    assert_eq!((target.slots, target.idle_watts), (0, 0.0));
    assert_eq!(target.store.as_str(), "");
}

#[rstest]
#[case("drain target lm-1", Lifecycle::Draining)]
#[case("resume target lm-1", Lifecycle::Active)]
#[case("set target lm-1 lifecycle=draining", Lifecycle::Draining)]
fn draining_sets_the_lifecycle(#[case] text: &str, #[case] lifecycle: Lifecycle) {
    let patch = TargetPatch {
        lifecycle: Some(lifecycle),
        ..TargetPatch::default()
    };
    let expected = Change::Target {
        name: "lm-1".into(),
        edit: Edit::Set(patch),
    };
    assert_eq!(only_change(text), expected);
}

#[test]
fn braces_make_one_group_and_semicolons_separate_statements() {
    let text = "# a new tenant\n\
                if revision = 41 {\n\
                  create adapter flat-1 service=pack-assistant; # and its first version\n\
                  create version flat-1@v1 source=\"s3://b/a?x=1\";\n\
                };\n\
                show adapters; drain target lm-1;";
    let statements = parse(text).expect("the script is whole");
    assert_eq!(statements.len(), 3);
    let Statement::Change(ChangeGroup { expected, changes }) = &statements[0] else {
        panic!("the first statement is a group");
    };
    assert_eq!(*expected, Some(Revision::new(41)));
    let version = Change::Version {
        name: AdapterVersion::new("flat-1", "v1"),
        edit: Edit::Create(Version {
            source: "s3://b/a?x=1".into(),
        }),
    };
    assert_eq!(changes[1], version);
}

#[rstest]
#[case("")]
#[case(" ;; # nothing\n;")]
fn empty_script_has_no_statements(#[case] text: &str) {
    assert_eq!(parse(text), Ok(Vec::new()));
}

#[rstest]
#[case("show loads", true)]
#[case("show loads where state = pending", true)]
#[case("show loads where state = pending and target = lm-1", true)]
#[case("show loads where state = pending and target = lm-2", false)]
#[case("show loads where state != pending", false)]
#[case("show loads where version ~ flat-", true)]
#[case("show loads where version ~ club-", false)]
#[case("show loads where class = none", true)]
#[case("show loads where class = \"none\"", true)]
#[case("show loads where class = live", false)]
fn conditions_choose_rows(#[case] text: &str, #[case] shown: bool) {
    let cell = |column: &str| match column {
        "state" => Some("pending"),
        "target" => Some("lm-1"),
        "version" => Some("flat-1@v1"),
        _ => None,
    };
    assert_eq!(show(text).matches(cell), shown);
}

#[rstest]
fn each_table_can_be_shown(
    #[values(
        "adapters",
        "versions",
        "services",
        "targets",
        "instances",
        "permits",
        "loads",
        "changes",
        "priorities",
        "sites",
        "stores"
    )]
    name: &str,
) {
    let table = show(&format!("show {name} where from = entry-1 and age_ms != 0")).table;
    assert_eq!(table.as_str(), name);
    assert!(Table::ALL.contains(&table));
}

#[test]
fn long_scripts_are_read_in_one_go() {
    let text: String = (0..20_000)
        .map(|number| format!("create adapter club-{number} service=regatta-lm;\n"))
        .collect();
    assert_eq!(parse(&text).map(|statements| statements.len()), Ok(20_000));
}

#[rstest]
#[case::no_verb("no_verb", "display targets")]
#[case::no_table("no_table", "show slots")]
#[case::unfinished("unfinished", "show targets where zone =")]
#[case::no_column("no_column", "show targets where place = herning")]
#[case::no_name("no_name", "create adapter")]
#[case::no_kind("no_kind", "create adaptor flat-1 service=pack-assistant")]
#[case::missing_fields("missing_fields", "create target lm-1 address=127.0.0.1:1 slots=8")]
#[case::unknown_field("unknown_field", "set target lm-1 slot=8")]
#[case::fixed_field("fixed_field", "set target lm-1 service=depot-desk")]
#[case::twice("twice", "set target lm-1 slots=8 slots=9")]
#[case::bad_values(
    "bad_values",
    "create target lm-1 service=a address=host:1 zone=z site=s slots=-1\n  max_batch=many fencing=maybe lifecycle=gone idle_watts=inf watts_per_sequence=1e999"
)]
#[case::bad_version("bad_version", "delete version flat-1")]
#[case::set_version("set_version", "set version flat-1@v1 source=x")]
#[case::nothing_set("nothing_set", "set site mill")]
#[case::plain_with_base_model(
    "plain_with_base_model",
    "create service s kind=plain base_model=b priority=live"
)]
#[case::engine_without_base_model("engine_without_base_model", "create service s priority=live")]
#[case::bad_revision("bad_revision", "if revision = x drain target lm-1")]
#[case::drain_adapter("drain_adapter", "drain adapter flat-1")]
#[case::show_in_group("show_in_group", "{ drain target lm-1; show targets }")]
#[case::open_group("open_group", "{ drain target lm-1")]
#[case::open_quote("open_quote", "create version a@v source=\"s3://x\nshow loads")]
#[case::bad_escape("bad_escape", "create version a@v source=\"a\\qb\"")]
#[case::strange_character("strange_character", "show targets where zone = københavn")]
#[case::no_semicolon("no_semicolon", "drain target lm-1\ndrain target lm-2")]
#[case::several(
    "several",
    "show slots;\ndrain target lm-1;\nset site mill cap_watts=x; { delete adapter; drain target lm-2 }; show targets where a = b"
)]
fn errors_point_at_their_position(#[case] name: &str, #[case] text: &str) {
    let errors = parse(text).expect_err("the script has faults");
    insta::assert_snapshot!(name, render_errors(text, "script", &errors));
}
