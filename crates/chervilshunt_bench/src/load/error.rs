//! Errors of the load tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// Error returned when a load run can't be made or does not pass.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum LoadError {
    /// The command line is invalid.
    #[snafu(display("{source}\n{}", super::options::USAGE))]
    Usage {
        /// The parser's error.
        source: lexopt::Error,
    },
    /// An option's value, or a combination of options, is invalid.
    #[snafu(display("{problem}\n{}", super::options::USAGE))]
    BadOption {
        /// Description of the problem.
        problem: String,
    },
    /// The file of model names can't be read.
    #[snafu(display("can't read the models of {}: {source}", path.display()))]
    Models {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The async runtime could not be started.
    #[snafu(display("can't start the runtime: {source}"))]
    Runtime {
        /// The I/O error.
        source: std::io::Error,
    },
    /// A stand-in did not report the requests that it ran, so refusals can't be checked.
    #[snafu(display("{problem}"))]
    Runs {
        /// The stand-in and the reason.
        problem: String,
    },
    /// An engine did not report its loaded models.
    #[snafu(display("{engine} does not list its models: {problem}"))]
    EngineModels {
        /// The engine's address.
        engine: SocketAddr,
        /// Description of the failure.
        problem: String,
    },
    /// The memory or processor time of a process can't be read.
    #[snafu(display("can't read the resource usage of process {pid}: {problem}"))]
    Memory {
        /// The process id.
        pid: u32,
        /// Description of the failure.
        problem: String,
    },
    /// Guarantees were violated.
    #[snafu(display("{count} violations"))]
    Violations {
        /// The number of violations.
        count: u64,
    },
    /// Streams failed or were incomplete.
    #[snafu(display("{failed} of {streams} streams failed, first error: {example}"))]
    Streams {
        /// The number of streams that failed.
        failed: usize,
        /// The total number of streams.
        streams: usize,
        /// The error of the first failed stream.
        example: String,
    },
}
