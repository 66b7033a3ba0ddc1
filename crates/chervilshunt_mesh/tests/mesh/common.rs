//! Helpers: meshes on loopback, and a message type to send between them.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_mesh::{Inbound, InboundMessage, Mesh, MeshConfig, Peer, Purpose};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The time limit for any expected event.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Text {
    Question(String),
    Answer(String),
    Note(String),
}

impl Purpose for Text {
    fn purpose(&self) -> &'static str {
        match self {
            Self::Question(_) => "question",
            Self::Answer(_) => "answer",
            Self::Note(_) => "note",
        }
    }
}

pub(crate) fn question(text: &str) -> Text {
    Text::Question(text.to_owned())
}

pub(crate) fn answer(text: &str) -> Text {
    Text::Answer(text.to_owned())
}

pub(crate) fn note(text: &str) -> Text {
    Text::Note(text.to_owned())
}

/// An instance with its inbound queue.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) mesh: Mesh<Text>,
    pub(crate) inbound: mpsc::Receiver<Inbound<Text>>,
    pub(crate) peer: Peer,
}

impl Node {
    pub(crate) async fn next(&mut self) -> Inbound<Text> {
        timeout(TEST_TIMEOUT, self.inbound.recv())
            .await
            .expect("nothing came in")
            .expect("the mesh ended")
    }

    pub(crate) async fn message(&mut self) -> InboundMessage<Text> {
        match self.next().await {
            Inbound::Message(message) => message,
            Inbound::Lost(peer) => panic!("lost {peer} in place of a message"),
        }
    }

    pub(crate) async fn lost(&mut self) -> String {
        match self.next().await {
            Inbound::Lost(peer) => peer.to_string(),
            Inbound::Message(message) => panic!("{message:?} in place of a loss"),
        }
    }

    /// Waits until the mesh's counters satisfy a condition.
    pub(crate) async fn until(&self, wanted: impl Fn(&chervilshunt_mesh::MeshCounters) -> bool) {
        let reached = async {
            while !wanted(&self.mesh.counters()) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let waited = timeout(TEST_TIMEOUT, reached).await;
        assert!(waited.is_ok(), "still {:?}", self.mesh.counters());
    }
}

pub(crate) fn config(name: &str) -> MeshConfig {
    MeshConfig::new(name.into())
}

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) async fn node(name: &str) -> Node {
    node_with(config(name)).await
}

pub(crate) async fn node_with(cfg: MeshConfig) -> Node {
    node_at(cfg, any_port()).await
}

pub(crate) async fn node_at(cfg: MeshConfig, listen: SocketAddr) -> Node {
    let instance = cfg.instance.clone();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let (mesh, inbound) = Mesh::bind(cfg, listen, log).await.expect("a free port");
    let peer = Peer {
        instance,
        address: mesh.local_addr(),
    };
    Node {
        mesh,
        inbound,
        peer,
    }
}
