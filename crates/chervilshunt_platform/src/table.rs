//! Lists in table format, which contain the printer columns of a kind instead of its objects.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::Value;

use crate::ResourceVersion;
use crate::wire::ListMetadata;

/// The `kind` of a table in an API server's response.
const TABLE_KIND: &str = "Table";

/// The name column, which every table has.
const NAME_COLUMN: &str = "Name";

/// One page of a list in table format, or the metadata of the list that was sent instead.
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
    /// Returns whether the response is a table.
    pub(crate) fn is_table(&self) -> bool {
        self.kind == TABLE_KIND
    }

    /// Returns the names and versions, or `None` if a column or cell is missing or malformed.
    pub(crate) fn versions(&self, column: &str) -> Option<Vec<(Arc<str>, ResourceVersion)>> {
        let (name, version) = (self.column_index(NAME_COLUMN)?, self.column_index(column)?);
        let rows = self.rows.iter().map(|row| {
            let cell = |index: usize| row.cells.get(index)?.as_str();
            Some((cell(name)?.into(), ResourceVersion::parse(cell(version)?)?))
        });
        rows.collect()
    }

    fn column_index(&self, column: &str) -> Option<usize> {
        self.column_definitions
            .iter()
            .position(|definition| definition.name == column)
    }
}
