//! Why a load run could not be made, or did not pass.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a load run could not be made, or did not pass.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum LoadError {
    /// The command line does not parse.
    #[snafu(display("{source}\n{}", super::options::USAGE))]
    Usage {
        /// What is wrong with it.
        source: lexopt::Error,
    },
    /// An option's value, or a combination of options, makes no sense.
    #[snafu(display("{problem}\n{}", super::options::USAGE))]
    BadOption {
        /// What is wrong.
        problem: String,
    },
    /// The file of model names can't be read.
    #[snafu(display("can't read the models of {}: {source}", path.display()))]
    Models {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The runtime could not be started.
    #[snafu(display("can't start the runtime: {source}"))]
    Runtime {
        /// What the system said.
        source: std::io::Error,
    },
    /// The stand-ins did not tell what they ran, so that refusals can't be checked.
    #[snafu(display("{problem}"))]
    Runs {
        /// Which one did not, and why.
        problem: String,
    },
    /// An engine did not tell which models it holds.
    #[snafu(display("{engine} does not list its models: {problem}"))]
    EngineModels {
        /// The engine.
        engine: SocketAddr,
        /// Why not.
        problem: String,
    },
    /// The memory of the process can't be read.
    #[snafu(display("can't read the memory of process {pid}: {problem}"))]
    Memory {
        /// The process.
        pid: u32,
        /// Why not.
        problem: String,
    },
    /// Promises were broken.
    #[snafu(display("{count} violations"))]
    Violations {
        /// How many.
        count: u64,
    },
    /// Streams did not come through whole.
    #[snafu(display("{failed} of {streams} streams failed, the first one so: {example}"))]
    Streams {
        /// Streams that failed.
        failed: usize,
        /// Streams in all.
        streams: usize,
        /// What became of the first one.
        example: String,
    },
}
