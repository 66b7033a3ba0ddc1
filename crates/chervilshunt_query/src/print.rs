//! Prints statements as text that parses back to equal statements.

use std::fmt;

use chervilshunt_model::{Change, Edit, Lifecycle, TargetPatch};

use crate::fields::{FieldText, FieldTexts};
use crate::token::{is_word_char, quote};
use crate::{ChangeGroup, Condition, Op, Show, Statement};

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show(show) => show.fmt(f),
            Self::Change(group) => group.fmt(f),
        }
    }
}

impl fmt::Display for Show {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "show {}", self.table)?;
        for (index, condition) in self.conditions.iter().enumerate() {
            let joint = if index == 0 { "where" } else { "and" };
            write!(f, " {joint} {condition}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let op = match self.op {
            Op::Equal => "=",
            Op::NotEqual => "!=",
            Op::Prefix => "~",
        };
        write!(f, "{} {op} {}", word(&self.column), word(&self.value))
    }
}

impl fmt::Display for ChangeGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(revision) = self.expected {
            write!(f, "if revision = {revision} ")?;
        }
        if let [change] = &*self.changes {
            return f.write_str(&change_text(change));
        }
        let changes: Vec<_> = self.changes.iter().map(change_text).collect();
        write!(f, "{{ {} }}", changes.join("; "))
    }
}

fn change_text(change: &Change) -> String {
    match change {
        Change::Adapter { name, edit } => edit_text("adapter", name, edit),
        Change::Version { name, edit } => match edit {
            Edit::Create(version) => with_fields("create version", name, version),
            Edit::Set(never) => match *never {},
            Edit::Delete => without_fields("delete version", name),
        },
        Change::Service { name, edit } => edit_text("service", name, edit),
        Change::Target { name, edit } => match edit {
            Edit::Set(patch) if *patch == to_lifecycle(Lifecycle::Draining) => {
                without_fields("drain target", name)
            }
            Edit::Set(patch) if *patch == to_lifecycle(Lifecycle::Active) => {
                without_fields("resume target", name)
            }
            _ => edit_text("target", name, edit),
        },
        Change::Priority { name, edit } => edit_text("priority", name, edit),
        Change::Site { name, edit } => edit_text("site", name, edit),
        Change::Store { name, edit } => edit_text("store", name, edit),
    }
}

/// Returns the patch that `drain target` and `resume target` are short for.
pub(crate) fn to_lifecycle(lifecycle: Lifecycle) -> TargetPatch {
    TargetPatch {
        lifecycle: Some(lifecycle),
        ..TargetPatch::default()
    }
}

fn edit_text<O: FieldTexts, P: FieldTexts>(
    kind: &str,
    name: &impl ToString,
    edit: &Edit<O, P>,
) -> String {
    match edit {
        Edit::Create(object) => with_fields(&format!("create {kind}"), name, object),
        Edit::Set(patch) => with_fields(&format!("set {kind}"), name, patch),
        Edit::Delete => without_fields(&format!("delete {kind}"), name),
    }
}

fn with_fields(head: &str, name: &impl ToString, fields: &impl FieldTexts) -> String {
    let assignments: String = fields
        .field_texts()
        .into_iter()
        .filter_map(assignment)
        .collect();
    without_fields(head, name) + &assignments
}

fn without_fields(head: &str, name: &impl ToString) -> String {
    format!("{head} {}", word(&name.to_string()))
}

fn assignment(field: FieldText) -> Option<String> {
    Some(format!(" {}={}", field.field, word(&field.text?)))
}

/// Writes a name or value, quoted if it is empty or holds characters that a word can't.
fn word(text: &str) -> String {
    if !text.is_empty() && text.chars().all(is_word_char) {
        text.to_owned()
    } else {
        quote(text)
    }
}
