//! Checks that `docs/LANGUAGE.md` and the page of recipes agree with the code.

use chervilshunt_model::{ChangeId, Deployment, ObjectKind, Revision};
use chervilshunt_query::{FieldSpec, Statement, Table, fields_of, parse, render_errors};

const PAGE: &str = include_str!("../../../docs/LANGUAGE.md");
const CHANGES_PAGE: &str = include_str!("../../../docs/operators/changes.md");
const FENCE: &str = "```";

fn examples(page: &'static str) -> Vec<&'static str> {
    page.split("```chervilshunt\n")
        .skip(1)
        .map(|rest| rest.split(FENCE).next().expect("split gives a part"))
        .collect()
}

/// The examples of the page build on each other, so their changes are applied in order to one
/// deployment.
#[test]
fn examples_apply_in_order() {
    let mut deployment = Deployment::default();
    assert!(examples(PAGE).len() >= 4);
    for example in examples(PAGE) {
        let statements = parse(example)
            .unwrap_or_else(|errors| panic!("{}", render_errors(example, "page", &errors)));
        for statement in statements {
            let Statement::Change(group) = statement else {
                continue;
            };
            let shown = group.to_string();
            deployment = deployment
                .apply(&group.into_change_set(ChangeId::random()))
                .unwrap_or_else(|error| panic!("{shown}: {error}"));
        }
    }
    assert_eq!(deployment.revision, Revision::new(10));
}

#[test]
fn recipes_of_the_page_of_changes_parse() {
    assert!(examples(CHANGES_PAGE).len() >= 7);
    for example in examples(CHANGES_PAGE) {
        let parsed = parse(example);
        parsed.unwrap_or_else(|errors| panic!("{}", render_errors(example, "page", &errors)));
    }
}

#[test]
fn page_lists_each_field_of_each_kind() {
    for kind in ObjectKind::ALL {
        let heading = format!("\n### {kind}\n");
        let (_, section) = PAGE.split_once(&heading).expect("each kind has a section");
        let section = section.split("\n##").next().expect("split gives a part");
        let rows: Vec<_> = section
            .lines()
            .filter(|line| line.starts_with("| `"))
            .collect();
        let expected: Vec<_> = fields_of(kind).iter().map(row).collect();
        assert_eq!(rows, expected, "{kind}");
    }
}

fn row(spec: &FieldSpec) -> String {
    let default = match spec.default {
        None => "| required ".to_owned(),
        Some("") => "| ".to_owned(),
        Some(default) => format!("| `{default}` "),
    };
    let settable = if spec.settable {
        "yes"
    } else {
        "no, it is fixed"
    };
    format!(
        "| `{}` | {} {default}| {settable} |",
        spec.name, spec.allowed
    )
}

#[test]
fn page_lists_each_column_of_each_table() {
    for table in Table::ALL {
        let start = format!("| `{table}` |");
        let row = PAGE
            .lines()
            .find(|line| line.starts_with(&start))
            .expect("each table has a row");
        let columns: Vec<_> = table
            .columns()
            .iter()
            .map(|column| format!("`{column}`"))
            .collect();
        let end = format!("| {} |", columns.join(", "));
        assert!(row.ends_with(&end), "{row} does not end with {end}");
    }
}
