//! Renders a report as text tables.

use comfy_table::Table;
use comfy_table::presets::NOTHING;

use super::report::{Latency, LoadRunReport, PathReport};

/// Renders a report as text tables, followed by the violations and the verdict.
pub(crate) fn render(report: &LoadRunReport) -> String {
    let mut text = counts(report).to_string();
    text.push('\n');
    text.push_str(&times(report).to_string());
    text.push('\n');
    if let Some(added) = &report.added_first_token {
        text.push_str(&format!(
            "added to the first token of {} streams: {:.2} ms at p50, {:.2} ms at p99\n",
            added.count, added.p50_ms, added.p99_ms
        ));
    }
    for violation in &report.violations {
        let kind = violation.kind.as_str();
        text.push_str(&format!("VIOLATION {kind}: {} requests\n", violation.count));
        for example in &violation.examples {
            text.push_str(&format!("  {example}\n"));
        }
    }
    text.push_str(match (report.passed, report.settled) {
        (true, true) => "no violation; refusals checked against what the stand-ins ran\n",
        (true, false) => "no violation seen by callers; refusals not checked (no --standins)\n",
        (false, _) => "FAILED\n",
    });
    text
}

fn paths(report: &LoadRunReport) -> impl Iterator<Item = (&'static str, &PathReport)> {
    let direct = report.direct.as_ref().map(|path| ("direct", path));
    std::iter::once(("system", &report.system)).chain(direct)
}

fn counts(report: &LoadRunReport) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header([
        "path",
        "sent",
        "retries",
        "answered",
        "tokens",
        "refused",
        "disconnected",
        "violated",
    ]);
    for (name, path) in paths(report) {
        let refused: Vec<String> = path
            .refused
            .iter()
            .map(|kind| format!("{} {}/{}", kind.count, kind.outcome.as_str(), kind.reason))
            .collect();
        let refused = if refused.is_empty() {
            "0".to_owned()
        } else {
            refused.join("\n")
        };
        table.add_row([
            name.to_owned(),
            path.sent.to_string(),
            path.retries.to_string(),
            path.answered.to_string(),
            path.tokens.to_string(),
            refused,
            path.disconnected.to_string(),
            path.violated.to_string(),
        ]);
    }
    table
}

fn times(report: &LoadRunReport) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header([
        "time in ms",
        "count",
        "mean",
        "p50",
        "p90",
        "p95",
        "p99",
        "max",
    ]);
    for (name, path) in paths(report) {
        let rows = [
            ("first token, live", &path.first_token_live),
            ("first token, deferrable", &path.first_token_deferrable),
            ("whole answer, live", &path.total_live),
            ("whole answer, deferrable", &path.total_deferrable),
            ("longest pause of a stream", &path.longest_gap),
        ];
        for (label, latency) in rows {
            table.add_row(row(&format!("{name}: {label}"), latency));
        }
    }
    table.add_row(row("sent late by the tool", &report.send_lag));
    table
}

fn row(label: &str, latency: &Latency) -> Vec<String> {
    let times = [
        latency.mean_ms,
        latency.p50_ms,
        latency.p90_ms,
        latency.p95_ms,
        latency.p99_ms,
        latency.max_ms,
    ];
    [label.to_owned(), latency.count.to_string()]
        .into_iter()
        .chain(times.iter().map(|time| format!("{time:.2}")))
        .collect()
}
