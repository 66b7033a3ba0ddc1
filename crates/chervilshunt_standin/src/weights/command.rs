//! Command line of the weight-store stand-in as a separate process.

use std::process::ExitCode;

use lexopt::{Arg, Parser, ValueExt as _};

use super::{WeightsStandinConfig, start_weights};
use crate::command;

const USAGE: &str = "\
usage: chervilshunt_standin weights [OPTIONS]

  --listen IP:PORT      address of the store (127.0.0.1:0)
  --control IP:PORT     address that serves /standin/ even while connections are refused
  --concurrency N       concurrent loads that run at full speed (2)
  --loads-per-second N  total rate of loads per second (6)
  --seed N              seed of the random faults";

/// Runs the stand-in until the process exits.
pub fn run(parser: Parser) -> ExitCode {
    command::run(parser, USAGE, parse, async |cfg| {
        Ok(start_weights(cfg).await?.addresses())
    })
}

fn parse(parser: &mut Parser) -> Result<Option<WeightsStandinConfig>, lexopt::Error> {
    let mut cfg = WeightsStandinConfig::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("listen") => cfg.listen = parser.value()?.parse()?,
            Arg::Long("control") => cfg.control = parser.value()?.parse()?,
            Arg::Long("concurrency") => cfg.concurrency = parser.value()?.parse()?,
            Arg::Long("loads-per-second") => cfg.loads_per_second = parser.value()?.parse()?,
            Arg::Long("seed") => cfg.seed = parser.value()?.parse()?,
            Arg::Long("help") => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(cfg))
}
