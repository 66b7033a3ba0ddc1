//! The daemon's command line.

use std::path::PathBuf;

use lexopt::{Arg, Parser};
use snafu::{OptionExt, ResultExt, Snafu};

/// The text that `--help` prints.
pub const USAGE: &str = "\
usage: chervilshuntd --settings FILE [--check]
       chervilshuntd --print-defaults

  --settings FILE   run with these settings (JSON with comments)
  --check           only check the settings; exit 0 if they can be used, else 2
  --print-defaults  print a commented settings file to start from
  --help            print this
  --version         print the version

SIGTERM shuts down gracefully: the instance turns unready, gives its roles to others and waits for
every open answer. A second SIGTERM, or the end of limits.shutdown_ms, ends it at once.";

/// The parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Args {
    /// Print the usage.
    Help,
    /// Print the version.
    Version,
    /// Print a commented default settings file.
    PrintDefaults,
    /// Run the daemon, or only check its settings.
    Run {
        /// The path of the settings file.
        settings: PathBuf,
        /// Whether to exit after the settings have been checked.
        check_only: bool,
    },
}

/// The reason why a command line was rejected.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum ArgsError {
    /// An option is unknown or its value is missing.
    #[snafu(display("{source}"))]
    Malformed {
        /// The parser's error.
        source: lexopt::Error,
    },
    /// No settings file was given.
    #[snafu(display("name the settings file with --settings FILE"))]
    NoSettings,
}

impl Args {
    /// Parses the command line.
    ///
    /// # Errors
    /// Returns an error for an unknown option, a missing value, or a missing `--settings`.
    pub fn parse(mut parser: Parser) -> Result<Self, ArgsError> {
        let mut settings = None;
        let mut check_only = false;
        while let Some(arg) = parser.next().context(MalformedSnafu)? {
            match arg {
                Arg::Long("help") | Arg::Short('h') => return Ok(Self::Help),
                Arg::Long("version") | Arg::Short('V') => return Ok(Self::Version),
                Arg::Long("print-defaults") => return Ok(Self::PrintDefaults),
                Arg::Long("check") => check_only = true,
                Arg::Long("settings") => {
                    let value = parser.value().context(MalformedSnafu)?;
                    settings = Some(PathBuf::from(value));
                }
                Arg::Long(_) | Arg::Short(_) | Arg::Value(_) => {
                    return Err(arg.unexpected()).context(MalformedSnafu);
                }
            }
        }
        let settings = settings.context(NoSettingsSnafu)?;
        Ok(Self::Run {
            settings,
            check_only,
        })
    }
}
