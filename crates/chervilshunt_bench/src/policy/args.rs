//! Command line of a single run, and parsers for option values shared with the table command.

use std::error::Error;
use std::str::FromStr;

use chervilshunt_core::PolicyWeights;
use lexopt::prelude::*;
use snafu::{OptionExt, ResultExt, Snafu};

use super::deployment::DeploymentKind;
use super::run::{Policy, RunSpec, run_timeline};
use super::scenario::Scenario;

/// Error of the policy bench's command line or of writing its report.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum PolicyError {
    /// The command line is invalid.
    #[snafu(display("{source}"), visibility(pub(super)))]
    Args {
        /// Error from `lexopt`.
        source: lexopt::Error,
    },
    /// The value of an option is not one of its allowed names.
    #[snafu(display("unknown value '{value}' for --{option}; expected one of {allowed}"))]
    Unknown {
        /// Name of the option, without the leading dashes.
        option: &'static str,
        /// Value given on the command line.
        value: String,
        /// Allowed names, separated by commas.
        allowed: String,
    },
    /// The list of seeds is malformed or empty.
    #[snafu(display(
        "invalid value '{value}' for --seeds; expected numbers or ranges, such as 101-110 or 1,2,7"
    ))]
    Seeds {
        /// Value given on the command line.
        value: String,
    },
    /// The policy weights are malformed.
    #[snafu(display(
        "invalid value '{value}' for --weights; expected the weights of load stalls and batch efficiency, such as 1,3"
    ))]
    Weights {
        /// Value given on the command line.
        value: String,
    },
    /// The report could not be serialized.
    #[snafu(
        display("failed to serialize the report: {source}"),
        visibility(pub(super))
    )]
    Write {
        /// Error from `serde_json`.
        source: serde_json::Error,
    },
}

/// Parsed command line; if an option is repeated, its last value applies.
#[derive(Debug)]
struct Options {
    spec: RunSpec,
    timeline: bool,
}

/// Runs the `policy` command with the remaining arguments and prints its report.
///
/// # Errors
/// Returns an error if an argument is invalid or the report cannot be serialized.
pub fn run(args: lexopt::Parser) -> Result<(), PolicyError> {
    let options = Options::parse(args)?;
    let (report, timeline) = run_timeline(options.spec);
    if options.timeline {
        print!("{timeline}");
        return Ok(());
    }
    println!("{}", serde_json::to_string(&report).context(WriteSnafu)?);
    Ok(())
}

impl Options {
    fn parse(mut args: lexopt::Parser) -> Result<Self, PolicyError> {
        let mut spec = RunSpec {
            deployment: DeploymentKind::Kolvand,
            policy: Policy::Chervilshunt,
            scenario: Scenario::Steady,
            seed: 1,
            seconds: None,
            load: 1.0,
            weights: None,
        };
        let mut timeline = false;
        while let Some(arg) = args.next().context(ArgsSnafu)? {
            match arg {
                Long("deployment") => {
                    spec.deployment = name(&mut args, "deployment", &DEPLOYMENTS)?;
                }
                Long("policy") => spec.policy = name(&mut args, "policy", &POLICIES)?,
                Long("scenario") => spec.scenario = name(&mut args, "scenario", &SCENARIOS)?,
                Long("seed") => spec.seed = number(&mut args)?,
                Long("seconds") => spec.seconds = Some(number(&mut args)?),
                Long("load") => spec.load = number(&mut args)?,
                Long("weights") => spec.weights = Some(weights(&mut args)?),
                Long("timeline") => timeline = true,
                // JSON is the only format of a single report, so the option has no effect.
                Long("json") => {}
                _ => return Err(arg.unexpected()).context(ArgsSnafu),
            }
        }
        Ok(Self { spec, timeline })
    }
}

/// Parser and list of the names that an option accepts.
pub(crate) struct OptionNames<T> {
    parse: fn(&str) -> Option<T>,
    list: fn() -> Vec<&'static str>,
}

pub(crate) const DEPLOYMENTS: OptionNames<DeploymentKind> = OptionNames {
    parse: DeploymentKind::parse,
    list: || DeploymentKind::ALL.map(DeploymentKind::as_str).to_vec(),
};
pub(crate) const POLICIES: OptionNames<Policy> = OptionNames {
    parse: Policy::parse,
    list: || Policy::ALL.map(Policy::as_str).to_vec(),
};
pub(crate) const SCENARIOS: OptionNames<Scenario> = OptionNames {
    parse: Scenario::parse,
    list: || Scenario::ALL.map(Scenario::as_str).to_vec(),
};

fn name<T>(
    args: &mut lexopt::Parser,
    option: &'static str,
    names: &OptionNames<T>,
) -> Result<T, PolicyError> {
    let value = text(args)?;
    names.find(option, &value)
}

/// Parses the weights of load stalls and batch efficiency, separated by a comma.
fn weights(args: &mut lexopt::Parser) -> Result<PolicyWeights, PolicyError> {
    let value = text(args)?;
    let read = |text: &str| text.parse().ok();
    let both = value.split_once(',');
    let both = both.and_then(|(stalls, batches)| Some((read(stalls)?, read(batches)?)));
    let (load_stalls, batch_efficiency) = both.context(WeightsSnafu { value })?;
    Ok(PolicyWeights {
        load_stalls,
        batch_efficiency,
    })
}

/// Parses a comma-separated list of names.
pub(crate) fn names<T>(
    args: &mut lexopt::Parser,
    option: &'static str,
    names: &OptionNames<T>,
) -> Result<Vec<T>, PolicyError> {
    let value = text(args)?;
    value
        .split(',')
        .map(|name| names.find(option, name))
        .collect()
}

/// Parses a comma-separated list of seeds and inclusive ranges of seeds.
pub(crate) fn seeds(args: &mut lexopt::Parser) -> Result<Vec<u64>, PolicyError> {
    let value = text(args)?;
    let mut seeds = Vec::new();
    for part in value.split(',') {
        let (first, last) = part.split_once('-').unwrap_or((part, part));
        let bounds = (first.parse::<u64>(), last.parse::<u64>());
        let (Ok(first), Ok(last)) = bounds else {
            return SeedsSnafu { value }.fail();
        };
        seeds.extend(first..=last);
    }
    if seeds.is_empty() {
        return SeedsSnafu { value }.fail();
    }
    Ok(seeds)
}

/// Parses the option's value as a number.
pub(crate) fn number<T: FromStr<Err: Error + Send + Sync + 'static>>(
    args: &mut lexopt::Parser,
) -> Result<T, PolicyError> {
    args.value().and_then(|v| v.parse()).context(ArgsSnafu)
}

fn text(args: &mut lexopt::Parser) -> Result<String, PolicyError> {
    args.value().and_then(|v| v.string()).context(ArgsSnafu)
}

impl<T> OptionNames<T> {
    fn find(&self, option: &'static str, value: &str) -> Result<T, PolicyError> {
        (self.parse)(value).context(UnknownSnafu {
            option,
            value,
            allowed: (self.list)().join(", "),
        })
    }
}
