//! Why a figure could not be measured.

use chervilshunt_standin::fleet::FleetError;
use snafu::Snafu;

use crate::load::LoadError;

/// Why a figure could not be measured, or is out of its bound.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum FiguresError {
    /// The command line does not parse.
    #[snafu(display("{source}\n{usage}"))]
    Usage {
        /// What may stand in it.
        usage: &'static str,
        /// What is wrong with it.
        source: lexopt::Error,
    },
    /// The runtime could not be started.
    #[snafu(display("can't start the runtime: {source}"))]
    Runtime {
        /// What the system said.
        source: std::io::Error,
    },
    /// The deployment could not be started.
    #[snafu(display("can't start a deployment: {source}"))]
    Deployment {
        /// What failed.
        source: FleetError,
    },
    /// The load could not be run.
    #[snafu(display("can't run the load: {source}"))]
    Load {
        /// What failed.
        source: LoadError,
    },
    /// Answers were wrong, so that their times mean nothing.
    #[snafu(display("answers were wrong or missing: {problem}"))]
    Answers {
        /// Which.
        problem: String,
    },
    /// Figures are out of their bounds.
    #[snafu(display("{count} figures are out of their bounds"))]
    OutOfBounds {
        /// How many.
        count: usize,
    },
}
