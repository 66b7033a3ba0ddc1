//! Command line of the plain-service stand-in as a separate process.

use std::process::ExitCode;
use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt as _};

use super::{PlainStandinConfig, start_plain};
use crate::command;

const USAGE: &str = "\
usage: chervilshunt_standin plain [OPTIONS]

  --listen IP:PORT   address of the service (127.0.0.1:0)
  --control IP:PORT  address that serves /standin/ even while connections are refused
  --delay-ms N       duration of each call (5)";

/// Runs the stand-in until the process exits.
pub fn run(parser: Parser) -> ExitCode {
    command::run(parser, USAGE, parse, async |cfg| {
        Ok(start_plain(cfg).await?.addresses())
    })
}

fn parse(parser: &mut Parser) -> Result<Option<PlainStandinConfig>, lexopt::Error> {
    let mut cfg = PlainStandinConfig::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("listen") => cfg.listen = parser.value()?.parse()?,
            Arg::Long("control") => cfg.control = parser.value()?.parse()?,
            Arg::Long("delay-ms") => cfg.delay = Duration::from_millis(parser.value()?.parse()?),
            Arg::Long("help") => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(cfg))
}
