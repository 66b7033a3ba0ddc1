//! Stand-ins and drivers of the cases 6 to 10 of the review.
//!
//! `review_standins_2 replica OPTIONS` is a replica; `review_standins_2 CASE RECORD` plays a case and writes its record and ends with 0 if
//! the rule held, 1 if it was broken and 2 if the case could not run.

mod cases;
mod client;
mod early_end;
mod fleet;
mod http;
mod json;
mod replica;
mod silence;
mod store;
mod sys;
mod tail;
mod taken_up;
mod two_versions;

use std::collections::BTreeMap;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let what = args.next().unwrap_or_default();
    let result = match what.as_str() {
        "replica" => read_options(args)
            .and_then(|it| replica::run(&it))
            .map(|()| true),
        "early-end" => cases::play(args.next(), early_end::play),
        "silence" => cases::play(args.next(), silence::play),
        "taken-up" => cases::play(args.next(), taken_up::play),
        "two-versions" => cases::play(args.next(), two_versions::play),
        "tail" => cases::play(args.next(), tail::play),
        other => Err(format!(
            "{other:?} is none of replica, early-end, silence, tail, taken-up, two-versions"
        )),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(problem) => {
            eprintln!("{what}: {problem}");
            ExitCode::from(2)
        }
    }
}

/// Reads `--NAME VALUE`, and `--stream` and `--no-born` without one.
fn read_options(
    mut args: impl Iterator<Item = String>,
) -> Result<BTreeMap<String, String>, String> {
    let mut options = BTreeMap::new();
    while let Some(arg) = args.next() {
        let name = arg
            .strip_prefix("--")
            .ok_or(format!("{arg} is no option"))?
            .to_owned();
        let value = match name.as_str() {
            "stream" | "no-born" => String::new(),
            _ => args.next().ok_or(format!("--{name} has no value"))?,
        };
        options.insert(name, value);
    }
    Ok(options)
}
