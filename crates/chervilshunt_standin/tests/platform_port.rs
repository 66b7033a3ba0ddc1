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

/// Returns options with an address of a test's own, so that no other program takes its port.
fn options(test: u8) -> PlatformOptions {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + low % 250, high, test);
    PlatformOptions {
        listen: (ip, 7001).into(),
        ..PlatformOptions::default()
    }
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
    let platform = start_platform(options(1)).await.expect("a free port");
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

/// Guards against a stand-in that ends because an earlier one still holds its address.
#[tokio::test]
async fn a_stand_in_waits_for_an_address_that_is_taken() {
    let options = options(2);
    let address = options.listen;
    let holder = TcpListener::bind(address).expect("a free port");
    let starting = tokio::spawn(start_platform(options));
    tokio::time::sleep(REBIND_TIME).await;
    assert!(!starting.is_finished());
    drop(holder);
    let platform = starting.await.expect("no panic").expect("a start");
    assert_eq!(platform.address(), address);
}

/// Guards against an error that doesn't say which address was refused.
#[tokio::test]
async fn an_address_that_stays_taken_is_named() {
    let options = options(3);
    let address = options.listen;
    let _holder = TcpListener::bind(address).expect("a free port");
    let error = start_platform(options).await.expect_err("a taken address");
    assert!(error.to_string().contains(&address.to_string()), "{error}");
}
