//! Measured figures and their bounds.

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use serde::Serialize;

/// One measured figure.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// What was measured, as shown in tables.
    pub name: String,
    /// The measured value, in `unit`.
    pub value: f64,
    /// The unit of `value` and `bound`.
    pub unit: &'static str,
    /// The bound that the project guarantees, if any.
    pub bound: Option<Bound>,
    /// Whether the value is within the bound; true if there is none.
    pub met: bool,
}

/// The bound that the project guarantees for a figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The highest value allowed.
    AtMost(f64),
    /// The lowest value allowed.
    AtLeast(f64),
}

impl Figure {
    /// Creates a figure and compares it with its bound.
    pub(crate) fn new(
        name: impl Into<String>,
        value: f64,
        unit: &'static str,
        bound: Option<Bound>,
    ) -> Self {
        let met = match bound {
            None => true,
            Some(Bound::AtMost(most)) => value <= most,
            Some(Bound::AtLeast(least)) => value >= least,
        };
        Self {
            name: name.into(),
            value,
            unit,
            bound,
            met,
        }
    }
}

/// Renders figures as a text table.
pub(crate) fn render(figures: &[Figure]) -> String {
    let mut table = Table::new();
    table
        .load_preset(NOTHING)
        .set_header(["figure", "measured", "bound", ""]);
    for figure in figures {
        let bound = match figure.bound {
            None => String::new(),
            Some(Bound::AtMost(most)) => format!("at most {most}"),
            Some(Bound::AtLeast(least)) => format!("at least {least}"),
        };
        table.add_row([
            figure.name.clone(),
            format!("{:.2} {}", figure.value, figure.unit),
            bound,
            (if figure.met { "" } else { "MISSED" }).to_owned(),
        ]);
    }
    format!("{table}\n")
}
