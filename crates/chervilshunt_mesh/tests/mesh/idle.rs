//! Connections are opened on demand, closed when idle and limited in number.

use std::time::Duration;

use chervilshunt_mesh::SendError;

use crate::common::{TEST_TIMEOUT, answer, config, node, node_with, note, question};

#[tokio::test]
async fn an_idle_connection_is_closed_and_reopened_on_demand() {
    let mut cfg = config("a");
    cfg.idle_timeout = Duration::from_millis(20);
    cfg.ping_after = Duration::from_millis(10);
    let a = node_with(cfg).await;
    let mut b = node("b").await;
    for round in 1..=3 {
        a.mesh.send(&b.peer, note("hello")).unwrap();
        b.message().await;
        a.until(|counters| counters.closed_idle == round && counters.open == 0)
            .await;
        b.until(|counters| counters.closed_idle == round && counters.open == 0)
            .await;
    }
    assert_eq!((a.mesh.counters().lost, b.mesh.counters().lost), (0, 0));
}

/// Guards against losing a request when the connection limit is reached: the least recently used
/// idle connection is closed, never one with a pending request.
#[tokio::test]
async fn the_least_recently_used_idle_connection_is_closed_at_the_limit() {
    let mut cfg = config("a");
    cfg.max_connections = 2;
    let a = node_with(cfg).await;
    let mut busy = node("busy").await;
    let mut idle = node("idle").await;
    let mut third = node("third").await;
    let (mesh, peer) = (a.mesh.clone(), busy.peer.clone());
    let asked = tokio::spawn(async move { mesh.request(&peer, question("?"), TEST_TIMEOUT).await });
    let got = busy.message().await;
    a.mesh.send(&idle.peer, note("hello")).unwrap();
    idle.message().await;
    let (mesh, peer) = (a.mesh.clone(), third.peer.clone());
    let second =
        tokio::spawn(async move { mesh.request(&peer, question("?"), TEST_TIMEOUT).await });
    let waiting = third.message().await;
    idle.until(|counters| counters.closed_idle == 1).await;
    let refused = a.mesh.send(&idle.peer, note("no room")).unwrap_err();
    assert_eq!(refused, SendError::TooManyConnections { limit: 2 });
    got.reply.unwrap().send(answer("!")).unwrap();
    waiting.reply.unwrap().send(answer("!")).unwrap();
    assert_eq!(asked.await.unwrap(), Ok(answer("!")));
    assert_eq!(second.await.unwrap(), Ok(answer("!")));
}
