//! The daemon's entry point: arguments, settings and exit codes.

use std::process::ExitCode;

use chervilshunt_config::{Settings, print_defaults};
use chervilshunt_daemon::{Args, USAGE, run};
use chervilshunt_log::{report_failed_start, report_panics};

/// The exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    report_panics();
    let args = match Args::parse(lexopt::Parser::from_env()) {
        Ok(args) => args,
        Err(error) => {
            report_failed_start(&error);
            eprintln!("chervilshuntd: {error}\n{USAGE}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match args {
        Args::Help => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        Args::Version => {
            println!("chervilshuntd {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Args::PrintDefaults => {
            print!("{}", print_defaults());
            ExitCode::SUCCESS
        }
        Args::Run {
            settings,
            check_only,
        } => match Settings::load(&settings) {
            Err(error) => {
                if !check_only {
                    report_failed_start(&error);
                }
                eprintln!("{error}");
                ExitCode::from(EXIT_USAGE)
            }
            Ok(_) if check_only => ExitCode::SUCCESS,
            Ok(settings) => match run(settings) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("chervilshuntd: {error}");
                    ExitCode::FAILURE
                }
            },
        },
    }
}
