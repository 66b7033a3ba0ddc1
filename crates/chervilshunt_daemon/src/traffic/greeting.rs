//! Detects the HTTP version of a connection from its first bytes, within a time limit.

use std::io;
use std::time::Duration;

use tokio::net::TcpStream;

/// The HTTP/2 connection preface (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// The polling interval while only a part of the preface has arrived. The socket stays readable as
/// long as the peeked bytes are not consumed, so there is no notification of further bytes. A
/// preface that arrives in pieces is rare.
const PARTIAL_PAUSE: Duration = Duration::from_millis(10);

/// The HTTP version that a caller uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Version {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// Detects the HTTP version from the first bytes of a connection without consuming them. Returns
/// none if they do not arrive within `limit` or the caller closes the connection.
///
/// Without the limit, a caller that connects and sends nothing would hold a socket for ever, and
/// enough such callers would exhaust the sockets. Once the version is known, hyper's own limits
/// apply. hyper can detect the version too, but without such a limit; it also separates the first
/// bytes from the rest of the head, which doubles its read buffer.
pub(super) async fn detect_version(stream: &TcpStream, limit: Duration) -> Option<Version> {
    let detected = tokio::time::timeout(limit, peek_version(stream)).await;
    detected.ok()?.ok()
}

async fn peek_version(stream: &TcpStream) -> io::Result<Version> {
    let mut buf = [0; HTTP2_PREFACE.len()];
    loop {
        let length = stream.peek(&mut buf).await?;
        let seen = &buf[..length];
        if seen.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if seen == HTTP2_PREFACE {
            return Ok(Version::Http2);
        }
        if !HTTP2_PREFACE.starts_with(seen) {
            return Ok(Version::Http1);
        }
        tokio::time::sleep(PARTIAL_PAUSE).await;
    }
}
