//! Starts of the daemon whose addresses are taken, and starts that fail.

use std::io::{BufRead as _, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;

/// Time limit for a line of the log.
const LINE_LIMIT: Duration = Duration::from_secs(30);

/// The keys of the addresses in the settings, in the order of their ports.
const KEYS: [&str; 3] = ["callers", "peers", "operators"];

/// A daemon; its process is killed on drop.
struct Daemon {
    process: Child,
    lines: mpsc::Receiver<Value>,
    _folder: TempDir,
}

impl Daemon {
    fn start(addresses: [SocketAddr; 3]) -> Self {
        let folder = TempDir::new().expect("a directory");
        let file = folder.path().join("i1.jsonc");
        let [callers, peers, operators] = addresses;
        let settings = json!({
            "instance": {"id": "i1", "zone": "herning", "region": "jutland"},
            "addresses": {"callers": callers, "peers": peers, "operators": operators},
            "platform": {"address": "127.0.0.1:9"}
        });
        std::fs::write(&file, settings.to_string()).expect("a file");
        let mut process = Command::new(env!("CARGO_BIN_EXE_chervilshuntd"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let out = process.stdout.take().expect("standard output");
        let (tx, lines) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let line = serde_json::from_str(&line).expect("a JSON line");
                if tx.send(line).is_err() {
                    return;
                }
            }
        });
        Self {
            process,
            lines,
            _folder: folder,
        }
    }

    /// Waits for a line with a message.
    fn line(&self, msg: &str) -> Value {
        loop {
            let line = self.lines.recv_timeout(LINE_LIMIT).expect("a line");
            if line["msg"] == msg {
                return line;
            }
        }
    }

    fn terminate(&self) {
        let pid = Pid::from_raw(i32::try_from(self.process.id()).expect("an id"));
        kill_process(pid.expect("an id"), Signal::TERM).expect("a signal");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        drop(self.process.kill());
        drop(self.process.wait());
    }
}

/// Returns the addresses of a daemon, which no other process on this machine uses.
fn unique_addresses(test: u8) -> [SocketAddr; 3] {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // Everything else listens in 127.0.0.0/16.
    let ip = Ipv4Addr::new(127, 1 + low % 250, high, test);
    [7001, 7002, 7003].map(|port| SocketAddr::from((ip, port)))
}

/// Guards against a daemon that ends, or takes callers, while one of its addresses is taken.
#[rstest]
#[case::callers(0)]
#[case::peers(1)]
#[case::operators(2)]
fn the_daemon_opens_no_port_until_all_addresses_are_free(#[case] taken: usize) {
    let addresses = unique_addresses(u8::try_from(taken).expect("a small number"));
    let holder = TcpListener::bind(addresses[taken]).expect("a free port");
    let daemon = Daemon::start(addresses);
    let waiting = daemon.line("waiting for address");
    assert_eq!(waiting["key"], format!("addresses.{}", KEYS[taken]));
    assert_eq!(waiting["address"], addresses[taken].to_string());
    for (number, address) in addresses.into_iter().enumerate() {
        assert_eq!(TcpStream::connect(address).is_ok(), number == taken);
    }
    drop(holder);
    daemon.line("listening");
}

/// Guards against a daemon that can't be stopped while it waits for an address.
#[test]
fn a_signal_ends_a_daemon_that_waits_for_an_address() {
    let addresses = unique_addresses(3);
    let _holder = TcpListener::bind(addresses[0]).expect("a free port");
    let mut daemon = Daemon::start(addresses);
    daemon.line("waiting for address");
    daemon.terminate();
    let status = daemon.process.wait().expect("a status");
    assert_eq!(status.code(), Some(0));
}

/// Guards against starts that fail without a reason in the log.
#[rstest]
#[case::unknown_option(&["--setings", "a"], "setings")]
#[case::no_file(&["--settings", "no/such/file.jsonc"], "no/such/file.jsonc")]
fn a_failed_start_is_logged(#[case] arguments: &[&str], #[case] reason: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_chervilshuntd"))
        .args(arguments)
        .output()
        .expect("an end");
    assert_eq!(output.status.code(), Some(2));
    let line: Value = serde_json::from_slice(&output.stdout).expect("one JSON line");
    assert_eq!(line["level"], "error");
    assert_eq!(line["msg"], "start failed");
    let text = line["reason"].as_str().unwrap_or_default();
    assert!(text.contains(reason), "{text}");
}
