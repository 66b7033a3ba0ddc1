//! Tables in Markdown, one for each deployment and scenario.

use std::fmt::Write;

use super::summary::Row;

const HEAD: &str = "| policy | stalls | stalled s | stall p99 ms | live p99 ms | others' p99 ms \
    | gave up | oldest deferrable s | deferrable done | loads | evictions | tokens/step | J/token \
    | over cap | pinned | failed |\n\
    | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: \
    | ---: | ---: | ---: |\n";

/// Renders rows as Markdown; rows of one deployment and scenario stand together.
pub fn render(rows: &[Row]) -> String {
    let mut text = String::new();
    let mut group = None;
    for row in rows {
        let this = (&row.deployment, &row.scenario);
        if group != Some(this) {
            let gap = if group.is_some() { "\n" } else { "" };
            write!(
                text,
                "{gap}**{}, {}**\n\n{HEAD}",
                row.deployment, row.scenario
            )
            .expect("writing to a string can't fail");
            group = Some(this);
        }
        line(&mut text, row);
    }
    text
}

fn line(text: &mut String, row: &Row) {
    let cells = [
        row.policy.clone(),
        number(Some(row.stalls), 0),
        number(Some(row.stalled_s), 1),
        number(Some(row.stall_ms_p99), 0),
        number(row.live_wait_ms_p99, 0),
        number(row.other_callers_live_wait_ms_p99, 0),
        number(row.live_failed, 0),
        number(row.deferrable_oldest_s, 1),
        number(row.deferrable_done, 0),
        number(row.loads, 0),
        number(row.evictions, 0),
        number(row.useful_tokens_per_step, 2),
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
