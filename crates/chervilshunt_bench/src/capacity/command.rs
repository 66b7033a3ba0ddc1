//! Command line of the capacity measurement.

use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt as _};
use snafu::ResultExt as _;

use super::measure::measure;
use super::table::render;
use crate::figures::FiguresError;
use crate::figures::error::{RuntimeSnafu, UsageSnafu};

const USAGE: &str = "\
usage: chervilshunt_bench capacity [OPTIONS]

  --instances LIST   fleet sizes, separated by commas (3,6,12,24)
  --seconds N        seconds to measure the idle fleet, and after a restart (30)

Measures bytes by purpose and platform API calls of complete daemons on loopback.";

struct Options {
    sizes: Vec<usize>,
    window: Duration,
}

/// Measures each fleet size and prints the tables.
///
/// # Errors
/// Returns an error if the command line is invalid, or a fleet can't be started or measured.
pub fn run(parser: Parser) -> Result<(), FiguresError> {
    let usage = UsageSnafu { usage: USAGE };
    let Some(options) = parse(parser).context(usage)? else {
        println!("{USAGE}");
        return Ok(());
    };
    let runtime = tokio::runtime::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(async {
        let mut samples = Vec::new();
        for size in &options.sizes {
            eprintln!("{size} instances");
            samples.push(measure(*size, options.window).await?);
        }
        print!("{}", render(&samples));
        Ok(())
    })
}

fn parse(mut parser: Parser) -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options {
        sizes: vec![3, 6, 12, 24],
        window: Duration::from_secs(30),
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") => return Ok(None),
            Arg::Long("instances") => {
                let list = parser.value()?.string()?;
                let sizes = list.split(',').map(|size| {
                    let size = size.parse::<usize>();
                    size.map_err(|err| lexopt::Error::Custom(err.into()))
                });
                options.sizes = sizes.collect::<Result<_, _>>()?;
            }
            Arg::Long("seconds") => {
                options.window = Duration::from_secs(parser.value()?.parse()?);
            }
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(options))
}
