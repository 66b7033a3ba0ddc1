//! Plots of a table of the policy bench, as SVG.

mod chart;
mod command;
mod figure;

pub use chart::draw;
pub use command::{PlotError, run};
pub use figure::{Figure, Scale};
