//! Typed statements.

use chervilshunt_model::{Change, ChangeId, ChangeSet, Revision};

use crate::Table;

/// The text that `where` compares with for an empty cell.
pub(crate) const NONE: &str = "none";

/// One statement of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// A query.
    Show(Show),
    /// Changes that take effect together or not at all.
    Change(ChangeGroup),
}

/// Which rows of which table to show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Show {
    /// The table.
    pub table: Table,
    /// The conditions that a row must all satisfy.
    pub conditions: Vec<Condition>,
}

impl Show {
    /// Returns whether a row satisfies all conditions; `cell` returns the row's cell of a column.
    pub fn matches<'a>(&self, cell: impl Fn(&str) -> Option<&'a str>) -> bool {
        self.conditions
            .iter()
            .all(|condition| condition.holds(cell(&condition.column).unwrap_or(NONE)))
    }
}

/// A condition on one cell of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The column.
    pub column: String,
    /// The comparison.
    pub op: Op,
    /// The value that the cell is compared with.
    pub value: String,
}

impl Condition {
    fn holds(&self, cell: &str) -> bool {
        match self.op {
            Op::Equal => cell == self.value,
            Op::NotEqual => cell != self.value,
            Op::Prefix => cell.starts_with(&self.value),
        }
    }
}

/// A comparison of a cell with a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// `=`: the cell equals the value.
    Equal,
    /// `!=`: the cell differs from the value.
    NotEqual,
    /// `~`: the cell starts with the value.
    Prefix,
}

/// Changes that take effect together or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeGroup {
    /// The revision that must be in force for the changes to be accepted; any if `None`.
    pub expected: Option<Revision>,
    /// The changes in the order in which they apply; at least one.
    pub changes: Vec<Change>,
}

impl ChangeGroup {
    /// Returns the group as a change set with an id, so that it is recognised if it is sent again
    /// after its answer was lost.
    pub fn into_change_set(self, id: ChangeId) -> ChangeSet {
        ChangeSet {
            id,
            expected: self.expected,
            changes: self.changes,
        }
    }
}
