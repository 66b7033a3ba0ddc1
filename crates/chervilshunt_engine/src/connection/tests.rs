use std::time::Duration;

use rstest::rstest;
use rustix::net::sockopt;
use tokio::net::{TcpListener, TcpStream};

use super::{announced_idle_limit, enable_keepalive};

/// Guards against connections to sound targets that end because these were silent for a second or two. A user
/// timeout also decides when keepalive probes give up, whatever their number.
#[tokio::test]
async fn the_user_timeout_leaves_time_for_all_probes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    enable_keepalive(&stream).expect("options");
    let idle = sockopt::tcp_keepidle(&stream).expect("an option");
    let interval = sockopt::tcp_keepintvl(&stream).expect("an option");
    let probes = sockopt::tcp_keepcnt(&stream).expect("an option");
    let user_timeout = sockopt::tcp_user_timeout(&stream).expect("an option");
    let probed_for = idle + interval * probes;
    assert!(
        u128::from(user_timeout) >= probed_for.as_millis(),
        "{user_timeout} ms, but probes take {probed_for:?}"
    );
}

/// Guards against requests that are sent on a connection just as its target closes it.
#[rstest]
#[case::shorter_than_the_default(2, 1_500)]
#[case::longer_than_the_default(10, 9_500)]
#[case::hours(7_200, 30_000)]
#[case::none(0, 0)]
fn an_announced_timeout_bounds_the_idle_time(#[case] seconds: u64, #[case] millis: u64) {
    assert_eq!(announced_idle_limit(seconds), Duration::from_millis(millis));
}
