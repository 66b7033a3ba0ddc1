//! Open-loop load generator that checks every answer.
//!
//! Arrivals follow a schedule that is fixed before the run and does not wait for answers, and
//! latencies are measured from the scheduled time. This avoids coordinated omission: a stalled
//! system can't hide the requests that would have been sent in the meantime.

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
pub use report::{AddedTime, Latency, LoadRunReport, PathReport, RefusalCount, ViolationCount};
pub use run::run;
pub use streams::{OpenStreamsPlan, OpenStreamsReport, open_streams};
