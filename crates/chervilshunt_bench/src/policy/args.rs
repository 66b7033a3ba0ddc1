//! The command line of the policy bench.

use lexopt::prelude::*;
use snafu::{OptionExt, ResultExt, Snafu};

use super::deployment::DeploymentKind;
use super::run::{Policy, RunSpec, run_policy};
use super::scenario::Scenario;

/// Why the policy bench did not run.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum PolicyError {
    /// The command line can't be read.
    #[snafu(display("{source}"))]
    Args {
        /// What lexopt said.
        source: lexopt::Error,
    },
    /// A name is unknown.
    #[snafu(display("--{option} {value}: unknown; one of {allowed}"))]
    Unknown {
        /// The option.
        option: &'static str,
        /// What was given.
        value: String,
        /// What may be given.
        allowed: String,
    },
    /// A report can't be written.
    #[snafu(display("can't write the report: {source}"))]
    Write {
        /// What serde_json said.
        source: serde_json::Error,
    },
}

/// Runs `policy` with the rest of the command line.
///
/// # Errors
/// Fails if an option is unknown or a report can't be written.
pub fn run(mut args: lexopt::Parser) -> Result<(), PolicyError> {
    let mut spec = RunSpec {
        deployment: DeploymentKind::Kolvand,
        policy: Policy::Chervilshunt,
        scenario: Scenario::Steady,
        seed: 1,
        seconds: None,
    };
    while let Some(arg) = args.next().context(ArgsSnafu)? {
        match arg {
            Long("deployment") => spec.deployment = name(&mut args, "deployment", &DEPLOYMENTS)?,
            Long("policy") => spec.policy = name(&mut args, "policy", &POLICIES)?,
            Long("scenario") => spec.scenario = name(&mut args, "scenario", &SCENARIOS)?,
            Long("seed") => spec.seed = number(&mut args)?,
            Long("seconds") => spec.seconds = Some(number(&mut args)?),
            // The report has no other form; the option is there for the caller's clearness.
            Long("json") => {}
            _ => return Err(arg.unexpected()).context(ArgsSnafu),
        }
    }
    let report = run_policy(spec);
    println!("{}", serde_json::to_string(&report).context(WriteSnafu)?);
    Ok(())
}

/// How the names of an option are read and listed.
struct Names<T> {
    parse: fn(&str) -> Option<T>,
    list: fn() -> Vec<&'static str>,
}

const DEPLOYMENTS: Names<DeploymentKind> = Names {
    parse: DeploymentKind::parse,
    list: || DeploymentKind::ALL.map(DeploymentKind::as_str).to_vec(),
};
const POLICIES: Names<Policy> = Names {
    parse: Policy::parse,
    list: || Policy::ALL.map(Policy::as_str).to_vec(),
};
const SCENARIOS: Names<Scenario> = Names {
    parse: Scenario::parse,
    list: || Scenario::ALL.map(Scenario::as_str).to_vec(),
};

fn name<T>(
    args: &mut lexopt::Parser,
    option: &'static str,
    names: &Names<T>,
) -> Result<T, PolicyError> {
    let value = args.value().and_then(|v| v.string()).context(ArgsSnafu)?;
    (names.parse)(&value).context(UnknownSnafu {
        option,
        value,
        allowed: (names.list)().join(", "),
    })
}

fn number(args: &mut lexopt::Parser) -> Result<u64, PolicyError> {
    args.value().and_then(|v| v.parse()).context(ArgsSnafu)
}
