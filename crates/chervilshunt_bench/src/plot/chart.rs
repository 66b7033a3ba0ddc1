//! Bar charts of a quantity by scenario and policy.

use plotters::coord::Shift;
use plotters::coord::ranged1d::{AsRangedCoord, Ranged, ValueFormatter};
use plotters::prelude::*;

use super::quantity::{Quantity, Scale};
use crate::policy::{ResultsTable, Row};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (1_100, 560);
/// Gap between the bars of neighbouring scenarios, as a fraction of the width of one scenario.
const GAP: f64 = 0.2;
/// Lower end of a logarithmic axis, in the quantity's unit.
const LOG_AXIS_MIN: f64 = 1.0;
/// Upper end of the axis, as a multiple of the greatest value.
const HEAD_ROOM: f64 = 1.15;
/// Width of the area for the y axis labels, in pixels; the x axis gets half of it as height.
const LABEL_AREA: u32 = 64;

type Drawing<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws one quantity of one deployment as SVG, with a group of bars per scenario and a bar per
/// policy.
///
/// # Errors
/// Returns an error if a bar or a label can't be drawn.
pub fn draw(table: &ResultsTable, deployment: &str, quantity: Quantity) -> Result<String, String> {
    let rows: Vec<&Row> = table
        .rows
        .iter()
        .filter(|row| row.deployment == deployment && quantity.value(row).is_some())
        .collect();
    let layout = Layout {
        scenarios: distinct(rows.iter().map(|row| row.scenario.as_str())),
        policies: distinct(rows.iter().map(|row| row.policy.as_str())),
        rows,
        quantity,
    };
    let mut text = String::new();
    layout.draw(deployment, &mut text)?;
    Ok(text)
}

/// Rows of a chart, with the scenarios and policies in the order in which they are drawn.
struct Layout<'a> {
    scenarios: Vec<&'a str>,
    policies: Vec<&'a str>,
    rows: Vec<&'a Row>,
    quantity: Quantity,
}

impl Layout<'_> {
    fn draw(&self, deployment: &str, text: &mut String) -> Result<(), String> {
        let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        let title = format!("{deployment}: {}", self.quantity.as_str());
        let top = self.max_value() * HEAD_ROOM;
        match self.quantity.scale() {
            Scale::Linear => self.bars(&area, &title, 0.0..top, 0.0)?,
            Scale::Logarithmic => {
                self.bars(&area, &title, (LOG_AXIS_MIN..top).log_scale(), LOG_AXIS_MIN)?
            }
        }
        area.present().map_err(|e| e.to_string())
    }

    fn max_value(&self) -> f64 {
        let values = self.rows.iter().filter_map(|row| self.quantity.value(row));
        values.fold(LOG_AXIS_MIN, f64::max)
    }

    fn bars<A>(&self, area: &Drawing<'_>, title: &str, values: A, floor: f64) -> Result<(), String>
    where
        A: AsRangedCoord<Value = f64, CoordDescType: ValueFormatter<f64> + Ranged<ValueType = f64>>,
    {
        let scenarios = 0.0..self.scenarios.len() as f64;
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(LABEL_AREA / 2)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(scenarios, values)
            .map_err(|e| e.to_string())?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(0)
            .y_desc(self.quantity.label())
            .draw()
            .map_err(|e| e.to_string())?;
        for (number, policy) in self.policies.iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            let bars = self.rows.iter().filter(|row| row.policy == *policy);
            let bars = bars.filter_map(|row| {
                let (left, right) = self.bar_span(row, number)?;
                let top = self.quantity.value(row)?.max(floor);
                Some(Rectangle::new(
                    [(left, floor), (right, top)],
                    color.filled(),
                ))
            });
            chart
                .draw_series(bars)
                .map_err(|e| e.to_string())?
                .label(*policy)
                .legend(move |(x, y)| {
                    Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled())
                });
        }
        let names = self.scenarios.iter().enumerate().map(|(number, name)| {
            let at = (number as f64 + GAP / 2.0, floor);
            EmptyElement::at(at) + Text::new((*name).to_owned(), (0, 8), ("sans-serif", 13))
        });
        chart.draw_series(names).map_err(|e| e.to_string())?;
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(|e| e.to_string())
    }

    /// Returns the left and right x coordinates of a row's bar.
    fn bar_span(&self, row: &Row, policy: usize) -> Option<(f64, f64)> {
        let scenario = self
            .scenarios
            .iter()
            .position(|name| *name == row.scenario)? as f64;
        let width = (1.0 - GAP) / self.policies.len() as f64;
        let left = scenario + GAP / 2.0 + width * policy as f64;
        Some((left, left + width))
    }
}

/// Returns the distinct names in order of first occurrence.
fn distinct<'a>(names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut seen = Vec::new();
    for name in names {
        if !seen.contains(&name) {
            seen.push(name);
        }
    }
    seen
}
