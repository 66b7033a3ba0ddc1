//! Finds the positions of keys in the file.

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;

/// A position in a text; line and column start at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    pub(crate) line: usize,
    pub(crate) column: usize,
}

/// Converts a byte offset to a line and a column in characters.
pub(crate) fn position_at(text: &str, offset: usize) -> Position {
    let before = text.get(..offset).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |index| index + 1);
    Position {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
    }
}

/// Returns the position of the key at `path`, or of the innermost part of the path that exists.
pub(crate) fn position_of(text: &str, root: &Value<'_>, path: &str) -> Position {
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
    position_at(text, offset)
}

/// Finds keys that occur more than once in the same object; returns the path and byte offset of
/// each repetition.
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
