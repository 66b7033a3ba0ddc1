//! Command line of the quickstart.

use std::process::ExitCode;
use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt as _};

use super::report::{print_addresses, print_table};
use super::script::{self, Script};
use crate::fleet::FleetError;

const USAGE: &str = "\
usage: chervilshunt_standin quickstart [OPTIONS]

  --stay       keep running after the report, until Ctrl-C
  --seconds N  duration of the load in seconds (20)
  --rate N     requests per second (60)
  --seed N     random seed of the load (1)

Exits with status 0 only if every promise held.";

/// Command-line options of the quickstart.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    pub(crate) stay: bool,
    pub(crate) load: Duration,
    pub(crate) rate: f64,
    pub(crate) seed: u64,
}

/// Parses the command line, runs the quickstart and returns its exit code.
pub fn run(parser: Parser) -> ExitCode {
    let options = match parse(parser) {
        Ok(Some(options)) => options,
        Ok(None) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(err) => {
            eprintln!("chervilshunt_standin: {err}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match demonstrate(options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("chervilshunt_standin: {err}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn demonstrate(options: Options) -> Result<bool, FleetError> {
    // On Ctrl-C the future is dropped, which kills every process that it started.
    tokio::select! {
        held = run_script(options) => held,
        _interrupt = tokio::signal::ctrl_c() => Ok(false),
    }
}

async fn run_script(options: Options) -> Result<bool, FleetError> {
    let mut script = Script::start(options).await?;
    let evidence = match script.run().await {
        Ok(evidence) => evidence,
        Err(err) => {
            println!("logs are kept in {}", script.fleet.keep_logs().display());
            return Err(err);
        }
    };
    let held = print_table(&evidence);
    if !held {
        println!("logs are kept in {}", script.fleet.keep_logs().display());
    }
    if options.stay {
        print_addresses(&script.fleet, script::NEW_VERSION)?;
        std::future::pending::<()>().await;
    }
    Ok(held)
}

fn parse(mut parser: Parser) -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options {
        stay: false,
        load: Duration::from_secs(20),
        rate: 60.0,
        seed: 1,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("stay") => options.stay = true,
            Arg::Long("seconds") => {
                options.load = Duration::from_secs(parser.value()?.parse()?);
            }
            Arg::Long("rate") => options.rate = parser.value()?.parse()?,
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("help") => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(options))
}
