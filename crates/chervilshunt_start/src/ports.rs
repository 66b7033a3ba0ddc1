//! Opening ports.

use std::net::SocketAddr;

use snafu::ResultExt;
use tokio::net::{TcpListener, TcpSocket};

use crate::error::{ListenSnafu, StartError};

/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Opens a port whose address the settings give under `addresses.{key}`; connections to it hold at
/// most `send_buffer` bytes in the system for their peer.
///
/// # Errors
/// Fails if the system does not give the port.
pub fn listen(
    address: SocketAddr,
    key: &'static str,
    send_buffer: Option<usize>,
) -> Result<TcpListener, StartError> {
    let open = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // A restarted instance gets its port back while old connections still linger.
        socket.set_reuseaddr(true)?;
        if let Some(bytes) = send_buffer {
            // Accepted connections inherit it.
            socket.set_send_buffer_size(u32::try_from(bytes).unwrap_or(u32::MAX))?;
        }
        socket.bind(address)?;
        socket.listen(ACCEPT_BACKLOG)
    };
    open().context(ListenSnafu { address, key })
}
