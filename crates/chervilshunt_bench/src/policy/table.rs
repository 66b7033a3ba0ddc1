//! Rendering as Markdown: a table of the aims, and one table for each deployment and scenario.

use std::fmt::Write;

use super::aims::Aim;
use super::comparison::{Comparison, ResultsTable};
use super::summary::Row;

const HEAD: &str = "| policy | stalled s | /lru | /bound | tokens/step | /lru | live p99 ms | /lru \
    | others' p99 ms | live refused | gave up | deferrable refused | unserved | oldest s | loads \
    | evictions | J/token | over cap | pinned | failed |\n\
    | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: \
    | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n";

const AIMS_HEAD: &str = "| deployment | scenario | figure | measured | aim | |\n\
    | --- | --- | --- | ---: | ---: | --- |\n";

/// Renders a table as Markdown; rows of one deployment and scenario have to be adjacent.
pub fn render(table: &ResultsTable) -> String {
    let mut text = format!("Medians of seeds {:?}\n\n{AIMS_HEAD}", table.seeds);
    for aim in &table.aims {
        write_aim(&mut text, aim);
    }
    let mut group = None;
    for (row, comparison) in table.rows.iter().zip(&table.comparisons) {
        let this = (&row.deployment, &row.scenario);
        if group != Some(this) {
            write!(text, "\n**{}, {}**\n\n{HEAD}", row.deployment, row.scenario)
                .expect("writing to a string can't fail");
            group = Some(this);
        }
        write_row(&mut text, row, comparison);
    }
    text
}

fn write_aim(text: &mut String, aim: &Aim) {
    let met = match aim.met {
        Some(true) => "met",
        Some(false) => "missed",
        None => "not run",
    };
    writeln!(
        text,
        "| {} | {} | {} | {} | {} {:.2} | {met} |",
        aim.deployment,
        aim.scenario,
        aim.figure,
        number(aim.measured, 3),
        aim.limit.as_str(),
        aim.bound,
    )
    .expect("writing to a string can't fail");
}

fn write_row(text: &mut String, row: &Row, comparison: &Comparison) {
    let cells = [
        row.policy.clone(),
        number(Some(row.stalled_s), 1),
        number(comparison.stalled_to_lru, 2),
        number(comparison.stalled_to_bound, 2),
        number(row.useful_tokens_per_step, 2),
        number(comparison.tokens_to_lru, 2),
        number(row.live_wait_ms_p99, 0),
        number(comparison.live_wait_to_lru, 2),
        number(row.other_callers_live_wait_ms_p99, 0),
        number(row.live_refused, 0),
        number(row.live_failed, 0),
        number(row.deferrable_refused, 0),
        number(row.deferrable_unserved, 0),
        number(row.deferrable_oldest_s, 1),
        number(row.loads, 0),
        number(row.evictions, 0),
        number(row.joules_per_token, 3),
        row.cap_exceeded_steps.to_string(),
        row.pinned_evictions.to_string(),
        row.deferrable_failed.to_string(),
    ];
    writeln!(text, "| {} |", cells.join(" | ")).expect("writing to a string can't fail");
}

fn number(value: Option<f64>, digits: usize) -> String {
    value.map_or_else(String::new, |value| format!("{value:.digits$}"))
}
