//! SVG plots of the tables of the policy benchmark.

mod chart;
mod command;
mod quantity;

pub use chart::draw;
pub use command::{PlotError, run};
pub use quantity::{Quantity, Scale};
