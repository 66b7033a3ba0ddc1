//! Errors at the start of a program.

use std::net::SocketAddr;

use chervilshunt_mesh::MeshError;
use snafu::Snafu;

/// Why a program could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum StartError {
    /// A port can't be opened.
    #[snafu(display("can't listen on {address} (addresses.{key}): {source}"))]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The key in the section `addresses` of the settings.
        key: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The port for other instances can't be opened.
    #[snafu(display("addresses.peers: {source}"), context(false))]
    Peers {
        /// The error of the mesh.
        source: MeshError,
    },
    /// Threads, a runtime or signal handlers can't be set up.
    #[snafu(display("can't start threads: {source}"), context(false))]
    Threads {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The metrics can't be set up.
    #[snafu(display("can't set up metrics: {reason}"))]
    Metrics {
        /// The error text of the metrics library.
        reason: String,
    },
}
