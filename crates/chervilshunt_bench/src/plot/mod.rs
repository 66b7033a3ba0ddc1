//! SVG plots of the tables of the policy benchmark.

mod chart;
mod command;
mod figure;

pub use chart::draw;
pub use command::{PlotError, run};
pub use figure::{Quantity, Scale};
