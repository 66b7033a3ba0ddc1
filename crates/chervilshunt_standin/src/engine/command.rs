//! Command line of the engine stand-in as a separate process.

use std::process::ExitCode;
use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt as _};

use super::{EngineStandinConfig, start_engine};
use crate::command;

const USAGE: &str = "\
usage: chervilshunt_standin engine [OPTIONS]

  --listen IP:PORT          address of the API (127.0.0.1:0)
  --control IP:PORT         address that serves /standin/ even while connections are refused
  --base-model NAME         name of the base model (base)
  --slots N                 adapters loaded at the same time (4)
  --max-batch N             sequences running at the same time (16)
  --step-ms N               fixed duration of a step (5)
  --step-us-per-sequence N  time that each running sequence adds to a step (0)
  --weights IP:PORT         weight store from which adapters are loaded
  --load-ms N               duration of a load without a weight store (20)
  --idle-watts N            power drawn while no sequence runs (100)
  --watts-per-sequence N    power added by each running sequence (25)
  --report-lag-ms N         delay of load reports and cache events (200)
  --no-fencing              carry out orders regardless of their fencing number
  --cached-prefixes N       capacity of the prefix cache, in prompt prefixes (64)
  --seed N                  seed of the random faults";

/// Runs the stand-in until the process exits.
pub fn run(parser: Parser) -> ExitCode {
    command::run(parser, USAGE, parse, async |cfg| {
        Ok(start_engine(cfg).await?.addresses())
    })
}

fn parse(parser: &mut Parser) -> Result<Option<EngineStandinConfig>, lexopt::Error> {
    let mut cfg = EngineStandinConfig::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("listen") => cfg.listen = parser.value()?.parse()?,
            Arg::Long("control") => cfg.control = parser.value()?.parse()?,
            Arg::Long("base-model") => cfg.base_model = parser.value()?.string()?.into(),
            Arg::Long("slots") => cfg.slots = parser.value()?.parse()?,
            Arg::Long("max-batch") => cfg.max_batch = parser.value()?.parse()?,
            Arg::Long("step-ms") => cfg.step = Duration::from_millis(parser.value()?.parse()?),
            Arg::Long("step-us-per-sequence") => {
                cfg.step_per_sequence = Duration::from_micros(parser.value()?.parse()?);
            }
            Arg::Long("weights") => cfg.weights = Some(parser.value()?.parse()?),
            Arg::Long("load-ms") => cfg.load_time = Duration::from_millis(parser.value()?.parse()?),
            Arg::Long("idle-watts") => cfg.idle_watts = parser.value()?.parse()?,
            Arg::Long("watts-per-sequence") => cfg.watts_per_sequence = parser.value()?.parse()?,
            Arg::Long("report-lag-ms") => {
                cfg.report_lag = Duration::from_millis(parser.value()?.parse()?);
            }
            Arg::Long("no-fencing") => cfg.checks_fencing = false,
            Arg::Long("cached-prefixes") => cfg.cached_prefixes = parser.value()?.parse()?,
            Arg::Long("seed") => cfg.seed = parser.value()?.parse()?,
            Arg::Long("help") => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(cfg))
}
