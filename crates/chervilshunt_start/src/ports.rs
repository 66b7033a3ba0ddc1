//! Opens listening sockets.

use std::net::SocketAddr;

use snafu::ResultExt;
use tokio::net::{TcpListener, TcpSocket};

use crate::error::{ListenSnafu, StartError};

/// The maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Listens on an address that the settings give under `addresses.{key}`; if `send_buffer` is given,
/// it is the size of the send buffer of accepted connections, in bytes.
///
/// # Errors
/// Returns an error if the socket can't be opened or bound.
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
        // Allows a restarted instance to bind its port while old connections are in TIME_WAIT.
        socket.set_reuseaddr(true)?;
        if let Some(bytes) = send_buffer {
            // Accepted connections inherit the size of the listening socket's send buffer.
            socket.set_send_buffer_size(u32::try_from(bytes).unwrap_or(u32::MAX))?;
        }
        socket.bind(address)?;
        socket.listen(ACCEPT_BACKLOG)
    };
    open().context(ListenSnafu { address, key })
}
