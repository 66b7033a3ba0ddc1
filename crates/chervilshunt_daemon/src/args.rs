//! The daemon's command line.

use std::path::PathBuf;

use lexopt::{Arg, Parser};
use snafu::{OptionExt, ResultExt, Snafu};

/// What `--help` prints.
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

/// The command line, understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Args {
    /// Print the usage.
    Help,
    /// Print the version.
    Version,
    /// Print a settings file to start from.
    PrintDefaults,
    /// Run, or only check the settings.
    Run {
        /// The settings file.
        settings: PathBuf,
        /// Whether to stop after the check.
        check_only: bool,
    },
}

/// Why a command line can't be used.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum ArgsError {
    /// An option is unknown or lacks its value.
    #[snafu(display("{source}"))]
    Malformed {
        /// What the parser said.
        source: lexopt::Error,
    },
    /// No settings file was named.
    #[snafu(display("name the settings file with --settings FILE"))]
    NoSettings,
}

impl Args {
    /// Reads the command line.
    ///
    /// # Errors
    /// Fails on an unknown option, a missing value, or a missing `--settings`.
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
