//! Why a program could not start.

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
        /// The address.
        address: SocketAddr,
        /// The key in the settings.
        key: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// The port for other instances can't be opened.
    #[snafu(display("addresses.peers: {source}"), context(false))]
    Peers {
        /// What the transport said.
        source: MeshError,
    },
    /// Threads or signals can't be had.
    #[snafu(display("can't start threads: {source}"), context(false))]
    Threads {
        /// What the system said.
        source: std::io::Error,
    },
    /// The metrics can't be set up.
    #[snafu(display("can't set up metrics: {reason}"))]
    Metrics {
        /// What the library said.
        reason: String,
    },
}
