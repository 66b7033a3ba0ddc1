//! The port of the platform stand-in.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use chervilshunt_standin::platform::{Down, FaultPatch, PlatformOptions, start_platform};
use tokio::net::TcpStream;

/// Only keeps a failing test from hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which the stand-in has tried to open its port.
const REBIND_TIME: Duration = Duration::from_millis(100);

/// Waits until connections to an address are accepted, or until they are refused.
async fn until_accepts(address: SocketAddr, accepts: bool) {
    let changed = async {
        while TcpStream::connect(address).await.is_ok() != accepts {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let changed = tokio::time::timeout(TEST_TIMEOUT, changed).await;
    assert!(changed.is_ok(), "accepts connections: {}", !accepts);
}

fn down(down: Down) -> FaultPatch {
    FaultPatch {
        down: Some(down),
        ..FaultPatch::default()
    }
}

/// Guards against an outage that never ends because the port was taken when it was to end.
#[tokio::test]
async fn the_port_opens_again_once_it_is_free() {
    // An address of its own, so that no other program takes the port while it is closed.
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + low % 250, high, 1);
    let options = PlatformOptions {
        listen: (ip, 7001).into(),
        ..PlatformOptions::default()
    };
    let platform = start_platform(options).await.expect("a free port");
    let address = platform.address();
    until_accepts(address, true).await;
    platform.set_faults(down(Down::Refuse));
    until_accepts(address, false).await;
    let holder = TcpListener::bind(address).expect("the port is closed");
    platform.clear_faults();
    tokio::time::sleep(REBIND_TIME).await;
    drop(holder);
    until_accepts(address, true).await;
}
