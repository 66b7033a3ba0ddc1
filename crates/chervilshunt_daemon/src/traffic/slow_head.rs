//! The response to a request head that does not arrive in time.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, header};
use tokio::net::TcpStream;

use super::headers::request_id;
use super::intake::SLOW_RETRY;
use super::problem::{Problem, Reason};
use super::serve::Traffic;

/// Answers a caller whose request head has begun but did not arrive in time, before its connection
/// is closed.
///
/// hyper closes such a connection without a response, so a caller on a slow connection could not
/// distinguish that from a crash and would not know that its request has not run. A connection on
/// which no head has begun gets no response, because its caller might take it for the answer to its
/// next request.
pub(super) fn refuse(stream: &TcpStream, traffic: &Traffic) {
    let limit = traffic.limits().header_timeout;
    let detail = format!(
        "the request head must arrive within {} s",
        limit.as_secs_f64()
    );
    let problem = Problem::not_run(Reason::HeadTooSlow, detail).retry_after(SLOW_RETRY);
    let mut res = traffic.refuse(&problem, &request_id(&HeaderMap::new()));
    res.headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
    // The socket's send buffer is empty, so it accepts the whole response unless it is closed.
    drop(stream.try_write(&encoded(&res)));
}

fn encoded(res: &Response<Bytes>) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {}\r\n", res.status()).into_bytes();
    for (name, value) in res.headers() {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", res.body().len()).as_bytes());
    bytes.extend_from_slice(res.body());
    bytes
}
