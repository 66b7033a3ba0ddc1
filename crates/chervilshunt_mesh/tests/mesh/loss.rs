//! The effects on callers and owners when a peer dies, restarts or is a different instance.

use std::time::Duration;

use crate::common::{TEST_TIMEOUT, answer, config, node, node_at, node_with, note, question};
use chervilshunt_mesh::{Inbound, Peer, RequestError, SendError};

/// Guards against a caller's request being stuck after the owner dies with the request in its
/// queue. The entry instance's request must fail immediately, not at its timeout. It is reported as
/// lost, not as unsent, because the owner may have handled it.
#[tokio::test]
async fn requests_fail_at_once_when_the_owner_dies() {
    let mut a = node("a").await;
    let mut b = node("b").await;
    let (mesh, peer) = (a.mesh.clone(), b.peer.clone());
    let long = Duration::from_secs(3_600);
    let asked = tokio::spawn(async move { mesh.request(&peer, question("?"), long).await });
    let got = b.message().await;
    b.mesh.shutdown().await;
    let result = tokio::time::timeout(TEST_TIMEOUT, asked).await.unwrap();
    assert_eq!(result.unwrap(), Err(RequestError::Lost));
    assert_eq!(a.lost().await, "b");
    assert!(got.reply.unwrap().is_closed());
}

/// Guards against an owner keeping requests of an entry instance that has died: the loss must be
/// reported as an event, on which the owner removes them from its queue.
#[tokio::test]
async fn an_owner_is_notified_of_a_dead_entry_instance() {
    let a = node("a").await;
    let mut b = node("b").await;
    a.mesh.send(&b.peer, note("hello")).unwrap();
    b.message().await;
    drop(a);
    assert_eq!(b.lost().await, "a");
}

/// Guards against delivering a message to the wrong instance. An instance dies and another one gets
/// its address, which may not own the target that the message concerns.
#[tokio::test]
async fn a_message_for_another_instance_is_refused() {
    let a = node("a").await;
    let mut c = node("c").await;
    let peer = Peer {
        instance: "b".into(),
        address: c.peer.address,
    };
    let error = a
        .mesh
        .request(&peer, question("?"), TEST_TIMEOUT)
        .await
        .unwrap_err();
    let RequestError::NotSent { source } = &error else {
        panic!("{error}");
    };
    assert!(matches!(source, SendError::WrongPeer { .. }), "{source}");
    assert!(error.is_unhandled());
    assert_eq!(c.mesh.counters().refused, 1);
    a.mesh.send(&c.peer, note("for c")).unwrap();
    assert_eq!(c.message().await.message, note("for c"));
}

/// Guards against sending to the old process of a restarted peer with the same id and address.
/// Messages must reach the new process, after the loss of the old connection has been reported.
#[tokio::test]
async fn a_restarted_peer_is_reached_again() {
    let mut a = node("a").await;
    let mut b = node("b").await;
    a.mesh.send(&b.peer, note("first")).unwrap();
    b.message().await;
    b.mesh.send(&a.peer, note("before")).unwrap();
    let peer = b.peer.clone();
    b.mesh.shutdown().await;
    drop(b);
    let mut again = node_at(config("b"), peer.address).await;
    again.mesh.send(&a.peer, note("after")).unwrap();
    assert_eq!(a.message().await.message, note("before"));
    assert!(matches!(a.next().await, Inbound::Lost(_)));
    assert_eq!(a.message().await.message, note("after"));
    a.mesh.send(&peer, note("second")).unwrap();
    assert_eq!(again.message().await.message, note("second"));
}

/// Guards against reconnecting to an unreachable peer on every message. The request is reported as
/// unsent, and the next one fails without another attempt until the backoff ends.
#[tokio::test]
async fn an_unreachable_peer_is_not_dialled_during_backoff() {
    let mut cfg = config("a");
    cfg.backoff_min = TEST_TIMEOUT;
    cfg.backoff_max = TEST_TIMEOUT;
    let a = node_with(cfg).await;
    let gone = node("b").await;
    let peer = gone.peer.clone();
    gone.mesh.shutdown().await;
    drop(gone);
    let error = a
        .mesh
        .request(&peer, question("?"), TEST_TIMEOUT)
        .await
        .unwrap_err();
    assert!(error.is_unhandled(), "{error}");
    let again = a.mesh.send(&peer, note("again")).unwrap_err();
    assert!(matches!(again, SendError::Unreachable { .. }), "{again}");
    assert_eq!(a.mesh.counters().dial_failures, 1);
}

/// Guards against waiting for the timeout when an owner drops a request without an answer.
#[tokio::test]
async fn a_dropped_reply_ends_the_request() {
    let a = node("a").await;
    let mut b = node("b").await;
    let (mesh, peer) = (a.mesh.clone(), b.peer.clone());
    let asked = tokio::spawn(async move { mesh.request(&peer, question("?"), TEST_TIMEOUT).await });
    drop(b.message().await.reply);
    assert_eq!(asked.await.unwrap(), Err(RequestError::Unanswered));
}

/// Guards against losing messages when both sides open a connection at the same time, on whichever
/// of the two they are sent.
#[tokio::test]
async fn simultaneous_connections_lose_no_message() {
    let mut doubled = 0;
    for _ in 0..50 {
        let mut a = node("a").await;
        let mut b = node("b").await;
        let (to_b, to_a) = (b.peer.clone(), a.peer.clone());
        let (mesh_a, mesh_b) = (a.mesh.clone(), b.mesh.clone());
        let asked = tokio::spawn(async move {
            tokio::join!(
                mesh_a.request(&to_b, question("to b"), TEST_TIMEOUT),
                mesh_b.request(&to_a, question("to a"), TEST_TIMEOUT),
            )
        });
        a.message()
            .await
            .reply
            .unwrap()
            .send(answer("from a"))
            .unwrap();
        b.message()
            .await
            .reply
            .unwrap()
            .send(answer("from b"))
            .unwrap();
        let answers = asked.await.unwrap();
        assert_eq!(answers, (Ok(answer("from b")), Ok(answer("from a"))));
        doubled += usize::from(a.mesh.counters().dialled + b.mesh.counters().dialled == 2);
    }
    assert!(doubled > 0, "no connection was doubled");
}
