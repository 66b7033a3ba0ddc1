//! Bars by scenario and policy.

use plotters::coord::Shift;
use plotters::coord::ranged1d::{AsRangedCoord, Ranged, ValueFormatter};
use plotters::prelude::*;

use super::figure::{Figure, Scale};
use crate::policy::{ResultsTable, Row};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (1_100, 560);
/// Room beside the bars of one scenario, as a part of its width.
const GAP: f64 = 0.2;
/// The least value of a logarithmic axis, in the figure's unit.
const LEAST: f64 = 1.0;
/// Room above the tallest bar, as a factor.
const HEAD_ROOM: f64 = 1.15;
/// Room for the labels of the axes, in pixels.
const LABEL_AREA: u32 = 64;

type Drawing<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws one figure of one deployment as SVG: a group of bars for each scenario, a bar for each policy.
///
/// # Errors
/// Fails if a bar or a label can't be drawn.
pub fn draw(table: &ResultsTable, deployment: &str, figure: Figure) -> Result<String, String> {
    let rows: Vec<&Row> = table
        .rows
        .iter()
        .filter(|row| row.deployment == deployment && figure.value(row).is_some())
        .collect();
    let layout = Layout {
        scenarios: distinct(rows.iter().map(|row| row.scenario.as_str())),
        policies: distinct(rows.iter().map(|row| row.policy.as_str())),
        rows,
        figure,
    };
    let mut text = String::new();
    layout.draw(deployment, &mut text)?;
    Ok(text)
}

/// What stands where.
struct Layout<'a> {
    scenarios: Vec<&'a str>,
    policies: Vec<&'a str>,
    rows: Vec<&'a Row>,
    figure: Figure,
}

impl Layout<'_> {
    fn draw(&self, deployment: &str, text: &mut String) -> Result<(), String> {
        let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        let title = format!("{deployment}: {}", self.figure.as_str());
        let top = self.greatest() * HEAD_ROOM;
        match self.figure.scale() {
            Scale::Linear => self.bars(&area, &title, 0.0..top, 0.0)?,
            Scale::Logarithmic => self.bars(&area, &title, (LEAST..top).log_scale(), LEAST)?,
        }
        area.present().map_err(|e| e.to_string())
    }

    fn greatest(&self) -> f64 {
        let values = self.rows.iter().filter_map(|row| self.figure.value(row));
        values.fold(LEAST, f64::max)
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
            .y_desc(self.figure.label())
            .draw()
            .map_err(|e| e.to_string())?;
        for (number, policy) in self.policies.iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            let bars = self.rows.iter().filter(|row| row.policy == *policy);
            let bars = bars.filter_map(|row| {
                let (left, right) = self.place(row, number)?;
                let top = self.figure.value(row)?.max(floor);
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

    /// Returns where the bar of a row begins and ends.
    fn place(&self, row: &Row, policy: usize) -> Option<(f64, f64)> {
        let scenario = self
            .scenarios
            .iter()
            .position(|name| *name == row.scenario)? as f64;
        let width = (1.0 - GAP) / self.policies.len() as f64;
        let left = scenario + GAP / 2.0 + width * policy as f64;
        Some((left, left + width))
    }
}

/// Returns each name once, in the order in which they come first.
fn distinct<'a>(names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut seen = Vec::new();
    for name in names {
        if !seen.contains(&name) {
            seen.push(name);
        }
    }
    seen
}
