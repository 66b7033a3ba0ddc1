//! The commented file of default settings.

use crate::keys::{Key, SECTIONS, Section};

/// Returns a commented settings file that holds every key with its default.
///
/// Required keys have no default; they hold an example, and their comment says so.
/// [`crate::Settings::parse`] accepts the file.
pub fn print_defaults() -> String {
    let sections: Vec<_> = SECTIONS.iter().map(section_text).collect();
    format!(
        "// Settings of chervilshuntd: JSON with comments.\n{{\n{}\n}}\n",
        sections.join(",\n\n")
    )
}

fn section_text(section: &Section) -> String {
    let keys: Vec<_> = section.keys.iter().map(key_text).collect();
    format!(
        "  // {}\n  \"{}\": {{\n{}\n  }}",
        section.comment,
        section.name,
        keys.join(",\n")
    )
}

fn key_text(key: &Key) -> String {
    let note = if key.shape.required() {
        "Required; this is an example. Allowed:"
    } else {
        "Allowed:"
    };
    format!(
        "    // {}\n    // {note} {}.\n    \"{}\": {}",
        key.comment,
        key.shape.allowed(),
        key.name,
        key.shape.default_json()
    )
}
