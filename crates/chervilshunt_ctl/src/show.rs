//! Formats answers as text.

use comfy_table::{Table, presets};

use crate::answer::StatementResult;

/// The text of an empty cell; `where` compares empty cells with the same word.
const NONE: &str = "none";

/// Formats the result of one statement.
pub(crate) fn result_text(result: &StatementResult) -> String {
    match result {
        StatementResult::Rows { columns, rows } => rows_text(columns, rows),
        StatementResult::Accepted { accepted, changed } => {
            let noun = if *changed == 1 { "change" } else { "changes" };
            format!("accepted {changed} {noun} as revision {accepted}\n")
        }
    }
}

fn rows_text(columns: &[String], rows: &[Vec<Option<String>>]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(columns.iter().map(|column| printable(column)));
    for row in rows {
        table.add_row(row.iter().map(|cell| cell_text(cell.as_deref())));
    }
    let noun = if rows.len() == 1 { "row" } else { "rows" };
    let mut text: String = table
        .lines()
        .map(|line| line.trim().to_owned() + "\n")
        .collect();
    text += &format!("({} {noun})\n", rows.len());
    text
}

fn cell_text(cell: Option<&str>) -> String {
    printable(cell.unwrap_or(NONE))
}

/// Escapes control characters, so that a name can't send control sequences to the terminal.
pub(crate) fn printable(text: &str) -> String {
    text.chars()
        .map(|c| {
            if c.is_control() {
                c.escape_default().to_string()
            } else {
                c.to_string()
            }
        })
        .collect()
}
