//! Typed statements.

use chervilshunt_model::{Change, ChangeId, ChangeSet, Revision};

use crate::Table;

/// The text by which `where` names a cell that holds nothing.
pub(crate) const NONE: &str = "none";

/// One statement of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// A question.
    Show(Show),
    /// Changes that take effect together or not at all.
    Change(ChangeGroup),
}

/// Which rows of which table to show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Show {
    /// The table.
    pub table: Table,
    /// What has to hold of a row, all of it.
    pub conditions: Vec<Condition>,
}

impl Show {
    /// Returns whether a row is to be shown; `cell` gives the row's cell of a column.
    pub fn matches<'a>(&self, cell: impl Fn(&str) -> Option<&'a str>) -> bool {
        self.conditions
            .iter()
            .all(|condition| condition.holds(cell(&condition.column).unwrap_or(NONE)))
    }
}

/// What has to hold of one cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The column.
    pub column: String,
    /// How the cell is compared.
    pub op: Op,
    /// What it is compared with.
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

/// How a cell is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// `=`: the cell is the value.
    Equal,
    /// `!=`: the cell is another.
    NotEqual,
    /// `~`: the cell begins with the value.
    Prefix,
}

/// Changes that take effect together or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeGroup {
    /// The revision that has to be in force.
    pub expected: Option<Revision>,
    /// The changes in their order; at least one.
    pub changes: Vec<Change>,
}

impl ChangeGroup {
    /// Gives the group an id, by which it is recognised when its answer is lost.
    pub fn into_change_set(self, id: ChangeId) -> ChangeSet {
        ChangeSet {
            id,
            expected: self.expected,
            changes: self.changes,
        }
    }
}
