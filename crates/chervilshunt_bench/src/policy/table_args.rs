//! The command line of `policy-table`.

use lexopt::prelude::*;
use snafu::ResultExt;

use super::args::{
    ArgsSnafu, DEPLOYMENTS, POLICIES, PolicyError, SCENARIOS, WriteSnafu, names, number, seeds,
};
use super::comparison::ResultsTable;
use super::deployment::DeploymentKind;
use super::run::Policy;
use super::scenario::Scenario;
use super::summary::Matrix;
use super::table::render;

/// Default seeds of the tables; they differ from seeds 1 to 20, with which the policy was tuned.
const DEFAULT_SEEDS: std::ops::RangeInclusive<u64> = 101..=110;
/// Default number of runs in parallel.
const DEFAULT_JOBS: usize = 4;

/// Runs `policy-table` with the remaining arguments of the command line.
///
/// # Errors
/// Returns an error if an option is unknown, its value is invalid, or the table can't be serialized.
pub fn run_table(mut args: lexopt::Parser) -> Result<(), PolicyError> {
    let mut matrix = Matrix {
        deployments: DeploymentKind::ALL.to_vec(),
        scenarios: Scenario::ALL.to_vec(),
        policies: Policy::ALL.to_vec(),
        seeds: DEFAULT_SEEDS.collect(),
        seconds: None,
        load: 1.0,
        jobs: DEFAULT_JOBS,
    };
    let mut json = false;
    while let Some(arg) = args.next().context(ArgsSnafu)? {
        match arg {
            Long("deployments") => {
                matrix.deployments = names(&mut args, "deployments", &DEPLOYMENTS)?;
            }
            Long("policies") => matrix.policies = names(&mut args, "policies", &POLICIES)?,
            Long("scenarios") => matrix.scenarios = names(&mut args, "scenarios", &SCENARIOS)?,
            Long("seeds") => matrix.seeds = seeds(&mut args)?,
            Long("seconds") => matrix.seconds = Some(number(&mut args)?),
            Long("load") => matrix.load = number(&mut args)?,
            Long("jobs") => matrix.jobs = number(&mut args)?,
            Long("json") => json = true,
            Long("markdown") => json = false,
            _ => return Err(arg.unexpected()).context(ArgsSnafu),
        }
    }
    let table = ResultsTable::new(&matrix);
    if json {
        let text = serde_json::to_string_pretty(&table).context(WriteSnafu)?;
        println!("{text}");
    } else {
        print!("{}", render(&table));
    }
    Ok(())
}
