//! Measures the bytes that a connection transfers in addition to its messages.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_mesh::{Inbound, Mesh, MeshConfig, MeshCounters, Peer, Purpose};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::sleep;

const PING_AFTER: Duration = Duration::from_millis(20);
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Debug, Serialize, Deserialize)]
struct Hello(u32);

impl Purpose for Hello {
    fn purpose(&self) -> &'static str {
        "hello"
    }
}

/// Prints the bytes for opening, pinging and closing a connection, in both directions together.
pub(crate) fn print() {
    println!("| opening | ping and pong | closing |");
    println!("| ---: | ---: | ---: |");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(measure());
}

async fn measure() {
    let (owner, mut inbound) = mesh("chervilshunt-7d9f8b6c5-x2x4z").await;
    let (entry, _inbound) = mesh("chervilshunt-7d9f8b6c5-b7k9p").await;
    let peer = Peer {
        instance: "chervilshunt-7d9f8b6c5-x2x4z".into(),
        address: owner.local_addr(),
    };
    entry.send(&peer, Hello(1)).expect("the owner listens");
    inbound.recv().await.expect("the owner runs");
    let opened = entry.counters().connection_bytes();
    let (asking, asked_peer) = (entry.clone(), peer.clone());
    let asked = tokio::spawn(async move {
        let timeout = Duration::from_secs(10);
        asking.request(&asked_peer, Hello(2), timeout).await
    });
    let Some(Inbound::Message(request)) = inbound.recv().await else {
        panic!("the request arrives");
    };
    // The request stays unanswered until the first pings have been exchanged.
    let pinged = until(&entry, |counters| counters.connection_bytes() > opened).await;
    sleep(PING_AFTER / 2).await;
    request
        .reply
        .expect("it is a request")
        .send(Hello(3))
        .expect("it is waited for");
    asked.await.expect("no panic").expect("an answer");
    let pinged = entry.counters().connection_bytes().max(pinged);
    let closed = until(&entry, |counters| counters.open == 0).await;
    println!("| {opened} | {} | {} |", pinged - opened, closed - pinged);
}

async fn until(mesh: &Mesh<Hello>, reached: impl Fn(&MeshCounters) -> bool) -> u64 {
    loop {
        let counters = mesh.counters();
        if reached(&counters) {
            return counters.connection_bytes();
        }
        sleep(Duration::from_millis(1)).await;
    }
}

async fn mesh(name: &str) -> (Mesh<Hello>, mpsc::Receiver<Inbound<Hello>>) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut cfg = MeshConfig::new(name.into());
    cfg.ping_after = PING_AFTER;
    cfg.idle_timeout = IDLE_TIMEOUT;
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Mesh::bind(cfg, listen, log).await.expect("a free port")
}
