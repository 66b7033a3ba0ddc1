//! Measures permit rounds on one connection, with each end on its own thread.

use std::net::SocketAddr;
use std::sync::mpsc as std_mpsc;
use std::thread;
use std::time::{Duration, Instant};

use chervilshunt_mesh::{Inbound, Mesh, MeshConfig, Peer, Purpose};
use futures_util::stream::{self, StreamExt as _};
use serde::{Deserialize, Serialize};
use tokio::runtime::Builder;
use tokio_util::sync::CancellationToken;

const ROUNDS: usize = 100_000;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The text sizes of requests, in bytes; answers and releases have a third of that.
const SIZES: [usize; 4] = [50, 200, 800, 3_200];
const IN_FLIGHT: [usize; 2] = [1, 64];

#[derive(Debug, Serialize, Deserialize)]
enum Message {
    #[serde(rename = "p")]
    Asked(String),
    #[serde(rename = "a")]
    Answered(String),
    #[serde(rename = "r")]
    Released(String),
}

impl Purpose for Message {
    fn purpose(&self) -> &'static str {
        match self {
            Self::Asked(_) => "ask",
            Self::Answered(_) => "answer",
            Self::Released(_) => "release",
        }
    }
}

/// The time, CPU time and bytes that one end used.
#[derive(Clone, Copy, Debug)]
struct ResourceUsage {
    wall: Duration,
    cpu: Duration,
    bytes: u64,
}

/// Prints rounds per second, CPU time and bytes at each size.
pub(crate) fn print() {
    println!("| text | in flight | rounds/s | entry µs/round | owner µs/round | bytes/round |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for size in SIZES {
        for in_flight in IN_FLIGHT {
            let rounds = if in_flight == 1 { ROUNDS / 10 } else { ROUNDS };
            let (entry, owner) = run(size, in_flight, rounds);
            #[expect(clippy::cast_precision_loss, reason = "there are few rounds")]
            let count = rounds as f64;
            let micros = |time: Duration| time.as_secs_f64() * 1e6 / count;
            println!(
                "| {size} | {in_flight} | {:.0} | {:.1} | {:.1} | {} |",
                count / entry.wall.as_secs_f64(),
                micros(entry.cpu),
                micros(owner),
                entry.bytes / rounds as u64,
            );
        }
    }
}

fn run(size: usize, in_flight: usize, rounds: usize) -> (ResourceUsage, Duration) {
    let (address_tx, address_rx) = std_mpsc::channel();
    let stop = CancellationToken::new();
    let stopped = stop.clone();
    let owner = thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime
            .expect("a runtime")
            .block_on(own(size, address_tx, stopped))
    });
    let address = address_rx.recv().expect("the owner listens");
    let runtime = Builder::new_current_thread().enable_all().build();
    let entry = runtime
        .expect("a runtime")
        .block_on(ask(address, size, in_flight, rounds));
    stop.cancel();
    (entry, owner.join().expect("the owner ends"))
}

async fn own(
    size: usize,
    address: std_mpsc::Sender<SocketAddr>,
    stop: CancellationToken,
) -> Duration {
    let (mesh, mut inbound) = mesh("owner").await;
    address.send(mesh.local_addr()).expect("the entry waits");
    let before = thread_cpu();
    loop {
        let received = tokio::select! {
            () = stop.cancelled() => return thread_cpu().saturating_sub(before),
            received = inbound.recv() => received,
        };
        if let Some(Inbound::Message(message)) = received
            && let Some(reply) = message.reply
        {
            reply
                .send(Message::Answered(text(size / 3)))
                .expect("the entry waits");
        }
    }
}

async fn ask(address: SocketAddr, size: usize, in_flight: usize, rounds: usize) -> ResourceUsage {
    let (mesh, _inbound) = mesh("entry").await;
    let peer = Peer {
        instance: "owner".into(),
        address,
    };
    mesh.send(&peer, Message::Released(String::new()))
        .expect("the owner listens");
    tokio::time::sleep(Duration::from_millis(50)).await;
    let (start, before) = (Instant::now(), thread_cpu());
    let bytes_before = socket_bytes(&mesh);
    stream::iter(0..rounds)
        .for_each_concurrent(in_flight, async |_| {
            let asked = Message::Asked(text(size));
            mesh.request(&peer, asked, REQUEST_TIMEOUT)
                .await
                .expect("the owner answers");
            mesh.send(&peer, Message::Released(text(size / 3)))
                .expect("there is room");
        })
        .await;
    ResourceUsage {
        wall: start.elapsed(),
        cpu: thread_cpu().saturating_sub(before),
        bytes: socket_bytes(&mesh) - bytes_before,
    }
}

fn socket_bytes(mesh: &Mesh<Message>) -> u64 {
    let counters = mesh.counters();
    counters.socket_bytes_in + counters.socket_bytes_out
}

async fn mesh(name: &str) -> (Mesh<Message>, tokio::sync::mpsc::Receiver<Inbound<Message>>) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let cfg = MeshConfig::new(name.into());
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Mesh::bind(cfg, listen, log).await.expect("a free port")
}

fn text(size: usize) -> String {
    "x".repeat(size)
}

/// Returns the CPU time of this thread.
fn thread_cpu() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("Linux");
    let nanos = text
        .split_whitespace()
        .next()
        .and_then(|nanos| nanos.parse().ok());
    Duration::from_nanos(nanos.expect("schedstat begins with nanoseconds"))
}
