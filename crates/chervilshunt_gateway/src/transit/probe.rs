//! Finds out when this instance reaches the targets of a service again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::TargetName;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::shared::Shared;

/// Interval between probes while the instance is cut off from a service.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// The same while it may be cut off. The targets that were probed accept no connection, so that the
/// next ones are probed soon.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of the connection that probes a target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Probes targets while the instance is, or may be, cut off from their service, so that no caller's
/// request has to.
pub(crate) async fn probe_lost_links(shared: Arc<Shared>) {
    let mut changed = shared.links_changed.subscribe();
    while changed.changed().await.is_ok() {
        loop {
            let now = shared.clock.now();
            let targets = shared.dispatch().targets_to_probe(rand::random, now);
            if targets.is_empty() {
                break;
            }
            let mut probes = JoinSet::new();
            for target in targets {
                probes.spawn(probe(Arc::clone(&shared), target));
            }
            probes.join_all().await;
            let is_cut_off = shared.dispatch().cut_off_services().next().is_some();
            tokio::time::sleep(if is_cut_off {
                PROBE_INTERVAL
            } else {
                SUSPICION_INTERVAL
            })
            .await;
        }
    }
}

/// Returns whether a target accepts a connection, and records that.
pub(crate) async fn probe(shared: Arc<Shared>, target: TargetName) -> bool {
    let address: Option<SocketAddr> = shared.dispatch().target(&target).map(|it| it.address);
    let Some(address) = address else {
        return false;
    };
    let connecting = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address));
    let is_open = matches!(connecting.await, Ok(Ok(_)));
    if is_open {
        shared.record_connection_opened(&target);
    } else {
        shared.record_connection_failed(&target);
    }
    is_open
}
