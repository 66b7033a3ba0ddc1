//! Errors at the start of a program.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_mesh::MeshError;
use snafu::Snafu;

/// Why a program could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum StartError {
    /// A port can't be opened.
    #[snafu(display(
        "can't listen on {address} (addresses.{key}): {source}{}; {}",
        describe_wait(*waited),
        remedy(source.kind())
    ))]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The key in the section `addresses` of the settings.
        key: &'static str,
        /// The time for which it was tried again; 0 if it was not.
        waited: Duration,
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

fn describe_wait(waited: Duration) -> String {
    if waited.is_zero() {
        return String::new();
    }
    format!("; tried for {:.1} s", waited.as_secs_f64())
}

/// Returns what an operator can do about an address that the system refuses.
const fn remedy(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::AddrInUse => "stop the process that listens there, or set another address",
        ErrorKind::AddrNotAvailable => {
            "assign the address to an interface of this machine, or set one that it has"
        }
        ErrorKind::PermissionDenied => {
            "give the process the right to open this port, or set a port above 1023"
        }
        _ => "check the address, and the limits of the process and of the machine",
    }
}
