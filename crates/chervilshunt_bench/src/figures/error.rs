//! Errors of the figures.

use chervilshunt_standin::fleet::FleetError;
use snafu::Snafu;

use crate::load::LoadError;

/// Error returned when a figure can't be measured or is out of bounds.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum FiguresError {
    /// The command line is invalid.
    #[snafu(display("{source}\n{usage}"))]
    Usage {
        /// The usage text.
        usage: &'static str,
        /// The parser's error.
        source: lexopt::Error,
    },
    /// The async runtime could not be started.
    #[snafu(display("can't start the runtime: {source}"))]
    Runtime {
        /// The I/O error.
        source: std::io::Error,
    },
    /// A deployment could not be started or controlled.
    #[snafu(display("can't start a deployment: {source}"))]
    Deployment {
        /// The fleet's error.
        source: FleetError,
    },
    /// The load could not be run.
    #[snafu(display("can't run the load: {source}"))]
    Load {
        /// The load tool's error.
        source: LoadError,
    },
    /// Answers were wrong or missing, so the measured latencies are meaningless.
    #[snafu(display("answers were wrong or missing: {problem}"))]
    Answers {
        /// Description of the wrong or missing answers.
        problem: String,
    },
    /// At least one figure is out of bounds.
    #[snafu(display("{count} figures are out of bounds"))]
    OutOfBounds {
        /// The number of figures that are out of bounds.
        count: usize,
    },
}
