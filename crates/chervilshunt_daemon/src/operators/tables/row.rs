//! A table row under construction.

use std::time::Duration;

use chervilshunt_core::AdapterState;
use chervilshunt_query::FieldTexts;

/// The state of an adapter version across targets, ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Presence {
    Loaded,
    Pending,
    Draining,
    Idle,
}

impl Presence {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Loaded => "loaded",
            Self::Pending => "pending",
            Self::Draining => "draining",
            Self::Idle => "idle",
        }
    }

    pub(super) const fn of(state: AdapterState) -> Self {
        match state {
            AdapterState::Serving | AdapterState::Idle => Self::Loaded,
            AdapterState::Pending | AdapterState::Loading | AdapterState::Unknown => Self::Pending,
            AdapterState::Draining | AdapterState::Unloading => Self::Draining,
        }
    }
}

/// The instance that a row's live values come from, and their age.
pub(super) struct Origin {
    pub(super) from: String,
    pub(super) age: Duration,
}

/// A row: its cells by column name, and its origin.
pub(super) struct Row {
    pub(super) cells: Vec<(&'static str, Option<String>)>,
    pub(super) origin: Origin,
}

impl Row {
    pub(super) fn new(origin: Origin) -> Self {
        Self {
            cells: Vec::new(),
            origin,
        }
    }

    pub(super) fn cell(mut self, column: &'static str, value: impl ToString) -> Self {
        self.cells.push((column, Some(value.to_string())));
        self
    }

    pub(super) fn optional(mut self, column: &'static str, value: Option<impl ToString>) -> Self {
        self.cells
            .push((column, value.map(|value| value.to_string())));
        self
    }

    pub(super) fn fields(mut self, object: &impl FieldTexts) -> Self {
        let texts = object.field_texts().into_iter();
        self.cells.extend(texts.map(|text| (text.field, text.text)));
        self
    }

    pub(super) fn get(&self, column: &str) -> Option<&str> {
        let found = self.cells.iter().find(|(name, _)| *name == column)?;
        found.1.as_deref()
    }
}

/// Sorts rows by name; needed for objects that the configuration keeps ordered by page.
pub(super) fn by_name(mut rows: Vec<Row>) -> Vec<Row> {
    rows.sort_by(|left, right| left.get("name").cmp(&right.get("name")));
    rows
}
