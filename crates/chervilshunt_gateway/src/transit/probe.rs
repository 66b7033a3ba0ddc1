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
/// Timeout of the connection that probes a target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of targets of each service that are probed at a time.
const PROBED_TARGETS: usize = 2;

/// Probes targets while the instance is cut off from their service, so that no caller's request has
/// to.
pub(crate) async fn probe_lost_links(shared: Arc<Shared>) {
    let mut changed = shared.links_changed.subscribe();
    while changed.changed().await.is_ok() {
        loop {
            let targets = shared
                .dispatch()
                .targets_to_probe(PROBED_TARGETS, rand::random);
            if targets.is_empty() {
                break;
            }
            let mut probes = JoinSet::new();
            for target in targets {
                probes.spawn(probe(Arc::clone(&shared), target));
            }
            probes.join_all().await;
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

async fn probe(shared: Arc<Shared>, target: TargetName) {
    let address: Option<SocketAddr> = shared.dispatch().target(&target).map(|it| it.address);
    let Some(address) = address else {
        return;
    };
    let connecting = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address));
    if matches!(connecting.await, Ok(Ok(_))) {
        shared.record_connection_opened(&target);
    } else {
        shared.record_connection_failed(&target);
    }
}
