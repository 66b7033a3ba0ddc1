//! The command line of a whole table.

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

/// Seeds of the tables: other ones than those that the policy was tuned on, which are 1 to 20.
const TABLE_SEEDS: std::ops::RangeInclusive<u64> = 101..=110;
/// Runs side by side unless the command line says otherwise.
const JOBS: usize = 4;

/// Runs `policy-table` with the rest of the command line.
///
/// # Errors
/// Fails if an option is unknown or the table can't be written.
pub fn run_table(mut args: lexopt::Parser) -> Result<(), PolicyError> {
    let mut matrix = Matrix {
        deployments: DeploymentKind::ALL.to_vec(),
        scenarios: Scenario::ALL.to_vec(),
        policies: Policy::ALL.to_vec(),
        seeds: TABLE_SEEDS.collect(),
        seconds: None,
        load: 1.0,
        jobs: JOBS,
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
