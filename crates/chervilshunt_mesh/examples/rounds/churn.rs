//! Measures the cost of the connection limit when there are more peers than connections.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_mesh::{Inbound, Mesh, MeshConfig, Peer, Purpose};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

const PEERS: usize = 64;
const BOUNDS: [usize; 4] = [8, 16, 32, 64];
const REQUESTS: usize = 5_000;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A text with the length of a permit request or of its answer.
#[derive(Debug, Serialize, Deserialize)]
struct Text(String);

impl Purpose for Text {
    fn purpose(&self) -> &'static str {
        "text"
    }
}

/// Prints the connections opened and the connection bytes per request at each limit.
pub(crate) fn print() {
    println!("| limit | peers | opened per request | connection bytes per request |");
    println!("| ---: | ---: | ---: | ---: |");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(async {
        let mut peers = Vec::new();
        for number in 0..PEERS {
            peers.push(owner(number).await);
        }
        for bound in BOUNDS {
            measure(bound, &peers).await;
        }
    });
}

async fn measure(bound: usize, peers: &[Peer]) {
    let mut cfg = config("entry");
    cfg.max_connections = bound;
    let (mesh, _inbound) = Mesh::bind(cfg, any_port(), log())
        .await
        .expect("a free port");
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..REQUESTS {
        let peer = &peers[rng.random_range(0..peers.len())];
        let asked = Text("x".repeat(130));
        mesh.request(peer, asked, REQUEST_TIMEOUT)
            .await
            .expect("the owner answers");
    }
    let counters = mesh.counters();
    #[expect(clippy::cast_precision_loss, reason = "they are small")]
    let a_request = |count: u64| count as f64 / REQUESTS as f64;
    println!(
        "| {bound} | {PEERS} | {:.2} | {:.0} |",
        a_request(counters.dialled),
        a_request(counters.connection_bytes()),
    );
}

async fn owner(number: usize) -> Peer {
    let name = format!("owner-{number}");
    let (mesh, mut inbound) = Mesh::bind(config(&name), any_port(), log())
        .await
        .expect("a free port");
    let address = mesh.local_addr();
    tokio::spawn(async move {
        while let Some(received) = inbound.recv().await {
            if let Inbound::Message(message) = received
                && let Some(reply) = message.reply
            {
                // The entry may have been dropped at the end of a measurement.
                drop(reply.send(Text("x".repeat(130))));
            }
        }
        drop(mesh);
    });
    Peer {
        instance: name.as_str().into(),
        address,
    }
}

fn config(name: &str) -> MeshConfig {
    MeshConfig::new(name.into())
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
