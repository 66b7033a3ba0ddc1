//! A small configuration for tests: a number for each page.

use std::collections::BTreeMap;

use chervilshunt_model::{ChangeId, Revision};
use serde::{Deserialize, Serialize};

use crate::{AppliedChange, ConfigModel, PageKey};

/// A number for each page.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Table {
    pub(super) revision: Revision,
    pub(super) cells: BTreeMap<String, u64>,
}

/// A change that sets one number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct SetCell {
    pub(super) id: ChangeId,
    pub(super) page: String,
    pub(super) value: u64,
}

pub(super) fn table_model() -> ConfigModel<Table, SetCell> {
    ConfigModel {
        empty: Table::default,
        change_id: |change| change.id,
        apply: set_cell,
        page: |table, key| {
            table
                .cells
                .get(key.as_str())
                .map_or_else(String::new, u64::to_string)
        },
        with_page: with_cell,
        at_revision: |table, revision| Table {
            revision,
            ..table.clone()
        },
    }
}

fn set_cell(table: &Table, change: &SetCell) -> Result<AppliedChange<Table>, String> {
    let mut next = table.clone();
    next.revision = table.revision.next();
    next.cells.insert(change.page.clone(), change.value);
    Ok((next, vec![PageKey::new(change.page.as_str())]))
}

fn with_cell(table: &Table, key: &PageKey, body: &str) -> Result<Table, String> {
    let mut next = table.clone();
    let value = body
        .parse()
        .map_err(|_error| format!("{body} is not a number"))?;
    next.cells.insert(key.as_str().to_owned(), value);
    Ok(next)
}
