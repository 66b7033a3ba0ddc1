//! Command line that runs one stand-in or the quickstart.

use std::process::ExitCode;

use lexopt::{Arg, Parser};

const USAGE: &str = "usage: chervilshunt_standin platform|engine|plain|weights|quickstart [OPTIONS]; see --help of each";

fn main() -> ExitCode {
    let mut parser = Parser::from_env();
    let name = match parser.next() {
        Ok(Some(Arg::Value(name))) => name,
        Ok(Some(Arg::Long("help"))) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Ok(_) => return usage("the name of a stand-in is required"),
        Err(err) => return usage(&err.to_string()),
    };
    match name.to_str() {
        Some("platform") => chervilshunt_standin::platform::run(parser),
        Some("engine") => chervilshunt_standin::engine::run(parser),
        Some("plain") => chervilshunt_standin::plain::run(parser),
        Some("weights") => chervilshunt_standin::weights::run(parser),
        Some("quickstart") => chervilshunt_standin::quickstart::run(parser),
        _ => usage("unknown stand-in"),
    }
}

fn usage(problem: &str) -> ExitCode {
    eprintln!("chervilshunt_standin: {problem}\n{USAGE}");
    ExitCode::from(2)
}
