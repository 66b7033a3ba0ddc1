//! Where in the file a key stands.

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;

/// A place in a text, both parts from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    pub(crate) line: usize,
    pub(crate) column: usize,
}

/// Turns a byte offset into line and column; the column counts characters.
pub(crate) fn place_at(text: &str, offset: usize) -> Place {
    let before = text.get(..offset).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |index| index + 1);
    Place {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
    }
}

/// Finds the place of the key at `path`, or of the innermost part of it that is there.
pub(crate) fn place_of(text: &str, root: &Value<'_>, path: &str) -> Place {
    let mut offset = root.start();
    let mut value = Some(root);
    for name in path.split('.') {
        let Some(property) = value
            .and_then(Value::as_object)
            .and_then(|object| object.get(name))
        else {
            break;
        };
        offset = property.range.start;
        value = Some(&property.value);
    }
    place_at(text, offset)
}

/// Finds keys that stand twice in the same object, with their paths and offsets.
pub(crate) fn duplicates(root: &Value<'_>) -> Vec<(String, usize)> {
    let mut found = Vec::new();
    if let Some(object) = root.as_object() {
        collect_duplicates(object, "", &mut found);
    }
    found
}

fn collect_duplicates(object: &Object<'_>, prefix: &str, found: &mut Vec<(String, usize)>) {
    for (index, property) in object.properties.iter().enumerate() {
        let name = property.name.as_str();
        let path = join(prefix, name);
        let earlier = &object.properties[..index];
        if earlier.iter().any(|other| other.name.as_str() == name) {
            found.push((path.clone(), property.range.start));
        }
        if let Some(inner) = property.value.as_object() {
            collect_duplicates(inner, &path, found);
        }
    }
}

fn join(prefix: &str, name: &str) -> String {
    if prefix.is_empty() {
        name.to_owned()
    } else {
        format!("{prefix}.{name}")
    }
}
