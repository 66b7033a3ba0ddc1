//! Errors of the process harness.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use http::StatusCode;
use snafu::Snafu;

/// An error of a fleet operation.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum FleetError {
    /// An executable is missing and could not be built.
    #[snafu(display(
        "{program} is missing in {}; run this through cargo, or `cargo build --workspace` first",
        folder.display()
    ))]
    MissingProgram {
        /// The name of the executable.
        program: &'static str,
        /// The directory that was searched.
        folder: PathBuf,
    },

    /// `cargo build` failed.
    #[snafu(display("cargo build ended with {status}"))]
    Build {
        /// The exit status of cargo.
        status: ExitStatus,
    },

    /// A file or directory could not be accessed.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file or directory.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },

    /// A process could not be started.
    #[snafu(display("can't start {process}: {source}"))]
    Spawn {
        /// The name of the process.
        process: String,
        /// The cause.
        source: io::Error,
    },

    /// A signal could not be sent to a process.
    #[snafu(display("can't send a signal to {process}: {source}"))]
    SignalProcess {
        /// The name of the process.
        process: String,
        /// The cause.
        source: io::Error,
    },

    /// A process exited before an awaited event.
    #[snafu(display("{process} exited ({status}) before {awaited}; its log ends with:\n{tail}"))]
    Ended {
        /// The name of the process.
        process: String,
        /// Its exit status.
        status: ExitStatus,
        /// The awaited event.
        awaited: String,
        /// The last lines of its log.
        tail: String,
    },

    /// An awaited event did not occur within the time limit.
    #[snafu(display("{process}: no {awaited} within {bound:?}; its log ends with:\n{tail}"))]
    TimedOut {
        /// The name of the process.
        process: String,
        /// The awaited event.
        awaited: String,
        /// The time limit.
        bound: Duration,
        /// The last lines of its log.
        tail: String,
    },

    /// An HTTP request got no complete response.
    #[snafu(display("{call} at {address}: {problem}"))]
    Call {
        /// The method and path.
        call: String,
        /// The address it was sent to.
        address: SocketAddr,
        /// Description of the failure.
        problem: String,
    },

    /// An HTTP request that must succeed got another status than 2xx.
    #[snafu(display("{call} at {address}: {status}: {body}"))]
    Refused {
        /// The method and path.
        call: String,
        /// The address it was sent to.
        address: SocketAddr,
        /// The status of the response.
        status: StatusCode,
        /// The body of the response.
        body: String,
    },

    /// No process of the fleet has this name.
    #[snafu(display("the fleet has no {name}"))]
    Unknown {
        /// The name.
        name: String,
    },

    /// The runs of a target could not be fetched, so the records can't be checked.
    #[snafu(display("{problem}"))]
    Runs {
        /// Description of the failure.
        problem: String,
    },

    /// The harness could not open a listening socket of its own.
    #[snafu(display("can't listen on loopback: {source}"))]
    Listen {
        /// The cause.
        source: io::Error,
    },
}

impl FleetError {
    pub(crate) fn runs(problem: String) -> Self {
        Self::Runs { problem }
    }
}
