//! The command line of a fault run.

use std::process::ExitCode;
use std::time::Duration;

use chervilshunt_standin::fleet::FleetError;
use lexopt::{Arg, Parser, ValueExt as _};

use super::fault::FaultKind;
use super::report::Report;
use super::run::{Options, Run};

const USAGE: &str = "\
usage: chervilshunt_bench faults [OPTIONS]

  --seed N       seed of faults and load (1)
  --minutes M    duration; an episode that has begun runs to its end (2)
  --rate N       requests per second (40)
  --only KINDS   kinds of faults, separated by commas (all)
  --json         print the report as JSON
  --keep-logs    keep the processes' logs even if the run passes

Exits with 0 only if every promise held and each recovery was within its time limit.";

/// The conventional shell exit code after Ctrl-C.
const INTERRUPTED: u8 = 130;

/// Parses the arguments and runs the fault run; returns its exit code.
pub fn run(parser: Parser) -> ExitCode {
    let options = match parse(parser) {
        Ok(Some(options)) => options,
        Ok(None) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(err) => {
            eprintln!("chervilshunt_bench: {err}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match complete(&options) {
        Ok(Some(report)) => show(&report, options.json),
        Ok(None) => ExitCode::from(INTERRUPTED),
        Err(err) => {
            eprintln!("chervilshunt_bench: {err}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn complete(options: &Options) -> Result<Option<Report>, FleetError> {
    // On Ctrl-C the run is dropped, which ends every process that it started.
    tokio::select! {
        report = Run::complete(options) => report.map(Some),
        _interrupt = tokio::signal::ctrl_c() => Ok(None),
    }
}

fn show(report: &Report, json: bool) -> ExitCode {
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(report).unwrap_or_default()
        );
    } else {
        report.print();
    }
    if report.held {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn parse(mut parser: Parser) -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options {
        seed: 1,
        length: Duration::from_secs(120),
        rate: 40.0,
        kinds: FaultKind::ALL.to_vec(),
        json: false,
        keep_logs: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("minutes") => {
                options.length = Duration::from_secs_f64(parser.value()?.parse::<f64>()? * 60.0);
            }
            Arg::Long("rate") => options.rate = parser.value()?.parse()?,
            Arg::Long("only") => options.kinds = kinds(&parser.value()?.string()?)?,
            Arg::Long("json") => options.json = true,
            Arg::Long("keep-logs") => options.keep_logs = true,
            Arg::Long("help") => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(options))
}

fn kinds(names: &str) -> Result<Vec<FaultKind>, lexopt::Error> {
    let kind = |name: &str| {
        let known = || FaultKind::ALL.map(FaultKind::name).join(", ");
        FaultKind::parse(name)
            .ok_or_else(|| format!("unknown fault {name}; known faults: {}", known()).into())
    };
    names.split(',').map(kind).collect()
}
