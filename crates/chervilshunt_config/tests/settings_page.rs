//! Checks that the operators' page of settings agrees with the printed defaults.

use chervilshunt_config::{Settings, print_defaults};

const PAGE: &str = include_str!("../../../docs/operators/settings.md");
const ALLOWED: &str = "Allowed: ";

/// Converts the printed defaults to the rows of the page's table.
fn rows() -> Vec<String> {
    let printed = print_defaults();
    let mut section = "";
    let mut comments: Vec<&str> = Vec::new();
    let mut rows = Vec::new();
    for line in printed.lines().map(str::trim) {
        if let Some(comment) = line.strip_prefix("// ") {
            comments.push(comment);
        } else if let Some((name, rest)) = line.split_once(": ") {
            let name = name.trim_matches('"');
            if rest == "{" {
                section = name;
            } else {
                rows.push(row(section, name, rest.trim_end_matches(','), &comments));
            }
            comments.clear();
        }
    }
    rows
}

fn row(section: &str, name: &str, value: &str, comments: &[&str]) -> String {
    let [meaning, note] = comments else {
        panic!("{section}.{name} has a comment and what is allowed");
    };
    let (required, allowed) = note.split_once(ALLOWED).expect("the note says it");
    let default = if required.is_empty() {
        format!("`{value}`")
    } else {
        "required".to_owned()
    };
    let meaning = meaning.trim_end_matches('.');
    let allowed = allowed.trim_end_matches('.');
    format!("| `{section}.{name}` | {meaning} | {allowed} | {default} |")
}

#[test]
fn page_lists_each_key() {
    let on_page: Vec<_> = PAGE
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected = rows();
    assert!(expected.len() > 20);
    assert_eq!(on_page, expected);
}

#[test]
fn example_of_the_page_is_accepted() {
    let (_, rest) = PAGE.split_once("```jsonc\n").expect("there is an example");
    let (example, _) = rest.split_once("```").expect("it ends");
    Settings::parse(example, "page").unwrap_or_else(|errors| panic!("{errors}"));
}
