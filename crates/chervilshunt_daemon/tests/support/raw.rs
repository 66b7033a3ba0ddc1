//! A client that sends arbitrary bytes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::http::BOUND;

/// A TCP connection.
#[derive(Debug)]
pub(crate) struct RawConnection {
    stream: TcpStream,
}

impl RawConnection {
    /// Opens a connection.
    pub(crate) async fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).await.expect("the port is open");
        stream.set_nodelay(true).expect("the socket takes options");
        Self { stream }
    }

    /// Writes bytes and ignores errors, because the other end may have closed the connection.
    pub(crate) async fn write(&mut self, bytes: &[u8]) {
        let _closed = self.stream.write_all(bytes).await;
    }

    /// Reads until the other end closes the connection, and returns the received text.
    ///
    /// # Panics
    /// Fails the test if the connection stays open.
    pub(crate) async fn read_to_end(&mut self) -> String {
        self.read_to_end_within(BOUND)
            .await
            .expect("the connection stays open")
    }

    /// Reads until the other end closes the connection; none if it stays open for `bound`.
    pub(crate) async fn read_to_end_within(&mut self, bound: Duration) -> Option<String> {
        let mut bytes = Vec::new();
        let read = async {
            // A reset ends the connection too.
            let _reset = self.stream.read_to_end(&mut bytes).await;
        };
        let ended = tokio::time::timeout(bound, read).await.is_ok();
        ended.then(|| String::from_utf8_lossy(&bytes).into_owned())
    }
}
