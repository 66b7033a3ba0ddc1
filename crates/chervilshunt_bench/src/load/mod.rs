//! Open-loop load with a check of every answer.
//!
//! Arrivals follow a schedule that is fixed before the run and does not wait for answers, and
//! latencies are counted from the scheduled moment. So a system that stalls can't hide the
//! requests that would have been sent meanwhile (coordinated omission).

mod engines;
mod error;
mod mix;
mod options;
mod plan;
mod process;
mod relay;
mod report;
mod run;
mod schedule;
mod streams;
mod summary;
mod table;

pub use error::LoadError;
pub use options::command;
pub use plan::{LoadPlan, PlainShare};
pub use relay::{RelayPlan, RelayReport, relay};
pub use report::{AddedTime, Latency, LoadReport, Path, RefusalCount, ViolationCount};
pub use run::run;
pub use streams::{OpenStreamsPlan, OpenStreamsReport, open_streams};
