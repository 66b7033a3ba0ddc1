//! Command line of the platform stand-in as a separate process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt};
use serde_json::json;

use super::server::{PlatformOptions, start_platform};

const USAGE: &str = "\
usage: chervilshunt_standin platform [OPTIONS]

  --listen IP:PORT          address of the object API (127.0.0.1:0)
  --control IP:PORT         address that serves /standin/ even while connections are refused
  --bookmark-interval-ms N  interval between the bookmarks of a watch (1000)
  --history N               number of changes kept for watches to resume from (50000)
  --seed N                  seed of the random call failures";

/// Runs the stand-in until the process exits.
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
    match serve(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("chervilshunt_standin: {err}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn serve(options: PlatformOptions) -> std::io::Result<()> {
    let handle = start_platform(options).await?;
    let line = json!({
        "listening": handle.address().to_string(),
        "control": handle.control().to_string(),
    });
    println!("{line}");
    std::future::pending().await
}

fn parse(mut parser: Parser) -> Result<Option<PlatformOptions>, lexopt::Error> {
    let mut options = PlatformOptions::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("listen") => options.listen = parser.value()?.parse::<SocketAddr>()?,
            Arg::Long("control") => options.control = parser.value()?.parse::<SocketAddr>()?,
            Arg::Long("bookmark-interval-ms") => {
                options.bookmark_interval = Duration::from_millis(parser.value()?.parse()?);
            }
            Arg::Long("history") => options.history = parser.value()?.parse()?,
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("help") => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(options))
}
