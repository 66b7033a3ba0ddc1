//! A list as a table: the columns of a kind's definition in place of its objects.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::Value;

use crate::ResourceVersion;
use crate::wire::ListMetadata;

/// The kind that an API server gives to a table.
const TABLE_KIND: &str = "Table";

/// The column that every table has.
const NAME_COLUMN: &str = "Name";

/// One page of a list as a table, or the head of what was sent in place of one.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct TablePage {
    #[serde(default)]
    kind: String,
    pub(crate) metadata: ListMetadata,
    #[serde(default)]
    column_definitions: Vec<Column>,
    #[serde(default)]
    rows: Vec<Row>,
}

#[derive(Debug, Deserialize)]
struct Column {
    name: String,
}

#[derive(Debug, Deserialize)]
struct Row {
    cells: Vec<Value>,
}

impl TablePage {
    /// Says whether an API server made a table.
    pub(crate) fn is_table(&self) -> bool {
        self.kind == TABLE_KIND
    }

    /// Reads names and versions; none if a cell for them is missing or of another form.
    pub(crate) fn versions(&self, column: &str) -> Option<Vec<(Arc<str>, ResourceVersion)>> {
        let (name, version) = (self.place(NAME_COLUMN)?, self.place(column)?);
        let rows = self.rows.iter().map(|row| {
            let cell = |place: usize| row.cells.get(place)?.as_str();
            Some((cell(name)?.into(), ResourceVersion::parse(cell(version)?)?))
        });
        rows.collect()
    }

    fn place(&self, column: &str) -> Option<usize> {
        self.column_definitions
            .iter()
            .position(|definition| definition.name == column)
    }
}
