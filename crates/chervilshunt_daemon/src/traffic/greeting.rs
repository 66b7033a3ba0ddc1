//! The first bytes of a connection, within their time.

use std::io;
use std::time::Duration;

use tokio::net::TcpStream;

/// What an HTTP/2 connection begins with (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// The pause before more of a preface is looked for. The system tells of new bytes only to those who
/// take the old ones; a preface that comes in pieces is rare.
const PARTIAL_PAUSE: Duration = Duration::from_millis(10);

/// Which HTTP a caller speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Version {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// Tells from the first bytes, which stay to be read, which HTTP a caller speaks; none if it does
/// not say so in time or goes away.
///
/// Without the limit a caller that connects and says nothing would hold a socket for ever, and
/// enough of them would leave none for others. Once the version is known, the library's own limits
/// hold. The library can tell versions too, but has no such limit, and takes the first bytes away
/// from the rest of the head, for which its read buffer then doubles.
pub(super) async fn version(stream: &TcpStream, limit: Duration) -> Option<Version> {
    let told = tokio::time::timeout(limit, tell(stream)).await;
    told.ok()?.ok()
}

async fn tell(stream: &TcpStream) -> io::Result<Version> {
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
