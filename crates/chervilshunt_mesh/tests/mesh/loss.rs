//! What callers and owners see when a peer dies, restarts or is somebody else.

use std::time::Duration;

use crate::common::{PATIENCE, answer, config, node, node_with, note, question};
use chervilshunt_mesh::{Inbound, Peer, RequestError, SendError};

/// An owner dies while a request waits in its queue. The entry instance's request fails at once,
/// without waiting for its timeout, so that the caller's request moves on; it is reported as lost
/// and not as unsent, as the owner may have seen it.
#[tokio::test]
async fn requests_fail_at_once_when_the_owner_dies() {
    let mut a = node("a").await;
    let mut b = node("b").await;
    let (mesh, peer) = (a.mesh.clone(), b.peer.clone());
    let long = Duration::from_secs(3_600);
    let asked = tokio::spawn(async move { mesh.request(&peer, question("?"), long).await });
    let got = b.message().await;
    b.mesh.shutdown().await;
    let result = tokio::time::timeout(PATIENCE, asked).await.unwrap();
    assert_eq!(result.unwrap(), Err(RequestError::Lost));
    assert_eq!(a.lost().await, "b");
    assert!(got.reply.unwrap().is_closed());
}

/// An entry instance dies while the owner holds its request. The owner learns it by an event, so
/// that it can take the request out of its queue.
#[tokio::test]
async fn an_owner_learns_that_an_entry_instance_is_gone() {
    let a = node("a").await;
    let mut b = node("b").await;
    a.mesh.send(&b.peer, note("hello")).unwrap();
    b.message().await;
    drop(a);
    assert_eq!(b.lost().await, "a");
}

/// An instance dies and another one gets its address. A message for the first is refused, as
/// the second one may own nothing of what the message is about.
#[tokio::test]
async fn a_message_for_somebody_else_is_refused() {
    let a = node("a").await;
    let mut c = node("c").await;
    let peer = Peer {
        instance: "b".into(),
        address: c.peer.address,
    };
    let error = a
        .mesh
        .request(&peer, question("?"), PATIENCE)
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

/// A peer restarts under its id and address. What is sent next reaches the new process over a new
/// connection, after the loss of the old one was reported.
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
    let mut cfg = config("b");
    cfg.listen = peer.address;
    let mut again = node_with(cfg).await;
    again.mesh.send(&a.peer, note("after")).unwrap();
    assert_eq!(a.message().await.message, note("before"));
    assert!(matches!(a.next().await, Inbound::Lost(_)));
    assert_eq!(a.message().await.message, note("after"));
    a.mesh.send(&peer, note("second")).unwrap();
    assert_eq!(again.message().await.message, note("second"));
}

/// Nobody listens at the address: the request is reported as unsent, and the next one fails
/// without another try until the pause is over.
#[tokio::test]
async fn an_unreachable_peer_is_not_tried_again_at_once() {
    let mut cfg = config("a");
    cfg.backoff_min = PATIENCE;
    cfg.backoff_max = PATIENCE;
    let a = node_with(cfg).await;
    let gone = node("b").await;
    let peer = gone.peer.clone();
    gone.mesh.shutdown().await;
    drop(gone);
    let error = a
        .mesh
        .request(&peer, question("?"), PATIENCE)
        .await
        .unwrap_err();
    assert!(error.is_unhandled(), "{error}");
    let again = a.mesh.send(&peer, note("again")).unwrap_err();
    assert!(matches!(again, SendError::Unreachable { .. }), "{again}");
    assert_eq!(a.mesh.counters().dial_failures, 1);
}

/// An owner gives up on a request without an answer. The entry instance learns that at once.
#[tokio::test]
async fn a_dropped_reply_ends_the_request() {
    let a = node("a").await;
    let mut b = node("b").await;
    let (mesh, peer) = (a.mesh.clone(), b.peer.clone());
    let asked = tokio::spawn(async move { mesh.request(&peer, question("?"), PATIENCE).await });
    drop(b.message().await.reply);
    assert_eq!(asked.await.unwrap(), Err(RequestError::Unanswered));
}

/// Both sides open a connection at the same moment. No message is lost, whichever connection it
/// was given to.
#[tokio::test]
async fn a_doubled_connection_loses_nothing() {
    let mut doubled = 0;
    for _ in 0..50 {
        let mut a = node("a").await;
        let mut b = node("b").await;
        let (to_b, to_a) = (b.peer.clone(), a.peer.clone());
        let (mesh_a, mesh_b) = (a.mesh.clone(), b.mesh.clone());
        let asked = tokio::spawn(async move {
            tokio::join!(
                mesh_a.request(&to_b, question("to b"), PATIENCE),
                mesh_b.request(&to_a, question("to a"), PATIENCE),
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
