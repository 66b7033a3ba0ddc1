//! Tests of unfinished messages and requests when their connection ends.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};

use super::Shared;
use crate::config::{MeshConfig, Peer};
use crate::connection::{EndReason, PeerConnection};
use crate::error::{RequestError, SendError};
use crate::frame::encode_message;
use crate::handshake::ProcessId;
use crate::mesh::Mesh;
use crate::message::{Inbound, Purpose};
use crate::outgoing::{Outgoing, OutgoingRequest};
use crate::table::PeerHello;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Number(u32);

impl Purpose for Number {
    fn purpose(&self) -> &'static str {
        "number"
    }
}

/// The time limit for any expected event.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

type Answer = oneshot::Receiver<Result<Number, RequestError>>;

/// A connection on which request 1 is written and unanswered, and request 2 and message 3 wait to
/// be written.
struct Fixture {
    shared: Arc<Shared<Number>>,
    connection: Arc<PeerConnection<Number>>,
    rx: mpsc::UnboundedReceiver<Outgoing<Number>>,
    written: Answer,
    unwritten: Answer,
    _inbound: mpsc::Receiver<Inbound<Number>>,
}

fn fixture(peer: &Peer) -> Fixture {
    let (tx, inbound) = mpsc::channel(16);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let shared = Arc::new(Shared::new(cfg("a"), log, tx));
    let hello = PeerHello {
        instance: peer.instance.clone(),
        process: ProcessId::random(),
        serial: 1,
    };
    let mut table = shared.table();
    let registered = table.register(&hello, true, Instant::now());
    table.link(&peer.instance).address = Some(peer.address);
    drop(table);
    let connection = registered.connection;
    let (first, written) = request(1);
    assert_eq!(connection.start_request(first, Instant::now()), Some(0));
    let (second, unwritten) = request(2);
    connection
        .enqueue(Outgoing::Request(second), 10)
        .expect("there is room");
    let note = Outgoing::OneWay {
        body: body(3),
        purpose: "number",
    };
    connection.enqueue(note, 10).expect("there is room");
    Fixture {
        shared,
        connection,
        rx: registered.rx,
        written,
        unwritten,
        _inbound: inbound,
    }
}

fn cfg(name: &str) -> MeshConfig {
    MeshConfig::new(name.into())
}

fn body(number: u32) -> bytes::Bytes {
    encode_message(&Number(number), 100).expect("it is short")
}

fn request(number: u32) -> (OutgoingRequest<Number>, Answer) {
    OutgoingRequest::new(body(number), "number")
}

async fn peer() -> (Mesh<Number>, mpsc::Receiver<Inbound<Number>>, Peer) {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let (mesh, inbound) = Mesh::bind(cfg("b"), ([127, 0, 0, 1], 0).into(), log)
        .await
        .expect("a free port");
    let peer = Peer {
        instance: "b".into(),
        address: mesh.local_addr(),
    };
    (mesh, inbound, peer)
}

/// Guards against losing messages that are in flight when the peer closes an idle connection. The
/// peer ignores what arrives after it has begun to close, so everything must be resent in order on
/// a new connection.
#[tokio::test]
async fn messages_in_flight_during_an_idle_close_are_resent() {
    let (_mesh, mut inbound, peer) = peer().await;
    let Fixture {
        shared,
        connection,
        rx,
        written,
        unwritten,
        ..
    } = fixture(&peer);
    assert!(!shared.deregister(&connection, rx, EndReason::Idle, Instant::now()));
    for number in 1..=3 {
        let next = timeout(TEST_TIMEOUT, inbound.recv()).await;
        let Ok(Some(Inbound::Message(got))) = next else {
            panic!("{number} was lost");
        };
        assert_eq!(got.message, Number(number));
        if let Some(reply) = got.reply {
            reply
                .send(Number(10 * number))
                .expect("the connection is up");
        }
    }
    assert_eq!(written.await, Ok(Ok(Number(10))));
    assert_eq!(unwritten.await, Ok(Ok(Number(20))));
}

/// Guards against reporting requests wrongly when the connection fails: a written request may have
/// been handled, an unwritten one cannot have been.
#[tokio::test]
async fn a_failure_distinguishes_written_and_unwritten_requests() {
    let (_mesh, _inbound, peer) = peer().await;
    let Fixture {
        shared,
        connection,
        rx,
        written,
        unwritten,
        ..
    } = fixture(&peer);
    assert!(shared.deregister(&connection, rx, EndReason::Broken, Instant::now()));
    assert_eq!(written.await, Ok(Err(RequestError::Lost)));
    let ended = SendError::ConnectionEnded {
        instance: peer.instance,
    };
    assert_eq!(
        unwritten.await,
        Ok(Err(RequestError::NotSent { source: ended }))
    );
    assert_eq!(shared.counters.snapshot().dropped, 1);
}

/// Guards against writing a request that was reported as not sent. The race occurs if the sender
/// abandons the request while the connection claims it; only one of them may succeed.
#[tokio::test]
async fn an_abandoned_request_is_not_written() {
    let (_mesh, _inbound, peer) = peer().await;
    let fixture = fixture(&peer);
    let (late, _answer) = request(4);
    assert!(late.state.abandon());
    assert_eq!(fixture.connection.start_request(late, Instant::now()), None);
    let (claimed, _answer) = request(5);
    let state = Arc::clone(&claimed.state);
    assert!(
        fixture
            .connection
            .start_request(claimed, Instant::now())
            .is_some()
    );
    assert!(!state.abandon());
}
