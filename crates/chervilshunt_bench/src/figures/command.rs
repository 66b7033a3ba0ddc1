//! Command line of the figures.

use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt as _};
use snafu::ResultExt as _;

use super::error::{FiguresError, OutOfBoundsSnafu, RuntimeSnafu, UsageSnafu};
use super::figure::{Figure, render};
use super::{first_token, relayed, streams};

const USAGE: &str = "\
usage: chervilshunt_bench figures [first-token] [relay] [streams] [OPTIONS]

  first-token   latency added to the first token, and control bytes, at 300 requests/s
  relay         SSE events per second through one instance
  streams       memory of an instance with 1,000 open streams
  --seconds N   seconds of load measured for first-token, after the warm-up (30)
  --json        print JSON instead of a table

Measures all figures if none is named. Exits with a failure if a figure is out of bounds.";

/// Parsed command line: which figures to measure, and how.
#[derive(Debug)]
struct Options {
    first_token: bool,
    relay: bool,
    streams: bool,
    seconds: u64,
    json: bool,
}

/// Measures the figures named on the rest of the command line and prints them.
///
/// # Errors
/// Returns an error if the command line is invalid, or a figure can't be measured or is out of
/// bounds.
pub fn run(parser: Parser) -> Result<(), FiguresError> {
    let Some(options) = parse(parser).context(UsageSnafu { usage: USAGE })? else {
        println!("{USAGE}");
        return Ok(());
    };
    let runtime = tokio::runtime::Runtime::new().context(RuntimeSnafu)?;
    let figures = runtime.block_on(measure(&options))?;
    if options.json {
        let text = serde_json::to_string_pretty(&figures).expect("figures have plain members");
        println!("{text}");
    } else {
        print!("{}", render(&figures));
    }
    let count = figures.iter().filter(|figure| !figure.met).count();
    if count > 0 {
        return OutOfBoundsSnafu { count }.fail();
    }
    Ok(())
}

fn parse(mut parser: Parser) -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options {
        first_token: false,
        relay: false,
        streams: false,
        seconds: 30,
        json: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") => return Ok(None),
            Arg::Long("json") => options.json = true,
            Arg::Long("seconds") => options.seconds = parser.value()?.parse()?,
            Arg::Value(name) if name == "first-token" => options.first_token = true,
            Arg::Value(name) if name == "relay" => options.relay = true,
            Arg::Value(name) if name == "streams" => options.streams = true,
            _ => return Err(arg.unexpected()),
        }
    }
    if !(options.first_token || options.relay || options.streams) {
        (options.first_token, options.relay, options.streams) = (true, true, true);
    }
    Ok(Some(options))
}

async fn measure(options: &Options) -> Result<Vec<Figure>, FiguresError> {
    let mut figures = Vec::new();
    if options.first_token {
        figures.extend(first_token::measure(Duration::from_secs(options.seconds)).await?);
    }
    if options.relay {
        figures.extend(relayed::measure().await?);
    }
    if options.streams {
        figures.extend(streams::measure().await?);
    }
    Ok(figures)
}
