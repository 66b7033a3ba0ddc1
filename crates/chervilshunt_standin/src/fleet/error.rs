//! What can go wrong with a fleet.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use http::StatusCode;
use snafu::Snafu;

/// Why a fleet could not do what it was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum FleetError {
    /// A program is neither beside the running one nor can cargo build it.
    #[snafu(display(
        "{program} is missing in {}; run this through cargo, or `cargo build --workspace` first",
        folder.display()
    ))]
    MissingProgram {
        /// The program.
        program: &'static str,
        /// Where it was looked for.
        folder: PathBuf,
    },

    /// Cargo could not build the programs.
    #[snafu(display("cargo build ended with {status}"))]
    Build {
        /// How cargo ended.
        status: ExitStatus,
    },

    /// A file or folder can't be used.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },

    /// A process could not be started.
    #[snafu(display("can't start {process}: {source}"))]
    Spawn {
        /// The name of the process.
        process: String,
        /// Why.
        source: io::Error,
    },

    /// A process could not be sent a signal.
    #[snafu(display("can't signal {process}: {source}"))]
    SignalProcess {
        /// The name of the process.
        process: String,
        /// Why.
        source: io::Error,
    },

    /// A process ended although it was needed.
    #[snafu(display("{process} ended ({status}) before {awaited}; its log ends with:\n{tail}"))]
    Ended {
        /// The name of the process.
        process: String,
        /// How it ended.
        status: ExitStatus,
        /// What was awaited of it.
        awaited: String,
        /// The last lines of its log.
        tail: String,
    },

    /// Something did not come about in time.
    #[snafu(display("{process}: no {awaited} within {bound:?}; its log ends with:\n{tail}"))]
    TimedOut {
        /// The name of the process.
        process: String,
        /// What was awaited of it.
        awaited: String,
        /// How long it was waited for.
        bound: Duration,
        /// The last lines of its log.
        tail: String,
    },

    /// A call got no answer.
    #[snafu(display("{call} at {address}: {problem}"))]
    Call {
        /// Method and path.
        call: String,
        /// Where it went.
        address: SocketAddr,
        /// What happened.
        problem: String,
    },

    /// A call got another status than the one it has to get.
    #[snafu(display("{call} at {address}: {status}: {body}"))]
    Refused {
        /// Method and path.
        call: String,
        /// Where it went.
        address: SocketAddr,
        /// The status that came.
        status: StatusCode,
        /// The body that came.
        body: String,
    },

    /// No process of the fleet has this name.
    #[snafu(display("the fleet has no {name}"))]
    Unknown {
        /// The name.
        name: String,
    },

    /// A target doesn't tell what it ran, so that nothing can be settled.
    #[snafu(display("{problem}"))]
    Runs {
        /// What happened.
        problem: String,
    },

    /// A socket of the harness itself can't be opened.
    #[snafu(display("can't listen on loopback: {source}"))]
    Listen {
        /// Why.
        source: io::Error,
    },
}

impl FleetError {
    pub(crate) fn runs(problem: String) -> Self {
        Self::Runs { problem }
    }
}
