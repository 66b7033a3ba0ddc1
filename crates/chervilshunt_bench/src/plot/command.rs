//! Command line of the plots.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use lexopt::prelude::*;
use snafu::{OptionExt, ResultExt, Snafu};

use super::chart::draw;
use super::quantity::Quantity;
use crate::policy::ResultsTable;

/// Error returned when the plots can't be drawn.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum PlotError {
    /// The command line is invalid.
    #[snafu(display("{source}"))]
    Args {
        /// The parser's error.
        source: lexopt::Error,
    },
    /// An option is missing.
    #[snafu(display("--{option} is missing"))]
    Missing {
        /// The name of the option, without dashes.
        option: &'static str,
    },
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The table can't be parsed.
    #[snafu(display("{} is not an output of policy-table --json: {source}", path.display()))]
    Table {
        /// The path of the file.
        path: PathBuf,
        /// The JSON parser's error.
        source: serde_json::Error,
    },
    /// A plot can't be drawn.
    #[snafu(display("can't draw: {reason}"))]
    Draw {
        /// The drawing library's error.
        reason: String,
    },
}

/// Runs `plot --table FILE --out DIRECTORY`, which writes one SVG per deployment and quantity.
///
/// # Errors
/// Returns an error if the command line is invalid, the table can't be read, or a plot can't be
/// drawn or written.
pub fn run(mut args: lexopt::Parser) -> Result<(), PlotError> {
    let (mut table, mut out) = (None, None);
    while let Some(arg) = args.next().context(ArgsSnafu)? {
        match arg {
            Long("table") => table = Some(PathBuf::from(args.value().context(ArgsSnafu)?)),
            Long("out") => out = Some(PathBuf::from(args.value().context(ArgsSnafu)?)),
            _ => return Err(arg.unexpected()).context(ArgsSnafu),
        }
    }
    let path = table.context(MissingSnafu { option: "table" })?;
    let out = out.context(MissingSnafu { option: "out" })?;
    let text = fs::read_to_string(&path).context(FileSnafu { path: &path })?;
    let table: ResultsTable = serde_json::from_str(&text).context(TableSnafu { path })?;
    fs::create_dir_all(&out).context(FileSnafu { path: &out })?;
    draw_all(&table, &out)
}

fn draw_all(table: &ResultsTable, out: &Path) -> Result<(), PlotError> {
    let deployments: BTreeSet<&str> = table.rows.iter().map(|it| it.deployment.as_str()).collect();
    for deployment in deployments {
        for quantity in Quantity::ALL {
            let drawn = draw(table, deployment, quantity);
            let svg = drawn.map_err(|reason| PlotError::Draw { reason })?;
            let path = out.join(format!("{}-{deployment}.svg", quantity.as_str()));
            fs::write(&path, svg).context(FileSnafu { path })?;
        }
    }
    Ok(())
}
