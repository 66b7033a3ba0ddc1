//! Renders samples as tables, with a line fitted over the fleet sizes.

use std::collections::BTreeSet;

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;

use super::line::Line;
use super::measure::{Sample, Values};

/// Selects the values of one phase from a sample.
type PhaseOf = fn(&Sample) -> &Values;

/// Renders one Markdown table per phase.
pub(crate) fn render(samples: &[Sample]) -> String {
    let phases: [(&str, PhaseOf); 3] = [
        ("An instance at rest, a second", |sample| &sample.idle),
        (
            "Each other instance through one restart, beyond rest",
            |sample| &sample.restart,
        ),
        ("A newcomer until it is ready", |sample| {
            &sample.new_instance
        }),
    ];
    let phases = phases.map(|(title, of)| format!("{title}:\n\n{}\n", phase(samples, of)));
    phases.join("\n")
}

fn phase(samples: &[Sample], of: PhaseOf) -> Table {
    let mut table = Table::new();
    let sizes = samples.iter().map(|sample| sample.instances.to_string());
    let header = std::iter::once("what".to_owned()).chain(sizes);
    let header = header.chain(["fixed", "an instance more", "R2"].map(str::to_owned));
    table.load_preset(ASCII_MARKDOWN).set_header(header);
    let what: BTreeSet<&String> = samples
        .iter()
        .flat_map(|sample| of(sample).keys())
        .collect();
    for what in what {
        let value = |sample: &Sample| of(sample).get(what).copied().unwrap_or_default();
        let points: Vec<_> = samples
            .iter()
            .map(|sample| (sample.instances as f64, value(sample)))
            .collect();
        let line = Line::fit(&points);
        let values = points.iter().map(|(_, value)| format!("{value:.2}"));
        let row = std::iter::once(what.clone()).chain(values);
        let line = [line.intercept, line.slope, line.r2].map(|part| format!("{part:.3}"));
        table.add_row(row.chain(line));
    }
    table
}
