//! Measures the memory of idle connections.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_mesh::{Inbound, Mesh, MeshConfig, Peer, Purpose};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// The numbers of idle connections; both ends of each are in this process.
const COUNTS: [usize; 5] = [0, 100, 200, 400, 800];

#[derive(Debug, Serialize, Deserialize)]
struct Hello(u32);

impl Purpose for Hello {
    fn purpose(&self) -> &'static str {
        "hello"
    }
}

/// Prints the resident memory at each number of connections.
pub(crate) fn print() {
    println!("| connections | resident KiB | KiB per connection end |");
    println!("| ---: | ---: | ---: |");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(measure());
}

async fn measure() {
    let (hub, mut hub_inbound) = mesh(0).await;
    let mut spokes = Vec::new();
    let mut base = None;
    // All meshes are created before the first measurement, so that it compares connections only.
    for number in 1..=COUNTS[COUNTS.len() - 1] {
        spokes.push(mesh(number).await);
    }
    let mut open = 0;
    for count in COUNTS {
        while open < count {
            let (spoke, _) = &spokes[open];
            let peer = Peer {
                instance: "node-0".into(),
                address: hub.local_addr(),
            };
            spoke.send(&peer, Hello(1)).expect("the hub listens");
            hub_inbound.recv().await.expect("the hub runs");
            open += 1;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        let resident = resident_kib();
        let base = *base.get_or_insert(resident);
        #[expect(clippy::cast_precision_loss, reason = "there are few")]
        let each = (resident - base) as f64 / (2 * count.max(1)) as f64;
        println!("| {count} | {resident} | {each:.1} |");
    }
}

async fn mesh(number: usize) -> (Mesh<Hello>, mpsc::Receiver<Inbound<Hello>>) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut cfg = MeshConfig::new(format!("node-{number}").as_str().into());
    cfg.queue_messages = 16;
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Mesh::bind(cfg, listen, log).await.expect("a free port")
}

fn resident_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kib.expect("VmRSS is a number of KiB")
}
