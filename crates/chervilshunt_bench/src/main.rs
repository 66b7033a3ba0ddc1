//! Command-line program for the benchmarks of chervilshunt.
//!
//! Each subcommand is implemented by a module of the library.

use std::process::ExitCode;

use lexopt::prelude::*;

fn main() -> ExitCode {
    let mut args = lexopt::Parser::from_env();
    let command = match args.next() {
        Ok(Some(Value(command))) => command.to_string_lossy().into_owned(),
        Ok(_) => return usage(),
        Err(error) => return fail(&error.to_string()),
    };
    let outcome = match command.as_str() {
        "capacity" => chervilshunt_bench::capacity::run(args).map_err(|e| e.to_string()),
        "load" => chervilshunt_bench::load::command(args).map_err(|e| e.to_string()),
        "faults" => return chervilshunt_bench::faults::run(args),
        "figures" => chervilshunt_bench::figures::run(args).map_err(|e| e.to_string()),
        "policy" => chervilshunt_bench::policy::run(args).map_err(|e| e.to_string()),
        "policy-table" => chervilshunt_bench::policy::run_table(args).map_err(|e| e.to_string()),
        "plot" => chervilshunt_bench::plot::run(args).map_err(|e| e.to_string()),
        _ => return usage(),
    };
    outcome.map_or_else(|message| fail(&message), |()| ExitCode::SUCCESS)
}

fn usage() -> ExitCode {
    fail("usage: chervilshunt_bench capacity|load|faults|figures|policy|policy-table|plot OPTIONS")
}

fn fail(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::FAILURE
}
