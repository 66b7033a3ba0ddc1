//! The command line of the plots.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use lexopt::prelude::*;
use snafu::{OptionExt, ResultExt, Snafu};

use super::chart::draw;
use super::figure::Figure;
use crate::policy::ResultsTable;

/// Why nothing was drawn.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum PlotError {
    /// The command line can't be read.
    #[snafu(display("{source}"))]
    Args {
        /// What lexopt said.
        source: lexopt::Error,
    },
    /// An option is missing.
    #[snafu(display("--{option} is missing"))]
    Missing {
        /// The option.
        option: &'static str,
    },
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The table can't be read.
    #[snafu(display("{} is no table of policy-table --json: {source}", path.display()))]
    Table {
        /// The file.
        path: PathBuf,
        /// What serde_json said.
        source: serde_json::Error,
    },
    /// A plot can't be drawn.
    #[snafu(display("can't draw: {reason}"))]
    Draw {
        /// What plotters said.
        reason: String,
    },
}

/// Runs `plot --table FILE --out DIRECTORY`: one SVG for each deployment and figure.
///
/// # Errors
/// Fails if an option is missing, the table can't be read or a file can't be written.
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
        for figure in Figure::ALL {
            let drawn = draw(table, deployment, figure);
            let svg = drawn.map_err(|reason| PlotError::Draw { reason })?;
            let path = out.join(format!("{}-{deployment}.svg", figure.as_str()));
            fs::write(&path, svg).context(FileSnafu { path })?;
        }
    }
    Ok(())
}
