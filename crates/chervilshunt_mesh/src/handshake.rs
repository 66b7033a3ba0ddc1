//! The identities of both ends, exchanged in the headers of the WebSocket upgrade, so that no
//! additional round trip is needed.

use std::fmt;

use chervilshunt_model::InstanceId;
use snafu::Snafu;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::client::{Request, Response};
use tokio_tungstenite::tungstenite::handshake::server;
use tokio_tungstenite::tungstenite::http::{HeaderMap, HeaderValue, StatusCode};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use uuid::Uuid;

use crate::config::{MeshConfig, Peer};
use crate::frame::MAX_FRAME_OVERHEAD;
use crate::table::PeerHello;

/// The name and version of the protocol.
///
/// The version changes with the frame layout and with messages that an earlier version could not
/// decode.
const PROTOCOL: &str = "chervilshunt-mesh.2";

/// The standard header that negotiates the protocol.
const PROTOCOL_HEADER: &str = "sec-websocket-protocol";

const FROM: &str = "x-mesh-from";
const TO: &str = "x-mesh-to";
const PROCESS: &str = "x-mesh-process";
const SERIAL: &str = "x-mesh-serial";

/// Buffer sizes per connection; small, as there are many connections and messages are short.
const READ_BUFFER_BYTES: usize = 4 << 10;
const WRITE_BUFFER_BYTES: usize = 8 << 10;

/// A random id that each process generates at startup, so that peers detect a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProcessId(Uuid);

impl ProcessId {
    pub(crate) fn random() -> Self {
        Self(Uuid::new_v4())
    }

    fn parse(text: &str) -> Option<Self> {
        Uuid::try_parse(text).ok().map(Self)
    }
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0.simple(), f)
    }
}

/// Why a handshake was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub(crate) enum Refusal {
    /// The peer uses a different protocol or protocol version.
    #[snafu(display("this instance uses the protocol {PROTOCOL}"))]
    Protocol,
    /// The request is meant for a different instance.
    #[snafu(display("this is the instance {us}"))]
    Misdirected { us: InstanceId },
    /// A header is missing or malformed.
    #[snafu(display("header {name} is missing or malformed"))]
    Header { name: &'static str },
    /// The limit of open connections is reached, and none of them is idle.
    #[snafu(display("all connections are in use"))]
    Full,
}

impl Refusal {
    const fn status(&self) -> StatusCode {
        match self {
            Self::Protocol => StatusCode::UPGRADE_REQUIRED,
            Self::Misdirected { .. } => StatusCode::MISDIRECTED_REQUEST,
            Self::Header { .. } => StatusCode::BAD_REQUEST,
            Self::Full => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    pub(crate) fn into_response(self) -> server::ErrorResponse {
        let mut response = server::ErrorResponse::new(Some(self.to_string()));
        *response.status_mut() = self.status();
        response
    }
}

/// Returns whether an instance id can be used as a header value.
pub(crate) fn is_header_safe(instance: &InstanceId) -> bool {
    !instance.as_str().is_empty() && HeaderValue::from_str(instance.as_str()).is_ok()
}

/// Builds the upgrade request that opens a connection.
///
/// `last_serial` is the serial number of the connection that this side registered last. All of its
/// connections with the peer up to that number have ended.
pub(crate) fn request(
    peer: &Peer,
    us: &InstanceId,
    process: ProcessId,
    last_serial: u64,
) -> Result<Request, Refusal> {
    let mut request = format!("ws://{}/", peer.address)
        .into_client_request()
        .map_err(|_malformed| HeaderSnafu { name: "host" }.build())?;
    let headers = request.headers_mut();
    headers.insert(PROTOCOL_HEADER, HeaderValue::from_static(PROTOCOL));
    headers.insert(FROM, value(FROM, us)?);
    headers.insert(TO, value(TO, &peer.instance)?);
    headers.insert(PROCESS, value(PROCESS, &process)?);
    headers.insert(SERIAL, value(SERIAL, &last_serial)?);
    Ok(request)
}

/// Validates a peer's upgrade request and returns its identity.
pub(crate) fn read_request(headers: &HeaderMap, us: &InstanceId) -> Result<PeerHello, Refusal> {
    if text(headers, PROTOCOL_HEADER)? != PROTOCOL {
        return Err(Refusal::Protocol);
    }
    if text(headers, TO)? != us.as_str() {
        return Err(Refusal::Misdirected { us: us.clone() });
    }
    Ok(PeerHello {
        instance: text(headers, FROM)?.into(),
        process: process(headers)?,
        serial: serial(headers)?,
    })
}

/// Adds this side's headers to the upgrade response; `serial` is its number for the connection.
pub(crate) fn complete_response(
    response: &mut server::Response,
    process: ProcessId,
    serial: u64,
) -> Result<(), Refusal> {
    let headers = response.headers_mut();
    headers.insert(PROTOCOL_HEADER, HeaderValue::from_static(PROTOCOL));
    headers.insert(PROCESS, value(PROCESS, &process)?);
    headers.insert(SERIAL, value(SERIAL, &serial)?);
    Ok(())
}

/// Returns the peer's identity from its upgrade response.
pub(crate) fn read_response(response: &Response, peer: &Peer) -> Result<PeerHello, Refusal> {
    Ok(PeerHello {
        instance: peer.instance.clone(),
        process: process(response.headers())?,
        serial: serial(response.headers())?,
    })
}

/// Returns the WebSocket buffer sizes and message limits.
pub(crate) fn socket_config(cfg: &MeshConfig) -> WebSocketConfig {
    let longest = cfg.max_message_bytes + MAX_FRAME_OVERHEAD;
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(WRITE_BUFFER_BYTES)
        .max_message_size(Some(longest))
        .max_frame_size(Some(longest))
}

/// Returns whether a response status means that the server is not the expected peer.
pub(crate) fn is_wrong_peer(status: StatusCode) -> bool {
    status == StatusCode::MISDIRECTED_REQUEST || status == StatusCode::UPGRADE_REQUIRED
}

fn value(name: &'static str, value: &impl fmt::Display) -> Result<HeaderValue, Refusal> {
    HeaderValue::from_str(&value.to_string()).map_err(|_malformed| HeaderSnafu { name }.build())
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, Refusal> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .ok_or_else(|| HeaderSnafu { name }.build())
}

fn process(headers: &HeaderMap) -> Result<ProcessId, Refusal> {
    ProcessId::parse(text(headers, PROCESS)?).ok_or(Refusal::Header { name: PROCESS })
}

fn serial(headers: &HeaderMap) -> Result<u64, Refusal> {
    let text = text(headers, SERIAL)?;
    text.parse()
        .map_err(|_malformed| HeaderSnafu { name: SERIAL }.build())
}
